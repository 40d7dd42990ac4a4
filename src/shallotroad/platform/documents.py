"""Decodes the documents of the platform's store into the types of the catalog.

The store holds one document with the configuration, one registration for each
endpoint, and one closure for each closed data centre. Other keys are ignored.
"""

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
ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
# Whether an endpoint drains, by the state of its registration. A registration with
# another state is malformed.
DRAINING_BY_STATE = {"ready": False, "draining": True}


class Document(NamedTuple):
    """One item of the store.

    Parameters
    ----------
    revision : int
        Revision of the store at which the item was last changed or removed.
    value : bytes or None
        Content of the item; None when it was removed.
    """

    key: str
    revision: int
    value: bytes | None


class ConfigurationKey(NamedTuple):
    """Key of the document that holds the configuration."""


class EndpointKey(NamedTuple):
    """Key of the registration of one endpoint."""

    identifier: str


class ClosureKey(NamedTuple):
    """Key of a closure, which keeps a data centre closed for as long as it exists."""

    data_centre: str


DocumentKey = ConfigurationKey | EndpointKey | ClosureKey


def parse_key(key: str) -> DocumentKey | None:
    """Decode a key of the store; None for a key that this process does not use."""
    if key == CONFIGURATION_KEY:
        return ConfigurationKey()
    if key.startswith(ENDPOINT_PREFIX):
        return EndpointKey(key.removeprefix(ENDPOINT_PREFIX))
    if key.startswith(CLOSURE_PREFIX):
        return ClosureKey(key.removeprefix(CLOSURE_PREFIX))
    return None


