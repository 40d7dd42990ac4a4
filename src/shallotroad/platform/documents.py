"""Decodes the documents in the platform's store into the project's types."""

from __future__ import annotations

import math
from typing import Any
from typing import NamedTuple

import orjson

from shallotroad.catalog.configuration import CallKind
from shallotroad.catalog.configuration import Configuration
from shallotroad.catalog.configuration import Engine
from shallotroad.catalog.configuration import Limits
from shallotroad.catalog.configuration import Route
from shallotroad.catalog.configuration import Service
from shallotroad.catalog.configuration import Target
from shallotroad.catalog.configuration import Team
from shallotroad.catalog.endpoint import EndpointRecord
from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.platform.settings import parse_address


CONFIGURATION_KEY = "op/config"
CLOSING_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
KINDS = {
    "safe": CallKind.IDEMPOTENT,
    "unsafe": CallKind.ONCE,
    "streaming": CallKind.STREAM,
}
STATES = {"ready": False, "draining": True}


class Document(NamedTuple):
    """One item of the store; ``value`` is None after its removal."""

    key: str
    revision: int
    value: bytes | None


class ConfigurationSubject(NamedTuple):
    """The document that holds the configuration."""


class EndpointSubject(NamedTuple):
    """The document of one endpoint."""

    identifier: str


class ClosingSubject(NamedTuple):
    """The document that closes a data centre while it exists."""

    data_centre: str


Subject = ConfigurationSubject | EndpointSubject | ClosingSubject


def subject_of(key: str) -> Subject | None:
    """Return what a key is about; None for keys of no concern."""
    if key == CONFIGURATION_KEY:
        return ConfigurationSubject()
    if key.startswith(ENDPOINT_PREFIX):
        return EndpointSubject(key.removeprefix(ENDPOINT_PREFIX))
    if key.startswith(CLOSING_PREFIX):
        return ClosingSubject(key.removeprefix(CLOSING_PREFIX))
    return None


def _table(value: bytes) -> dict[str, Any]:
    try:
        table = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise MalformedDocumentError(f"not JSON: {error}") from error
    if not isinstance(table, dict):
        raise MalformedDocumentError("not a table")
    return table


def _text(table: dict[str, Any], name: str) -> str:
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise MalformedDocumentError(f"{name}: a text is required")
    return value


def _number(table: dict[str, Any], name: str, default: float | None = None) -> float:
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedDocumentError(f"{name}: a number is required")
    if not math.isfinite(value) or value < 0:
        raise MalformedDocumentError(f"{name}: {value} is out of range")
    return float(value)


def decode_endpoint(identifier: str, value: bytes) -> EndpointRecord:
    """Decode the announcement of an endpoint.

    Raises
    ------
    MalformedDocumentError
        When a field is missing, of another type or out of range.
    """
    table = _table(value)
    state = table.get("state")
    if not isinstance(state, str) or state not in STATES:
        raise MalformedDocumentError(f"state: {state!r} is not known")
    try:
        address = parse_address(_text(table, "address"))
    except ValueError as error:
        raise MalformedDocumentError(f"address: {error}") from error
    slots = int(_number(table, "slots"))
    if slots < 1 or not identifier or not identifier.isascii():
        raise MalformedDocumentError("slots or identifier is out of range")
    _number(table, "sequence")
    return EndpointRecord(
        identifier=identifier,
        service=_text(table, "service"),
        host=address.host,
        port=address.port,
        data_centre=_text(table, "zone"),
        slots=slots,
        draining=STATES[state],
        cold_ms=_number(table, "cold-remaining-ms", 0),
        incarnation_ms=int(_number(table, "born", 0)),
    )


def _targets(table: dict[str, Any]) -> tuple[Target, ...]:
    split = table.get("traffic-split")
    if split:
        return tuple(Target(_text(t, "service"), _number(t, "weight")) for t in split)
    return (Target(_text(table, "service"), 1.0),)


def _regions(table: dict[str, Any]) -> frozenset[str]:
    return frozenset(str(region) for region in table.get("allowed-regions") or ())


def _route(table: dict[str, Any]) -> Route:
    kind = KINDS.get(_text(table, "route-type"))
    if kind is None:
        raise MalformedDocumentError(f"route-type: {table['route-type']!r}")
    timeout_ms = _number(table, "timeout-ms")
    return Route(
        name=_text(table, "name"),
        host=_text(table, "host").lower(),
        path_prefix=_text(table, "prefix"),
        kind=kind,
        timeout_ms=timeout_ms,
        objective_ms=_number(table, "target-latency-ms", timeout_ms),
        maximum_attempts=max(1, int(_number(table, "max-attempts", 1))),
        tier=int(_number(table, "priority", 0)),
        targets=_targets(table),
        public=table.get("public") is True,
        regions=_regions(table),
        resumable=table.get("stream-resume") is True,
        pause_ms=_number(table, "gap-aim-ms", 0),
    )


def _engine(table: dict[str, Any] | None) -> Engine | None:
    if not table:
        return None
    return Engine(
        batch_slots=int(_number(table, "slots", 1)),
        memory_tokens=int(_number(table, "kv-tokens", 0)),
        tokens_per_event=max(1, int(_number(table, "stride", 1))),
        event_waiters=int(_number(table, "most", 0)),
    )


def _service(table: dict[str, Any]) -> Service:
    return Service(
        name=_text(table, "name"),
        health_path=table.get("health-path") or "/",
        maximum_connections=int(_number(table, "max-connections", 100)),
        cold_start_s=_number(table, "cold-start-s", 0),
        cold_requests_per_s=_number(table, "cold-per-s", 0),
        engine=_engine(table.get("engine")),
    )


def _team(table: dict[str, Any]) -> Team:
    tier = table.get("priority")
    return Team(
        name=_text(table, "name"),
        keys=frozenset(str(key) for key in table.get("api-keys") or ()),
        tier=int(tier) if isinstance(tier, int) else None,
        regions=_regions(table),
    )


def decode_configuration(value: bytes) -> Configuration:
    """Decode a published configuration.

    Raises
    ------
    MalformedDocumentError
        When any part of it can't be read; nothing of it is used then.
    """
    table = _table(value)
    limits = table.get("limits") or {}
    standard = Limits()
    try:
        return Configuration(
            version=int(_number(table, "version")),
            routes=tuple(_route(row) for row in table.get("routes") or ()),
            services=tuple(_service(row) for row in table.get("services") or ()),
            limits=Limits(
                int(_number(limits, "max-header-bytes", standard.header_bytes)),
                int(_number(limits, "max-body-bytes", standard.body_bytes)),
                _number(limits, "header-timeout-ms", standard.header_timeout_ms),
                _number(limits, "idle-timeout-ms", standard.idle_timeout_ms),
            ),
            teams=tuple(_team(row) for row in table.get("tenants") or ()),
        )
    except (AttributeError, TypeError, ValueError) as error:
        raise MalformedDocumentError(f"malformed: {error}") from error
