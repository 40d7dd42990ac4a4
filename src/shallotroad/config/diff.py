"""Textual description of the differences between two fleet configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.config.fleet_config import FleetConfig
    from shallotroad.config.fleet_config import Team

# Fields whose changes are listed without their values.
REDACTED_FIELDS = frozenset({"keys_sha256"})


def _describe_members(
    before: Sequence[str], after: Sequence[str], prefix: str
) -> list[str]:
    """Describe added and removed names; ``prefix``, their kind, starts each line."""
    lines = [f"{prefix}: {name} added" for name in after if name not in before]
    return lines + [f"{prefix}: {name} removed" for name in before if name not in after]


def _describe_closures(before: FleetConfig, after: FleetConfig) -> list[str]:
    lines = []
    pairs = (
        ("data centre", "closed_data_centres"),
        ("instance", "closed_instances"),
    )
    for kind, field in pairs:
        old = getattr(before.value, field)
        new = getattr(after.value, field)
        lines += [f"{kind} {n} is taken out of service" for n in new if n not in old]
        lines += [f"{kind} {n} goes back into service" for n in old if n not in new]
    return lines


def _describe_fields(location: str, before: Any, after: Any) -> list[str]:
    lines = []
    for field in before._fields:
        old, new = getattr(before, field), getattr(after, field)
        if old == new:
            continue
        if field in REDACTED_FIELDS:
            lines.append(f"{location}: {field} changes")
        elif hasattr(old, "_fields"):
            lines += _describe_fields(f"{location} {field}", old, new)
        elif field in ("classes", "services"):
            lines += _describe_rows(f"{location} {field}", old, new)
        else:
            lines.append(f"{location}: {field} changes from {old!r} to {new!r}")
    return lines


def _describe_rows(
    location: str, before: Sequence[Any], after: Sequence[Any]
) -> list[str]:
    """Describe the differences of two lists of records, which are matched by name."""
    old = {row.name: row for row in before}
    new = {row.name: row for row in after}
    lines = _describe_members(list(old), list(new), location)
    for name in old.keys() & new.keys():
        lines += _describe_fields(f"{location}.{name}", old[name], new[name])
    return lines


def describe_changes(before: FleetConfig, after: FleetConfig) -> list[str]:
    """Return one printable line for each difference.

    Closures come first, then data centres, models and services of the fleet,
    then teams by name. The list is empty when the configurations are equal;
    values of ``REDACTED_FIELDS`` are left out of the lines.
    """
    lines = _describe_closures(before, after)
    for field in ("data_centres", "models", "services"):
        old, new = getattr(before.value, field), getattr(after.value, field)
        lines += _describe_members(old, new, field)
    lines += _describe_members(sorted(before.teams), sorted(after.teams), "team")
    for name in sorted(before.teams.keys() & after.teams.keys()):
        team: Team = before.teams[name]
        lines += _describe_fields(f"team {name}", team, after.teams[name])
    return lines
