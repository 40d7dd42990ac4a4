"""The ``shallotroad dump`` command."""

from __future__ import annotations

import json
from typing import Any

import click

from shallotroad.console.status_client import request_or_exit


def _format_lines(data: Any, indent: int = 0) -> list[str]:
    padding = "  " * indent
    lines = []
    for key, value in data.items():
        if isinstance(value, dict) and value:
            lines += [f"{padding}{key}:", *_format_lines(value, indent + 1)]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            lines.append(f"{padding}{key}:")
            for row in value:
                cells = "  ".join(f"{k}={v}" for k, v in row.items())
                lines.append(f"{padding}  {cells}")
        else:
            lines.append(f"{padding}{key:<22} {value}")
    return lines


@click.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def dump(address: str, as_json: bool) -> None:
    """Print the state of the process at ADDRESS (host:port)."""
    data = request_or_exit(address, "/debug/dump")
    text = json.dumps(data, indent=1) if as_json else "\n".join(_format_lines(data))
    click.echo(text)
