"""Templates with parameters, and the teams that fill them in."""

from __future__ import annotations

import re
import tomllib
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.exceptions import Finding
from shallotroad.config.structure import structure


if TYPE_CHECKING:
    from pathlib import Path

PLACEHOLDER = re.compile(r"\$\{([A-Za-z_][A-Za-z0-9_]*)\}")
TYPES: dict[str, tuple[type, ...]] = {
    "text": (str,),
    "integer": (int,),
    "number": (int, float),
    "boolean": (bool,),
    "list": (list,),
}


class Parameter(NamedTuple):
    """A parameter of a template; without a default a team must give it."""

    type: str
    default: Any = None


class Template(NamedTuple):
    """A team's value with placeholders ``${name}``."""

    name: str
    location: str
    parameters: dict[str, Parameter]
    team: dict[str, Any]


class TeamFile(NamedTuple):
    """What one team fills in."""

    template: str
    keys_sha256: tuple[str, ...]
    parameters: dict[str, Any]


def read_toml(path: Path, findings: list[Finding]) -> dict[str, Any]:
    """Read a TOML file; add a finding and return nothing when it can't be."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        message = f"can't be read: {error.strerror}"
    except tomllib.TOMLDecodeError as error:
        message = f"not TOML: {error}"
    findings.append(Finding(location=str(path), message=message))
    return {}


def placeholders(value: Any) -> set[str]:
    """Return the names of all placeholders within a value."""
    if isinstance(value, str):
        return set(PLACEHOLDER.findall(value))
    if isinstance(value, dict):
        return set().union(*(placeholders(v) for v in value.values()))
    if isinstance(value, list):
        return set().union(*(placeholders(v) for v in value))
    return set()


def substitute(value: Any, parameters: dict[str, Any]) -> Any:
    """Return a value with its placeholders filled in.

    A text that is one placeholder takes the parameter's own type.
    """
    if isinstance(value, dict):
        return {key: substitute(item, parameters) for key, item in value.items()}
    if isinstance(value, list):
        return [substitute(item, parameters) for item in value]
    if not isinstance(value, str):
        return value
    whole = PLACEHOLDER.fullmatch(value)
    if whole:
        return parameters.get(whole.group(1))
    return PLACEHOLDER.sub(lambda m: str(parameters.get(m.group(1))), value)


def _type_finding(location: str, name: str, value: Any, kind: str) -> Finding | None:
    accepted = TYPES.get(kind)
    if accepted is None:
        known = ", ".join(TYPES)
        return Finding(location=location, message=f"type {kind!r} is none of {known}")
    wrong_bool = isinstance(value, bool) and kind != "boolean"
    if wrong_bool or not isinstance(value, accepted):
        message = f"parameter {name!r} must be a {kind}, not {value!r}"
        return Finding(location=location, message=message)
    return None


def load_template(path: Path, findings: list[Finding]) -> Template | None:
    """Read one template and check its parameters against their use."""
    location = str(path)
    data = read_toml(path, findings)
    if not data:
        return None
    try:
        raw = data.get("parameters", {})
        parameters = structure(
            raw, dict[str, Parameter], source=f"{location} parameters"
        )
    except ConfigInvalidError as error:
        findings.extend(e for e in error.exceptions if isinstance(e, Finding))
        return None
    team = data.get("team", {})
    used = placeholders(team)
    for name in sorted(used - parameters.keys()):
        message = f"parameter {name!r} is used but not declared"
        findings.append(Finding(location=f"{location} team", message=message))
    for name in sorted(parameters.keys() - used):
        message = f"parameter {name!r} is declared but not used; remove it"
        findings.append(Finding(location=f"{location} parameters", message=message))
    for name, parameter in parameters.items():
        if parameter.default is not None:
            found = _type_finding(
                f"{location} parameters.{name}", name, parameter.default, parameter.type
            )
            findings.extend([found] if found else [])
    return Template(path.stem, location, parameters, team)


def _parameter_values(
    template: Template, team: TeamFile, location: str, findings: list[Finding]
) -> dict[str, Any]:
    values = {}
    for name in sorted(team.parameters.keys() - template.parameters.keys()):
        known = ", ".join(sorted(template.parameters)) or "none"
        message = f"unknown parameter {name!r}; template has {known}"
        findings.append(Finding(location=f"{location} parameters", message=message))
    for name, parameter in template.parameters.items():
        value = team.parameters.get(name, parameter.default)
        if value is None:
            message = f"parameter {name!r} is missing; give it a value"
            findings.append(Finding(location=f"{location} parameters", message=message))
            continue
        found = _type_finding(
            f"{location} parameters.{name}", name, value, parameter.type
        )
        findings.extend([found] if found else [])
        values[name] = value
    return values


def render_team(
    path: Path, templates: dict[str, Template], findings: list[Finding]
) -> dict[str, Any] | None:
    """Return the value of one team, filled in from its template."""
    location = str(path)
    data = read_toml(path, findings)
    if not data:
        return None
    try:
        team = structure(data, TeamFile, source=location)
    except ConfigInvalidError as error:
        findings.extend(e for e in error.exceptions if isinstance(e, Finding))
        return None
    template = templates.get(team.template)
    if template is None:
        known = ", ".join(sorted(templates)) or "none"
        message = f"unknown template {team.template!r}; there is {known}"
        findings.append(Finding(location=f"{location} template", message=message))
        return None
    before = len(findings)
    values = _parameter_values(template, team, location, findings)
    if len(findings) > before:
        return None
    value: dict[str, Any] = substitute(template.team, values)
    return {"name": path.stem, "keys_sha256": list(team.keys_sha256), **value}
