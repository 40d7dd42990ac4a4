"""Starts a long-running process from its settings file."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click
import uvloop

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.settings import load_settings
from shallotroad.observability.logs import configure_logging


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

    from shallotroad.config.settings import SettingsT

# Exit code when the settings or a configuration folder have findings.
EXIT_INVALID = 2


def run_process(
    path: Path,
    settings_type: type[SettingsT],
    run: Callable[[SettingsT], Awaitable[None]],
) -> None:
    """Load the settings, configure logging and run until the process ends.

    If the settings are invalid, prints every finding and exits with 2.
    """
    try:
        settings = load_settings(path, settings_type)
    except ConfigInvalidError as error:
        for line in error.lines():
            click.echo(line, err=True)
        sys.exit(EXIT_INVALID)
    configure_logging(settings.log, process=settings.process.name)

    async def main() -> None:
        await run(settings)

    uvloop.run(main())
