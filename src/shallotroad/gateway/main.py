"""Starts a gateway with the settings of its machine.

The signal handlers are in place and the callers' port is open before anything
heavy is imported: a process that is told to leave while it starts still ends in
order, and callers wait in the port's queue for a process that is nearly up, rather
than be turned away by the whole deployment after a power loss.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from shallotroad.platform.settings import InstanceSettings


EARLY: list[int] = []


def _record_early(number: int, _: object) -> None:
    EARLY.append(number)


for early in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(early, _record_early)


async def _run(settings: InstanceSettings, caller_listener: socket.socket) -> None:
    import asyncio

    from shallotroad.gateway.factory import serve
    from shallotroad.observability.event_log import configure_event_log

    configure_event_log(process=settings.name)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reload: set[Callable[[], None]] = set()

    def read_again() -> None:
        for call in reload:
            call()

    loop.add_signal_handler(signal.SIGHUP, read_again)
    if signal.SIGTERM in EARLY or signal.SIGINT in EARLY:
        stop.set()
    gc.freeze()
    gc.enable()
    await serve(settings, caller_listener, stop, reload)


def main() -> None:
    """Run until told to stop.

    The process ends without the interpreter's own teardown, which takes long
    on a busy machine and would eat into the grace period.
    """
    gc.disable()  # imports make no garbage; collections are a tenth of a start
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
    from shallotroad.observability.event_log import MAX_BUFFERED_LINES

    try:
        uvloop.run(_run(settings, caller_listener))
    finally:
        LOG_BUFFER.flush(MAX_BUFFERED_LINES)
    os._exit(0)


if __name__ == "__main__":
    main()
