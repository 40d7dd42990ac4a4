"""``shallotroad config render``."""

from __future__ import annotations

import json
from pathlib import Path

import click

from shallotroad.console.folder_argument import folder_or_exit


@click.command()
@click.argument("folder", type=click.Path(path_type=Path))
def render(folder: Path) -> None:
    """Print the values of FOLDER as JSON, ready to publish by your own tool."""
    found = folder_or_exit(folder)
    click.echo(json.dumps(found.values, indent=1, sort_keys=True))
