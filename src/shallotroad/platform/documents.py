"""Decodes the documents in the platform's store into the project's types."""

from __future__ import annotations

import math
from typing import Any
from typing import NamedTuple

import orjson

from shallotroad.catalog.configuration import Configuration
from shallotroad.catalog.configuration import EngineCapacity
from shallotroad.catalog.configuration import Limits
from shallotroad.catalog.configuration import Route
from shallotroad.catalog.configuration import RouteKind
from shallotroad.catalog.configuration import Service
from shallotroad.catalog.configuration import Target
from shallotroad.catalog.configuration import Team
from shallotroad.catalog.endpoint import EndpointRecord
from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.platform.settings import parse_address


CONFIGURATION_KEY = "op/config"
CLOSURE_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
STATES = {"ready": False, "draining": True}


class Document(NamedTuple):
    """One item of the store; ``value`` is None after its removal."""

    key: str
    revision: int
    value: bytes | None


class ConfigurationKey(NamedTuple):
    """The document that holds the configuration."""


class EndpointKey(NamedTuple):
    """The document of one endpoint."""

    identifier: str


class ClosureKey(NamedTuple):
    """The document that closes a data centre while it exists."""

    data_centre: str


DocumentKey = ConfigurationKey | EndpointKey | ClosureKey


def parse_key(key: str) -> DocumentKey | None:
    """Return what a key is about; None for keys of no concern."""
    if key == CONFIGURATION_KEY:
        return ConfigurationKey()
    if key.startswith(ENDPOINT_PREFIX):
        return EndpointKey(key.removeprefix(ENDPOINT_PREFIX))
    if key.startswith(CLOSURE_PREFIX):
        return ClosureKey(key.removeprefix(CLOSURE_PREFIX))
    return None


def _load_object(value: bytes) -> dict[str, Any]:
    try:
        fields = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise MalformedDocumentError(f"not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise MalformedDocumentError("not a table")
    return fields


def _text(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise MalformedDocumentError(f"{name}: a text is required")
    return value


def _number(fields: dict[str, Any], name: str, default: float | None = None) -> float:
    value = fields.get(name, default)
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
    fields = _load_object(value)
    state = fields.get("state")
    if not isinstance(state, str) or state not in STATES:
        raise MalformedDocumentError(f"state: {state!r} is not known")
    try:
        address = parse_address(_text(fields, "address"))
    except ValueError as error:
        raise MalformedDocumentError(f"address: {error}") from error
    slots = int(_number(fields, "slots"))
    if slots < 1 or not identifier or not identifier.isascii():
        raise MalformedDocumentError("slots or identifier is out of range")
    _number(fields, "sequence")
    return EndpointRecord(
        identifier=identifier,
        service=_text(fields, "service"),
        host=address.host,
        port=address.port,
        data_centre=_text(fields, "zone"),
        slots=slots,
        draining=STATES[state],
        cold_remaining_ms=_number(fields, "cold-remaining-ms", 0),
        started_at_ms=int(_number(fields, "born", 0)),
    )


def _targets(fields: dict[str, Any]) -> tuple[Target, ...]:
    split = fields.get("traffic-split")
    if split:
        return tuple(Target(_text(t, "service"), _number(t, "weight")) for t in split)
    return (Target(_text(fields, "service"), 1.0),)


def _regions(fields: dict[str, Any]) -> frozenset[str]:
    return frozenset(str(region) for region in fields.get("allowed-regions") or ())


def _route(fields: dict[str, Any]) -> Route:
    kind = KINDS.get(_text(fields, "route-type"))
    if kind is None:
        raise MalformedDocumentError(f"route-type: {fields['route-type']!r}")
    timeout_ms = _number(fields, "timeout-ms")
    return Route(
        name=_text(fields, "name"),
        host=_text(fields, "host").lower(),
        path_prefix=_text(fields, "prefix"),
        kind=kind,
        timeout_ms=timeout_ms,
        objective_ms=_number(fields, "target-latency-ms", timeout_ms),
        max_attempts=max(1, int(_number(fields, "max-attempts", 1))),
        tier=int(_number(fields, "priority", 0)),
        targets=_targets(fields),
        public=fields.get("public") is True,
        regions=_regions(fields),
        resumable=fields.get("stream-resume") is True,
        max_event_gap_ms=_number(fields, "gap-aim-ms", 0),
    )


def _engine(fields: dict[str, Any] | None) -> EngineCapacity | None:
    if not fields:
        return None
    return EngineCapacity(
        batch_slots=int(_number(fields, "slots", 1)),
        kv_cache_tokens=int(_number(fields, "kv-tokens", 0)),
        tokens_per_event=max(1, int(_number(fields, "stride", 1))),
        event_waiters=int(_number(fields, "most", 0)),
    )


def _service(fields: dict[str, Any]) -> Service:
    return Service(
        name=_text(fields, "name"),
        health_path=fields.get("health-path") or "/",
        max_connections=int(_number(fields, "max-connections", 100)),
        cold_start_s=_number(fields, "cold-start-s", 0),
        cold_requests_per_s=_number(fields, "cold-per-s", 0),
        engine=_engine(fields.get("engine")),
    )


def _team(fields: dict[str, Any]) -> Team:
    tier = fields.get("priority")
    return Team(
        name=_text(fields, "name"),
        api_keys=frozenset(str(key) for key in fields.get("api-keys") or ()),
        tier=int(tier) if isinstance(tier, int) else None,
        regions=_regions(fields),
    )


def decode_configuration(value: bytes) -> Configuration:
    """Decode a published configuration.

    Raises
    ------
    MalformedDocumentError
        When any part of it can't be read; nothing of it is used then.
    """
    fields = _load_object(value)
    limits = fields.get("limits") or {}
    standard = Limits()
    try:
        return Configuration(
            version=int(_number(fields, "version")),
            routes=tuple(_route(item) for item in fields.get("routes") or ()),
            services=tuple(_service(item) for item in fields.get("services") or ()),
            limits=Limits(
                int(_number(limits, "max-header-bytes", standard.header_bytes)),
                int(_number(limits, "max-body-bytes", standard.body_bytes)),
                _number(limits, "header-timeout-ms", standard.header_timeout_ms),
                _number(limits, "idle-timeout-ms", standard.idle_timeout_ms),
            ),
            teams=tuple(_team(item) for item in fields.get("tenants") or ()),
        )
    except (AttributeError, TypeError, ValueError) as error:
        raise MalformedDocumentError(f"malformed: {error}") from error
