"""A configuration folder as operators keep it in version control.

``fleet.toml`` holds the fleet, ``templates/NAME.toml`` the templates and
``teams/NAME.toml`` what each team fills in.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.exceptions import Finding
from shallotroad.config.fleet import FLEET_KEY
from shallotroad.config.fleet import TEAM_PREFIX
from shallotroad.config.fleet import build_fleet
from shallotroad.config.structure import structure
from shallotroad.config.templates import fill_team
from shallotroad.config.templates import read_template
from shallotroad.config.templates import read_toml


if TYPE_CHECKING:
    from pathlib import Path

    from shallotroad.config.fleet import Fleet
    from shallotroad.config.fleet import Team

INVENTORY = "inventory"


class Stock(NamedTuple):
    """Endpoints that stand in one data centre, for checks only.

    ``first_token_ms`` is what an idle endpoint takes to its first token.
    """

    data_centre: str
    serves: str
    replicas: int
    first_token_ms: int = 0


class Folder(NamedTuple):
    """A folder's published values and the inventory it is checked against."""

    values: dict[str, str]
    inventory: tuple[Stock, ...]
    fleet: Fleet


def _text(value: Any) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def _read_inventory(
    rows: Any, place: str, findings: list[Finding]
) -> tuple[Stock, ...]:
    try:
        return structure(rows, tuple[Stock, ...], source=f"{place} {INVENTORY}")
    except ConfigInvalidError as error:
        findings.extend(e for e in error.exceptions if isinstance(e, Finding))
        return ()


def _check_reach(
    team: Team, inventory: tuple[Stock, ...], fleet: Fleet
) -> list[Finding]:
    found = []
    closed = fleet.value.closed_data_centres
    open_centres = [name for name in team.data_centres if name not in closed]
    stock = [s for s in inventory if s.data_centre in open_centres and s.replicas > 0]
    for item in team.classes:
        place = f"teams/{team.name} classes.{item.name}"
        for model in item.models:
            rows = [s for s in stock if s.serves == model]
            if not rows:
                message = f"no endpoint in its open data centres serves {model!r}"
                found.append(Finding(place=place, message=message))
                continue
            fastest_ms = min(s.first_token_ms for s in rows)
            if fastest_ms > item.first_token_ms:
                message = (
                    f"first_token_ms {item.first_token_ms} can't be met: the fastest "
                    f"endpoint for {model!r} takes {fastest_ms} ms when idle"
                )
                found.append(Finding(place=place, message=message))
    for service in team.services:
        if not any(s.serves == service.name for s in stock):
            message = f"no endpoint in its open data centres serves {service.name!r}"
            place = f"teams/{team.name} services.{service.name}"
            found.append(Finding(place=place, message=message))
    return found


def read_folder(path: Path) -> Folder:
    """Read, fill in and check a configuration folder.

    Raises
    ------
    ConfigInvalidError
        With every finding of the whole folder.
    """
    findings: list[Finding] = []
    fleet_path = path / "fleet.toml"
    fleet_data = read_toml(fleet_path, findings)
    rows = fleet_data.pop(INVENTORY, [])
    inventory = _read_inventory(rows, str(fleet_path), findings)
    templates = {}
    for template_path in sorted((path / "templates").glob("*.toml")):
        template = read_template(template_path, findings)
        if template is not None:
            templates[template.name] = template
    values = {FLEET_KEY: _text(fleet_data)}
    for team_path in sorted((path / "teams").glob("*.toml")):
        value = fill_team(team_path, templates, findings)
        if value is not None:
            values[f"{TEAM_PREFIX}{team_path.stem}"] = _text(value)
    try:
        fleet = build_fleet(revision=1, values=values)
    except ConfigInvalidError as error:
        findings.extend(e for e in error.exceptions if isinstance(e, Finding))
        raise ConfigInvalidError(f"{path} is not valid", findings) from None
    if inventory:
        for team in fleet.teams.values():
            findings.extend(_check_reach(team, inventory, fleet))
    if findings:
        raise ConfigInvalidError(f"{path} is not valid", findings)
    return Folder(values, inventory, fleet)
