"""Keeps what endpoints say of themselves in their answers, and tells who places.

Each answer repeats what holds. A gateway keeps the latest statement of an endpoint in
its load. It tells what is new to all gateways, any of which may have to place requests,
and repeats it to the coordinators of the endpoint's cell, which tell it to the gateways
that they send there. For how long it wants nothing from this gateway is told to none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.gateway.coordination.messages import Stated
from shallotroad.observability.event_log import log_event
from shallotroad.policy.endpoint_statement import MAX_QUIET_S
from shallotroad.policy.endpoint_statement import EndpointStatement


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.endpoint import EndpointRecord
    from shallotroad.gateway.coordination.messages import Message
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.gateway.metrics import GatewayMetrics
    from shallotroad.platform.headers import ResponseHead
    from shallotroad.policy.cells import Cell
    from shallotroad.policy.endpoint_load import EndpointLoad

# A statement that has not changed is passed on at most this often.
REPEAT_INTERVAL_S = 0.5
# The coordinator of a cell and its successor are told.
TOLD_COORDINATORS = 2


class EndpointStatements:
    """Takes statements from answers and from other gateways.

    Parameters
    ----------
    coordinators : callable
        Returns the names of the coordinators of a cell, the preferred one first.
    live_names : callable
        Returns the names of the live gateways at a monotonic time.
    send : callable
        Sends a message to the gateway of a name, without any guarantee of delivery.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        endpoint_registry: EndpointRegistry,
        coordinators: Callable[[Cell], list[str]],
        live_names: Callable[[float], list[str]],
        send: Callable[[str, Message], None],
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._endpoint_registry = endpoint_registry
        self._coordinators = coordinators
        self._live_names = live_names
        self._send = send
        self._metrics = metrics
        self._clock = clock
        self._told_s: dict[str, float] = {}

    def record_answer(
        self, record: EndpointRecord, head: ResponseHead, sent_s: float
    ) -> None:
        """Take over what an answer says of its endpoint.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint as it was when the request was sent.
        sent_s : float
            Monotonic time at which the request was sent. An answer to an earlier
            request than the latest statement does not end a limit.
        """
        load = self._endpoint_registry.loads.get(record.identifier)
        if load is None or head.other_endpoint or not (head.signed or head.not_run):
            return
        if head.quiet_s:
            self._record_quiet(load, record, head.quiet_s)
        limited = load.limit_per_s is not None
        ends_limit = limited and self._is_later(load, sent_s)
        if head.limit_per_s is None and not head.leaving and not ends_limit:
            return
        now_s = self._clock()
        statement = EndpointStatement(
            record.started_at_ms, now_s, head.limit_per_s, head.leaving
        )
        if self._apply(load, statement, "answer"):
            self._tell(self._live_names(now_s), load, statement)
            return
        told_s = self._told_s.get(record.identifier)
        if told_s is None or now_s - told_s >= REPEAT_INTERVAL_S:
            self._tell_coordinators(load, statement, now_s)

    def _record_quiet(
        self, load: EndpointLoad, record: EndpointRecord, quiet_s: float
    ) -> None:
        """Keep for how long an endpoint wants nothing from this gateway."""
        if record.started_at_ms != load.record.started_at_ms:
            return
        until_s = self._clock() + min(quiet_s, MAX_QUIET_S)
        if until_s <= load.quiet_until_s:
            return
        load.quiet_until_s = until_s
        self._metrics.statements.inc({"source": "quiet"})
        log_event("endpoint asks for quiet", endpoint=record.identifier, for_s=quiet_s)

    @staticmethod
    def _is_later(load: EndpointLoad, sent_s: float) -> bool:
        return load.statement is None or sent_s > load.statement.said_s

    def _tell_coordinators(
        self, load: EndpointLoad, statement: EndpointStatement, now_s: float
    ) -> None:
        identifier = load.record.identifier
        self._told_s = {
            name: told_s
            for name, told_s in self._told_s.items()
            if now_s - told_s < REPEAT_INTERVAL_S
        }
        self._told_s[identifier] = now_s
        cell = self._endpoint_registry.cell_of(load)
        self._tell(self._coordinators(cell)[:TOLD_COORDINATORS], load, statement)

    def _tell(
        self, names: list[str], load: EndpointLoad, statement: EndpointStatement
    ) -> None:
        for name in names:
            self._send(name, Stated(load.record.identifier, statement))

    def merge(self, message: Stated) -> None:
        """Take over what another gateway was told by an endpoint."""
        load = self._endpoint_registry.loads.get(message.endpoint)
        if load is not None:
            self._apply(load, message.statement, "gateway")

    def _apply(
        self, load: EndpointLoad, statement: EndpointStatement, source: str
    ) -> bool:
        previous_per_s = load.limit_per_s
        was_leaving = load.is_leaving(self._clock())
        if not load.apply_statement(statement):
            return False
        self._metrics.statements.inc({"source": source})
        if load.limit_per_s != previous_per_s:
            log_event(
                "endpoint limit changed",
                endpoint=load.record.identifier,
                started_at_ms=statement.started_at_ms,
                source=source,
                limit_per_s=statement.limit_per_s,
                previous_per_s=previous_per_s,
            )
        if load.is_leaving(self._clock()) and not was_leaving:
            log_event(
                "endpoint leaving",
                endpoint=load.record.identifier,
                started_at_ms=statement.started_at_ms,
                source=source,
            )
        self._endpoint_registry.on_changed()
        return True
