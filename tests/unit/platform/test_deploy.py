"""Guards that the files for deployment match the lock file and the source."""

from __future__ import annotations

import tomllib
from pathlib import Path


ROOT = Path(__file__).parents[3]


def test_requirements_match_the_lock_file() -> None:
    lock = tomllib.loads((ROOT / "poetry.lock").read_text())
    locked = {p["name"].replace("_", "-"): p["version"] for p in lock["package"]}
    for line in (ROOT / "deploy" / "requirements.txt").read_text().splitlines():
        name, _, version = line.partition("==")
        assert locked[name.replace("_", "-")] == version, name


def test_roles_of_the_deploy_file_run_existing_modules() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    for role in deploy["roles"].values():
        module = role["run"].split()[-1]
        path = ROOT / "src" / Path(*module.split(".")).with_suffix(".py")
        assert path.exists()
