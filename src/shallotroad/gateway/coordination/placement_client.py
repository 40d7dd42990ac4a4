"""An entry's side: gets each request an endpoint.

Requests for model engines are placed by the coordinator of their service. If
no coordinator answers, the entry places them itself, by what it knows.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.gateway.coordination.exceptions import CoordinatorLostError
from shallotroad.gateway.coordination.exceptions import DeclinedError
from shallotroad.gateway.coordination.messages import Ask
from shallotroad.gateway.coordination.messages import Decline
from shallotroad.gateway.coordination.messages import Ended
from shallotroad.gateway.coordination.messages import Grant
from shallotroad.gateway.coordination.messages import Hold
from shallotroad.gateway.coordination.messages import OpenWork
from shallotroad.gateway.coordination.messages import Report
from shallotroad.gateway.coordination.messages import Sender
from shallotroad.gateway.coordination.messages import Started
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.event_log import log_event
from shallotroad.policy.placement import Candidate


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.admission import Admission
    from shallotroad.gateway.cache_survey import CacheSurvey
    from shallotroad.gateway.coordination.messages import Message
    from shallotroad.gateway.endpoint_registry import Fleet
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership
    from shallotroad.policy.placement_request import Demand

    Send = Callable[[str, Message], None]

ANSWER_S = 0.1  # a coordinator answers in milliseconds; its process may be busy
ASK_AGAIN_S = 0.3  # while a question is held, to see that the coordinator lives
MOST_UNANSWERED = 2
ASKED_COORDINATORS = 4  # in turn; then the entry decides for itself
TOLD_COORDINATORS = 2  # the first and its successor are told of all open work
MOST_GRANTS = 3  # of endpoints that this entry may not use
SUSPECT_S = 5.0  # by then gossip tells whether a coordinator is dead
REPORT_S = 0.25
ENTRIES_AT_FULL_RATE = 40  # with more, reports are rarer


class Question(NamedTuple):
    """A question that waits for its answer."""

    coordinator: str
    answer: asyncio.Future[Grant]
    heard: asyncio.Event

    def lose(self, why: str) -> None:
        """Let the question go elsewhere."""
        self.heard.set()
        if not self.answer.done():
            self.answer.set_exception(CoordinatorLostError(why))


class Placed(NamedTuple):
    """Open work of this entry, the coordinator that granted it, its service."""

    work: OpenWork
    coordinator: str
    service: str


class Placer:
    """Places jobs through coordinators, and tells them of the open work."""

    def __init__(
        self,
        *,
        admission: Admission,
        fleet: Fleet,
        membership: Membership,
        survey: CacheSurvey,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        self._admission = admission
        self._fleet = fleet
        self._membership = membership
        self._survey = survey
        self._send = send
        self._clock = clock
        self._sender = Sender(membership.name, membership.incarnation)
        self._number = 0
        self._questions: dict[int, Question] = {}
        self._open: dict[int, Placed] = {}
        self._suspects: dict[str, float] = {}
        self._told: set[str] = set()  # who still counts work of this entry

    # Placement

    async def place(self, job: Job) -> Candidate:
        """Return an endpoint for a job; its load already counts the job.

        Raises
        ------
        RefusedError
            When no endpoint had room while there was time to answer.
        """
        begun_s = self._clock()
        try:
            if job.service.engine is None:
                return await self._admission.place(self._demand(job))
            return await self._place_on_engine(job)
        finally:
            job.waited_ms += (self._clock() - begun_s) * 1000

    def _demand(self, job: Job) -> Demand:
        return job.demand(self._clock(), self._fleet.unusable(job.service.name))

    async def _place_on_engine(self, job: Job) -> Candidate:
        service = job.service.name
        for name in self._coordinators(service)[:ASKED_COORDINATORS]:
            if name == self._membership.name:
                await self._survey.listed(service, wait=job.placing.patient)
                break
            try:
                return await self._ask(name, job)
            except DeclinedError as error:
                log_event(
                    "placement declined",
                    coordinator=name,
                    request=job.request.request_id,
                    why=str(error),
                )
                break
            except CoordinatorLostError as error:
                self._suspect(name, job, str(error))
        candidate = await self._admission.place(self._demand(job))
        return self._opened(job, candidate, self._next(), "")

    def _suspect(self, coordinator: str, job: Job, why: str) -> None:
        """Ask a coordinator no more for a while; what it holds is asked elsewhere."""
        now_s = self._clock()
        if self._suspects.get(coordinator, 0.0) > now_s:
            return
        self._suspects[coordinator] = now_s + SUSPECT_S
        asking = [q for q in self._questions.values() if q.coordinator == coordinator]
        for question in asking:
            question.lose("it is lost to another request")
        log_event(
            "coordinator lost",
            coordinator=coordinator,
            service=job.service.name,
            request=job.request.request_id,
            why=why,
            asking=len(asking),
        )

    def _coordinators(self, service: str) -> list[str]:
        now_s = self._clock()
        ranked = self._membership.coordinators(service, now_s)
        return [name for name in ranked if self._suspects.get(name, 0.0) <= now_s]

    def cold_owners(self, service: str) -> list[str]:
        """Return the entries that share what a cold endpoint bears.

        Those cut off from most others must not take the whole for themselves.
        """
        now_s = self._clock()
        membership = self._membership
        if membership.settled(now_s) and membership.majority(now_s):
            return membership.coordinators(service, now_s)[:1]
        return membership.known()

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _opened(
        self, job: Job, candidate: Candidate, number: int, coordinator: str
    ) -> Candidate:
        work = OpenWork(
            number,
            candidate.load.record.identifier,
            round(candidate.prefill_ms, 1),
            job.expected_tokens if job.urgent else 0,
            started=False,
        )
        self._open[number] = Placed(work, coordinator, job.service.name)
        return candidate._replace(number=number)

    async def _ask(self, coordinator: str, job: Job) -> Candidate:
        refused: set[str] = set()
        if coordinator not in self._told:
            self._report_to(coordinator)  # it must not take busy engines for idle
        for _ in range(MOST_GRANTS):
            number = self._next()
            demand = self._demand(job)
            demand = demand._replace(excluded=demand.excluded | refused)
            if not self._fleet.usable(demand):
                raise RefusedError(
                    "no endpoint", retry_after_s=self._admission.retry_after_s(demand)
                )
            grant = await self._wait(coordinator, number, demand)
            load = self._fleet.loads.get(grant.endpoint)
            if load is not None and load in self._fleet.usable(demand):
                return self._take(job, demand, grant, coordinator)
            refused.add(grant.endpoint)
            self._send(coordinator, Ended(self._sender, number, False, 0.0))
        raise DeclinedError("it grants endpoints that can't be used")

    def _take(
        self, job: Job, demand: Demand, grant: Grant, coordinator: str
    ) -> Candidate:
        now_s = self._clock()
        load = self._fleet.loads[grant.endpoint]
        due_s = load.begin(grant.prefill_ms, now_s, urgent_tokens=demand.urgent_tokens)
        load.note_parts(demand.placing.parts)
        candidate = Candidate(
            load=load,
            cost_ms=grant.cost_ms,
            prefill_ms=grant.prefill_ms,
            backlog_ms=grant.backlog_ms,
            cached_tokens=grant.cached_tokens,
            express=grant.express,
            due_s=due_s,
        )
        return self._opened(job, candidate, grant.number, coordinator)

    async def _wait(self, coordinator: str, number: int, demand: Demand) -> Grant:
        """Ask until the coordinator grants an endpoint or falls silent."""
        question = Question(
            coordinator, asyncio.get_running_loop().create_future(), asyncio.Event()
        )
        self._questions[number] = question
        last_s = demand.last_start_s
        unanswered = 0
        granted = False
        try:
            while self._clock() < last_s:
                question.heard.clear()
                self._send(coordinator, Ask(self._sender, number, demand))
                left_s = max(0.0, last_s - self._clock())
                if not await self._heard(question, min(ANSWER_S, left_s)):
                    unanswered += 1
                    if unanswered >= MOST_UNANSWERED:
                        raise CoordinatorLostError("no answer")
                    continue
                unanswered = 0
                await asyncio.wait([question.answer], timeout=min(ASK_AGAIN_S, left_s))
                if question.answer.done():
                    grant = question.answer.result()
                    granted = True
                    return grant
            raise RefusedError(
                "no room in time", retry_after_s=self._admission.retry_after_s(demand)
            )
        finally:
            del self._questions[number]
            if not granted:
                self._send(coordinator, Ended(self._sender, number, False, 0.0))

    async def _heard(self, question: Question, longest_s: float) -> bool:
        try:
            async with asyncio.timeout(longest_s):
                await question.heard.wait()
        except TimeoutError:
            return question.heard.is_set()
        return True

    def answered(self, message: Grant | Hold | Decline) -> None:
        """Take a coordinator's answer."""
        question = self._questions.get(message.number)
        if question is None:
            return  # no longer asked: the next report tells the coordinator
        question.heard.set()
        if question.answer.done():
            return
        if isinstance(message, Grant):
            question.answer.set_result(message)
        elif isinstance(message, Decline):
            kind = CoordinatorLostError if message.leaving else DeclinedError
            question.answer.set_exception(kind(message.reason))

    # Open work

    def started(self, candidate: Candidate, first_event_ms: float) -> None:
        """Tell that an endpoint has begun to answer."""
        self._admission.pump_soon()
        placed = self._open.get(candidate.number)
        if placed is None:
            return
        work = placed.work._replace(started=True)
        self._open[candidate.number] = placed._replace(work=work)
        if placed.coordinator:
            message = Started(self._sender, candidate.number, first_event_ms)
            self._send(placed.coordinator, message)

    def ended(
        self, candidate: Candidate, *, success: bool, failure: float = 0.0
    ) -> None:
        """Tell that a request has ended at its endpoint."""
        self._admission.pump_soon()
        placed = self._open.pop(candidate.number, None)
        if placed is not None and placed.coordinator:
            message = Ended(self._sender, candidate.number, success, failure)
            self._send(placed.coordinator, message)

    def report(self) -> None:
        """Tell the coordinators of each service, and who follows them, all work."""
        services = {placed.service for placed in self._open.values()}
        targets = {q.coordinator for q in self._questions.values()}
        for service in services:
            targets |= set(self._coordinators(service)[:TOLD_COORDINATORS])
        targets.discard(self._membership.name)
        for name in targets | self._told:
            self._report_to(name)
        self._told = targets

    def _report_to(self, name: str) -> None:
        work = tuple(placed.work for placed in self._open.values())
        self._send(name, Report(self._sender, work, tuple(self._questions)))
        self._told.add(name)

    async def report_regularly(self) -> None:
        """Report until cancelled."""
        while True:
            entries = len(self._membership.live(self._clock()))
            await asyncio.sleep(REPORT_S * max(1.0, entries / ENTRIES_AT_FULL_RATE))
            self.report()
