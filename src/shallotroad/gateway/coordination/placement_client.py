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
from shallotroad.gateway.coordination.messages import Decline
from shallotroad.gateway.coordination.messages import Ended
from shallotroad.gateway.coordination.messages import Grant
from shallotroad.gateway.coordination.messages import InFlightRequest
from shallotroad.gateway.coordination.messages import Queued
from shallotroad.gateway.coordination.messages import Report
from shallotroad.gateway.coordination.messages import Sender
from shallotroad.gateway.coordination.messages import Started
from shallotroad.gateway.coordination.messages import Submit
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.event_log import log_event
from shallotroad.policy.placement import Placement


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.admission import Admission
    from shallotroad.gateway.cache_survey import CacheSurvey
    from shallotroad.gateway.coordination.messages import Message
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership
    from shallotroad.policy.placement_request import PlacementRequest

    Send = Callable[[str, Message], None]

REPLY_TIMEOUT_S = 0.1  # a coordinator answers in milliseconds; its process may be busy
RESUBMIT_INTERVAL_S = 0.3  # while a question is held, to see that the coordinator lives
MAX_UNANSWERED = 2
MAX_COORDINATORS_TRIED = 4  # in turn; then the entry decides for itself
REPORTED_COORDINATORS = 2  # the first and its successor are told of all open work
MAX_GRANTS = 3  # of endpoints that this entry may not use
COORDINATOR_AVOIDANCE_S = 5.0  # by then gossip tells whether a coordinator is dead
REPORT_INTERVAL_S = 0.25
GATEWAYS_AT_FULL_RATE = 40  # with more, reports are rarer


class PendingPlacement(NamedTuple):
    """A question that waits for its answer."""

    coordinator: str
    grant: asyncio.Future[Grant]
    replied: asyncio.Event

    def fail(self, why: str) -> None:
        """Let the question go elsewhere."""
        self.replied.set()
        if not self.grant.done():
            self.grant.set_exception(CoordinatorLostError(why))


class PlacedRequest(NamedTuple):
    """Open work of this entry, the coordinator that granted it, its service."""

    in_flight: InFlightRequest
    coordinator: str
    service: str


