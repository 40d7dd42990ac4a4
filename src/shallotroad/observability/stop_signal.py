"""Waits for the signals that stop a process."""

from __future__ import annotations

import asyncio
import signal


async def wait_for_stop_signal() -> None:
    """Return once the process receives SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
