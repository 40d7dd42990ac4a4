"""``shallotroad dump``."""

from __future__ import annotations

import json
from typing import Any

import click

from shallotroad.console.status_client import request_or_exit


def _lines(data: Any, indent: int = 0) -> list[str]:
    pad = "  " * indent
    lines = []
    for key, value in data.items():
        if isinstance(value, dict) and value:
            lines += [f"{pad}{key}:", *_lines(value, indent + 1)]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            lines.append(f"{pad}{key}:")
            for row in value:
                cells = "  ".join(f"{k}={v}" for k, v in row.items())
                lines.append(f"{pad}  {cells}")
        else:
            lines.append(f"{pad}{key:<22} {value}")
    return lines


@click.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def dump(address: str, as_json: bool) -> None:
    """Print the state of the process at ADDRESS (host:port)."""
    data = request_or_exit(address, "/debug/dump")
    text = json.dumps(data, indent=1) if as_json else "\n".join(_lines(data))
    click.echo(text)
