"""Templates of team values, and the rendering of teams from them.

A template declares typed parameters and a team value with placeholders
``${parameter}``. A team file names a template and gives the parameters.
"""

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
PARAMETER_TYPES: dict[str, tuple[type, ...]] = {
    "text": (str,),
    "integer": (int,),
    "number": (int, float),
    "boolean": (bool,),
    "list": (list,),
}


class Parameter(NamedTuple):
    """A parameter of a template.

    ``type`` is a key of ``PARAMETER_TYPES``. A parameter without a default is
    required.
    """

    type: str
    default: Any = None


class Template(NamedTuple):
    """A template: parameters by name, and the ``team`` value with placeholders.

    ``name`` is the file name without its suffix, and ``location`` the path of the file
    as text.
    """

    name: str
    location: str
    parameters: dict[str, Parameter]
    team: dict[str, Any]


class TeamFile(NamedTuple):
    """Decoded ``teams/NAME.toml``: the team's template, keys and parameters."""

    template: str
    keys_sha256: tuple[str, ...]
    parameters: dict[str, Any]


def read_toml(path: Path, findings: list[Finding]) -> dict[str, Any]:
    """Read a TOML file; return an empty dict and add a finding on failure."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        message = f"can't be read: {error.strerror}"
    except tomllib.TOMLDecodeError as error:
        message = f"not TOML: {error}"
    findings.append(Finding(location=str(path), message=message))
    return {}


def find_placeholders(value: Any) -> set[str]:
    """Return the names of all placeholders within a nested value."""
    if isinstance(value, str):
        return set(PLACEHOLDER.findall(value))
    if isinstance(value, dict):
        return set().union(*(find_placeholders(v) for v in value.values()))
    if isinstance(value, list):
        return set().union(*(find_placeholders(v) for v in value))
    return set()


def substitute(value: Any, parameters: dict[str, Any]) -> Any:
    """Return a nested value with its placeholders replaced by parameters.

    A text that consists of one placeholder becomes the parameter itself, of any
    type; otherwise parameters are inserted as text. A placeholder without a parameter
    becomes None; ``load_template`` reports it if it is not declared.
    """
    if isinstance(value, dict):
        return {key: substitute(item, parameters) for key, item in value.items()}
    if isinstance(value, list):
        return [substitute(item, parameters) for item in value]
    if not isinstance(value, str):
        return value
    single = PLACEHOLDER.fullmatch(value)
    if single:
        return parameters.get(single.group(1))
    return PLACEHOLDER.sub(lambda m: str(parameters.get(m.group(1))), value)


def _check_type(location: str, name: str, value: Any, kind: str) -> Finding | None:
    accepted = PARAMETER_TYPES.get(kind)
    if accepted is None:
        known = ", ".join(PARAMETER_TYPES)
        return Finding(
            location=location, message=f"unknown type {kind!r}; known types are {known}"
        )
    unexpected_bool = isinstance(value, bool) and kind != "boolean"
    if unexpected_bool or not isinstance(value, accepted):
        message = f"parameter {name!r} must be a {kind}, not {value!r}"
        return Finding(location=location, message=message)
    return None


def load_template(path: Path, findings: list[Finding]) -> Template | None:
    """Read a template and check that its parameters are declared and used.

    Faults are added to ``findings``. Returns None when the file is empty or can't
    be read, or its parameters can't be decoded.
    """
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
    used = find_placeholders(team)
    for name in sorted(used - parameters.keys()):
        message = f"parameter {name!r} is used but not declared"
        findings.append(Finding(location=f"{location} team", message=message))
    for name in sorted(parameters.keys() - used):
        message = f"parameter {name!r} is declared but not used; remove it"
        findings.append(Finding(location=f"{location} parameters", message=message))
    for name, parameter in parameters.items():
        if parameter.default is not None:
            found = _check_type(
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
        message = f"unknown parameter {name!r}; the template has {known}"
        findings.append(Finding(location=f"{location} parameters", message=message))
    for name, parameter in template.parameters.items():
        value = team.parameters.get(name, parameter.default)
        if value is None:
            message = f"parameter {name!r} is missing; give it a value"
            findings.append(Finding(location=f"{location} parameters", message=message))
            continue
        found = _check_type(
            f"{location} parameters.{name}", name, value, parameter.type
        )
        findings.extend([found] if found else [])
        values[name] = value
    return values


def render_team(
    path: Path, templates: dict[str, Template], findings: list[Finding]
) -> dict[str, Any] | None:
    """Return the value of one team, rendered from its template.

    Faults are added to ``findings``. Returns None when the team file is empty or
    can't be read, or its template or parameters are invalid.
    """
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
        message = f"unknown template {team.template!r}; known templates are {known}"
        findings.append(Finding(location=f"{location} template", message=message))
        return None
    before = len(findings)
    values = _parameter_values(template, team, location, findings)
    if len(findings) > before:
        return None
    value: dict[str, Any] = substitute(template.team, values)
    return {"name": path.stem, "keys_sha256": list(team.keys_sha256), **value}
