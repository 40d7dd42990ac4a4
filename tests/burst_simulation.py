"""A burst of requests with long prompts and long answers, in simulated time."""

from __future__ import annotations

import asyncio
import random

from tests.coordination_builders import LoopClock
from tests.engine_simulation import Outcomes
from tests.engine_simulation import SimulatedEngine
from tests.engine_simulation import run_request
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_prompt_request


ENGINES = 6
BURST_S = 10.0
DEADLINE_MS = 12_000


async def play_burst(
    *, speed: float, arrivals_per_s: float, seed: int, refuses_early: bool = True
) -> Outcomes:
    """Send requests of 12,000 prompt tokens and 100 to 380 answer tokens.

    Parameters
    ----------
    speed : float
        Speed of the engines.
    refuses_early : bool
        Whether requests that can't be in time are refused before their latest start.
    """
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
        placement_request = job.placement_request(clock())
        if not refuses_early:
            placement_request = placement_request._replace(refusable=False)
        requests.append(
            asyncio.create_task(
                run_request(
                    fixture, engines, job, placement_request, answer_tokens, outcomes
                )
            )
        )
        await asyncio.sleep(rng.expovariate(arrivals_per_s))
    await asyncio.gather(*requests)
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    return outcomes
