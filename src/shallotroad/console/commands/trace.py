"""``shallotroad trace``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import orjson


NOT_SHOWN = frozenset(("time", "level", "event", "process", "request", "attempts"))
STATE_EVENT_WINDOW_S = 5.0  # beliefs that changed this shortly before the request's end
STATE_EVENTS = frozenset(
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


def _read_log_records(path: Path) -> list[dict[str, Any]]:
    """Return the structured lines of a log; other lines are passed over."""
    found = []
    for raw in path.read_bytes().splitlines():
        start = raw.find(b"{")
        if start < 0:
            continue
        try:
            record = orjson.loads(raw[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(record, dict) and "event" in record and "time" in record:
            found.append(record)
    return found


def _show(record: dict[str, Any]) -> str:
    rest = ", ".join(f"{k} {v}" for k, v in record.items() if k not in NOT_SHOWN)
    return (
        f"{record['time']:.3f} {record.get('process', '')}: {record['event']}: {rest}"
    )


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
    records = sorted(
        (x for path in logs for x in _read_log_records(path)), key=lambda x: x["time"]
    )
    own = [record for record in records if record.get("request") == request_id]
    if not own:
        click.echo(f"no line on {request_id}; its gateway may have been killed")
        sys.exit(1)
    for record in own:
        click.echo(_show(record))
        for choice in record.get("attempts", ()):
            click.echo("    chose " + ", ".join(f"{k} {v}" for k, v in choice.items()))
    process, end_s = own[-1].get("process"), own[-1]["time"]
    begun_s = end_s - own[-1].get("ms", 0) / 1000 - STATE_EVENT_WINDOW_S
    click.echo(f"what {process} learned from {STATE_EVENT_WINDOW_S:.0f} s before:")
    for record in records:
        near = begun_s <= record["time"] <= end_s
        if (
            near
            and record.get("process") == process
            and record["event"] in STATE_EVENTS
        ):
            click.echo("  " + _show(record))
