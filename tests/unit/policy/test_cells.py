"""Cells bound the engines that one coordinator looks at, and all gateways agree."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from shallotroad.policy.cells import MAX_CELL_ENGINES
from shallotroad.policy.cells import UNDIVIDED
from shallotroad.policy.cells import Cell
from shallotroad.policy.cells import divide
from shallotroad.policy.cells import rank_cells


ENGINE_COUNTS = st.dictionaries(
    st.sampled_from(["a", "b", "c", "d"]), st.integers(1, 400), min_size=1
)


def make_engines(counts: dict[str, int]) -> dict[str, str]:
    return {f"{name}{n}": name for name, count in counts.items() for n in range(count)}


def test_a_service_with_few_engines_is_one_cell() -> None:
    engines = make_engines({"a": MAX_CELL_ENGINES - 1, "b": 1})
    assert divide(engines) == UNDIVIDED


@given(counts=ENGINE_COUNTS, order=st.randoms())
def test_each_engine_is_in_one_cell_of_bounded_size(
    counts: dict[str, int], order: object
) -> None:
    engines = make_engines(counts)
    cells = divide(engines)
    if cells == UNDIVIDED:
        return
    assert cells.by_engine.keys() == engines.keys()
    names = list(cells.by_engine.values())
    # Hashing does not fill the cells of a data centre evenly.
    assert max(names.count(name) for name in set(names)) <= 1.5 * MAX_CELL_ENGINES
    assert divide(dict(sorted(engines.items(), reverse=True))) == cells


def test_engines_of_a_large_data_centre_stay_in_it() -> None:
    engines = make_engines({"a": 100, "b": 70, "c": 2})
    cells = divide(engines)
    assert cells.hosts == ("a", "b")
    for engine, name in cells.by_engine.items():
        if engine[0] != "c":
            assert Cell("chat", name).data_centre == engine[0]
    assert cells.host("c") in cells.hosts


@given(engine=st.integers(0, 99))
def test_the_loss_of_an_engine_moves_no_other(engine: int) -> None:
    engines = make_engines({"a": 100, "b": 70})
    before = divide(engines)
    del engines[f"a{engine}"]
    after = divide(engines)
    for name, cell in after.by_engine.items():
        assert before.by_engine[name] == cell


def test_requests_with_one_part_meet_in_one_cell_of_their_data_centre() -> None:
    cells = divide(make_engines({"a": 200, "b": 200}))
    assert len(cells.names) == 8
    first = {rank_cells(cells, data_centre="b", part=f"p{n}")[0] for n in range(200)}
    assert first == {name for name in cells.names if name.startswith("b/")}
    for n in range(20):
        ranked = rank_cells(cells, data_centre="a", part=f"p{n}")
        assert sorted(ranked) == list(cells.names)
        assert [name[0] for name in ranked] == ["a"] * 4 + ["b"] * 4
