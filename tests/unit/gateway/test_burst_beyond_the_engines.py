"""A burst of long prompts that the engines can't serve, also not with a queue.

A request that waits until it is too late has no use of its place in the queue, and
neither have those behind it: all that are served are served late. So a request whose
first event can't be in time is refused at once and told when to come back; those that
are admitted are in time.
"""

from __future__ import annotations

from statistics import mean

import pytest

from tests.burst_simulation import DEADLINE_MS
from tests.burst_simulation import play_burst
from tests.virtual_time import VirtualTimePolicy


ARRIVALS_PER_S = 60.0
OBJECTIVE_S = 2.5
# A refusal within this share of the objective leaves the caller time for another try.
MAX_REFUSED_AFTER_SHARE = 0.25
MAX_LATE_SHARE = 0.05
# Engines must not idle because of refusals: at least this share of what a queue without
# them serves, late or not.
MIN_SERVED_SHARE = 0.8
# Callers wait for at most this share of the time that they have left.
MAX_RETRY_AFTER_SHARE = 1 / 3


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("speed", [0.5, 1.0])
async def test_the_admitted_are_in_time_and_the_others_refused_at_once(
    speed: float, seed: int
) -> None:
    outcomes = await play_burst(speed=speed, arrivals_per_s=ARRIVALS_PER_S, seed=seed)
    assert outcomes.refused > 0
    assert outcomes.late_share < MAX_LATE_SHARE, vars(outcomes)
    assert mean(outcomes.refused_after_s) < MAX_REFUSED_AFTER_SHARE * OBJECTIVE_S
    assert min(outcomes.retry_after_s) > 0
    assert max(outcomes.retry_after_s) <= MAX_RETRY_AFTER_SHARE * DEADLINE_MS / 1000


@pytest.mark.parametrize("speed", [0.5, 1.0])
async def test_refusals_leave_no_engine_idle(speed: float) -> None:
    outcomes = await play_burst(speed=speed, arrivals_per_s=ARRIVALS_PER_S, seed=1)
    queued = await play_burst(
        speed=speed, arrivals_per_s=ARRIVALS_PER_S, seed=1, refuses_early=False
    )
    assert outcomes.whole >= MIN_SERVED_SHARE * queued.whole, vars(outcomes)
    assert outcomes.whole - outcomes.late > queued.whole - queued.late


async def test_a_load_that_the_engines_can_serve_is_not_refused() -> None:
    outcomes = await play_burst(speed=1.0, arrivals_per_s=20.0, seed=1)
    assert (outcomes.refused, outcomes.late) == (0, 0), vars(outcomes)
