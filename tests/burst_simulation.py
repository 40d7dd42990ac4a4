"""Bursts of requests with long prompts and long answers, in simulated time.

``play_burst`` is one burst whose callers don't return. In a ``TeamSimulation``, callers
of several teams return after a refusal.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import ExitStack
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from unittest.mock import patch

from shallotroad.catalog.configuration import Team
from shallotroad.gateway import admission as admission_module
from shallotroad.gateway.admission import MIN_RETRY_AFTER_S
from shallotroad.gateway.admission import Admission
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.policy.fair_shares import FairShares
from tests.coordination_builders import LoopClock
from tests.engine_simulation import Outcomes
from tests.engine_simulation import SimulatedEngine
from tests.engine_simulation import run_request
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_prompt_request


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from tests.gateway_builders import AdmissionFixture

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


# Share of the objective after which a refusal counts as late.
LATE_REFUSAL_SHARE = 0.25
# Callers wait for at most this share of the time that they have left.
MAX_OBSERVED_RETRY_AFTER_SHARE = 1 / 3
# A caller that ignores its delay tries again after this time, so many times.
IMPATIENT_RETRY_S = 0.05
IMPATIENT_RETRIES = 20


@contextmanager
def without_shares_and_places() -> Iterator[None]:
    """Order the queue by tiers and objectives alone, and refuse only from the queue.

    A refusal has the time that the queue needs as its delay, and reserves nothing.
    """

    def refusal(
        admission: Admission, queued: Any, _: Any, wait_s: float, *__: Any
    ) -> RefusedError:
        retry_after_s = min(wait_s, admission.retry_after_s(queued.request))
        return RefusedError(
            "no room in time", retry_after_s=max(MIN_RETRY_AFTER_S, retry_after_s)
        )

    with ExitStack() as stack:
        for target, name, value in (
            (FairShares, "order", lambda _, waiting, __: waiting),
            (Admission, "_refusal_at_submit", lambda *_: None),
            (Admission, "_refusal", refusal),
            (admission_module, "LATE_TOLERANCE_OBJECTIVE_SHARE", 0.0),
        ):
            stack.enter_context(patch.object(target, name, value))
        yield


class TeamLoad(NamedTuple):
    """The requests of one team.

    ``impatient`` callers ignore the delay of a refusal; the others return once, after
    it. ``burst`` gives another rate from and until a time.
    """

    name: str
    arrivals_per_s: float
    tier: int = 2
    impatient: bool = False
    burst: tuple[float, float, float] | None = None
    route: str = "r2"
    objective_ms: float = 2_500.0
    data_centre: str = "a"

    def rate_per_s(self, time_s: float) -> float:
        if self.burst is not None and self.burst[0] <= time_s < self.burst[1]:
            return self.burst[2]
        return self.arrivals_per_s


class TeamOutcomes(Outcomes):
    """How the callers of one team fared; requests are counted by the base class."""

    def __init__(self) -> None:
        super().__init__()
        self.callers = 0
        self.at_first = 0
        self.served = 0
        self.refused_twice = 0
        self.late_refusals = 0
        self.tries = 0

    @property
    def first_share(self) -> float:
        """Share of the callers that were served at their first attempt."""
        return self.at_first / max(1, self.callers)

    @property
    def served_share(self) -> float:
        """Share of the callers that were served."""
        return self.served / max(1, self.callers)


class TeamSimulation:
    """Callers of several teams at one coordinator."""

    def __init__(self, *, seed: int, engines: int = ENGINES) -> None:
        self._rng = random.Random(seed)
        self.fixture: AdmissionFixture = make_admission_fixture(
            engines, clock=LoopClock()
        )
        self.outcomes: dict[str, TeamOutcomes] = {}
        self.start_engines()

    def start_engines(self) -> None:
        self.engines = {
            name: SimulatedEngine() for name in self.fixture.endpoint_registry.loads
        }
        self._background = [
            asyncio.create_task(engine.run()) for engine in self.engines.values()
        ]
        self._background.append(
            asyncio.create_task(self.fixture.admission.dispatch_periodically())
        )

    def lose_coordinator(self) -> None:
        """Replace the admission by that of a new coordinator, which knows the loads."""
        fixture = make_admission_fixture(len(self.engines), clock=self.fixture.clock)
        registry = self.fixture.endpoint_registry
        fixture.admission._endpoint_registry = registry
        fixture.admission._catalog = self.fixture.catalog
        registry.on_changed = fixture.admission.schedule_dispatch
        self.fixture = self.fixture._replace(admission=fixture.admission)
        self._background.append(
            asyncio.create_task(fixture.admission.dispatch_periodically())
        )

    async def play(
        self, loads: Sequence[TeamLoad], *, for_s: float
    ) -> dict[str, TeamOutcomes]:
        """Send the requests of the teams for a time, and wait for their ends."""
        await asyncio.gather(*(self._play_team(load, for_s) for load in loads))
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        return self.outcomes

    async def _play_team(self, load: TeamLoad, for_s: float) -> None:
        # Each team has its own generator, so that its load does not depend on others'.
        rng = random.Random(f"{load.name} {self._rng.random()}")
        outcomes = self.outcomes.setdefault(load.name, TeamOutcomes())
        clock = self.fixture.clock
        callers: list[asyncio.Task[None]] = []
        started_s = clock()
        number = 0
        while clock() - started_s < for_s:
            rate_per_s = load.rate_per_s(clock() - started_s)
            await asyncio.sleep(rng.expovariate(rate_per_s))
            number += 1
            answer_tokens = rng.randint(100, 380)
            caller = self._play_caller(load, number, answer_tokens, outcomes)
            callers.append(asyncio.create_task(caller))
        await asyncio.gather(*callers)

    async def _play_caller(
        self, load: TeamLoad, number: int, answer_tokens: int, outcomes: TeamOutcomes
    ) -> None:
        clock = self.fixture.clock
        deadline_s = clock() + DEADLINE_MS / 1000
        outcomes.callers += 1
        for attempt in range(1 + (IMPATIENT_RETRIES if load.impatient else 1)):
            refusal = await self._try_once(
                load, number, attempt, answer_tokens, deadline_s, outcomes
            )
            outcomes.tries += 1
            if refusal is None:
                outcomes.served += 1
                outcomes.at_first += attempt == 0
                return
            outcomes.refused_twice += attempt == 1
            remaining_s = deadline_s - clock()
            delay_s = min(
                refusal.retry_after_s, MAX_OBSERVED_RETRY_AFTER_SHARE * remaining_s
            )
            await asyncio.sleep(IMPATIENT_RETRY_S if load.impatient else delay_s)

    async def _try_once(
        self,
        load: TeamLoad,
        number: int,
        attempt: int,
        answer_tokens: int,
        deadline_s: float,
        outcomes: TeamOutcomes,
    ) -> RefusedError | None:
        clock = self.fixture.clock
        name = f"{load.name}-{number}"
        job = make_gateway_job(
            now_s=clock(),
            route=make_gap_tolerant_route(
                name=load.route,
                timeout_ms=DEADLINE_MS,
                objective_ms=load.objective_ms,
                max_event_gap_ms=2_000,
            ),
            data_centre=load.data_centre,
            request=make_prompt_request(
                f"{load.name}-show{number % 4}", 5_400, name, 6_600
            )._replace(
                request_id=f"{name}-{attempt}",
                expected_output_tokens=240,
                max_output_tokens=400,
                deadline_ms=(deadline_s - clock()) * 1000,
            ),
            team=Team(load.name, frozenset({load.name}), load.tier, frozenset()),
        )
        refusal = await run_request(
            self.fixture,
            self.engines,
            job,
            job.placement_request(clock()),
            answer_tokens,
            outcomes,
        )
        waited_s = clock() - job.arrival_s
        if refusal is not None and waited_s > LATE_REFUSAL_SHARE * (
            job.objective_s - job.arrival_s
        ):
            outcomes.late_refusals += 1
        return refusal
