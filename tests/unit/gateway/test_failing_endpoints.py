"""Engines that fail requests while their health check succeeds, in simulated time.

Compared with the same load without circuit breakers, a third fewer callers may be left
without a complete answer, and no request that may run only once may run twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

import shallotroad.gateway.placement_round as placement_round_module
from shallotroad.policy.failing_endpoints import Circuit
from shallotroad.policy.failing_endpoints import ServiceFailures
from tests.failing_alternatives import hold_until_objective
from tests.failing_alternatives import refuse_at_once
from tests.failing_alternatives import send_at_once
from tests.failing_simulation import FAILURE_SHARE
from tests.failing_simulation import FailingSimulation
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

SEEDS = range(1, 7)
MAX_LOST_RATIO = 2 / 3
BEFORE_S = 6.0


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.fixture
def without_circuits() -> pytest.MonkeyPatch:
    """Return a patch under which the code decides as it did without circuits."""
    return pytest.MonkeyPatch()


def remove_circuits(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Circuit, "is_closed", property(lambda _: True))
    patch.setattr(ServiceFailures, "expected_rest_s", lambda _self, _now_s: 0.0)


async def play(
    seed: int,
    *,
    engines: int = 8,
    failing: Sequence[str] | None = None,
    share: float = FAILURE_SHARE,
    for_s: float = 4.0,
    per_s: float = 40.0,
    weights: Sequence[float] = (0.45, 0.45, 0.1),
    usual_share: float = 0.004,
    after_s: float = 6.0,
) -> FailingSimulation:
    simulation = FailingSimulation(engines=engines, seed=seed, weights=weights)
    simulation.usual_share = usual_share
    await simulation.send_load(per_s=per_s, for_s=BEFORE_S)
    simulation.fail(share, names=failing)
    await simulation.send_load(per_s=per_s, for_s=for_s)
    simulation.fail(0.0)
    await simulation.send_load(per_s=per_s, for_s=after_s)
    await simulation.close()
    return simulation


async def lost_ratio(patch: pytest.MonkeyPatch, **changes: Any) -> float:
    """Return the lost requests with circuit breakers by those without."""
    lost = 0.0
    for seed in SEEDS:
        simulation = await play(seed, **changes)
        check_sound(simulation)
        lost += simulation.lost_share()
    remove_circuits(patch)
    try:
        before = 0.0
        for seed in SEEDS:
            simulation = await play(seed, **changes)
            before += simulation.lost_share()
    finally:
        patch.undo()
    return lost / before


def check_sound(simulation: FailingSimulation) -> None:
    """Check that nothing that may run once ran twice, and no refused request ran."""
    once = [n for run, n in simulation.runs.items() if not run.startswith("rep")]
    assert max(once) == 1
    assert simulation.refused_after_run == 0


# Guards against requests that are lost while all engines fail them, for as long as that
# is expected to last.
@pytest.mark.parametrize("for_s", [3.0, 4.0, 5.0])
async def test_fewer_requests_are_lost_while_all_engines_fail(
    without_circuits: pytest.MonkeyPatch, for_s: float
) -> None:
    assert await lost_ratio(without_circuits, for_s=for_s) < MAX_LOST_RATIO


# Guards against a recovery that nobody notices where no request may be repeated.
async def test_recovery_is_noticed_without_requests_that_may_be_repeated(
    without_circuits: pytest.MonkeyPatch,
) -> None:
    weights = (0.5, 0.5, 0.0)
    assert await lost_ratio(without_circuits, weights=weights) < MAX_LOST_RATIO


# Guards against an endpoint that fails its requests and therefore has room.
async def test_fewer_requests_are_lost_at_one_failing_engine(
    without_circuits: pytest.MonkeyPatch,
) -> None:
    ratio = await lost_ratio(
        without_circuits, failing=["e0"], for_s=10.0, per_s=150.0, usual_share=0.0
    )
    assert ratio < MAX_LOST_RATIO


# Guards against an engine that has recovered and is used no more.
async def test_an_engine_that_has_recovered_is_used_again() -> None:
    simulation = await play(1, failing=["e0"], share=1.0, for_s=10.0, after_s=16.0)
    end_s = BEFORE_S + 10.0 + 12.0
    counts = [
        sum(at_s > end_s and name == f"e{n}" for at_s, name in simulation.arrivals)
        for n in range(8)
    ]
    assert counts[0] > 0.4 * sum(counts) / len(counts)
    assert all(load.circuit.is_closed for load in simulation.registry.loads.values())


# Guards against a caller that is refused again when it comes back as it was told.
async def test_no_caller_is_refused_twice() -> None:
    for seed in SEEDS:
        simulation = await play(seed, for_s=8.0)
        assert max(simulation.refusals.values(), default=0) <= 1


# Guards against a service that stops for a bad release, which fails all requests.
async def test_service_goes_on_while_all_engines_fail_all_requests() -> None:
    simulation = await play(1, share=1.0, for_s=30.0)
    begin_s, end_s = BEFORE_S, BEFORE_S + 30.0
    for second in range(int(begin_s), int(end_s)):
        sent = sum(second <= at_s < second + 1 for at_s, _ in simulation.arrivals)
        assert sent > 0
    # Once it has lasted longer than requests are held for, all are sent.
    late = sum(end_s - 10.0 <= at_s < end_s for at_s, _ in simulation.arrivals)
    assert late > 0.9 * 10.0 * 40.0


# Guards against changed decisions where no endpoint fails far above the usual share.
@pytest.mark.parametrize("usual_share", [0.004, 0.14])
async def test_decisions_stay_the_same_without_failing_endpoints(
    without_circuits: pytest.MonkeyPatch, usual_share: float
) -> None:
    for seed in SEEDS:
        after = await play(seed, share=0.0, usual_share=usual_share)
        remove_circuits(without_circuits)
        without_circuits.setattr(
            placement_round_module,
            "avoid_open_circuits",
            lambda views, **_: list(views),
        )
        before = await play(seed, share=0.0, usual_share=usual_share)
        without_circuits.undo()
        assert after.arrivals == before.arrivals
        assert after.ends == before.ends


# Guards against a change of the way that is chosen for requests that may run only once
# to one that serves fewer callers. Each failing time is within 3 to 5 s.
@pytest.mark.parametrize("other", [send_at_once, hold_until_objective, refuse_at_once])
async def test_holding_before_a_refusal_loses_the_fewest(
    other: Callable[[pytest.MonkeyPatch], None],
) -> None:
    chosen = await mean_lost_share()
    with pytest.MonkeyPatch.context() as patch:
        other(patch)
        assert chosen < await mean_lost_share()


async def mean_lost_share(**changes: Any) -> float:
    shares = [
        (await play(seed, for_s=for_s, **changes)).lost_share()
        for seed in SEEDS
        for for_s in (3.0, 4.0, 5.0)
    ]
    return sum(shares) / len(shares)
