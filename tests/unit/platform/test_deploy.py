"""The files that the machines build from agree with the lock."""

from __future__ import annotations

import tomllib
from pathlib import Path


ROOT = Path(__file__).parents[3]


def test_requirements_are_those_of_the_lock() -> None:
    lock = tomllib.loads((ROOT / "poetry.lock").read_text())
    locked = {p["name"].replace("_", "-"): p["version"] for p in lock["package"]}
    for line in (ROOT / "deploy" / "requirements.txt").read_text().splitlines():
        name, _, version = line.partition("==")
        assert locked[name.replace("_", "-")] == version, name


def test_the_deploy_file_names_a_module_that_exists() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    for role in deploy["roles"].values():
        module = role["run"].split()[-1]
        path = ROOT / "src" / Path(*module.split(".")).with_suffix(".py")
        assert path.exists()
