"""Counters, gauges and latency histograms of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus.collectors import Registry

from shallotroad.observability.event_log import LOG_BUFFER


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.factory import Components
    from shallotroad.policy.data_centre_balance import DataCentreBalance

LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.35,
    0.5,
    0.8,
    1.2,
    2.5,
    5.0,
    10.0,
    float("inf"),
)


class GatewayMetrics:
    """Metrics that a gateway updates while it runs.

    Attributes
    ----------
    registry : Registry
        All metrics below, for the export.
    requests : Counter
        Finished requests by ``kind``, a value of ``RouteKind`` ("none" if no job was
        created), and ``outcome``: "answered" (a complete stream), "status N" (any other
        response of an endpoint), "rejected N", "refused", "unknown", "broken" (stream),
        "left" (the caller disconnected or stopped sending) or "error" (unexpected
        exception).
    unanswered : Counter
        Requests whose connection ended without a response to them, by ``reason``.
    limit_closes, limit_refusals : Counter
        Connections closed, and requests refused, to keep the limits of the process, by
        ``reason``.
    attempts : Counter
        Attempts by ``end``: "answered", "not run" or "unknown".
    resumptions : Counter
        Streams that callers resume, by ``source`` of the software version at which they
        go on; see ``RecalledOrigin``.
    endpoint_losses : Counter
        Endpoints that ended connections with requests in flight, by ``cause``: "crash",
        "leaving" (it was draining) or "reset" (it still accepts connections).
    suspensions : Counter
        Suspensions of requests that crash endpoints, by ``event``: "begun", "lifted",
        "trial" (a request was let through), "refused" (a request was not sent), "alone"
        (one was sent alone) or "waited" (one had to wait for its turn).
    circuits : Counter
        Changes of circuit breakers of endpoints, and of the failure of whole services,
        by ``state``: "open", "probing", "closed", "failing" or "recovered".
    capacity_decisions : Counter
        Decisions of this gateway's queue on insufficient capacity, by ``decision``:
        "refused at submit", "refused in the queue", "returned early" (a caller that was
        told to wait), "place reserved", "place used" or "place expired".
    missing_endpoints : Counter
        Endpoints that were kept for a while though their registration was missing, by
        ``end``: "registered" (again) or "evicted".
    first_event_s : Histogram
        Time from the arrival of a request to the head of its stream, by ``kind``.
    request_s : Histogram
        Time from the arrival of a request until its response is ready to send, or
        its stream has ended, by ``kind``.
    waited_s : Histogram
        Time that a request waited for all its placements, by ``kind``.
    state : Gauge
        Current values by ``name``, such as "waiting" or "open_requests";
        ``make_gauge_updater`` sets them before they are read.
    remote_share : Gauge
        Share of the work of a service's callers that may leave their data centre at
        the constant costs, by ``service``, ``cell`` and ``data_centre``; only where
        this gateway places requests and the balance between data centres is in use.
    engine_placements : Counter
        Requests that this gateway placed on engines, for all gateways that ask it, by
        ``service``, ``data_centre`` of the callers and ``to`` ("own" or "other" data
        centre).
    remote_bytes : Counter
        Bytes of the bodies of those placed in another data centre, by ``service`` and
        ``data_centre`` of the callers.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            "shallotroad_requests_total",
            "Requests by kind and outcome",
            registry=self.registry,
        )
        self.unanswered = Counter(
            "shallotroad_unanswered_requests_total",
            "Requests whose connection ended without a response to them",
            registry=self.registry,
        )
        self.limit_closes = Counter(
            "shallotroad_caller_connections_closed_total",
            "Callers' connections closed to keep a limit, by reason",
            registry=self.registry,
        )
        self.limit_refusals = Counter(
            "shallotroad_caller_requests_shed_total",
            "Callers' requests refused to keep the memory limit, by reason",
            registry=self.registry,
        )
        self.attempts = Counter(
            "shallotroad_attempts_total",
            "Attempts at endpoints by end",
            registry=self.registry,
        )
        self.resumptions = Counter(
            "shallotroad_stream_resumptions_total",
            "Streams that callers resume, by source of their software version",
            registry=self.registry,
        )
        self.endpoint_losses = Counter(
            "shallotroad_endpoint_losses_total",
            "Endpoints that ended connections with requests in flight, by cause",
            registry=self.registry,
        )
        self.suspensions = Counter(
            "shallotroad_suspensions_total",
            "Suspensions of requests that crash endpoints, by event",
            registry=self.registry,
        )
        self.statements = Counter(
            "shallotroad_endpoint_statements_total",
            "Changes of what endpoints say of themselves, by source",
            registry=self.registry,
        )
        self.circuits = Counter(
            "shallotroad_circuit_changes_total",
            "Changes of circuit breakers and of the failure of services, by state",
            registry=self.registry,
        )
        self.capacity_decisions = Counter(
            "shallotroad_capacity_decisions_total",
            "Refusals by the queue and places of callers that return",
            registry=self.registry,
        )
        self.missing_endpoints = Counter(
            "shallotroad_missing_endpoints_total",
            "Endpoints kept without a registration, by how that ended",
            registry=self.registry,
        )
        self.first_event_s = Histogram(
            "shallotroad_first_event_seconds",
            "Time to the first event of streams",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.request_s = Histogram(
            "shallotroad_request_seconds",
            "Time to the end of the answer",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.waited_s = Histogram(
            "shallotroad_waited_seconds",
            "Time that a request waited at the entry",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.state = Gauge(
            "shallotroad_gateway", "State of a gateway, by name", registry=self.registry
        )
        self.remote_share = Gauge(
            "shallotroad_remote_share",
            "Share of the work that may leave the callers' data centre",
            registry=self.registry,
        )
        self.engine_placements = Counter(
            "shallotroad_engine_placements_total",
            "Requests placed on engines in the callers' own and in other data centres",
            registry=self.registry,
        )
        self.remote_bytes = Counter(
            "shallotroad_remote_body_bytes_total",
            "Bytes of bodies placed on engines in other data centres",
            registry=self.registry,
        )


def make_gauge_updater(components: Components) -> Callable[[], None]:
    """Return a function that updates the gauges before they are read."""

    def update_gauges() -> None:
        configuration = components.catalog.configuration
        values = {
            "configuration_version": configuration.version if configuration else 0,
            "store_revision": components.store_watcher.revision,
            "store_era": components.store_watcher.era,
            "store_connected": int(components.store_watcher.connected),
            "store_silent_s": round(
                components.clock() - components.store_watcher.last_contact_s, 3
            ),
            "store_calls": components.store.request_count,
            "endpoints": len(components.catalog.endpoints),
            "endpoints_unregistered": components.catalog.missing_count,
            "streams_known": components.stream_origins.known_streams,
            "waiting": components.admission.queue_length,
            "return_places": components.admission.return_places,
            "competing_tiers": components.admission.competing_tiers,
            "granted_to_others": components.coordinator.remote_in_flight_count,
            "datagrams_sent": components.coordination_protocol.datagrams_sent,
            "datagrams_received": components.coordination_protocol.datagrams_received,
            "open_requests": components.frontend.open_requests,
            "caller_connections": components.frontend.account.connections,
            "caller_bytes": components.frontend.account.held_bytes,
            "caller_bytes_limit": components.frontend.account.max_bytes,
            "caller_bodies_waiting": components.frontend.account.waiting_bodies,
            "connections_opened": components.endpoint_registry.opened_connections(),
            "live_entries": len(components.membership.live_names(components.clock())),
            "log_lines_dropped": LOG_BUFFER.dropped_total,
            "engine_models_learned": components.engine_models.learned_count(),
            "engine_model_changes": components.engine_models.changes,
            "engine_model_rows_dropped": components.engine_models.dropped_rows,
        }
        for name, value in values.items():
            components.metrics.state.set({"name": name}, value)
        update_balance_metrics(
            components.metrics, components.admission.data_centre_balance
        )
        for decision, count in components.admission.decisions.items():
            components.metrics.capacity_decisions.set({"decision": decision}, count)
        for end, count in components.catalog.missing_ends.items():
            components.metrics.missing_endpoints.set({"end": end}, count)

    return update_gauges


def update_balance_metrics(metrics: GatewayMetrics, balance: DataCentreBalance) -> None:
    """Export the balance between data centres.

    Shares of cells that this gateway no longer places in are removed.
    """
    metrics.remote_share.values.clear()
    for cell, shares in balance.shares().items():
        for data_centre, share in shares.items():
            labels = {"service": cell.service, "cell": cell.name}
            metrics.remote_share.set({**labels, "data_centre": data_centre}, share)
    for (service, data_centre), totals in balance.totals.items():
        labels = {"service": service, "data_centre": data_centre}
        metrics.engine_placements.set({**labels, "to": "own"}, totals.local)
        metrics.engine_placements.set({**labels, "to": "other"}, totals.remote)
        metrics.remote_bytes.set(labels, totals.remote_bytes)
