"""Client of the coordinators: obtains an endpoint for each job of this gateway.

Requests for model engines are placed by the coordinator of a cell (``policy.cells``).
If no coordinator replies or it declines, the gateway places them itself, by its own
view of the load. If a cell has no room, another cell is asked. Requests for other
services are placed here, unless an endpoint of the service limits what it takes from
all gateways together.
"""

from __future__ import annotations

import asyncio
import math
from itertools import islice
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.gateway.coordination.exceptions import CoordinatorLostError
from shallotroad.gateway.coordination.exceptions import DeclinedError
from shallotroad.gateway.coordination.messages import Decline
from shallotroad.gateway.coordination.messages import Ended
from shallotroad.gateway.coordination.messages import Grant
from shallotroad.gateway.coordination.messages import InFlightRequest
from shallotroad.gateway.coordination.messages import Queued
from shallotroad.gateway.coordination.messages import Refuse
from shallotroad.gateway.coordination.messages import Report
from shallotroad.gateway.coordination.messages import Sender
from shallotroad.gateway.coordination.messages import Started
from shallotroad.gateway.coordination.messages import Submit
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.event_log import log_event
from shallotroad.policy.cells import Cell
from shallotroad.policy.cells import rank_cells
from shallotroad.policy.decode_pace import StreamPace
from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.engine_model import StepTimer
from shallotroad.policy.failing_endpoints import Fault
from shallotroad.policy.placement import Placement


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.admission import Admission
    from shallotroad.gateway.cache_survey import CacheSurvey
    from shallotroad.gateway.coordination.messages import Message
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.gateway.engine_models import EngineModels
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement_request import PlacementRequest

    Send = Callable[[str, Message], None]

# A coordinator replies within milliseconds, but its process may be busy.
REPLY_TIMEOUT_S = 0.1
# Resubmitting a queued request shows whether the coordinator is still alive.
RESUBMIT_INTERVAL_S = 0.3
MAX_UNANSWERED_SUBMISSIONS = 2
# If none of these coordinators replies, the gateway places the request itself.
MAX_COORDINATORS_TRIED = 4
# A request is passed on to at most so many cells.
MAX_CELLS_TRIED = 2
# Share of its objective for which a request waits in a cell before it asks another one.
CELL_WAIT_OBJECTIVE_SHARE = 0.4
# A cell without room is asked last for this long.
FULL_CELL_AVOIDANCE_S = 0.5
# The first coordinator of a cell and its successor receive reports.
REPORTED_COORDINATORS = 2
# After so many grants of unusable endpoints, the gateway places the request itself.
MAX_GRANT_ATTEMPTS = 3
# By then gossip shows whether a coordinator is dead.
COORDINATOR_AVOIDANCE_S = 5.0
REPORT_INTERVAL_S = 0.25
# With more gateways for each coordinator, the report interval grows in proportion.
MAX_GATEWAYS_AT_FULL_REPORT_RATE = 40


class PendingPlacement(NamedTuple):
    """A placement request that waits for a coordinator's grant.

    ``replied`` is set by any reply to the latest submission, also by ``Queued``.
    """

    coordinator: str
    cell: Cell
    grant: asyncio.Future[Grant]
    replied: asyncio.Event

    def fail(self, reason: str) -> None:
        """End the wait with ``CoordinatorLostError``, so that the next one is tried."""
        self.replied.set()
        if not self.grant.done():
            self.grant.set_exception(CoordinatorLostError(reason))


class PlacedRequest(NamedTuple):
    """A request in flight to an engine.

    ``coordinator`` granted the endpoint; it is empty if this gateway chose it.
    ``pace`` has the events of its stream; None unless that is gap-tolerant. ``steps``
    has those of any stream of an engine.
    """

    request: InFlightRequest
    coordinator: str
    load: EndpointLoad
    pace: StreamPace | None
    steps: StepTimer | None


