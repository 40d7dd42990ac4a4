"""A burst of requests with long prompts and long answers for the time they have.

Prefill slows the streams beside it. If engines prefill nearly all the time, all
requests start and few become whole before their callers leave: work is wasted that
could have served a part of them. So engines leave time for decode, and a request whose
answer would not be whole is refused before it runs.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.coordination_builders import LoopClock
from tests.engine_simulation import Outcomes
from tests.engine_simulation import SimulatedEngine
from tests.engine_simulation import run_request
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_prompt_request
from tests.virtual_time import VirtualTimePolicy


ENGINES = 6
BURST_S = 10.0
ARRIVALS_PER_S = 60.0
DEADLINE_MS = 12_000
# Fewer than one in twenty admitted answers may miss its caller's limit.
MAX_CUT_SHARE = 0.05
# Engines that can serve the whole burst refuse fewer than one in twenty.
MAX_REFUSED_SHARE = 0.05


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


async def play_burst(*, speed: float, arrivals_per_s: float, seed: int) -> Outcomes:
    """Send requests of 12,000 prompt tokens and 100 to 380 answer tokens."""
    rng = random.Random(seed)
    clock = LoopClock()
    fixture = make_admission_fixture(ENGINES, clock=clock)
    engines = {
        name: SimulatedEngine(speed=speed) for name in fixture.endpoint_registry.loads
    }
    background = [asyncio.create_task(engine.run()) for engine in engines.values()]
    background.append(asyncio.create_task(fixture.admission.dispatch_periodically()))
    outcomes = Outcomes()
    requests = []
    route = make_gap_tolerant_route(timeout_ms=DEADLINE_MS, max_event_gap_ms=2_000)
    for number in range(int(BURST_S * arrivals_per_s)):
        answer_tokens = rng.randint(100, 380)
        job = make_gateway_job(
            now_s=clock(),
            route=route,
            request=make_prompt_request(
                f"show{number % 4}", 5_400, f"q{number}", 6_600
            )._replace(
                expected_output_tokens=240,
                max_output_tokens=400,
                deadline_ms=float(DEADLINE_MS),
            ),
        )
        requests.append(
            asyncio.create_task(
                run_request(fixture, engines, job, answer_tokens, outcomes)
            )
        )
        await asyncio.sleep(rng.expovariate(arrivals_per_s))
    await asyncio.gather(*requests)
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    return outcomes


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
