"""Work leaves its data centre only where local engines have no time for it.

Guards against bodies that are sent to other data centres although local engines are
idle, and against local engines that are overloaded to keep bodies local.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.metrics import GatewayMetrics
from shallotroad.gateway.metrics import update_balance_metrics
from shallotroad.policy.cells import Cell
from shallotroad.policy.data_centre_balance import DataCentreBalance
from tests.data_centre_simulation import Play
from tests.data_centre_simulation import PromptClass
from tests.data_centre_simulation import leaves
from tests.virtual_time import VirtualTimeLoop
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from tests.data_centre_simulation import Rate
    from tests.engine_simulation import SimulatedRequest

CELL = Cell("chat")
THREE = {"a": 4, "b": 4, "c": 4}
# Shares have settled, from those of a new coordinator, after this time.
SETTLED_S = 10.0
# Bytes between data centres fall by a third.
MAX_BYTES_SHARE = 2 / 3
# A prefill in place of a copy in another data centre may delay a first event.
MAX_ADDED_P95_MS = 250.0


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


def steady(per_s: float) -> Rate:
    return lambda _data_centre, _now_s: per_s


def only(data_centre: str, per_s: float) -> Rate:
    return lambda name, _now_s: per_s if name == data_centre else 0.0


def long_prompts(per_s: float, parts: int = 66, popular: float = 0.0) -> PromptClass:
    return PromptClass(steady(per_s), 13_300, 3_700, parts, popular)


def medium_prompts(per_s: float) -> PromptClass:
    return PromptClass(steady(per_s), 5_000, 4_000, parts=20)


def short_streams(per_s: float) -> PromptClass:
    return PromptClass(steady(per_s), 0, 1_500, gap_tolerant=False)


def plain_prompts(rate: Rate) -> PromptClass:
    return PromptClass(rate, 0, 4_000)


def play(
    engines: dict[str, int],
    classes: list[PromptClass],
    duration_s: float,
    *,
    seed: int = 1,
    balanced: bool = True,
    data_centres: str = "abc",
) -> Play:
    """Play a load in a loop of its own, so that two plays have equal times."""

    async def run() -> Play:
        result = Play(engines, seed=seed, balanced=balanced)
        await result.run(data_centres, classes, duration_s)
        return result

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run())


def share_that_left(requests: list[SimulatedRequest]) -> float:
    return sum(map(leaves, requests)) / len(requests)


@pytest.mark.parametrize("seed", [1, 2])
def test_with_local_time_fewer_bytes_leave_and_first_events_are_no_later(
    seed: int,
) -> None:
    classes = [long_prompts(3.3), medium_prompts(4.0), short_streams(8.0)]
    before = (play(THREE, classes, 60.0, seed=seed, balanced=False)).figures()
    result = play(THREE, classes, 60.0, seed=seed)
    after = result.figures()
    assert after.remote_bytes <= MAX_BYTES_SHARE * before.remote_bytes, (before, after)
    assert after.unserved <= before.unserved
    assert after.late <= before.late
    assert after.first_event_p95_ms <= before.first_event_p95_ms + MAX_ADDED_P95_MS
    assert share_that_left(result.placed(classes[2], since_s=SETTLED_S)) < 0.01


def test_a_popular_part_is_copied_and_rare_ones_are_not_read_again() -> None:
    """Guards against copies that cost more prefill than the transfers they save."""
    classes = [long_prompts(4.0, popular=0.3)]
    before = play(THREE, classes, 40.0, balanced=False)
    after = play(THREE, classes, 40.0)
    popular = [r for r in after.placed(since_s=20.0) if _part(r) == "part0"]
    assert share_that_left(popular) < 0.1
    saved_bytes = before.figures().remote_bytes - after.figures().remote_bytes
    repeated = after.figures().repeated_tokens - before.figures().repeated_tokens
    assert saved_bytes >= 4 * repeated


def _part(request: SimulatedRequest) -> str:
    return request.job.profile.parts[0].identifier


def test_the_excess_and_no_more_leaves_a_data_centre_with_few_engines() -> None:
    engines = {"a": 3, "b": 9}
    classes = [plain_prompts(only("a", 40.0))]
    result = play(engines, classes, 25.0)
    (kind,) = classes
    work_s = 0.088 * 40.0
    capacity_s = 0.874 * 3
    left = share_that_left(result.placed(kind, since_s=SETTLED_S))
    assert 1.0 - capacity_s / work_s - 0.1 < left
    assert left < 1.0 - 0.8 * capacity_s / work_s + 0.1
    assert result.figures().unserved == result.figures().late == 0


def test_engines_that_are_short_of_time_everywhere_decide_as_before() -> None:
    """Guards against repeated prefills during an overload."""
    classes = [long_prompts(35.0), short_streams(8.0)]
    engines = {"a": 3, "b": 3, "c": 3}
    before = play(engines, classes, 10.0, balanced=False)
    after = play(engines, classes, 10.0)
    assert after.figures() == before.figures()


def test_engines_in_one_data_centre_decide_as_before() -> None:
    classes = [long_prompts(6.0), short_streams(8.0)]
    before = play({"a": 6}, classes, 15.0, balanced=False)
    after = play({"a": 6}, classes, 15.0)
    assert _decisions(after) == _decisions(before)


def test_callers_without_local_engines_decide_as_before() -> None:
    classes = [long_prompts(6.0), short_streams(8.0)]
    engines = {"b": 3, "c": 3}
    before = play(engines, classes, 15.0, balanced=False, data_centres="a")
    after = play(engines, classes, 15.0, data_centres="a")
    assert _decisions(after) == _decisions(before)


def _decisions(result: Play) -> list[tuple[str, float]]:
    return [
        (r.placement.load.record.identifier, r.placement.cost_ms)
        for r in result.placed()
    ]


async def test_waves_of_opposite_phase_do_not_make_the_shares_oscillate() -> None:
    """Guards against two data centres that send their work to each other in turns."""
    period_s, waves = 10.0, 4

    def rate(data_centre: str, now_s: float) -> float:
        sign = 1.0 if data_centre == "a" else -1.0
        return 22.0 + 20.0 * sign * math.sin(2.0 * math.pi * now_s / period_s)

    kind = plain_prompts(rate)
    result = Play({"a": 4, "b": 4}, seed=1)
    shares: list[dict[str, float]] = []

    def sample() -> None:
        shares.append(dict(result.balance.shares()[CELL]))

    samples = {0.25 * n: sample for n in range(4, int(4 * period_s * waves))}
    await result.run("ab", [kind], period_s * waves, samples)
    settled = shares[int(4 * period_s) :]
    for name in "ab":
        assert _turns([each[name] for each in settled]) <= 2 * waves
    assert result.figures().unserved == 0
    remote = result.placed(kind, since_s=period_s)
    assert share_that_left(remote) < 0.25


def _turns(values: list[float], least: float = 0.05) -> int:
    """Return how often values change direction by at least ``least``."""
    turns, direction, extreme = 0, 0, values[0]
    for value in values:
        if direction * (value - extreme) >= 0 and value != extreme:
            extreme = value if direction else extreme
        if abs(value - extreme) >= least:
            turns += direction != 0
            direction = 1 if value > extreme else -1
            extreme = value
    return turns


async def test_a_closed_data_centre_returns_with_cold_engines() -> None:
    """Guards against work lost at an evacuation, and a rush to cold engines."""
    result = Play(THREE, seed=1)
    closed = result.fixture.catalog.closed_data_centres

    def come_back() -> None:
        closed.discard("a")
        for number in range(4):
            result.add_engine(f"a{number}", "a", cold_ms=3_000.0)

    classes = [long_prompts(3.3), medium_prompts(4.0), short_streams(8.0)]
    events = {12.0: lambda: closed.add("a"), 20.0: come_back}
    await result.run("abc", classes, 45.0, events)
    figures = result.figures()
    assert figures.unserved == figures.late == 0
    while_closed = [r for r in result.placed(data_centre="a") if 12 < r.placed_s < 20]
    assert share_that_left(while_closed) == 1.0
    just_back = [r for r in result.placed(data_centre="a") if 20 < r.placed_s < 23]
    assert share_that_left(just_back) > 0.5
    assert result.balance.shares()[CELL]["a"] == 0.0
    small = result.placed(classes[2], since_s=35.0, data_centre="a")
    assert share_that_left(small) < 0.05


async def test_a_lost_coordinator_costs_only_the_time_to_observe_again() -> None:
    result = Play(THREE, seed=1)

    def lose_coordinator() -> None:
        result.fixture.admission.data_centre_balance = DataCentreBalance(
            prefix_reuse_s=10.0
        )

    classes = [medium_prompts(4.0), short_streams(8.0)]
    after_loss: list[float] = []
    events = {
        15.0: lose_coordinator,
        15.5: lambda: after_loss.append(result.balance.shares()[CELL]["a"]),
    }
    await result.run("abc", classes, 30.0, events)
    assert after_loss[0] > 0.5
    assert result.balance.shares()[CELL]["a"] == 0.0
    assert result.figures().unserved == result.figures().late == 0
    assert share_that_left(result.placed(classes[1], since_s=25.0)) < 0.01


async def test_work_stays_local_where_remote_engines_cannot_be_reached() -> None:
    """Guards against decisions that need a data centre on the far side of a cut."""
    result = Play(THREE, seed=1)
    loads = result.fixture.endpoint_registry.loads

    def cut() -> None:
        for name, load in loads.items():
            if not name.startswith("a"):
                load.avoided_until_s = 100.0

    classes = [PromptClass(only("a", 4.0), 13_300, 3_700, parts=66)]
    await result.run("abc", classes, 30.0, {10.0: cut})
    assert share_that_left(result.placed(since_s=10.0)) == 0.0
    assert result.figures().unserved == 0


def test_metrics_show_the_share_and_the_bytes_that_leave() -> None:
    """Guards against shares of cells that another gateway coordinates now."""
    result = play(THREE, [medium_prompts(4.0)], 5.0)
    metrics = GatewayMetrics()
    update_balance_metrics(metrics, result.balance)
    labels = {"service": "chat", "data_centre": "a"}
    share = result.balance.shares()[CELL]["a"]
    assert metrics.remote_share.get({**labels, "cell": ""}) == share
    requests = result.placed(data_centre="a")
    remote = [request for request in requests if leaves(request)]
    assert metrics.engine_placements.get({**labels, "to": "other"}) == len(remote)
    local = len(requests) - len(remote)
    assert metrics.engine_placements.get({**labels, "to": "own"}) == local
    assert metrics.remote_bytes.get(labels) == 9_000 * len(remote)
    update_balance_metrics(metrics, DataCentreBalance(prefix_reuse_s=10.0))
    assert not metrics.remote_share.get_all()
