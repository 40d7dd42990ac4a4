"""The fleet configuration in force: teams, classes and what is taken out."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.exceptions import Finding
from shallotroad.config.structure import structure


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

FLEET_VALUE_KEY = "fleet"
TEAM_VALUE_PREFIX = "team/"
TIER_COUNT = 4


class RequestClass(NamedTuple):
    """A kind of model request with one latency target.

    ``tier`` counts from 0, the most urgent, to 3. A request belongs to the
    first class of its team whose ``name`` the caller asks for, or whose model
    and ``max_tokens`` bound it fits.
    """

    name: str
    tier: int
    models: tuple[str, ...]
    first_token_ms: int
    between_tokens_ms: int
    deadline_s: float
    max_tokens: int
    preemptible: bool = True


class Call(NamedTuple):
    """One call of a plain service.

    ``repeatable`` false marks a call that must run at most once.
    """

    method: str
    path: str
    repeatable: bool


class TeamService(NamedTuple):
    """A plain service that a team may use."""

    name: str
    tier: int
    deadline_s: float
    calls: tuple[Call, ...]


class RateLimit(NamedTuple):
    """What a team may send, over all entries together."""

    requests_per_s: float
    burst_requests: int


class Team(NamedTuple):
    """A customer of the fleet."""

    name: str
    keys_sha256: tuple[str, ...]
    data_centres: tuple[str, ...]
    limits: RateLimit
    classes: tuple[RequestClass, ...] = ()
    services: tuple[TeamService, ...] = ()


class FleetValue(NamedTuple):
    """The value that holds for all teams."""

    data_centres: tuple[str, ...]
    models: tuple[str, ...]
    services: tuple[str, ...]
    closed_data_centres: tuple[str, ...] = ()
    closed_instances: tuple[str, ...] = ()


class FleetConfig(NamedTuple):
    """One accepted configuration as a whole."""

    revision: int
    value: FleetValue
    teams: dict[str, Team]
    team_by_key: dict[str, str]

    def is_closed(self, *, instance: str, data_centre: str) -> bool:
        """Tell whether an instance is taken out, itself or with its data centre."""
        value = self.value
        return (
            data_centre in value.closed_data_centres
            or instance in value.closed_instances
        )


def _decode(key: str, text: str, findings: list[Finding]) -> object:
    try:
        return json.loads(text)
    except ValueError as error:
        findings.append(Finding(location=key, message=f"not JSON: {error}"))
        return None


def _duplicates(names: Iterable[str]) -> list[str]:
    seen: set[str] = set()
    twice = []
    for name in names:
        if name in seen:
            twice.append(name)
        seen.add(name)
    return twice


def _check_class(location: str, item: RequestClass, value: FleetValue) -> list[Finding]:
    found = []
    class_location = f"{location} classes.{item.name}"
    if not 0 <= item.tier < TIER_COUNT:
        found.append(Finding(location=class_location, message="tier is 0, 1, 2 or 3"))
    found.extend(
        Finding(
            location=class_location, message=f"model {model!r} is not in fleet.models"
        )
        for model in item.models
        if model not in value.models
    )
    if item.first_token_ms <= 0 or item.between_tokens_ms <= 0:
        found.append(
            Finding(location=class_location, message="targets must be above 0 ms")
        )
    if item.deadline_s * 1000 < item.first_token_ms:
        message = "deadline_s ends before first_token_ms; raise it"
        found.append(Finding(location=class_location, message=message))
    return found


def check_team(location: str, team: Team, value: FleetValue) -> list[Finding]:
    """Return the findings about one team against the fleet's value."""
    found = []
    for name in _duplicates([c.name for c in team.classes]):
        found.append(Finding(location=location, message=f"class {name!r} stands twice"))
    for item in team.classes:
        found.extend(_check_class(location, item, value))
    for service in team.services:
        if service.name not in value.services:
            message = f"service {service.name!r} is not in fleet.services"
            found.append(Finding(location=location, message=message))
        if not 0 <= service.tier < TIER_COUNT:
            service_location = f"{location} services.{service.name}"
            found.append(
                Finding(location=service_location, message="tier is 0, 1, 2 or 3")
            )
    for name in team.data_centres:
        if name not in value.data_centres:
            message = f"data centre {name!r} is not in fleet.data_centres"
            found.append(Finding(location=location, message=message))
    if team.data_centres and all(
        name in value.closed_data_centres for name in team.data_centres
    ):
        message = "every allowed data centre is closed; allow or reopen one"
        found.append(Finding(location=location, message=message))
    if team.limits.requests_per_s <= 0 or team.limits.burst_requests < 1:
        message = "limits must be above 0; remove the team to stop it"
        found.append(Finding(location=f"{location} limits", message=message))
    return found


