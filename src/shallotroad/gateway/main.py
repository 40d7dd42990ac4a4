"""Starts a gateway with the settings of its instance.

Signal handlers are installed and the callers' listener is open before large modules
are imported. A process that receives a stop signal while it starts still drains, and
after a power loss callers wait in the listener's backlog instead of being refused by
every gateway of the deployment.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from shallotroad.platform.settings import InstanceSettings


# Monotonic time in seconds at which a signal first arrived while the process started.
EARLY_SIGNALS_S: dict[int, float] = {}


def _record_early_signal(signal_number: int, _: object) -> None:
    EARLY_SIGNALS_S.setdefault(signal_number, time.monotonic())


for handled_signal in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(handled_signal, _record_early_signal)


async def _run(settings: InstanceSettings, caller_listener: socket.socket) -> None:
    import asyncio

    from shallotroad.gateway.factory import serve
    from shallotroad.observability.event_log import configure_event_log

    configure_event_log(process=settings.name)
    loop = asyncio.get_running_loop()
    stop: asyncio.Future[float] = loop.create_future()

    def request_stop() -> None:
        if not stop.done():
            stop.set_result(time.monotonic())

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_stop)
    reload_callbacks: set[Callable[[], None]] = set()

    def request_reload() -> None:
        for callback in reload_callbacks:
            callback()

    loop.add_signal_handler(signal.SIGHUP, request_reload)
    early_stops_s = [
        requested_s
        for signal_number, requested_s in EARLY_SIGNALS_S.items()
        if signal_number in (signal.SIGTERM, signal.SIGINT)
    ]
    if early_stops_s and not stop.done():
        stop.set_result(min(early_stops_s))
    gc.freeze()
    gc.enable()
    await serve(settings, caller_listener, stop, reload_callbacks)


def main() -> None:
    """Run a gateway until a stop signal, then exit the process.

    The exit status is 2 when the settings are invalid. The process exits without the
    interpreter's teardown, which is slow on a busy instance and would use up the grace
    period.
    """
    # Imports create no garbage, and collections would take a tenth of the start.
    gc.disable()
    from shallotroad.gateway.listener import open_listener
    from shallotroad.platform.exceptions import SettingsError
    from shallotroad.platform.settings import read_settings

    try:
        settings = read_settings()
    except SettingsError as error:
        sys.stderr.write(f"settings: {error}\n")
        sys.exit(2)
    caller_listener = open_listener(settings.callers)

    import uvloop

    from shallotroad.observability.event_log import LOG_BUFFER

    try:
        uvloop.run(_run(settings, caller_listener))
    finally:
        LOG_BUFFER.flush_at_exit()
    os._exit(0)


if __name__ == "__main__":
    main()
