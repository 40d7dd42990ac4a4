"""Loads the configuration folder that a command received as its argument."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.folder import load_config_folder
from shallotroad.console.run_process import EXIT_INVALID


if TYPE_CHECKING:
    from pathlib import Path

    from shallotroad.config.folder import ConfigFolder


def folder_or_exit(path: Path) -> ConfigFolder:
    """Return the checked folder, or print every finding and exit with 2."""
    try:
        return load_config_folder(path)
    except ConfigInvalidError as error:
        for line in error.lines():
            click.echo(line, err=True)
        click.echo(f"{len(error.exceptions)} findings", err=True)
        sys.exit(EXIT_INVALID)