def _check_keys(teams: Mapping[str, Team]) -> list[Finding]:
    owner: dict[str, str] = {}
    found = []
    for team in teams.values():
        for digest in team.keys_sha256:
            other = owner.setdefault(digest, team.name)
            if other != team.name:
                message = f"shares a key with team {other!r}; give it its own"
                location = f"{TEAM_VALUE_PREFIX}{team.name} keys_sha256"
                found.append(Finding(location=location, message=message))
    return found


def _structure_value(text: str, findings: list[Finding]) -> FleetValue | None:
    data = _decode(FLEET_VALUE_KEY, text, findings)
    try:
        return structure(data, FleetValue, source=FLEET_VALUE_KEY)
    except ConfigInvalidError as error:
        findings.extend(error.exceptions)  # type: ignore[arg-type]
    return None


class CachedTeam(NamedTuple):
    """A team that was found valid, with the texts that it was built from."""

    text: str
    fleet_text: str
    team: Team


def _structure_team(key: str, text: str, findings: list[Finding]) -> Team | None:
    data = _decode(key, text, findings)
    if data is None:
        return None
    try:
        team = structure(data, Team, source=key)
    except ConfigInvalidError as error:
        findings.extend(error.exceptions)  # type: ignore[arg-type]
        return None
    if team.name != key.removeprefix(TEAM_VALUE_PREFIX):
        message = f"name {team.name!r} differs from the value's key"
        findings.append(Finding(location=key, message=message))
    return team


class FleetBuilder:
    """Builds fleets and builds again only the teams that have changed."""

    def __init__(self) -> None:
        self._cached: dict[str, CachedTeam] = {}

    def team(
        self, key: str, values: Mapping[str, str], value: FleetValue | None
    ) -> tuple[Team | None, list[Finding]]:
        """Return the team of a key, or None, and the findings about it."""
        text, fleet_text = values[key], values[FLEET_VALUE_KEY]
        known = self._cached.get(key)
        if known is not None and (known.text, known.fleet_text) == (text, fleet_text):
            return known.team, []
        findings: list[Finding] = []
        team = _structure_team(key, text, findings)
        if team is not None and value is not None:
            findings.extend(check_team(key, team, value))
        if team is not None and not findings and value is not None:
            self._cached[key] = CachedTeam(text, fleet_text, team)
        return team, findings

    def evict_missing(self, values: Mapping[str, str]) -> None:
        """Forget teams that are gone."""
        for key in self._cached.keys() - values.keys():
            del self._cached[key]


def build_fleet_config(
    *, revision: int, values: Mapping[str, str], builder: FleetBuilder | None = None
) -> FleetConfig:
    """Build the configuration of one revision from its values.

    Parameters
    ----------
    revision : int
        Revision of the configuration service.
    values : Mapping[str, str]
        JSON text by key: ``fleet`` and one ``team/NAME`` for each team.
    builder : FleetBuilder or None
        Remembers the teams of earlier revisions.

    Raises
    ------
    ConfigInvalidError
        With every finding; nothing of the revision may be used then.
    """
    findings: list[Finding] = []
    if FLEET_VALUE_KEY not in values:
        message = "value is missing; publish it"
        missing = Finding(location=FLEET_VALUE_KEY, message=message)
        raise ConfigInvalidError(f"revision {revision} is not valid", [missing])
    builder = builder or FleetBuilder()
    builder.evict_missing(values)
    value = _structure_value(values[FLEET_VALUE_KEY], findings)
    teams: dict[str, Team] = {}
    for key in values:
        if key.startswith(TEAM_VALUE_PREFIX):
            team, found = builder.team(key, values, value)
            findings.extend(found)
            if team is not None:
                teams[team.name] = team
    findings.extend(_check_keys(teams))
    if findings or value is None:
        raise ConfigInvalidError(f"revision {revision} is not valid", findings)
    by_key = {key: team.name for team in teams.values() for key in team.keys_sha256}
    return FleetConfig(revision=revision, value=value, teams=teams, team_by_key=by_key)