class PlacementClient:
    """Places jobs through coordinators and reports this gateway's requests to them.

    A coordinator that does not reply is avoided for ``COORDINATOR_AVOIDANCE_S``.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        endpoint_registry: EndpointRegistry,
        membership: Membership,
        survey: CacheSurvey,
        engine_models: EngineModels,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        self._admission = admission
        self._endpoint_registry = endpoint_registry
        self._membership = membership
        self._survey = survey
        self._engine_models = engine_models
        self._send = send
        self._clock = clock
        self._sender = Sender(membership.name, membership.incarnation)
        self._last_number = 0
        self._pending: dict[int, PendingPlacement] = {}
        self._in_flight: dict[int, PlacedRequest] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._full_until_s: dict[Cell, float] = {}
        # Coordinators that still count requests of this gateway, and in which cells.
        self._reported_to: dict[str, set[Cell]] = {}

    # Placement

    async def place(self, job: Job) -> Placement:
        """Return the placement of a job, whose endpoint's load already counts the job.

        The time that this takes is added to ``job.waited_ms``.

        Raises
        ------
        RefusedError
            When no endpoint may serve it, too many requests are queued, or none
            had room before the job's last start time.
        """
        started_s = self._clock()
        try:
            service = job.service
            self._check_quiet(job)
            if service.engine is None and not self._endpoint_registry.states_limit(
                service.name
            ):
                every_endpoint = Cell(service.name)
                return await self._admission.place(
                    self._placement_request(job, every_endpoint)
                )
            return await self._place_by_coordinator(job)
        finally:
            job.waited_ms += (self._clock() - started_s) * 1000

    def _check_quiet(self, job: Job) -> None:
        """Refuse a job if all endpoints want nothing from this gateway.

        Another gateway may still serve it, so its caller need not wait for longer than
        is of use.
        """
        every_endpoint = Cell(job.service.name)
        quiet_s = self._endpoint_registry.quiet_s(every_endpoint)
        if quiet_s:
            request = self._placement_request(job, every_endpoint)
            retry_after_s = min(quiet_s, self._admission.retry_after_s(request))
            raise RefusedError(
                "endpoints want no requests", retry_after_s=retry_after_s
            )

    def _placement_request(self, job: Job, cell: Cell) -> PlacementRequest:
        request = job.placement_request(
            self._clock(), self._endpoint_registry.unusable_endpoints(cell)
        )
        return request._replace(cell_name=cell.name)

    def _ranked_cells(self, job: Job) -> list[Cell]:
        """Return the cells to ask for a job, at least one, the preferred one first.

        Cells without a usable engine are left out, and those that had no room a moment
        ago come last.
        """
        service = job.service.name
        cells = self._endpoint_registry.cells(service)
        if len(cells.names) == 1:
            return [Cell(service, cells.names[0])]
        parts = job.profile.parts
        part = parts[-2:][0].identifier if parts else job.request.request_id
        ranked = [
            Cell(service, name)
            for name in rank_cells(
                cells, data_centre=job.profile.data_centre, part=part
            )
        ]
        now_s = self._clock()
        ranked.sort(key=lambda cell: self._full_until_s.get(cell, 0.0) > now_s)
        # Only as many cells are looked at as are needed, however many there are.
        usable = (cell for cell in ranked if self._has_usable_engine(job, cell))
        return list(islice(usable, MAX_CELLS_TRIED)) or ranked[:1]

    def _has_usable_engine(self, job: Job, cell: Cell) -> bool:
        request = self._placement_request(job, cell)
        return bool(self._endpoint_registry.usable_loads(request))

    async def _place_by_coordinator(self, job: Job) -> Placement:
        """Ask the cells of the service in turn for a placement.

        A cell but the last has room within ``CELL_WAIT_OBJECTIVE_SHARE`` of the job's
        objective, or the next one is asked.
        """
        *others, last = self._ranked_cells(job)
        for cell in others:
            now_s = self._clock()
            wait_s = CELL_WAIT_OBJECTIVE_SHARE * job.route.objective_ms / 1000
            try:
                return await self._place_in_cell(job, cell, now_s + wait_s)
            except RefusedError as error:
                self._full_until_s[cell] = self._clock() + FULL_CELL_AVOIDANCE_S
                log_event(
                    "cell without room",
                    request=job.request.request_id,
                    service=cell.service,
                    cell=cell.name,
                    why=error.reason,
                    waited_ms=round((self._clock() - now_s) * 1000),
                )
        return await self._place_in_cell(job, last, math.inf)

    async def _place_in_cell(
        self, job: Job, cell: Cell, last_start_s: float
    ) -> Placement:
        """Ask the coordinators in order for a placement; place the job here if needed.

        The next one is asked if a coordinator does not reply or is draining. The job is
        placed here when this gateway is the next coordinator, one declines, or
        ``MAX_COORDINATORS_TRIED`` are lost. In the first case, a gap-tolerant job waits
        for a cache survey that is running.

        Parameters
        ----------
        last_start_s : float
            Time until which it may wait in this cell, if that is earlier than the
            job's own last start time.

        Raises
        ------
        RefusedError
            When the cell has no usable endpoint, or none that has room in time.
        """
        for name in self._coordinators(cell)[:MAX_COORDINATORS_TRIED]:
            if name == self._membership.name:
                if self._may_survey(cell):
                    await self._survey.refresh(cell, wait=job.profile.gap_tolerant)
                break
            try:
                return await self._submit_to(name, job, cell, last_start_s)
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
        placement = await self._admission.place(
            self._bounded_request(job, cell, last_start_s)
        )
        return self._track(job, placement, self._next_number(), "")

    def _may_survey(self, cell: Cell) -> bool:
        """Return whether this gateway may survey a cell for its own requests.

        After a restart of all gateways each knows no other one at first. Where there
        are many of them, only those that others ask survey the caches then.
        """
        return not cell.name or self._membership.has_converged(self._clock())

    def _bounded_request(
        self, job: Job, cell: Cell, last_start_s: float
    ) -> PlacementRequest:
        """Return a job's placement request for a cell with a bound on its wait.

        A cell that is not the last to be asked reserves no place for the caller.
        """
        request = self._placement_request(job, cell)
        if last_start_s < math.inf:
            request = request._replace(route="")
        return request._replace(last_start_s=min(request.last_start_s, last_start_s))

    def _mark_lost(self, coordinator: str, job: Job, reason: str) -> None:
        """Avoid a coordinator for a while, and fail what is pending there.

        The failed requests then go to the next coordinator. Does nothing if the
        coordinator is being avoided already. ``job``, the one that found the
        coordinator lost, and ``reason`` are only logged.
        """
        now_s = self._clock()
        if self._avoided_until_s.get(coordinator, 0.0) > now_s:
            return
        self._avoided_until_s[coordinator] = now_s + COORDINATOR_AVOIDANCE_S
        affected = [p for p in self._pending.values() if p.coordinator == coordinator]
        for pending in affected:
            pending.fail("another request found the coordinator lost")
        log_event(
            "coordinator lost",
            coordinator=coordinator,
            request=job.request.request_id,
            why=reason,
            asking=len(affected),
        )

    def coordinators(self, cell: Cell) -> list[str]:
        """Return the live gateways that may coordinate a cell, the preferred one first.

        Every live gateway that is not draining can coordinate any cell.
        ``Membership.rank_coordinators`` orders them: those that have just started come
        last, those of the cell's data centre and those with more cores earlier, and
        ties are broken by rendezvous hashing. The list includes this gateway unless it
        is draining.
        """
        return self._membership.rank_coordinators(
            cell.key, self._clock(), data_centre=cell.data_centre
        )

    def _coordinators(self, cell: Cell) -> list[str]:
        """Return the coordinators of a cell that are not avoided."""
        now_s = self._clock()
        ranked = self.coordinators(cell)
        return [
            name for name in ranked if self._avoided_until_s.get(name, 0.0) <= now_s
        ]

    def rate_sharers(self, cell: Cell) -> list[str]:
        """Return the gateways among which an endpoint's request rate may be shared.

        ``choose_sharers`` selects from them. Normally the result is the cell's
        coordinator alone, even if it is avoided. Until ``Membership.has_converged``
        (the first ``CONVERGENCE_S``, 5 s, of this process), and while fewer than half
        of the known gateways are live, it is all known gateways, this one included: a
        gateway that is cut off from most others must not use the whole limit itself.
        """
        now_s = self._clock()
        membership = self._membership
        if membership.has_converged(now_s) and membership.sees_half(now_s):
            return self.coordinators(cell)[:1]
        return membership.known_names()

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _track(
        self, job: Job, placement: Placement, number: int, coordinator: str
    ) -> Placement:
        """Add a placed job to the reported requests; return its numbered placement."""
        request = InFlightRequest(
            number,
            placement.load.record.identifier,
            round(placement.prefill_ms, 1),
            job.expected_tokens if job.gap_sensitive else 0,
            started=False,
        )
        engine = job.service.engine
        pace = None
        if job.gap_tolerant and engine is not None:
            pace = StreamPace(
                tokens_per_event=engine.tokens_per_event,
                expected_tokens=job.expected_tokens,
                end_s=job.end_s,
            )
        self._in_flight[number] = PlacedRequest(
            request=request,
            coordinator=coordinator,
            load=placement.load,
            pace=pace,
            steps=(
                StepTimer(tokens_per_event=engine.tokens_per_event)
                if engine is not None and job.streams
                else None
            ),
        )
        return placement._replace(number=number)

    async def _submit_to(
        self, coordinator: str, job: Job, cell: Cell, last_start_s: float
    ) -> Placement:
        """Return a coordinator's placement of a job on an endpoint usable from here.

        Raises
        ------
        CoordinatorLostError
            When the coordinator does not reply or is draining.
        DeclinedError
            When it declines, or each of its ``MAX_GRANT_ATTEMPTS`` grants names an
            endpoint that is unknown to this gateway or not usable from here. The job
            may still be placed without the coordinator.
        RefusedError
            When this gateway itself knows no usable endpoint besides those already
            granted, which is checked before each of these attempts, or the job's last
            start time passes without a grant.
        """
        unusable: set[str] = set()
        reported_cells = self._reported_to.setdefault(coordinator, set())
        if cell not in reported_cells:
            # Without a report it would consider busy engines idle.
            reported_cells.add(cell)
            self._send_report(coordinator)
        for _ in range(MAX_GRANT_ATTEMPTS):
            number = self._next_number()
            placement_request = self._bounded_request(job, cell, last_start_s)
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
        raise DeclinedError("it granted only endpoints that this gateway can't use")

    def _accept_grant(
        self,
        job: Job,
        placement_request: PlacementRequest,
        grant: Grant,
        coordinator: str,
    ) -> Placement:
        """Count a granted request in this gateway's own view of the endpoint's load.

        The caller has checked that the granted endpoint is known and usable here.
        """
        now_s = self._clock()
        load = self._endpoint_registry.loads[grant.endpoint]
        due_s = load.record_dispatch(
            grant.prefill_ms,
            now_s,
            gap_sensitive_tokens=placement_request.gap_sensitive_tokens,
        )
        load.record_parts(placement_request.profile.parts)
        if grant.model == load.model != NOMINAL_MODEL:
            load.slowness = grant.slowness
        placement = Placement(
            load=load,
            cost_ms=grant.cost_ms,
            prefill_ms=grant.prefill_ms,
            backlog_ms=grant.backlog_ms,
            cached_tokens=grant.cached_tokens,
            reserved=grant.reserved,
            slowness=grant.slowness,
            due_s=due_s,
            model=grant.model,
        )
        return self._track(job, placement, grant.number, coordinator)

    async def _wait_for_grant(
        self, coordinator: str, number: int, placement_request: PlacementRequest
    ) -> Grant:
        """Submit a request repeatedly until the coordinator grants an endpoint.

        Unless it is granted, the request is withdrawn at the coordinator.

        Raises
        ------
        CoordinatorLostError
            When ``MAX_UNANSWERED_SUBMISSIONS`` in a row get no reply within
            ``REPLY_TIMEOUT_S`` each, or the coordinator is draining.
        DeclinedError
            When the coordinator declines.
        RefusedError
            When the request's last start time passes.
        """
        pending = PendingPlacement(
            coordinator,
            placement_request.cell,
            asyncio.get_running_loop().create_future(),
            asyncio.Event(),
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
                    if unanswered >= MAX_UNANSWERED_SUBMISSIONS:
                        raise CoordinatorLostError(
                            f"no reply to {unanswered} submissions"
                        )
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
        """Return whether the coordinator replied before the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await pending.replied.wait()
        except TimeoutError:
            return pending.replied.is_set()
        return True

    def handle_reply(self, message: Grant | Queued | Decline | Refuse) -> None:
        """Pass a coordinator's reply to the placement request that waits for it.

        A decline by a draining coordinator counts as its loss, so that the next one is
        tried. A reply to a request that no longer waits is ignored; the coordinator
        releases a late grant when it receives the ``Ended`` of the withdrawal, or the
        next report, which lacks the request.
        """
        pending = self._pending.get(message.number)
        if pending is None:
            return  # The next report shows the coordinator that it is not pending.
        pending.replied.set()
        if pending.grant.done():
            return
        if isinstance(message, Grant):
            pending.grant.set_result(message)
        elif isinstance(message, Decline):
            error_type = CoordinatorLostError if message.draining else DeclinedError
            pending.grant.set_exception(error_type(message.reason))
        elif isinstance(message, Refuse):
            pending.grant.set_exception(
                RefusedError(message.reason, retry_after_s=message.retry_after_s)
            )

    # Reports of requests in flight

    def record_first_event(
        self, placement: Placement, first_event_ms: float, *, streamed: bool = False
    ) -> None:
        """Mark a request as started in the reports, and notify its coordinator, if any.

        The load of the placement is not changed; the caller does that with
        ``EndpointLoad.record_first_event``. A dispatch of queued requests is scheduled.

        Parameters
        ----------
        first_event_ms : float
            Time from the sending of the request to the event.
        streamed : bool
            Whether it was an event of a stream, and no complete response.
        """
        self._admission.schedule_dispatch()
        placed = self._in_flight.get(placement.number)
        if placed is None:
            return
        request = placed.request._replace(started=True)
        self._in_flight[placement.number] = placed._replace(request=request)
        if placed.coordinator:
            message = Started(self._sender, placement.number, first_event_ms, streamed)
            self._send(placed.coordinator, message)
        elif streamed and placement.prefill is not None:
            self._engine_models.record_first_event(
                placement.load, placement.prefill, first_event_ms
            )

    def record_events(self, placement: Placement, count: int) -> None:
        """Record events of a stream that have arrived together now."""
        placed = self._in_flight.get(placement.number)
        if placed is None or placed.steps is None:
            return
        now_s = self._clock()
        placed.steps.record_events(count, now_s)
        if placed.pace is not None:
            placed.pace.record_events(count, now_s)

    def record_end(
        self,
        placement: Placement,
        *,
        success: bool,
        failure_weight: float = 0.0,
        fault: Fault = Fault.NONE,
    ) -> None:
        """Remove a request from the reports, and notify its coordinator, if any.

        The load of the placement is not changed, neither its requests nor its outcomes;
        the caller does that with the methods of ``EndpointLoad``. A dispatch of queued
        requests is scheduled.

        Parameters
        ----------
        success : bool
            Whether the response was complete.
        failure_weight : float
            Weight of a failure that the endpoint itself caused; 0 if there was none.
        fault : Fault
            What the circuit breaker of the endpoint counts.
        """
        self._admission.schedule_dispatch()
        placed = self._in_flight.pop(placement.number, None)
        if placed is not None and placed.coordinator:
            message = Ended(
                self._sender, placement.number, success, failure_weight, fault
            )
            self._send(placed.coordinator, message)

    def report(self) -> None:
        """Send this gateway's open requests to the coordinators concerned.

        These are the first ``REPORTED_COORDINATORS`` of each cell with requests in
        flight, those with pending requests, and those of the previous report.
        """
        self._take_lags()
        targets: dict[str, set[Cell]] = {}
        for pending in self._pending.values():
            targets.setdefault(pending.coordinator, set()).add(pending.cell)
        cells = {
            self._endpoint_registry.cell_of(placed.load)
            for placed in self._in_flight.values()
        }
        for cell in cells:
            for name in self._coordinators(cell)[:REPORTED_COORDINATORS]:
                targets.setdefault(name, set()).add(cell)
        targets.pop(self._membership.name, None)
        previous, self._reported_to = self._reported_to, targets
        for name in targets.keys() | previous.keys():
            self._send_report(name)

    def _take_lags(self) -> None:
        """Put the lags and decode steps since the last report into the requests.

        Those of the requests that were placed here count in this gateway's loads.
        """
        for number, placed in self._in_flight.items():
            if placed.steps is None:
                continue
            lag = 0.0
            if placed.pace is not None:
                lag = round(placed.pace.take_lag() or 0.0, 2)
            step_ms = round(placed.steps.take(), 2)
            request = placed.request._replace(lag=lag, step_ms=step_ms)
            self._in_flight[number] = placed._replace(request=request)
            if placed.coordinator:
                continue
            if lag:
                placed.load.record_lag(lag)
            self._engine_models.record_step(placed.load, step_ms)

    def _send_report(self, name: str) -> None:
        """Send a coordinator the open requests in the cells that it counts."""
        cells = self._reported_to.get(name, set())
        in_flight = tuple(
            placed.request
            for placed in self._in_flight.values()
            if self._endpoint_registry.cell_of(placed.load) in cells
        )
        self._send(name, Report(self._sender, in_flight, tuple(self._pending)))

    def report_interval_s(self) -> float:
        """Return the time between two reports.

        It grows with the gateways that report to one coordinator, which are about those
        of one data centre where services are divided into cells.
        """
        gateways = len(self._membership.live_names(self._clock()))
        hosts = self._endpoint_registry.cell_hosts()
        per_coordinator = gateways / max(1, hosts)
        return REPORT_INTERVAL_S * max(
            1.0, per_coordinator / MAX_GATEWAYS_AT_FULL_REPORT_RATE
        )

    async def report_periodically(self) -> None:
        """Send reports until cancelled."""
        while True:
            await asyncio.sleep(self.report_interval_s())
            self.report()
