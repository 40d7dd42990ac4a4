"""The ``shallotroad settings check`` command."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from shallotroad.platform.exceptions import SettingsError
from shallotroad.platform.settings import read_settings


@click.command("check")
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def settings_check(path: Path) -> None:
    """Check a gateway's settings file and print every finding; exit with 2 if any.

    This is the file that a shallotroad-gateway process reads, not the settings of an
    entry or agent.
    """
    try:
        settings = read_settings(path)
    except SettingsError as error:
        click.echo(str(error))
        sys.exit(2)
    click.echo(f"{settings.name}: callers {settings.callers}, store {settings.store}")
