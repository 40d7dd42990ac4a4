"""The ``shallotroad`` command group."""

from __future__ import annotations

import click

from shallotroad import __version__
from shallotroad.console.commands.config_check import check
from shallotroad.console.commands.config_diff import diff
from shallotroad.console.commands.config_render import render
from shallotroad.console.commands.dump import dump
from shallotroad.console.commands.explain import explain
from shallotroad.console.commands.fleet import fleet
from shallotroad.console.commands.settings_check import settings_check
from shallotroad.console.commands.trace import trace


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Check configurations and inspect a running fleet.

    Exit codes: 0 success; 1 a process was unreachable or returned an error, or a
    request is not in the logs; 2 findings in a configuration, or wrong arguments.
    """


@main.group()
def config() -> None:
    """Check, render and compare configuration folders offline."""


@main.group()
def settings() -> None:
    """Check the settings of a gateway (process shallotroad-gateway) offline."""


settings.add_command(settings_check)
config.add_command(check)
config.add_command(render)
config.add_command(diff)
main.add_command(dump)
main.add_command(explain)
main.add_command(fleet)
main.add_command(trace)
