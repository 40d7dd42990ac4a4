"""The ``shallotroad-agent`` command."""

from __future__ import annotations

from pathlib import Path

import click

from shallotroad.agent.factory import run_agent
from shallotroad.config.settings import AgentSettings
from shallotroad.console.run_process import run_process


@click.command()
@click.argument("settings_file", type=click.Path(path_type=Path))
def main(settings_file: Path) -> None:
    """Run the agent of an endpoint with the settings in SETTINGS_FILE."""
    run_process(settings_file, AgentSettings, run_agent)
