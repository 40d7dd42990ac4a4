"""The coordinator's side: places what other entries ask for.

It counts the work of all entries at each engine, so that one queue and one
account of the engines serve them all. Everything here can be lost: a
successor rebuilds it from the entries' next reports.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.gateway.coordination.messages import Decline
from shallotroad.gateway.coordination.messages import Grant
from shallotroad.gateway.coordination.messages import Queued
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.event_log import log_event
from shallotroad.policy.endpoint_load import FIRST_EVENT_OVERHEAD_MS


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
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement import Placement

    Reply = Callable[[Message], None]

GATEWAY_TIMEOUT_S = 2.0  # several reports were missed: the entry is gone, or cut off


class RemoteRequest(NamedTuple):
    """A request of another entry that is counted at an engine."""

    load: EndpointLoad
    due_s: float
    expected_ms: float
    started: bool
    grant: Grant | None


class GatewayWork:
    """What one entry has open here."""

    def __init__(self, *, incarnation: int, last_seen_s: float) -> None:
        self.incarnation = incarnation
        self.last_seen_s = last_seen_s
        self.in_flight: dict[int, RemoteRequest] = {}
        self.queued: dict[int, QueuedPlacement] = {}


class Coordinator:
    """Answers questions of other entries, and keeps the account of their work."""

    def __init__(
        self,
        *,
        admission: Admission,
        endpoint_registry: EndpointRegistry,
        clock: Callable[[], float],
        draining: Callable[[], bool],
        survey: CacheSurvey,
    ) -> None:
        self._admission = admission
        self._endpoint_registry = endpoint_registry
        self._clock = clock
        self._draining = draining
        self._survey = survey
        survey.on_done = self._submit_after_survey
        self._gateways: dict[str, GatewayWork] = {}
        self._awaiting_survey: dict[tuple[Sender, int], tuple[Submit, Reply]] = {}

    @property
    def granted(self) -> int:
        """Number of other entries' requests that are counted here."""
        return sum(len(gateway.in_flight) for gateway in self._gateways.values())

    def _gateway(self, sender: Sender) -> GatewayWork | None:
        """Return the account of an entry; None for an earlier incarnation's."""
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

    def submit(self, message: Submit, reply: Reply) -> None:
        """Place a request, hold it, or decline it."""
        gateway = self._gateway(message.sender)
        if gateway is None:
            return
        number = message.number
        known = gateway.in_flight.get(number)
        if known is not None and known.grant is not None:
            reply(known.grant)
        elif number in gateway.queued:
            reply(Queued(number))
        elif self._draining():
            reply(Decline(number, "leaving", draining=True))
        elif self._survey.refresh_if_stale(message.request.service) and (
            message.request.profile.gap_tolerant
        ):
            # Short prompts cost little where they are not cached, and can't wait.
            self._awaiting_survey[message.sender, number] = (message, reply)
            reply(Queued(number))
        else:
            self._admit(gateway, message, reply)

    def _submit_after_survey(self) -> None:
        """Place what was held back until the caches were known."""
        awaiting, self._awaiting_survey = self._awaiting_survey, {}
        for message, reply in awaiting.values():
            self.submit(message, reply)

    def _admit(self, gateway: GatewayWork, message: Submit, reply: Reply) -> None:
        number = message.number
        try:
            queued = self._admission.submit(
                message.request, partial(self._grant, gateway, number, reply)
            )
        except RefusedError as error:
            reply(Decline(number, error.reason, draining=False))
            return
        if queued is not None:
            gateway.queued[number] = queued
            reply(Queued(number))

    def _grant(
        self, gateway: GatewayWork, number: int, reply: Reply, placement: Placement
    ) -> None:
        gateway.queued.pop(number, None)
        grant = Grant(
            number,
            placement.load.record.identifier,
            round(placement.cost_ms, 1),
            round(placement.backlog_ms, 1),
            round(placement.prefill_ms, 1),
            placement.cached_tokens,
            placement.reserved,
        )
        expected_ms = placement.backlog_ms + placement.prefill_ms
        gateway.in_flight[number] = RemoteRequest(
            placement.load, placement.due_s, expected_ms, False, grant
        )
        reply(grant)

    def started(self, message: Started) -> None:
        """Note that a request has begun to answer."""
        gateway = self._gateway(message.sender)
        request = gateway.in_flight.get(message.number) if gateway is not None else None
        if gateway is None or request is None or request.started:
            return
        request.load.record_first_event(request.due_s, self._clock())
        if request.grant is not None:
            observed_ms = message.first_event_ms - FIRST_EVENT_OVERHEAD_MS
            request.load.update_slowness(request.expected_ms, observed_ms)
        gateway.in_flight[message.number] = request._replace(started=True)
        self._admission.schedule_dispatch()

    def ended(self, message: Ended) -> None:
        """Note the end of a request, or of a question."""
        self._awaiting_survey.pop((message.sender, message.number), None)
        gateway = self._gateway(message.sender)
        if gateway is None:
            return
        request = gateway.in_flight.get(message.number)
        if request is not None:
            if message.success:
                request.load.record_success(self._clock())
            elif message.failure:
                request.load.record_failure(self._clock(), message.failure)
        self._remove(gateway, message.number)
        self._admission.schedule_dispatch()

    def report(self, message: Report) -> None:
        """Bring the account of an entry in line with all that it has open."""
        gateway = self._gateway(message.sender)
        if gateway is None:
            return
        in_flight = {request.number: request for request in message.in_flight}
        open_numbers = in_flight.keys() | set(message.pending)
        for number in [*gateway.in_flight, *gateway.queued]:
            if number not in open_numbers:
                self._remove(gateway, number)
        for request in message.in_flight:
            self._record_in_flight(gateway, request)
        self._admission.schedule_dispatch()

    def _record_in_flight(self, gateway: GatewayWork, request: InFlightRequest) -> None:
        now_s = self._clock()
        current = gateway.in_flight.get(request.number)
        if current is None:
            load = self._endpoint_registry.loads.get(request.endpoint)
            if load is None:
                return
            # A prompt that has been read already is neither backlog nor debt.
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
        gateway.in_flight[request.number] = current

    def _remove(self, gateway: GatewayWork, number: int) -> None:
        queued = gateway.queued.pop(number, None)
        if queued is not None:
            self._admission.withdraw(queued)
        request = gateway.in_flight.pop(number, None)
        if request is not None:
            request.load.record_end(
                request.due_s, started=request.started, now_s=self._clock()
            )

    def _remove_gateway(self, name: str, why: str) -> None:
        gateway = self._gateways.pop(name)
        open_count = len(gateway.in_flight) + len(gateway.queued)
        for number in [*gateway.in_flight, *gateway.queued]:
            self._remove(gateway, number)
        if open_count:
            log_event("work of an entry forgotten", entry=name, why=why, n=open_count)

    def evict_timed_out(self) -> None:
        """Forget the work of entries that have fallen silent."""
        now_s = self._clock()
        for name, gateway in list(self._gateways.items()):
            if now_s - gateway.last_seen_s > GATEWAY_TIMEOUT_S:
                self._remove_gateway(name, "silent")

    async def evict_timed_out_periodically(self) -> None:
        """Look for silent entries until cancelled."""
        while True:
            await asyncio.sleep(GATEWAY_TIMEOUT_S / 4)
            self.evict_timed_out()