class PlacementClient:
    """Places jobs through coordinators, and tells them of the open work."""

    def __init__(
        self,
        *,
        admission: Admission,
        endpoint_registry: EndpointRegistry,
        membership: Membership,
        survey: CacheSurvey,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        self._admission = admission
        self._endpoint_registry = endpoint_registry
        self._membership = membership
        self._survey = survey
        self._send = send
        self._clock = clock
        self._sender = Sender(membership.name, membership.incarnation)
        self._number = 0
        self._pending: dict[int, PendingPlacement] = {}
        self._in_flight: dict[int, PlacedRequest] = {}
        self._lost_until_s: dict[str, float] = {}
        self._reported_to: set[str] = set()  # who still counts work of this entry

    # Placement

    async def place(self, job: Job) -> Placement:
        """Return an endpoint for a job; its load already counts the job.

        Raises
        ------
        RefusedError
            When no endpoint had room while there was time to answer.
        """
        started_s = self._clock()
        try:
            if job.service.engine is None:
                return await self._admission.place(self._placement_request(job))
            return await self._place_on_engine(job)
        finally:
            job.waited_ms += (self._clock() - started_s) * 1000

    def _placement_request(self, job: Job) -> PlacementRequest:
        return job.placement_request(
            self._clock(), self._endpoint_registry.unusable_endpoints(job.service.name)
        )

    async def _place_on_engine(self, job: Job) -> Placement:
        service = job.service.name
        for name in self._coordinators(service)[:MAX_COORDINATORS_TRIED]:
            if name == self._membership.name:
                await self._survey.refresh_and_wait(
                    service, wait=job.profile.gap_tolerant
                )
                break
            try:
                return await self._submit_to(name, job)
            except DeclinedError as error:
                log_event(
                    "placement declined",
                    coordinator=name,
                    request=job.request.request_id,
                    why=str(error),
                )
                break
            except CoordinatorLostError as error:
                self._mark_lost(name, job, str(error))
        placement = await self._admission.place(self._placement_request(job))
        return self._track(job, placement, self._next_number(), "")

    def _mark_lost(self, coordinator: str, job: Job, why: str) -> None:
        """Ask a coordinator no more for a while; what it holds is asked elsewhere."""
        now_s = self._clock()
        if self._lost_until_s.get(coordinator, 0.0) > now_s:
            return
        self._lost_until_s[coordinator] = now_s + COORDINATOR_AVOIDANCE_S
        affected = [q for q in self._pending.values() if q.coordinator == coordinator]
        for pending in affected:
            pending.fail("it is lost to another request")
        log_event(
            "coordinator lost",
            coordinator=coordinator,
            service=job.service.name,
            request=job.request.request_id,
            why=why,
            asking=len(affected),
        )

    def _coordinators(self, service: str) -> list[str]:
        now_s = self._clock()
        ranked = self._membership.coordinators(service, now_s)
        return [name for name in ranked if self._lost_until_s.get(name, 0.0) <= now_s]

    def cold_owners(self, service: str) -> list[str]:
        """Return the entries that share what a cold endpoint bears.

        Those cut off from most others must not take the whole for themselves.
        """
        now_s = self._clock()
        membership = self._membership
        if membership.has_converged(now_s) and membership.sees_majority(now_s):
            return membership.coordinators(service, now_s)[:1]
        return membership.known()

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _track(
        self, job: Job, placement: Placement, number: int, coordinator: str
    ) -> Placement:
        in_flight = InFlightRequest(
            number,
            placement.load.record.identifier,
            round(placement.prefill_ms, 1),
            job.expected_tokens if job.gap_sensitive else 0,
            started=False,
        )
        self._in_flight[number] = PlacedRequest(
            in_flight, coordinator, job.service.name
        )
        return placement._replace(number=number)

    async def _submit_to(self, coordinator: str, job: Job) -> Placement:
        unusable: set[str] = set()
        if coordinator not in self._reported_to:
            self._report_to(coordinator)  # it must not take busy engines for idle
        for _ in range(MAX_GRANTS):
            number = self._next_number()
            placement_request = self._placement_request(job)
            placement_request = placement_request._replace(
                excluded=placement_request.excluded | unusable
            )
            if not self._endpoint_registry.usable_loads(placement_request):
                raise RefusedError(
                    "no endpoint",
                    retry_after_s=self._admission.retry_after_s(placement_request),
                )
            grant = await self._wait_for_grant(coordinator, number, placement_request)
            load = self._endpoint_registry.loads.get(grant.endpoint)
            if load is not None and load in self._endpoint_registry.usable_loads(
                placement_request
            ):
                return self._accept_grant(job, placement_request, grant, coordinator)
            unusable.add(grant.endpoint)
            self._send(coordinator, Ended(self._sender, number, False, 0.0))
        raise DeclinedError("it grants endpoints that can't be used")

    def _accept_grant(
        self,
        job: Job,
        placement_request: PlacementRequest,
        grant: Grant,
        coordinator: str,
    ) -> Placement:
        now_s = self._clock()
        load = self._endpoint_registry.loads[grant.endpoint]
        due_s = load.record_dispatch(
            grant.prefill_ms,
            now_s,
            gap_sensitive_tokens=placement_request.gap_sensitive_tokens,
        )
        load.record_parts(placement_request.profile.parts)
        placement = Placement(
            load=load,
            cost_ms=grant.cost_ms,
            prefill_ms=grant.prefill_ms,
            backlog_ms=grant.backlog_ms,
            cached_tokens=grant.cached_tokens,
            reserved=grant.reserved,
            due_s=due_s,
        )
        return self._track(job, placement, grant.number, coordinator)

    async def _wait_for_grant(
        self, coordinator: str, number: int, placement_request: PlacementRequest
    ) -> Grant:
        """Ask until the coordinator grants an endpoint or falls silent."""
        pending = PendingPlacement(
            coordinator, asyncio.get_running_loop().create_future(), asyncio.Event()
        )
        self._pending[number] = pending
        last_start_s = placement_request.last_start_s
        unanswered = 0
        granted = False
        try:
            while self._clock() < last_start_s:
                pending.replied.clear()
                self._send(coordinator, Submit(self._sender, number, placement_request))
                remaining_s = max(0.0, last_start_s - self._clock())
                if not await self._wait_for_reply(
                    pending, min(REPLY_TIMEOUT_S, remaining_s)
                ):
                    unanswered += 1
                    if unanswered >= MAX_UNANSWERED:
                        raise CoordinatorLostError("no answer")
                    continue
                unanswered = 0
                await asyncio.wait(
                    [pending.grant], timeout=min(RESUBMIT_INTERVAL_S, remaining_s)
                )
                if pending.grant.done():
                    grant = pending.grant.result()
                    granted = True
                    return grant
            raise RefusedError(
                "no room in time",
                retry_after_s=self._admission.retry_after_s(placement_request),
            )
        finally:
            del self._pending[number]
            if not granted:
                self._send(coordinator, Ended(self._sender, number, False, 0.0))

    async def _wait_for_reply(
        self, pending: PendingPlacement, timeout_s: float
    ) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await pending.replied.wait()
        except TimeoutError:
            return pending.replied.is_set()
        return True

    def answered(self, message: Grant | Queued | Decline) -> None:
        """Take a coordinator's answer."""
        pending = self._pending.get(message.number)
        if pending is None:
            return  # no longer asked: the next report tells the coordinator
        pending.replied.set()
        if pending.grant.done():
            return
        if isinstance(message, Grant):
            pending.grant.set_result(message)
        elif isinstance(message, Decline):
            kind = CoordinatorLostError if message.draining else DeclinedError
            pending.grant.set_exception(kind(message.reason))

    # Open work

    def started(self, placement: Placement, first_event_ms: float) -> None:
        """Tell that an endpoint has begun to answer."""
        self._admission.schedule_dispatch()
        placed = self._in_flight.get(placement.number)
        if placed is None:
            return
        in_flight = placed.in_flight._replace(started=True)
        self._in_flight[placement.number] = placed._replace(in_flight=in_flight)
        if placed.coordinator:
            message = Started(self._sender, placement.number, first_event_ms)
            self._send(placed.coordinator, message)

    def ended(
        self, placement: Placement, *, success: bool, failure: float = 0.0
    ) -> None:
        """Tell that a request has ended at its endpoint."""
        self._admission.schedule_dispatch()
        placed = self._in_flight.pop(placement.number, None)
        if placed is not None and placed.coordinator:
            message = Ended(self._sender, placement.number, success, failure)
            self._send(placed.coordinator, message)

    def report(self) -> None:
        """Tell the coordinators of each service, and who follows them, all work."""
        services = {placed.service for placed in self._in_flight.values()}
        targets = {q.coordinator for q in self._pending.values()}
        for service in services:
            targets |= set(self._coordinators(service)[:REPORTED_COORDINATORS])
        targets.discard(self._membership.name)
        for name in targets | self._reported_to:
            self._report_to(name)
        self._reported_to = targets

    def _report_to(self, name: str) -> None:
        in_flight = tuple(placed.in_flight for placed in self._in_flight.values())
        self._send(name, Report(self._sender, in_flight, tuple(self._pending)))
        self._reported_to.add(name)

    async def report_periodically(self) -> None:
        """Report until cancelled."""
        while True:
            gateways = len(self._membership.live(self._clock()))
            await asyncio.sleep(
                REPORT_INTERVAL_S * max(1.0, gateways / GATEWAYS_AT_FULL_RATE)
            )
            self.report()
