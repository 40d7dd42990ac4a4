"""The ``shallotroad trace`` command."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import orjson


# Keys left out of the list of other keys in a printed record: the line starts with the
# time, process and event, attempts follow on lines of their own, and the level and the
# request id are not printed.
HIDDEN_KEYS = frozenset(("time", "level", "event", "process", "request", "attempts"))
# State changes are shown from this long before the request until its end.
STATE_EVENT_WINDOW_S = 5.0
# Events that a gateway logs when it starts or stops, or when its settings,
# configuration or endpoints change. The store is the platform's, from which gateways
# read the configuration and the endpoints.
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
    """Return the JSON records of a log file; other lines are skipped."""
    records = []
    for line in path.read_bytes().splitlines():
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            record = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(record, dict) and "event" in record and "time" in record:
            records.append(record)
    return records


def _format_record(record: dict[str, Any]) -> str:
    text = ", ".join(f"{k} {v}" for k, v in record.items() if k not in HIDDEN_KEYS)
    return (
        f"{record['time']:.3f} {record.get('process', '')}: {record['event']}: {text}"
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
    """Print what happened to REQUEST_ID, according to the LOGS of the gateways.

    Shows each decision on the request, and the state changes that its gateway
    logged from shortly before the request until its end. LOGS are files with the
    standard output of shallotroad-gateway processes, in any order. Exits with 1 if
    they do not contain the request.
    """
    records = sorted(
        (x for path in logs for x in _read_log_records(path)), key=lambda x: x["time"]
    )
    request_records = [
        record for record in records if record.get("request") == request_id
    ]
    if not request_records:
        click.echo(f"no record of {request_id}; its gateway may have been killed")
        sys.exit(1)
    for record in request_records:
        click.echo(_format_record(record))
        for attempt in record.get("attempts", ()):
            click.echo("    chose " + ", ".join(f"{k} {v}" for k, v in attempt.items()))
    process, end_s = request_records[-1].get("process"), request_records[-1]["time"]
    window_start_s = (
        end_s - request_records[-1].get("ms", 0) / 1000 - STATE_EVENT_WINDOW_S
    )
    click.echo(f"state changes of {process} from {STATE_EVENT_WINDOW_S:.0f} s before:")
    for record in records:
        in_window = window_start_s <= record["time"] <= end_s
        if (
            in_window
            and record.get("process") == process
            and record["event"] in STATE_EVENTS
        ):
            click.echo("  " + _format_record(record))
