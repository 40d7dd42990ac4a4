"""Places of callers that return are bounded, and match their own caller only."""

from __future__ import annotations

from shallotroad.platform.headers import PromptPart
from shallotroad.policy.cells import Cell
from shallotroad.policy.return_places import GRACE_S
from shallotroad.policy.return_places import MAX_NAME_LENGTH
from shallotroad.policy.return_places import MAX_PLACES
from shallotroad.policy.return_places import MAX_PROMISED_SHARE
from shallotroad.policy.return_places import ReturnKey
from shallotroad.policy.return_places import ReturnPlace
from shallotroad.policy.return_places import ReturnPlaces
from shallotroad.policy.return_places import is_early
from shallotroad.policy.return_places import return_key
from tests.gateway_builders import make_gateway_job


CELL = Cell("chat")
DUE_S = 102.0
NOW_S = 100.0


def key(part: str, team: str = "t") -> ReturnKey:
    return ReturnKey("chat", team, "r", part)


def place(work_ms: float = 100.0, due_s: float = DUE_S) -> ReturnPlace:
    return ReturnPlace(CELL, (1, 2), NOW_S, due_s, work_ms)


def reserve(
    places: ReturnPlaces,
    part: str,
    *,
    team: str = "t",
    engine_ms: float = 1e9,
    team_share: float = 1.0,
    now_s: float = NOW_S,
) -> ReturnPlace | None:
    return places.reserve(
        key(part, team),
        place(due_s=now_s + 2.0),
        engine_ms=engine_ms,
        team_share=team_share,
        now_s=now_s,
    )


def test_a_place_is_valid_from_its_time_until_shortly_after() -> None:
    places = ReturnPlaces()
    reserve(places, "a")
    found = places.find(key("a"), NOW_S)
    assert found is not None
    assert is_early(found, NOW_S)
    assert not is_early(found, DUE_S)
    assert places.find(key("a"), DUE_S + GRACE_S) is not None
    assert places.find(key("a"), DUE_S + GRACE_S + 0.01) is None
    assert len(places) == 0
    assert places.unused == 1


def test_a_caller_with_many_requests_holds_one_place() -> None:
    places = ReturnPlaces()
    assert reserve(places, "a") is not None
    assert reserve(places, "a") is None
    assert len(places.promised_work(CELL, NOW_S)) == 1


def test_the_promised_work_is_a_share_of_the_engines_time() -> None:
    places = ReturnPlaces()
    reserved = [reserve(places, f"p{n}", engine_ms=2_000.0) for n in range(50)]
    work_ms = sum(p.work_ms for p in reserved if p is not None)
    assert work_ms == MAX_PROMISED_SHARE * 2_000.0
    assert sum(p.work_ms for p in places.promised_work(CELL, NOW_S)) == work_ms


# Guards against one team that takes the places of all others.
def test_a_team_gets_its_share_of_the_places() -> None:
    places = ReturnPlaces()
    for number in range(50):
        reserve(places, f"p{number}", engine_ms=3_000.0, team_share=0.125)
    assert len(places.promised_work(CELL, NOW_S)) == 2
    assert reserve(places, "q", team="other", engine_ms=3_000.0) is not None


# Guards against engines that idle for callers who never return.
def test_the_places_of_a_team_that_never_returns_count_little() -> None:
    places = ReturnPlaces()
    now_s = NOW_S
    for number in range(20):
        reserve(places, f"p{number}", now_s=now_s)
        now_s += 10.0
        places.expire(now_s)
    last = reserve(places, "p", now_s=now_s)
    assert last is not None
    assert last.work_ms < 0.1 * place().work_ms
    for number in range(20):
        reserve(places, f"q{number}", now_s=now_s)
        places.use(key(f"q{number}"))
    last = reserve(places, "q", now_s=now_s)
    assert last is not None
    assert last.work_ms > 0.9 * place().work_ms


def test_used_and_expired_places_free_their_work() -> None:
    places = ReturnPlaces()
    for number in range(10):
        reserve(places, f"p{number}", engine_ms=2_000.0)
    for number in range(5):
        places.use(key(f"p{number}"))
    assert reserve(places, "q", engine_ms=2_000.0) is not None
    places.expire(NOW_S + 10.0)
    assert len(places) == 0
    assert not places._cell_ms
    assert not places._team_ms


# Guards against work that is counted in the units of an engine model before.
def test_a_new_engine_model_converts_the_promised_work() -> None:
    places = ReturnPlaces()
    for number in range(10):
        reserve(places, f"p{number}", engine_ms=2_000.0)
    places.rescale("other", 9.0)
    places.rescale("chat", 0.25)
    work_ms = [promised.work_ms for promised in places.promised_work(CELL, NOW_S)]
    assert work_ms == [25.0] * 10
    for number in range(10):
        places.use(key(f"p{number}"))
    assert not places._cell_ms
    assert not places._team_ms


def test_the_number_of_places_is_bounded() -> None:
    places = ReturnPlaces()
    for number in range(2 * MAX_PLACES):
        places.add_without_work(key(f"p{number}"), place(0.0), NOW_S)
        reserve(places, f"q{number}")
    assert len(places) == MAX_PLACES


def test_a_request_without_route_part_or_with_a_huge_part_has_no_place() -> None:
    request = make_gateway_job().placement_request(NOW_S)
    assert return_key(request) is not None
    assert return_key(request._replace(route="")) is None
    no_parts = request.profile._replace(parts=())
    assert return_key(request._replace(profile=no_parts)) is None
    huge = (PromptPart("x" * (MAX_NAME_LENGTH + 1), 5),)
    huge_part = request.profile._replace(parts=huge)
    assert return_key(request._replace(profile=huge_part)) is None


# Guards against a KeyError at each change of the engine model, after the first place of
# a request without stated work (review/7).
def test_places_without_work_leave_with_their_callers() -> None:
    places = ReturnPlaces()
    reserve(places, "a")
    for part, work_ms in (("b", 0.0), ("c", 1e-9)):
        added = places.reserve(
            key(part), place(work_ms), engine_ms=1e9, team_share=1.0, now_s=NOW_S
        )
        assert added is not None
    places.use(key("a"))
    places.rescale("chat", 2.0)
    assert len(places.promised_work(CELL, NOW_S)) == 2
    places.use(key("b"))
    places.use(key("c"))
    assert places.promised_work(CELL, NOW_S) == []
    assert len(places) == 0
    places.rescale("chat", 0.5)
    reserve(places, "a")
    places.rescale("chat", 0.5)
    (left,) = places.promised_work(CELL, NOW_S)
    assert left.work_ms == 50.0
