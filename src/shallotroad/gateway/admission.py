"""Work that waits at the entry, by tier and objective, until an endpoint has room.

Prompts wait here and not in an engine's queue: there they would delay the
first events and the tokens of more urgent requests.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.policy.placement import Candidate
from shallotroad.policy.placement import rank_engines


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.catalogue import Catalogue
    from shallotroad.gateway.fleet import Fleet
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership
    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.cold_start import ColdStart
    from shallotroad.policy.endpoint_load import EndpointLoad

BACKLOG_MS = 350.0  # prompts an engine may have waiting before less urgent work waits
DEBT_GROWTH = 0.6  # of the time waited; no prompt waits long for a quiet engine
DEBT_MS = 400.0  # reading time ahead of its share at which patient prompts wait
URGENT_BACKLOG_SHARE = (
    0.8  # of the objective; above it another engine or a wait is better
)
EXPRESS_AFTER_SHARE = 0.6  # of the objective; then a patient stream may go anywhere
LAST_START_SHARE = 0.5  # of the time left; the other half is for the answer
PUMP_S = 0.05
MOST_WAITING = 2_000
SHORTEST_RETRY_S = 0.2
LONGEST_RETRY_S = 3.0
RETRY_SHARE = 0.3  # of the time left; callers wait at most a third of it


class Waiter(NamedTuple):
    """A job that waits, and where its placement is awaited."""

    job: Job
    placed: asyncio.Future[Candidate]
    since_s: float


class Admission:
    """Places jobs on endpoints, or holds them while none has room."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        catalogue: Catalogue,
        membership: Membership,
        cold_start: ColdStart,
        placed: Callable[[str, tuple[PromptPart, ...]], None],
        reuse_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._reuse_s = reuse_s
        self._placed = placed
        self._fleet = fleet
        self._catalogue = catalogue
        self._membership = membership
        self._cold_start = cold_start
        self._clock = clock
        self._waiting: list[Waiter] = []
        fleet.changed = self.pump

    @property
    def waiting(self) -> int:
        """Number of jobs that wait."""
        return len(self._waiting)

    async def place(self, job: Job) -> Candidate:
        """Return an endpoint for a job; its load already counts the job.

        Raises
        ------
        RefusedError
            When no endpoint had room while there was time to answer.
        """
        now_s = self._clock()
        self.pump()  # what waits and is more urgent goes first
        candidate = self._try(job)
        if candidate is not None:
            return candidate
        if not self._fleet.usable(job, self._catalogue):
            raise RefusedError("no endpoint", retry_after_s=self._retry_after_s(job))
        if len(self._waiting) >= MOST_WAITING:
            raise RefusedError("queue full", retry_after_s=self._retry_after_s(job))
        return await self._wait(job, now_s)

    async def _wait(self, job: Job, now_s: float) -> Candidate:
        """Wait until the job is placed, at most for a share of its time."""
        placed: asyncio.Future[Candidate] = asyncio.get_running_loop().create_future()
        waiter = Waiter(job, placed, now_s)
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(LAST_START_SHARE * (job.end_s - now_s)):
                return await placed
        except TimeoutError:
            if placed.done() and not placed.cancelled():
                return placed.result()  # placed in the moment of the timeout
            raise RefusedError(
                "no room in time", retry_after_s=self._retry_after_s(job)
            ) from None
        except asyncio.CancelledError:
            if placed.done() and not placed.cancelled():
                unused = placed.result()
                unused.load.end(unused.due_s, started=False, now_s=self._clock())
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            job.waited_ms += (self._clock() - now_s) * 1000

    def _retry_after_s(self, job: Job) -> float:
        """Return when a caller may come back with time left to be answered."""
        left_s = job.deadline_s - self._clock()
        return max(SHORTEST_RETRY_S, min(LONGEST_RETRY_S, RETRY_SHARE * left_s))

    def pump(self) -> None:
        """Place what waits, the most urgent tier first, then by objective."""
        if not self._waiting:
            return
        now_s = self._clock()
        order = sorted(self._waiting, key=lambda w: w.job.urgency(now_s))
        for waiter in order:
            if waiter.placed.done():
                continue
            candidate = self._try(waiter.job)
            if candidate is not None:
                waiter.placed.set_result(candidate)

    async def pump_regularly(self) -> None:
        """Look again now and then: backlogs and cold starts end by themselves."""
        while True:
            await asyncio.sleep(PUMP_S)
            self.pump()

    def _try(self, job: Job) -> Candidate | None:
        now_s = self._clock()
        loads = self._fleet.usable(job, self._catalogue)
        express = self._fleet.express(job.service) if job.streams else frozenset()
        ranked = rank_engines(job.placing, loads, now_s, express, reuse_s=self._reuse_s)
        for candidate in ranked:
            load = candidate.load
            if load.all_running(now_s) >= load.record.slots:
                continue
            if not self._has_room(job, candidate, now_s):
                # The cost counts the wait: elsewhere would cost still more.
                return None
            if self._permitted(job, load, now_s):
                return self._begin(job, candidate, now_s)
        return None

    def _begin(self, job: Job, candidate: Candidate, now_s: float) -> Candidate:
        load = candidate.load
        tokens = job.expected_tokens if job.urgent else 0
        due_s = load.begin(candidate.prefill_ms, now_s, urgent_tokens=tokens)
        if job.service.engine is not None:
            load.memory_tokens = job.service.engine.memory_tokens
            load.note_parts(job.placing.parts, now_s)
            self._placed(load.record.identifier, job.placing.parts)
        return candidate._replace(due_s=due_s)

    def _has_room(self, job: Job, candidate: Candidate, now_s: float) -> bool:
        load = candidate.load
        if job.service.engine is None:
            return True
        waited_ms = (now_s - job.arrival_s) * 1000
        if job.patient and candidate.express:
            return (
                candidate.backlog_ms <= 0
                and waited_ms > EXPRESS_AFTER_SHARE * job.route.objective_ms
            )
        debt_limit_ms = DEBT_MS + DEBT_GROWTH * waited_ms
        if job.patient and load.debt_ms(now_s) > debt_limit_ms:
            return False
        limit_ms = min(BACKLOG_MS, URGENT_BACKLOG_SHARE * job.route.objective_ms)
        return candidate.backlog_ms <= limit_ms

    def _permitted(self, job: Job, load: EndpointLoad, now_s: float) -> bool:
        if now_s >= load.cold_until_s or job.service.cold_requests_per_s <= 0:
            return True
        return self._cold_start.permit(
            load.record.identifier,
            per_s=job.service.cold_requests_per_s,
            entries=self._membership.live(now_s),
            now_s=now_s,
        )
