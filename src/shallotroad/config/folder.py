"""Reader of a configuration folder that operators keep in version control.

``fleet.toml`` holds the fleet value and an optional inventory of endpoints,
``templates/NAME.toml`` a template with parameters, and ``teams/NAME.toml`` the
template and the parameter values of a team. The folder is rendered into the
values that the configuration service stores, and validated as a whole.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.exceptions import Finding
from shallotroad.config.fleet_config import FLEET_VALUE_KEY
from shallotroad.config.fleet_config import TEAM_VALUE_PREFIX
from shallotroad.config.fleet_config import build_fleet_config
from shallotroad.config.structure import structure
from shallotroad.config.templates import load_template
from shallotroad.config.templates import read_toml
from shallotroad.config.templates import render_team


if TYPE_CHECKING:
    from pathlib import Path

    from shallotroad.config.fleet_config import FleetConfig
    from shallotroad.config.fleet_config import Team

INVENTORY_KEY = "inventory"


class InventoryRow(NamedTuple):
    """Endpoints of one kind in one data centre, used for validation only.

    ``serves`` names the model or service, and ``first_token_ms`` is the time to
    first token of an idle endpoint. With 0 it satisfies every latency target.
    """

    data_centre: str
    serves: str
    replicas: int
    first_token_ms: int = 0


class ConfigFolder(NamedTuple):
    """Values to publish, the inventory, and the configuration built from the values.

    The configuration is not published yet; its revision is always 1.
    """

    values: dict[str, str]
    inventory: tuple[InventoryRow, ...]
    fleet: FleetConfig


def _to_json(value: Any) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def _read_inventory(
    rows: Any, location: str, findings: list[Finding]
) -> tuple[InventoryRow, ...]:
    try:
        return structure(
            rows, tuple[InventoryRow, ...], source=f"{location} {INVENTORY_KEY}"
        )
    except ConfigInvalidError as error:
        findings.extend(e for e in error.exceptions if isinstance(e, Finding))
        return ()


def _check_endpoints(
    team: Team, inventory: tuple[InventoryRow, ...], fleet: FleetConfig
) -> list[Finding]:
    """Check a team against the inventory rows of its open data centres.

    Returns a finding for each model or service that no endpoint serves, and for each
    ``first_token_ms`` below that of the fastest endpoint of the model.
    """
    found = []
    closed = fleet.value.closed_data_centres
    open_centres = [name for name in team.data_centres if name not in closed]
    available = [
        row for row in inventory if row.data_centre in open_centres and row.replicas > 0
    ]
    for item in team.classes:
        location = f"teams/{team.name} classes.{item.name}"
        for model in item.models:
            rows = [row for row in available if row.serves == model]
            if not rows:
                message = f"no endpoint in its open data centres serves {model!r}"
                found.append(Finding(location=location, message=message))
                continue
            fastest_ms = min(row.first_token_ms for row in rows)
            if fastest_ms > item.first_token_ms:
                message = (
                    f"first_token_ms {item.first_token_ms} can't be met: the fastest "
                    f"endpoint for {model!r} takes {fastest_ms} ms when idle"
                )
                found.append(Finding(location=location, message=message))
    for service in team.services:
        if not any(row.serves == service.name for row in available):
            message = f"no endpoint in its open data centres serves {service.name!r}"
            location = f"teams/{team.name} services.{service.name}"
            found.append(Finding(location=location, message=message))
    return found


def load_config_folder(path: Path) -> ConfigFolder:
    """Read, render and validate a configuration folder.

    Models and services are checked against the inventory if there is one.

    Raises
    ------
    ConfigInvalidError
        With every finding, when any file of the folder is invalid.
    """
    findings: list[Finding] = []
    fleet_path = path / "fleet.toml"
    fleet_data = read_toml(fleet_path, findings)
    rows = fleet_data.pop(INVENTORY_KEY, [])
    inventory = _read_inventory(rows, str(fleet_path), findings)
    templates = {}
    for template_path in sorted((path / "templates").glob("*.toml")):
        template = load_template(template_path, findings)
        if template is not None:
            templates[template.name] = template
    values = {FLEET_VALUE_KEY: _to_json(fleet_data)}
    for team_path in sorted((path / "teams").glob("*.toml")):
        value = render_team(team_path, templates, findings)
        if value is not None:
            values[f"{TEAM_VALUE_PREFIX}{team_path.stem}"] = _to_json(value)
    try:
        fleet = build_fleet_config(revision=1, values=values)
    except ConfigInvalidError as error:
        findings.extend(e for e in error.exceptions if isinstance(e, Finding))
        raise ConfigInvalidError(f"{path} is not valid", findings) from None
    if inventory:
        for team in fleet.teams.values():
            findings.extend(_check_endpoints(team, inventory, fleet))
    if findings:
        raise ConfigInvalidError(f"{path} is not valid", findings)
    return ConfigFolder(values, inventory, fleet)
