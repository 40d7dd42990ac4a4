"""The ``shallotroad config render`` command."""

from __future__ import annotations

import json
from pathlib import Path

import click

from shallotroad.console.folder_argument import folder_or_exit


@click.command()
@click.argument("folder", type=click.Path(path_type=Path))
def render(folder: Path) -> None:
    """Print the values of FOLDER as JSON, for publishing with another tool.

    The values are what the platform's configuration service stores and entries and
    agents read: one JSON text for the fleet and one for each team, by key. This
    command does not send them to the platform.
    """
    config_folder = folder_or_exit(folder)
    click.echo(json.dumps(config_folder.values, indent=1, sort_keys=True))
