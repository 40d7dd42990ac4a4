"""Traffic for engines of various speeds that learn, in simulated time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from tests.coordination_builders import LoopClock
from tests.engine_simulation import Outcomes
from tests.engine_simulation import SimulatedEngine
from tests.engine_simulation import run_request
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_prompt_request
from tests.gateway_builders import make_route


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from shallotroad.gateway.exceptions import RefusedError
    from tests.engine_simulation import SimulatedRequest
    from tests.gateway_builders import AdmissionFixture

OVERHEAD_S = 0.026


class EngineTraffic:
    """Requests with prompts of 500 to 12,000 tokens for some simulated engines.

    ``speeds`` has the speed of each engine, relative to about the nominal one.
    """

    def __init__(
        self, *, speeds: Sequence[float], seed: int = 1, learns: bool = True
    ) -> None:
        self.clock = LoopClock()
        self.fixture: AdmissionFixture = make_admission_fixture(
            len(speeds), clock=self.clock
        )
        self.engines = {
            name: SimulatedEngine(speed=speed, overhead_s=OVERHEAD_S)
            for name, speed in zip(
                self.fixture.endpoint_registry.loads, speeds, strict=True
            )
        }
        self.outcomes = Outcomes()
        self._learns = learns
        self._rng = random.Random(seed)
        self._background = [
            asyncio.create_task(engine.run()) for engine in self.engines.values()
        ]
        self._background.append(
            asyncio.create_task(self.fixture.admission.dispatch_periodically())
        )
        self._requests: list[asyncio.Task[RefusedError | None]] = []

    async def send(
        self,
        duration_s: float,
        arrivals_per_s: float,
        *,
        prompt_tokens: Callable[[random.Random], int] = lambda rng: rng.choice(
            (500, 1_000, 2_000, 4_000, 8_000, 12_000)
        ),
        gap_tolerant_share: float = 0.5,
    ) -> None:
        """Send requests for a time."""
        end_s = self.clock() + duration_s
        while self.clock() < end_s:
            number = len(self._requests)
            route = (
                make_gap_tolerant_route(timeout_ms=20_000, max_event_gap_ms=2_000)
                if self._rng.random() < gap_tolerant_share
                else make_route(timeout_ms=20_000, objective_ms=2_000)
            )
            tokens = prompt_tokens(self._rng)
            job = make_gateway_job(
                now_s=self.clock(),
                route=route,
                request=make_prompt_request(
                    f"s{number % 40}", tokens // 4, f"q{number}", tokens - tokens // 4
                )._replace(
                    expected_output_tokens=40,
                    max_output_tokens=80,
                    deadline_ms=20_000.0,
                ),
                engine_model=self.fixture.engine_models.model("chat"),
            )
            self._requests.append(
                asyncio.create_task(
                    run_request(
                        self.fixture,
                        self.engines,
                        job,
                        job.placement_request(self.clock()),
                        self._rng.randint(20, 60),
                        self.outcomes,
                        learns=self._learns,
                    )
                )
            )
            await asyncio.sleep(self._rng.expovariate(arrivals_per_s))

    async def finish(self) -> None:
        """Wait for all requests, and stop the engines."""
        await asyncio.gather(*self._requests)
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)

    def requests_since(self, time_s: float) -> list[SimulatedRequest]:
        """Return the requests placed since a time whose first event has arrived."""
        return [
            request
            for request in self.outcomes.requests
            if request.placed_s >= time_s and request.event_arrived
        ]


def expected_first_event_ms(request: SimulatedRequest) -> float:
    """Return the time to the first event that the placement expected."""
    placement = request.placement
    return (
        placement.backlog_ms
        + placement.prefill_ms
        + placement.model.first_event_overhead_ms
    )


def median_error(requests: Sequence[SimulatedRequest]) -> float:
    """Return the median relative error of the expected times to the first event."""
    errors = sorted(
        abs(expected_first_event_ms(request) / request.first_event_ms - 1)
        for request in requests
    )
    return errors[len(errors) // 2]
