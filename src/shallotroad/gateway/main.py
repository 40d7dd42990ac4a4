"""Starts a gateway with the settings of its machine."""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop

from shallotroad.gateway.factory import serve
from shallotroad.observability.decisions import BUFFER
from shallotroad.observability.decisions import configure_decisions
from shallotroad.observability.decisions import decided
from shallotroad.platform.exceptions import SettingsError
from shallotroad.platform.settings import read_settings


async def _run(stop_early: list[int]) -> None:
    settings = read_settings()
    configure_decisions(process=settings.name)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: decided("settings changed"))
    if stop_early:
        stop.set()
    await serve(settings, stop)


def main() -> None:
    """Run until told to stop."""
    stop_early: list[int] = []
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda n, _: stop_early.append(n))
    try:
        uvloop.run(_run(stop_early))
    except SettingsError as error:
        sys.stderr.write(f"settings: {error}\n")
        sys.exit(2)
    finally:
        BUFFER.flush()


if __name__ == "__main__":
    main()