def _load_object(value: bytes) -> dict[str, Any]:
    """Decode a JSON object; raise ``MalformedDocumentError`` for anything else."""
    try:
        fields = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        raise MalformedDocumentError(f"not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise MalformedDocumentError("not a JSON object")
    return fields


def _require_text(fields: dict[str, Any], name: str) -> str:
    """Return a non-empty string field, or raise ``MalformedDocumentError``."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise MalformedDocumentError(f"{name}: a non-empty string is required")
    return value


def _non_negative_number(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Return a finite number of at least 0, or raise ``MalformedDocumentError``.

    A missing field gets the default, and is required when that is None. A null value
    is malformed.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedDocumentError(f"{name}: a number is required")
    if not math.isfinite(value) or value < 0:
        raise MalformedDocumentError(f"{name}: {value} is not finite or is negative")
    return float(value)


def decode_endpoint(identifier: str, value: bytes) -> EndpointRecord:
    """Decode the registration of an endpoint.

    Raises
    ------
    MalformedDocumentError
        When a required field is missing, or a field has the wrong type or is out of
        range.
    """
    fields = _load_object(value)
    state = fields.get("state")
    if not isinstance(state, str) or state not in DRAINING_BY_STATE:
        raise MalformedDocumentError(f"state: {state!r} is unknown")
    try:
        address = parse_address(_require_text(fields, "address"))
    except ValueError as error:
        raise MalformedDocumentError(f"address: {error}") from error
    slots = int(_non_negative_number(fields, "slots"))
    if slots < 1 or not identifier or not identifier.isascii():
        raise MalformedDocumentError(
            f"slots ({slots}) or identifier ({identifier!r}) is invalid"
        )
    _non_negative_number(fields, "sequence")
    return EndpointRecord(
        identifier=identifier,
        service=_require_text(fields, "service"),
        host=address.host,
        port=address.port,
        # The platform calls a data centre a zone.
        data_centre=_require_text(fields, "zone"),
        slots=slots,
        draining=DRAINING_BY_STATE[state],
        cold_remaining_ms=_non_negative_number(fields, "cold-remaining-ms", 0),
        # "born" is the Unix time in milliseconds at which the process started.
        started_at_ms=int(_non_negative_number(fields, "born", 0)),
    )


def _decode_targets(fields: dict[str, Any]) -> tuple[Target, ...]:
    split = fields.get("traffic-split")
    if split:
        return tuple(
            Target(_require_text(t, "service"), _non_negative_number(t, "weight"))
            for t in split
        )
    return (Target(_require_text(fields, "service"), 1.0),)


def _decode_regions(fields: dict[str, Any]) -> frozenset[str]:
    return frozenset(str(region) for region in fields.get("allowed-regions") or ())


def _decode_route(fields: dict[str, Any]) -> Route:
    kind = ROUTE_KINDS.get(_require_text(fields, "route-type"))
    if kind is None:
        raise MalformedDocumentError(f"route-type: {fields['route-type']!r} is unknown")
    timeout_ms = _non_negative_number(fields, "timeout-ms")
    return Route(
        name=_require_text(fields, "name"),
        host=_require_text(fields, "host").lower(),
        path_prefix=_require_text(fields, "prefix"),
        kind=kind,
        timeout_ms=timeout_ms,
        objective_ms=_non_negative_number(fields, "target-latency-ms", timeout_ms),
        max_attempts=max(1, int(_non_negative_number(fields, "max-attempts", 1))),
        # The platform calls the tier a priority; 0 is the most urgent.
        tier=int(_non_negative_number(fields, "priority", 0)),
        targets=_decode_targets(fields),
        public=fields.get("public") is True,
        regions=_decode_regions(fields),
        resumable=fields.get("stream-resume") is True,
        # "gap-aim-ms" is the longest event gap of a stream that is still on time.
        max_event_gap_ms=_non_negative_number(fields, "gap-aim-ms", 0),
    )


def _decode_engine(fields: dict[str, Any] | None) -> EngineCapacity | None:
    if not fields:
        return None
    return EngineCapacity(
        batch_slots=int(_non_negative_number(fields, "slots", 1)),
        kv_cache_tokens=int(_non_negative_number(fields, "kv-tokens", 0)),
        # "stride" is the number of tokens in each event of a stream.
        tokens_per_event=max(1, int(_non_negative_number(fields, "stride", 1))),
        event_waiters=int(_non_negative_number(fields, "most", 0)),
    )


def _decode_service(fields: dict[str, Any]) -> Service:
    return Service(
        name=_require_text(fields, "name"),
        health_path=fields.get("health-path") or "/",
        max_connections=int(_non_negative_number(fields, "max-connections", 100)),
        cold_start_s=_non_negative_number(fields, "cold-start-s", 0),
        cold_requests_per_s=_non_negative_number(fields, "cold-per-s", 0),
        engine=_decode_engine(fields.get("engine")),
    )


def _decode_team(fields: dict[str, Any]) -> Team:
    tier = fields.get("priority")
    return Team(
        name=_require_text(fields, "name"),
        api_keys=frozenset(str(key) for key in fields.get("api-keys") or ()),
        tier=int(tier) if isinstance(tier, int) else None,
        regions=_decode_regions(fields),
    )


def decode_configuration(value: bytes) -> Configuration:
    """Decode a published configuration.

    Raises
    ------
    MalformedDocumentError
        When any part of it can't be decoded. No part of it may be used then.
    """
    fields = _load_object(value)
    limits = fields.get("limits") or {}
    defaults = Limits()
    try:
        return Configuration(
            version=int(_non_negative_number(fields, "version")),
            routes=tuple(_decode_route(item) for item in fields.get("routes") or ()),
            services=tuple(
                _decode_service(item) for item in fields.get("services") or ()
            ),
            limits=Limits(
                int(
                    _non_negative_number(
                        limits, "max-header-bytes", defaults.header_bytes
                    )
                ),
                int(
                    _non_negative_number(limits, "max-body-bytes", defaults.body_bytes)
                ),
                _non_negative_number(
                    limits, "header-timeout-ms", defaults.header_timeout_ms
                ),
                _non_negative_number(
                    limits, "idle-timeout-ms", defaults.idle_timeout_ms
                ),
            ),
            # The platform calls a team a tenant.
            teams=tuple(_decode_team(item) for item in fields.get("tenants") or ()),
        )
    except (AttributeError, TypeError, ValueError) as error:
        raise MalformedDocumentError(f"malformed configuration: {error}") from error
