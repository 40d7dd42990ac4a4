"""A burst of requests with long prompts and long answers for the time they have.

Prefill slows the streams beside it. If engines prefill nearly all the time, all
requests start and few become whole before their callers leave: work is wasted that
could have served a part of them. So engines leave time for decode, and a request whose
answer would not be whole is refused before it runs.
"""

from __future__ import annotations

import pytest

from tests.burst_simulation import play_burst
from tests.virtual_time import VirtualTimePolicy


ARRIVALS_PER_S = 60.0
# Fewer than one in twenty admitted answers may miss its caller's limit.
MAX_CUT_SHARE = 0.05
# Engines that can serve the whole burst refuse fewer than one in twenty.
MAX_REFUSED_SHARE = 0.05


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("speed", [0.5, 1.0, 2.0])
async def test_few_admitted_answers_are_cut_by_their_callers_deadline(
    speed: float, seed: int
) -> None:
    arrivals_per_s = ARRIVALS_PER_S * max(1.0, speed)  # more than the engines can serve
    outcomes = await play_burst(speed=speed, arrivals_per_s=arrivals_per_s, seed=seed)
    assert outcomes.refused > 0
    assert outcomes.cut_share < MAX_CUT_SHARE, vars(outcomes)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_engines_of_double_speed_serve_the_burst(seed: int) -> None:
    outcomes = await play_burst(speed=2.0, arrivals_per_s=ARRIVALS_PER_S, seed=seed)
    assert outcomes.cut_share < MAX_CUT_SHARE, vars(outcomes)
    assert outcomes.refused_share < MAX_REFUSED_SHARE, vars(outcomes)


async def test_without_a_burst_none_is_refused_or_cut() -> None:
    outcomes = await play_burst(speed=1.0, arrivals_per_s=4.0, seed=1)
    assert (outcomes.refused, outcomes.cut) == (0, 0)
