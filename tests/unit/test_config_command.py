from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest
from click.testing import CliRunner

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.settings import AgentSettings
from shallotroad.config.settings import EntrySettings
from shallotroad.config.settings import load_settings
from shallotroad.console.application import main


EXAMPLES = Path("examples")
BROKEN = Path("tests/fixtures/broken")


@pytest.mark.parametrize("name", ["sanad", "abay"])
def test_examples_are_valid(name: str) -> None:
    result = CliRunner().invoke(main, ["config", "check", str(EXAMPLES / name)])
    assert result.exit_code == 0, result.output
    assert "10 teams" in result.output


def test_check_prints_all_findings_of_an_invalid_folder() -> None:
    result = CliRunner().invoke(main, ["config", "check", str(BROKEN)])
    assert result.exit_code == 2
    for message in (
        "must be a number, not 'fast'",
        "unknown parameter 'mystery'",
        "unknown template 'absent'",
        "'idle' is declared but not used",
        "unknown key surprise",
        "tier is 0, 1, 2 or 3",
        "model 'other' is not in fleet.models",
        "data centre 'nowhere' is not in fleet.data_centres",
    ):
        assert message in result.output


def test_render_prints_the_values_to_publish() -> None:
    result = CliRunner().invoke(main, ["config", "render", str(EXAMPLES / "sanad")])
    values = json.loads(result.output)
    assert len(values) == 11
    assert json.loads(values["team/zarqa"])["limits"]["requests_per_s"] == 5


def test_diff_lists_closures_and_changes_of_teams(tmp_path: Path) -> None:
    after = tmp_path / "sanad"
    shutil.copytree(EXAMPLES / "sanad", after)
    fleet = after / "fleet.toml"
    text = fleet.read_text()
    closed = text.replace(
        "closed_data_centres = []", 'closed_data_centres = ["amman-3"]'
    )
    fleet.write_text(closed)
    zarqa = after / "teams" / "zarqa.toml"
    zarqa.write_text(zarqa.read_text().replace("= 5", "= 9"))
    (after / "teams" / "karak.toml").unlink()
    result = CliRunner().invoke(
        main, ["config", "diff", str(EXAMPLES / "sanad"), str(after)]
    )
    assert result.output.splitlines() == [
        "data centre amman-3 is taken out of service",
        "team: karak removed",
        "team zarqa limits: requests_per_s changes from 5.0 to 9.0",
    ]


def test_settings_errors_include_line_numbers_of_all_findings(tmp_path: Path) -> None:
    path = tmp_path / "entry.toml"
    path.write_text(
        '[process]\nname = "e"\ndata_centre = 3\n'
        '[callers]\nhost = "127.0.0.1"\nport = "x"\n'
        '[peers]\nhost = "127.0.0.1"\nport = 1\nspeed = 2\n'
        '[platform]\nurl = "http://127.0.0.1"\n'
    )
    with pytest.raises(ConfigInvalidError) as error:
        load_settings(path, EntrySettings, environment={})
    lines = "\n".join(error.value.lines())
    assert "process.data_centre (line 3): write text in quotes" in lines
    assert "callers.port (line 6): write a whole number" in lines
    assert "unknown key speed" in lines
    assert "'security' is missing" in lines


def test_environment_overrides_the_settings_file(tmp_path: Path) -> None:
    path = tmp_path / "agent.toml"
    path.write_text(
        '[process]\nname = "a"\ndata_centre = "d"\n'
        '[listen]\nhost = "127.0.0.1"\nport = 1\n'
        '[status]\nhost = "127.0.0.1"\nport = 2\n'
        '[platform]\nurl = "http://127.0.0.1"\n'
        '[security]\nfleet_key = "k"\n'
        '[endpoint]\nurl = "http://127.0.0.1"\nserves = ["m"]\n'
    )
    settings = load_settings(
        path, AgentSettings, environment={"SHALLOTROAD_NAME": "other"}
    )
    assert settings.process.name == "other"
    assert settings.endpoint.max_running == 8
