"""HTTP routes for operators: liveness, readiness, metrics and a state dump.

Entries and agents use them; the gateway has its own handler in ``gateway.exports``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from aioprometheus import render


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from aioprometheus.collectors import Registry

# Accepted media types of the metrics. The request's Accept header is not read, so the
# response is always in the text format.
METRICS_ACCEPT = ["text/plain; version=0.0.4"]


def add_status_routes(
    app: web.Application,
    *,
    not_ready_reason: Callable[[], str],
    dump: Callable[[], dict[str, Any]],
    registry: Registry,
    update_gauges: Callable[[], None],
) -> None:
    """Add ``/healthz``, ``/readyz``, ``/metrics`` and ``/debug/dump``.

    ``/readyz`` responds 200 or, while the process is not ready, 503 with the reason.

    Parameters
    ----------
    app : web.Application
        Application to which the routes are added.
    not_ready_reason : Callable[[], str]
        Returns why the process is not ready; an empty string when it is ready.
    dump : Callable[[], dict]
        Returns the state of the process, without prompt text or API keys.
    registry : Registry
        Metrics of the process.
    update_gauges : Callable[[], None]
        Updates the gauges before they are read.
    """

    async def healthz(_: web.Request) -> web.Response:
        return web.json_response({"status": "alive"})

    async def readyz(_: web.Request) -> web.Response:
        reason = not_ready_reason()
        status = 503 if reason else 200
        return web.json_response({"ready": not reason, "why": reason}, status=status)

    async def metrics(_: web.Request) -> web.Response:
        update_gauges()
        content, headers = render(registry, METRICS_ACCEPT)
        return web.Response(body=content, headers=headers)

    async def debug_dump(_: web.Request) -> web.Response:
        return web.json_response(dump())

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", metrics)
    app.router.add_get("/debug/dump", debug_dump)
