"""Records of the fleet configuration, and the validation that builds them.

The configuration service stores JSON texts by key: ``fleet`` for the whole fleet
and ``team/NAME`` for each team. ``build_fleet_config`` decodes and validates all
values of one revision; an invalid revision yields findings and no configuration.

Entries and agents use it. The gateway has its own ``Team`` in
``catalog.configuration``.
"""

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
    """A class of a team's model requests, with its tier and latency targets.

    ``tier`` ranges from 0, the most urgent, to 3. Of the classes
    that list the request's model, and bear the name that the caller asks for if
    any, a request belongs to the one with the smallest ``max_tokens`` that is not
    below its own; a request without ``max_tokens`` belongs to the largest. A request
    that no class fits is rejected. ``deadline_s`` is the maximum time from the arrival
    at the entry until an endpoint starts the request. A running request that is
    ``preemptible`` may be paused for another one; it is queued and resumes later.

    ``first_token_ms`` is the target for the time to first token, which the entry
    measures from when it starts to run the request. Agents order the queued requests
    of a tier by when it is due, and a missed target is only counted in the metrics.

    ``between_tokens_ms`` is the target for the token interval; it is validated but not
    used.

    The ``max_tokens`` of a request is its ``max_completion_tokens`` or, without that,
    its ``max_tokens``: the maximum number of output tokens.
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
    """An HTTP method and path of a service, and whether a call may run again.

    ``method`` must be equal to that of the request, such as ``GET``; it has no
    wildcard. ``path`` is a case-sensitive pattern as in ``fnmatch``, where ``*`` also
    matches ``/``. A call that is not ``repeatable`` must run at most once. The first
    call that matches applies; without one, a call is repeatable if its HTTP method is
    safe.
    """

    method: str
    path: str
    repeatable: bool


class TeamService(NamedTuple):
    """A service other than a model that a team may use, and its declared calls.

    ``deadline_s`` is the maximum time from the arrival at the entry until the endpoint
    starts the call. Calls that are not declared are permitted too.
    """

    name: str
    tier: int
    deadline_s: float
    calls: tuple[Call, ...]


class RateLimit(NamedTuple):
    """Rate limit of a team, over all entries together (a token bucket)."""

    requests_per_s: float
    burst_requests: int


class Team(NamedTuple):
    """Configuration of one customer of the fleet.

    ``keys_sha256`` holds the SHA-256 digests of the team's API keys in lower-case
    hexadecimal, and ``data_centres`` the data centres that may process its requests;
    with none, no data centre may.
    """

    name: str
    keys_sha256: tuple[str, ...]
    data_centres: tuple[str, ...]
    limits: RateLimit
    classes: tuple[RequestClass, ...] = ()
    services: tuple[TeamService, ...] = ()


class FleetValue(NamedTuple):
    """Decoded ``fleet`` value: what exists in the fleet and what is closed.

    Closed data centres and instances are taken out of service by the operators.
    ``closed_instances`` are names of agents, as in the instance list: an agent stands
    for the instance whose endpoint it serves.
    """

    data_centres: tuple[str, ...]
    models: tuple[str, ...]
    services: tuple[str, ...]
    closed_data_centres: tuple[str, ...] = ()
    closed_instances: tuple[str, ...] = ()


class FleetConfig(NamedTuple):
    """The validated configuration of one revision.

    ``team_by_key`` maps the digest of an API key to the name of its team.
    """

    revision: int
    value: FleetValue
    teams: dict[str, Team]
    team_by_key: dict[str, str]

    def is_closed(self, *, instance: str, data_centre: str) -> bool:
        """Return whether an agent or its data centre is closed.

        ``instance`` is the name of the agent, as in ``closed_instances``.
        """
        value = self.value
        return (
            data_centre in value.closed_data_centres
            or instance in value.closed_instances
        )


def _decode(key: str, text: str, findings: list[Finding]) -> object:
    """Decode the JSON text of a key; on failure, add a finding and return None."""
    try:
        return json.loads(text)
    except ValueError as error:
        findings.append(Finding(location=key, message=f"not JSON: {error}"))
        return None


def _duplicates(names: Iterable[str]) -> list[str]:
    seen: set[str] = set()
    duplicates = []
    for name in names:
        if name in seen:
            duplicates.append(name)
        seen.add(name)
    return duplicates


def _check_class(location: str, item: RequestClass, value: FleetValue) -> list[Finding]:
    """Return a finding for each invalid value of a request class.

    The tier must exist, each model must be in the fleet value, the latency targets
    must be above 0, and the deadline must not be shorter than ``first_token_ms``.
    """
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
            Finding(
                location=class_location, message="latency targets must be above 0 ms"
            )
        )
    if item.deadline_s * 1000 < item.first_token_ms:
        message = "deadline_s is shorter than first_token_ms; raise it"
        found.append(Finding(location=class_location, message=message))
    return found


def check_team(location: str, team: Team, value: FleetValue) -> list[Finding]:
    """Validate one team against the fleet value; return the findings.

    Class names must be unique, classes valid, and services, tiers and data centres
    known. Not all data centres of a team may be closed, and its rate limit must permit
    requests.
    """
    found = []
    for name in _duplicates([c.name for c in team.classes]):
        found.append(Finding(location=location, message=f"duplicate class {name!r}"))
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
        message = (
            "requests_per_s must be above 0 and burst_requests at least 1; to stop "
            "the team, remove it"
        )
        found.append(Finding(location=f"{location} limits", message=message))
    return found


def _check_keys(teams: Mapping[str, Team]) -> list[Finding]:
    """Return a finding for each digest that teams share; its form is not checked."""
    team_by_digest: dict[str, str] = {}
    found = []
    for team in teams.values():
        for digest in team.keys_sha256:
            other = team_by_digest.setdefault(digest, team.name)
            if other != team.name:
                message = f"shares a key with team {other!r}; use a separate key"
                location = f"{TEAM_VALUE_PREFIX}{team.name} keys_sha256"
                found.append(Finding(location=location, message=message))
    return found


def _structure_fleet_value(text: str, findings: list[Finding]) -> FleetValue | None:
    data = _decode(FLEET_VALUE_KEY, text, findings)
    try:
        return structure(data, FleetValue, source=FLEET_VALUE_KEY)
    except ConfigInvalidError as error:
        findings.extend(error.exceptions)  # type: ignore[arg-type]
    return None


class CachedTeam(NamedTuple):
    """A valid team and the JSON texts that it was built and validated from."""

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
        message = f"name {team.name!r} differs from the name in the key"
        findings.append(Finding(location=key, message=message))
    return team


class FleetBuilder:
    """Builds teams and caches them across revisions.

    A valid team is built again only when its own text or the fleet text changes.
    """

    def __init__(self) -> None:
        self._cached: dict[str, CachedTeam] = {}

    def build_team(
        self, key: str, values: Mapping[str, str], value: FleetValue | None
    ) -> tuple[Team | None, list[Finding]]:
        """Return the team of a key and the findings about it.

        The team is None when its text can't be decoded into a team. With
        ``value`` None, the team is not validated against the fleet.
        """
        text, fleet_text = values[key], values[FLEET_VALUE_KEY]
        cached = self._cached.get(key)
        if cached is not None and (cached.text, cached.fleet_text) == (
            text,
            fleet_text,
        ):
            return cached.team, []
        findings: list[Finding] = []
        team = _structure_team(key, text, findings)
        if team is not None and value is not None:
            findings.extend(check_team(key, team, value))
        if team is not None and not findings and value is not None:
            self._cached[key] = CachedTeam(text, fleet_text, team)
        return team, findings

    def evict_missing(self, values: Mapping[str, str]) -> None:
        """Remove cached teams whose key is not in ``values``."""
        for key in self._cached.keys() - values.keys():
            del self._cached[key]


def build_fleet_config(
    *, revision: int, values: Mapping[str, str], builder: FleetBuilder | None = None
) -> FleetConfig:
    """Build and validate the configuration of one revision.

    Parameters
    ----------
    revision : int
        Revision of the configuration service.
    values : Mapping[str, str]
        JSON texts by key: ``fleet``, and ``team/NAME`` for each team.
    builder : FleetBuilder or None
        Cache of teams from earlier revisions; None builds every team.

    Raises
    ------
    ConfigInvalidError
        With every finding, when any value of the revision is invalid.
    """
    findings: list[Finding] = []
    if FLEET_VALUE_KEY not in values:
        message = "value is missing; publish it"
        missing = Finding(location=FLEET_VALUE_KEY, message=message)
        raise ConfigInvalidError(f"revision {revision} is not valid", [missing])
    builder = builder or FleetBuilder()
    builder.evict_missing(values)
    value = _structure_fleet_value(values[FLEET_VALUE_KEY], findings)
    teams: dict[str, Team] = {}
    for key in values:
        if key.startswith(TEAM_VALUE_PREFIX):
            team, found = builder.build_team(key, values, value)
            findings.extend(found)
            if team is not None:
                teams[team.name] = team
    findings.extend(_check_keys(teams))
    if findings or value is None:
        raise ConfigInvalidError(f"revision {revision} is not valid", findings)
    by_key = {key: team.name for team in teams.values() for key in team.keys_sha256}
    return FleetConfig(revision=revision, value=value, teams=teams, team_by_key=by_key)
