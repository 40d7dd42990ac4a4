from __future__ import annotations

import json
from typing import TYPE_CHECKING

from click.testing import CliRunner

from shallotroad.console.application import main


if TYPE_CHECKING:
    from pathlib import Path

RECORDS = (
    {"time": 1.0, "event": "store lost", "process": "g1", "why": "reset"},
    {"time": 2.0, "event": "attempt failed", "process": "g1", "request": "q1"},
    {
        "time": 2.5,
        "event": "request finished",
        "process": "g1",
        "request": "q1",
        "outcome": "unknown",
        "ms": 800,
        "attempts": [{"endpoint": "e1", "cost_ms": 12}],
    },
    {"time": 2.2, "event": "store lost", "process": "g2"},
)


def test_trace_shows_decisions_and_state_changes_of_its_gateway(tmp_path: Path) -> None:
    log = tmp_path / "g.log"
    text = "\n".join(json.dumps(record) for record in RECORDS)
    log.write_text(f"not a line\n{{broken\n  -3.2 g1 {text}\n")
    result = CliRunner().invoke(main, ["trace", "q1", str(log)])
    assert result.exit_code == 0
    assert "outcome unknown" in result.output
    assert "endpoint e1" in result.output
    assert "g1: store lost" in result.output
    assert "g2" not in result.output


def test_trace_of_unlogged_request_exits_with_1(tmp_path: Path) -> None:
    log = tmp_path / "g.log"
    log.write_text("")
    result = CliRunner().invoke(main, ["trace", "q1", str(log)])
    assert result.exit_code == 1


def test_settings_check_prints_every_missing_key(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text('node-name = "n1"\n')
    result = CliRunner().invoke(main, ["settings", "check", str(path)])
    assert result.exit_code == 2
    assert "listen.front" in result.output
    assert "provider.address" in result.output
