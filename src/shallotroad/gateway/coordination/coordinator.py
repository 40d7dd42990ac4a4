"""Coordinator role of a gateway: places the requests of other gateways.

The coordinator of a cell (``policy.cells``) counts the requests of all gateways at each
engine, so that one queue and one view of the engines' load serve them all. Its
successor receives the same reports and counts them too.
``Membership.rank_coordinators`` determines which gateway is the coordinator and which
its successor. The state need not survive the process: a successor rebuilds it from the
gateways' next reports.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.gateway.coordination.messages import Decline
from shallotroad.gateway.coordination.messages import Grant
from shallotroad.gateway.coordination.messages import Queued
from shallotroad.gateway.coordination.messages import Refuse
from shallotroad.gateway.coordination.messages import Stated
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.event_log import log_event
from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.failing_endpoints import CONNECT_FAILURE_AVOIDANCE_S
from shallotroad.policy.failing_endpoints import Fault


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.admission import Admission
    from shallotroad.gateway.admission import QueuedPlacement
    from shallotroad.gateway.cache_survey import CacheSurvey
    from shallotroad.gateway.coordination.messages import Ended
    from shallotroad.gateway.coordination.messages import InFlightRequest
    from shallotroad.gateway.coordination.messages import Message
    from shallotroad.gateway.coordination.messages import Report
    from shallotroad.gateway.coordination.messages import Sender
    from shallotroad.gateway.coordination.messages import Started
    from shallotroad.gateway.coordination.messages import Submit
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.gateway.engine_models import EngineModels
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.engine_model import Prefill
    from shallotroad.policy.placement import Placement

    SendReply = Callable[[Message], None]

# A gateway from which no message of any kind arrives for this long, or for so many of
# its report intervals, is considered dead or unreachable.
GATEWAY_TIMEOUT_S = 2.0
GATEWAY_TIMEOUT_REPORTS = 4.0
EVICTION_INTERVAL_S = 0.5


class RemoteRequest(NamedTuple):
    """A request of another gateway that is counted in an engine's load.

    ``due_s`` is when its first event is expected, monotonic, and ``expected_ms`` the
    expected backlog and prefill before it. ``grant`` is None when the request is known
    only from a report, not placed here. ``prefill`` is that of its placement.
    """

    load: EndpointLoad
    due_s: float
    expected_ms: float
    started: bool
    grant: Grant | None
    prefill: Prefill | None = None


class GatewayWork:
    """The in-flight and queued requests of one gateway, by request number."""

    def __init__(self, *, incarnation: int, last_seen_s: float) -> None:
        self.incarnation = incarnation
        self.last_seen_s = last_seen_s
        self.in_flight: dict[int, RemoteRequest] = {}
        self.queued: dict[int, QueuedPlacement] = {}


class Coordinator:
    """Replies to other gateways' placement requests and counts their requests.

    Each gateway has one for all cells; it shares the queue of ``admission`` with
    the gateway's own requests. Messages of an earlier incarnation of a gateway are
    ignored.

    Parameters
    ----------
    survey : CacheSurvey
        Asks the engines of a cell which prompt parts they have cached, when this
        gateway begins to coordinate it.
    report_interval_s : callable
        Returns the time between two reports of a gateway, in seconds.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        endpoint_registry: EndpointRegistry,
        clock: Callable[[], float],
        draining: Callable[[], bool],
        survey: CacheSurvey,
        engine_models: EngineModels,
        report_interval_s: Callable[[], float],
    ) -> None:
        self._report_interval_s = report_interval_s
        self._admission = admission
        self._endpoint_registry = endpoint_registry
        self._clock = clock
        self._draining = draining
        self._survey = survey
        self._engine_models = engine_models
        survey.on_done = self._submit_after_survey
        self._gateways: dict[str, GatewayWork] = {}
        self._awaiting_survey: dict[tuple[Sender, int], tuple[Submit, SendReply]] = {}

    @property
    def remote_in_flight_count(self) -> int:
        """Number of other gateways' requests that are counted as in flight."""
        return sum(len(gateway.in_flight) for gateway in self._gateways.values())

    def _update_gateway(self, sender: Sender) -> GatewayWork | None:
        """Return the sender's open requests, and set when it was last seen.

        A newer incarnation starts with none. Returns None when a newer incarnation
        than the sender's is known.
        """
        now_s = self._clock()
        current = self._gateways.get(sender.name)
        if current is not None and current.incarnation > sender.incarnation:
            return None
        if current is None or current.incarnation < sender.incarnation:
            if current is not None:
                self._remove_gateway(sender.name, "restarted")
            current = GatewayWork(incarnation=sender.incarnation, last_seen_s=now_s)
            self._gateways[sender.name] = current
        current.last_seen_s = now_s
        return current

    def submit(self, message: Submit, reply: SendReply) -> None:
        """Place, queue or decline a request, and reply accordingly.

        A resubmitted request that is queued, or was granted here and has not ended, is
        not counted again; it receives its current reply. Declined and ended requests
        are not remembered: a later submission with their number is treated as a new
        request. A sender of an earlier incarnation receives no reply.
        """
        gateway = self._update_gateway(message.sender)
        if gateway is None:
            return
        number = message.number
        existing = gateway.in_flight.get(number)
        if existing is not None and existing.grant is not None:
            reply(existing.grant)
        elif number in gateway.queued:
            reply(Queued(number))
        elif self._draining():
            reply(Decline(number, "leaving", draining=True))
        elif self._survey.refresh_if_stale(message.request.cell) and (
            message.request.profile.gap_tolerant
        ):
            # Only gap-tolerant requests wait for the survey: the others have short
            # prompts, which cost little where they are not cached, and can't wait.
            self._awaiting_survey[message.sender, number] = (message, reply)
            reply(Queued(number))
        else:
            self._admit(gateway, message, reply)

    def _submit_after_survey(self) -> None:
        """Submit the gap-tolerant requests that were waiting for a cache survey.

        Called after the survey of any cell; requests whose cell is still being
        surveyed wait again.
        """
        awaiting, self._awaiting_survey = self._awaiting_survey, {}
        for message, reply in awaiting.values():
            self.submit(message, reply)

    def _admit(self, gateway: GatewayWork, message: Submit, reply: SendReply) -> None:
        """Place or queue a request through the admission, or reply with a decline.

        ``_grant`` replies once the request is placed, at once or from the queue. It is
        declined if no endpoint may serve it or the queue is full.
        """
        number = message.number
        try:
            queued = self._admission.submit(
                message.request,
                partial(self._grant, gateway, number, reply),
                partial(self._refuse, gateway, number, reply),
            )
        except RefusedError as error:
            reply(Decline(number, error.reason, draining=False))
            return
        if queued is not None:
            gateway.queued[number] = queued
            reply(Queued(number))

    def _grant(
        self, gateway: GatewayWork, number: int, reply: SendReply, placement: Placement
    ) -> None:
        """Count a placed request as in flight, and send its grant.

        The gateway first learns what the endpoint has said of itself, so that it can
        tell from the answer what has changed.
        """
        gateway.queued.pop(number, None)
        grant = Grant(
            number,
            placement.load.record.identifier,
            round(placement.cost_ms, 1),
            round(placement.backlog_ms, 1),
            round(placement.prefill_ms, 1),
            placement.cached_tokens,
            placement.reserved,
            round(placement.slowness, 2),
            placement.model,
        )
        expected_ms = placement.backlog_ms + placement.prefill_ms
        gateway.in_flight[number] = RemoteRequest(
            placement.load,
            placement.due_s,
            expected_ms,
            False,
            grant,
            placement.prefill,
        )
        if placement.load.limit_per_s is not None and placement.load.statement:
            reply(Stated(grant.endpoint, placement.load.statement))
        reply(grant)

    def _refuse(
        self, gateway: GatewayWork, number: int, reply: SendReply, error: RefusedError
    ) -> None:
        """Reply that a queued request can't be placed in time."""
        gateway.queued.pop(number, None)
        reply(Refuse(number, error.reason, round(error.retry_after_s, 2)))

    def record_first_event(self, message: Started) -> None:
        """Record the first event of a request; unknown and repeated ones are ignored.

        For a request that was placed here, the engine's slowness is updated too, and
        the model of the service if it was streamed.
        """
        gateway = self._update_gateway(message.sender)
        request = gateway.in_flight.get(message.number) if gateway is not None else None
        if gateway is None or request is None or request.started:
            return
        request.load.record_first_event(request.due_s, self._clock())
        gateway.in_flight[message.number] = request._replace(started=True)
        grant = request.grant
        if grant is not None and (message.streamed or grant.model == NOMINAL_MODEL):
            request.load.update_slowness(
                request.expected_ms,
                message.first_event_ms - grant.model.first_event_overhead_ms,
                grant.slowness,
                grant.model,
            )
        if message.streamed and request.prefill is not None:
            self._engine_models.record_first_event(
                request.load, request.prefill, message.first_event_ms
            )
        self._admission.schedule_dispatch()

    def record_end(self, message: Ended) -> None:
        """Record the end of a request, or withdraw it if it is not yet placed.

        For a request in flight, the outcome is recorded in the load of its engine: a
        success, a failure of ``failure_weight``, or nothing if that is 0. An unknown
        request is ignored.
        """
        self._awaiting_survey.pop((message.sender, message.number), None)
        gateway = self._update_gateway(message.sender)
        if gateway is None:
            return
        request = gateway.in_flight.get(message.number)
        if request is not None:
            if message.success:
                request.load.record_success(self._clock())
            elif message.failure_weight or message.fault:
                request.load.record_failure(
                    self._clock(), message.failure_weight, message.fault
                )
                if message.fault is Fault.UNREACHABLE:
                    self._avoid_unreachable(request.load)
        self._remove_request(gateway, message.number)
        self._admission.schedule_dispatch()

    def _avoid_unreachable(self, load: EndpointLoad) -> None:
        """Avoid an endpoint that refused the connection of another gateway."""
        now_s = self._clock()
        until_s = now_s + CONNECT_FAILURE_AVOIDANCE_S
        if load.circuit.believe_unreachable(until_s, now_s):
            load.avoided_until_s = max(load.avoided_until_s, until_s)

    def apply_report(self, message: Report) -> None:
        """Make the counted requests of a gateway match its report.

        Requests that the report lacks are removed, unknown in-flight ones are added.
        """
        gateway = self._update_gateway(message.sender)
        if gateway is None:
            return
        in_flight = {request.number: request for request in message.in_flight}
        open_numbers = in_flight.keys() | set(message.pending)
        for number in [*gateway.in_flight, *gateway.queued]:
            if number not in open_numbers:
                self._remove_request(gateway, number)
        for request in message.in_flight:
            self._record_in_flight(gateway, request)
        self._admission.schedule_dispatch()

    def _record_in_flight(self, gateway: GatewayWork, request: InFlightRequest) -> None:
        """Update the load by a reported request.

        The request is counted if it is unknown, and its first event if it was missed.
        """
        now_s = self._clock()
        current = gateway.in_flight.get(request.number)
        if current is None:
            load = self._endpoint_registry.loads.get(request.endpoint)
            if load is None:
                return
            # A finished prefill is neither backlog nor prefill debt.
            remaining_prefill_ms = 0.0 if request.started else request.prefill_ms
            due_s = load.record_dispatch(
                remaining_prefill_ms,
                now_s,
                gap_sensitive_tokens=request.gap_sensitive_tokens,
            )
            current = RemoteRequest(load, due_s, 0.0, False, None)
        if request.started and not current.started:
            current.load.record_first_event(current.due_s, now_s)
            current = current._replace(started=True)
        if request.lag:
            current.load.record_lag(request.lag)
        self._engine_models.record_step(current.load, request.step_ms)
        gateway.in_flight[request.number] = current

    def _remove_request(self, gateway: GatewayWork, number: int) -> None:
        """Withdraw a queued request, or end an in-flight one in its engine's load."""
        queued = gateway.queued.pop(number, None)
        if queued is not None:
            self._admission.withdraw(queued)
        request = gateway.in_flight.pop(number, None)
        if request is not None:
            request.load.record_end(
                request.due_s, started=request.started, now_s=self._clock()
            )

    def _remove_gateway(self, name: str, reason: str) -> None:
        gateway = self._gateways.pop(name)
        request_count = len(gateway.in_flight) + len(gateway.queued)
        for number in [*gateway.in_flight, *gateway.queued]:
            self._remove_request(gateway, number)
        if request_count:
            log_event(
                "work of an entry forgotten", entry=name, why=reason, n=request_count
            )

    def evict_timed_out(self) -> None:
        """Remove gateways that timed out, with their in-flight and queued requests."""
        now_s = self._clock()
        timeout_s = max(
            GATEWAY_TIMEOUT_S, GATEWAY_TIMEOUT_REPORTS * self._report_interval_s()
        )
        for name, gateway in list(self._gateways.items()):
            if now_s - gateway.last_seen_s > timeout_s:
                self._remove_gateway(name, "silent")

    async def evict_timed_out_periodically(self) -> None:
        """Evict gateways that timed out, twice a second, until cancelled."""
        while True:
            await asyncio.sleep(EVICTION_INTERVAL_S)
            self.evict_timed_out()
