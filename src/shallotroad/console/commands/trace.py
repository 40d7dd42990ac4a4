"""``shallotroad trace``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import orjson


NOT_SHOWN = frozenset(("time", "level", "event", "process", "request", "attempts"))
BELIEF_WINDOW_S = 5.0  # beliefs that changed this shortly before the request's end
BELIEFS = frozenset(
    (
        "configuration adopted",
        "data centre closed",
        "data centre opened",
        "endpoint added",
        "endpoint draining",
        "endpoint gone",
        "endpoint restarted",
        "store lost",
        "store reached",
        "settings reloaded",
        "started",
        "stopping",
    )
)


def _lines(path: Path) -> list[dict[str, Any]]:
    """Return the structured lines of a log; other lines are passed over."""
    found = []
    for raw in path.read_bytes().splitlines():
        start = raw.find(b"{")
        if start < 0:
            continue
        try:
            line = orjson.loads(raw[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(line, dict) and "event" in line and "time" in line:
            found.append(line)
    return found


def _show(line: dict[str, Any]) -> str:
    rest = ", ".join(f"{k} {v}" for k, v in line.items() if k not in NOT_SHOWN)
    return f"{line['time']:.3f} {line.get('process', '')}: {line['event']}: {rest}"


@click.command()
@click.argument("request_id")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def trace(request_id: str, logs: tuple[Path, ...]) -> None:
    """Tell what became of REQUEST_ID from the LOGS of the gateways.

    Shows each decision on the request, and what its gateway learned shortly
    before the request ended.
    """
    lines = sorted((x for path in logs for x in _lines(path)), key=lambda x: x["time"])
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        click.echo(f"no line on {request_id}; its gateway may have been killed")
        sys.exit(1)
    for line in own:
        click.echo(_show(line))
        for choice in line.get("attempts", ()):
            click.echo("    chose " + ", ".join(f"{k} {v}" for k, v in choice.items()))
    process, end_s = own[-1].get("process"), own[-1]["time"]
    begun_s = end_s - own[-1].get("ms", 0) / 1000 - BELIEF_WINDOW_S
    click.echo(f"what {process} learned from {BELIEF_WINDOW_S:.0f} s before:")
    for line in lines:
        near = begun_s <= line["time"] <= end_s
        if near and line.get("process") == process and line["event"] in BELIEFS:
            click.echo("  " + _show(line))
