"""Starts a gateway with the settings of its machine.

The signal handlers are in place before anything heavy is imported, so that a
process that is told to leave while it starts still ends in order.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


EARLY: list[int] = []


def _note_early(number: int, _: object) -> None:
    EARLY.append(number)


for early in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(early, _note_early)


async def _run() -> None:
    import asyncio

    from shallotroad.gateway.factory import serve
    from shallotroad.observability.decisions import configure_decisions
    from shallotroad.platform.settings import read_settings

    settings = read_settings()
    configure_decisions(process=settings.name)
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
    await serve(settings, stop, reload)


def main() -> None:
    """Run until told to stop.

    The process ends without the interpreter's own teardown, which takes long
    on a busy machine and would eat into the grace period.
    """
    import uvloop

    from shallotroad.observability.decisions import BUFFER
    from shallotroad.observability.decisions import MOST_LINES
    from shallotroad.platform.exceptions import SettingsError

    try:
        uvloop.run(_run())
    except SettingsError as error:
        sys.stderr.write(f"settings: {error}\n")
        sys.exit(2)
    finally:
        BUFFER.flush(MOST_LINES)
    os._exit(0)


if __name__ == "__main__":
    main()
