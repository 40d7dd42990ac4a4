"""The ``shallotroad`` command."""

from __future__ import annotations

import click

from shallotroad import __version__


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Check configurations and look into a running fleet."""
