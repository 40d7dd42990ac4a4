"""Serves the HTTP application of a stand-in until its process ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import uvloop
from aiohttp import web


if TYPE_CHECKING:
    from collections.abc import Callable

SHUTDOWN_TIMEOUT_S = 0.1


def serve_app(make_app: Callable[[], web.Application], *, host: str, port: int) -> None:
    """Serve the application that ``make_app`` returns; it runs in the event loop."""

    async def run() -> None:
        runner = web.AppRunner(
            make_app(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        await asyncio.Event().wait()

    uvloop.run(run())
