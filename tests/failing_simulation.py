"""Engines that fail a share of the requests that they run, in simulated time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.policy.failing_endpoints import Fault
from tests.coordination_builders import LoopClock
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_prompt_request
from tests.gateway_builders import make_route


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.catalog.configuration import Route
    from shallotroad.gateway.job import Job
    from shallotroad.policy.placement import Placement
    from shallotroad.policy.placement_request import PlacementRequest

FAILURE_SHARE = 0.45
# A failed request gets its 500 after the prefill, an answered one takes longer.
PREFILL_S = (0.1, 0.3)
DECODE_S = (0.8, 2.5)
# Callers that retry after a refusal, once, and those of them that do not wait.
RETRYING_SHARE = 0.85
IMPATIENT_SHARE = 0.1
ROUTES = (
    ("live", make_route(max_event_gap_ms=250)),
    ("digest", make_gap_tolerant_route(timeout_ms=12_000)),
    (
        "repeatable",
        make_route(name="r3", resumable=True, max_attempts=2, max_event_gap_ms=250),
    ),
)


class FailingSimulation:
    """One gateway that places requests on engines, and the callers.

    Attributes
    ----------
    failing : dict of str to float
        Share of the requests that an engine fails; 0 if it has none.
    runs : Counter
        Number of runs of each request, by its identifier.
    ends : Counter
        Number of callers by route and end: "whole", "late", "failed", "refused".
    arrivals : list of tuple
        Time since the begin and engine of each run.
    """

    def __init__(
        self, *, engines: int, seed: int, weights: Sequence[float] = (0.45, 0.45, 0.1)
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = LoopClock()
        self.fixture = make_admission_fixture(engines, clock=self.clock)
        self.registry = self.fixture.endpoint_registry
        self.failing: dict[str, float] = dict.fromkeys(self.registry.loads, 0.0)
        self.usual_share = 0.004
        self.weights = weights
        self.runs: Counter[str] = Counter()
        self.ends: Counter[tuple[str, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.refused_after_run = 0
        self.arrivals: list[tuple[float, str]] = []
        self._dispatcher = asyncio.create_task(
            self.fixture.admission.dispatch_periodically()
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._count = 0
        self._began_s = self.clock()

    async def send_load(self, *, per_s: float, for_s: float) -> None:
        """Send requests of random routes at random times."""
        end_s = self.clock() + for_s
        while self.clock() < end_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            name, route = self.rng.choices(ROUTES, self.weights)[0]
            self._count += 1
            caller = f"{name}{self._count}"
            self._tasks.append(asyncio.create_task(self._call(name, route, caller)))

    def fail(self, share: float, *, names: Sequence[str] | None = None) -> None:
        """Let engines fail a share of their requests from now on."""
        for name in self.failing if names is None else names:
            self.failing[name] = share

    async def close(self) -> None:
        """Wait for all callers."""
        await asyncio.gather(*self._tasks)
        self._dispatcher.cancel()
        await asyncio.gather(self._dispatcher, return_exceptions=True)

    async def _call(self, name: str, route: Route, caller: str) -> None:
        """Send a request, and once more if it is refused and its caller retries."""
        began_s = self.clock()
        deadline_s = began_s + route.timeout_ms / 1000
        may_retry = self.rng.random() < RETRYING_SHARE
        impatient = self.rng.random() < IMPATIENT_SHARE
        for number in range(2):
            job = self._job(route, caller, deadline_s)
            try:
                end = await self._serve(job, f"{caller}.{number}")
                break
            except RefusedError as error:
                end = "refused"
                self.refusals[caller] += 1
                if self.runs[f"{caller}.{number}"]:
                    self.refused_after_run += 1
                if number or not may_retry:
                    break
                third_s = (deadline_s - self.clock()) / 3
                delay_s = 0.01 if impatient else min(third_s, error.retry_after_s)
                await asyncio.sleep(delay_s)
        self.ends[name, end] += 1

    def _job(self, route: Route, caller: str, deadline_s: float) -> Job:
        request = make_prompt_request("shared", 300, caller, 300)
        left_ms = (deadline_s - self.clock()) * 1000
        request = request._replace(deadline_ms=left_ms)
        return make_gateway_job(route=route, now_s=self.clock(), request=request)

    async def _serve(self, job: Job, run: str) -> str:
        """Run a job as the forwarder does; return how it ended."""
        while True:
            placement_request = job.placement_request(self.clock())
            placement = await self._place(job, placement_request)
            failed = await self._attempt(job, placement, run)
            if not failed:
                return "whole" if self.clock() <= job.deadline_s else "late"
            job.possible_runs += 1
            job.excluded.add(placement.load.record.identifier)
            if not job.route.repeatable or job.possible_runs >= job.route.max_attempts:
                return "failed"

    async def _place(self, job: Job, request: PlacementRequest) -> Placement:
        try:
            return await self.fixture.admission.place(request)
        except RefusedError:
            if job.possible_runs:
                raise AssertionError("a request that may have run is refused") from None
            raise

    async def _attempt(self, job: Job, placement: Placement, run: str) -> bool:
        """Run a job at an engine; return whether that failed it."""
        self.runs[run] += 1
        load = placement.load
        name = load.record.identifier
        at_s = round(self.clock() - self._began_s, 6)
        self.arrivals.append((at_s, name))
        share = max(self.usual_share, self.failing[name])
        failed = self.rng.random() < share
        await asyncio.sleep(self.rng.uniform(*PREFILL_S))
        load.record_first_event(placement.due_s, self.clock())
        if failed:
            load.record_failure(self.clock(), fault=Fault.ERROR)
        else:
            await asyncio.sleep(self.rng.uniform(*DECODE_S))
            load.record_success(self.clock())
        load.record_end(placement.due_s, started=True, now_s=self.clock())
        self.fixture.admission.schedule_dispatch()
        return failed

    def lost_share(self, routes: Sequence[str] = ("live", "digest")) -> float:
        """Return the share of callers without a complete answer in time."""
        counts = {k: n for k, n in self.ends.items() if k[0] in routes}
        lost = sum(n for (_, end), n in counts.items() if end != "whole")
        return lost / max(1, sum(counts.values()))
