"""HTTP handler for readiness, liveness, metrics and the state dump of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import orjson
from aioprometheus import render

from shallotroad.gateway.metrics import make_gauge_updater
from shallotroad.http_server.message import Response
from shallotroad.policy.cells import Cell


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from shallotroad.gateway.factory import Components
    from shallotroad.http_server.connection import ServerRequest
    from shallotroad.http_server.message import HeaderPairs

METRICS_PATH = "/metrics"
DUMP_PATH = "/debug/dump"
LIVENESS_PATH = "/healthz"
# Accepted media types of the metrics. The request's Accept header is not read, so the
# response is always in the text format.
METRICS_ACCEPT = ["text/plain; version=0.0.4"]


def dump_gateway(components: Components) -> dict[str, Any]:
    """Return the state of a gateway as JSON data, without API keys or prompts.

    ``version`` is that of the configuration, None before the first; ``silent_s`` the
    time since the last contact with the store; ``live_entries`` the live gateways;
    ``coordinators`` the first two for each cell of a service with an engine;
    ``granted_to_others`` the number of other gateways' requests in flight that this
    gateway counts; ``waiting`` that of the queued requests; and ``stopping`` whether
    the gateway is draining. ``suspended`` has the keys of the requests that are refused
    because they crash endpoints, or run ``alone``, and the time since their last crash.
    Each of the ``endpoints`` has the figures of its ``EndpointLoad``;
    ``running_everywhere`` equals ``running``, and ``cold_s`` is the rest of the cold
    time.
    """
    now_s = components.clock()
    configuration = components.catalog.configuration
    return {
        "role": "gateway",
        "instance": components.settings.name,
        "data_centre": components.settings.data_centre,
        "version": configuration.version if configuration else None,
        "store": {
            "connected": components.store_watcher.connected,
            "revision": components.store_watcher.revision,
            "era": components.store_watcher.era,
            "silent_s": round(now_s - components.store_watcher.last_contact_s, 3),
        },
        "closed_data_centres": sorted(components.catalog.closed_data_centres),
        "live_entries": components.membership.live_names(now_s),
        "coordinators": {
            cell.key: components.placement_client.coordinators(cell)[:2]
            for name, service in (
                configuration.services if configuration else {}
            ).items()
            if service.engine is not None
            for cell in (
                Cell(name, cell_name)
                for cell_name in components.endpoint_registry.cells(name).names
            )
        },
        "granted_to_others": components.coordinator.remote_in_flight_count,
        "engine_models": components.engine_models.rows(),
        "waiting": components.admission.queue_length,
        "open_requests": components.frontend.open_requests,
        "stopping": components.frontend.draining,
        "suspended": [
            {
                "keys": sorted(verdict.keys),
                "crashes": verdict.crashes,
                "alone": verdict.alone,
                "last_crash_s": round(now_s - verdict.last_crash_s, 1),
            }
            for verdict in components.crash_monitor.suspended
        ],
        "endpoints": [
            {
                "endpoint": identifier,
                "service": load.record.service,
                "software_version": load.record.software_version,
                "data_centre": load.record.data_centre,
                "draining": load.is_leaving(now_s),
                "limit_per_s": load.limit_per_s,
                "quiet_s": round(max(0.0, load.quiet_until_s - now_s), 2),
                "running": load.running,
                "running_everywhere": load.running,
                "backlog_ms": round(load.backlog_ms(now_s)),
                "debt_ms": round(load.debt_ms(now_s)),
                "slowness": round(load.slowness, 2),
                "failure_share": round(load.failure_share(now_s), 3),
                "cold_s": round(max(0.0, load.cold_until_s - now_s), 2),
            }
            for identifier, load in sorted(components.endpoint_registry.loads.items())
        ],
    }


def _encode_headers(headers: Mapping[str, str]) -> HeaderPairs:
    return tuple((name.encode(), value.encode()) for name, value in headers.items())


def make_status_handler(
    components: Components,
) -> Callable[[ServerRequest], Awaitable[Response]]:
    """Return the handler of the listeners at the readiness and metrics addresses.

    Paths other than ``METRICS_PATH``, ``DUMP_PATH`` and ``LIVENESS_PATH`` return the
    readiness: 200, or 503 while the gateway drains or has no configuration.
    """
    update_gauges = make_gauge_updater(components)

    async def handle(request: ServerRequest) -> Response:
        if request.path == METRICS_PATH:
            update_gauges()
            content, headers = render(components.metrics.registry, METRICS_ACCEPT)
            return Response(200, _encode_headers(headers), content)
        if request.path == DUMP_PATH:
            body = orjson.dumps(dump_gateway(components))
            return Response(200, ((b"Content-Type", b"application/json"),), body)
        if request.path == LIVENESS_PATH:
            return Response(200)
        ready = (
            not components.frontend.draining
            and components.catalog.configuration is not None
        )
        return Response(200 if ready else 503)

    return handle
