"""The ``shallotroad config diff`` command."""

from __future__ import annotations

from pathlib import Path

import click

from shallotroad.config.diff import describe_changes
from shallotroad.console.folder_argument import folder_or_exit


@click.command()
@click.argument("before", type=click.Path(path_type=Path))
@click.argument("after", type=click.Path(path_type=Path))
def diff(before: Path, after: Path) -> None:
    """Print the changes between the folders BEFORE and AFTER, and whom they affect.

    Each line names the team, data centre or instance. Exits with 0 with or without
    changes, and with 2 and the findings if a folder is invalid.
    """
    lines = describe_changes(folder_or_exit(before).fleet, folder_or_exit(after).fleet)
    for line in lines or ["nothing changes"]:
        click.echo(line)
