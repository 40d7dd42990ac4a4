"""The ``shallotroad-entry`` command."""

from __future__ import annotations

from pathlib import Path

import click

from shallotroad.config.settings import EntrySettings
from shallotroad.console.run_process import run_process
from shallotroad.entry.factory import run_entry


@click.command()
@click.argument("settings_file", type=click.Path(path_type=Path))
def main(settings_file: Path) -> None:
    """Run an entry with the settings in SETTINGS_FILE."""
    run_process(settings_file, EntrySettings, run_entry)
