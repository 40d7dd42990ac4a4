"""Decodes the documents of the platform's store into the types of the catalog.

The store holds one document with the configuration, one registration for each
endpoint, and one closure for each closed data centre. Other keys are ignored.
"""

from __future__ import annotations

import math
import re
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
# Larger numbers are not exact in JSON, and can't all be encoded again.
MAX_NUMBER = 2**53
MAX_DURATION_MS = 86_400_000
# The end of the year 2099. A later start would outlive all true ones.
MAX_STARTED_AT_MS = 4_102_444_800_000
MAX_SLOTS = 1_000_000
MAX_VERSION_LENGTH = 200
# It stands in a header of each request to the endpoint.
IDENTIFIER = re.compile(r"[!-~]{1,200}")


class Document(NamedTuple):
    """One item of the store.

    Parameters
    ----------
    revision : int
        Revision of the store at which the item was last changed or removed.
    value : bytes or None
        Content of the item; None when it was removed.
    era : int
        How often the store had been restored from a copy. Revisions are given out
        again in each era; 0 if the store does not state it.
    """

    key: str
    revision: int
    value: bytes | None
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision, by which two documents of a key are compared."""
        return self.era, self.revision


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


def _number(
    fields: dict[str, Any],
    name: str,
    default: float | None = None,
    *,
    most: float = MAX_NUMBER,
) -> float:
    """Return a number from 0 to ``most``, or raise ``MalformedDocumentError``.

    A missing field gets the default, and is required when that is None. A null value
    is malformed.
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedDocumentError(f"{name}: a number is required")
    if math.isnan(value) or not 0 <= value <= most:
        raise MalformedDocumentError(f"{name}: {value} is not from 0 to {most}")
    return float(value)


def _duration_ms(
    fields: dict[str, Any], name: str, default: float | None = None
) -> float:
    """Return a duration of at most a day, or raise ``MalformedDocumentError``."""
    return _number(fields, name, default, most=MAX_DURATION_MS)


def _texts(fields: dict[str, Any], name: str) -> frozenset[str]:
    """Return a list of strings, empty if missing, or raise if it is another value."""
    values = fields.get(name)
    if values is None:
        return frozenset()
    if not isinstance(values, list) or not all(isinstance(v, str) for v in values):
        raise MalformedDocumentError(f"{name}: a list of strings is required")
    return frozenset(values)


def _objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects, empty if missing, or raise if it is another value."""
    values = fields.get(name)
    if values is None:
        return []
    if not isinstance(values, list) or not all(isinstance(v, dict) for v in values):
        raise MalformedDocumentError(f"{name}: a list of objects is required")
    return values


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
    slots = int(_number(fields, "slots", most=MAX_SLOTS))
    if slots < 1 or not IDENTIFIER.fullmatch(identifier):
        raise MalformedDocumentError(
            f"slots ({slots}) or identifier ({identifier[:200]!r}) is invalid"
        )
    # "born" is the Unix time in milliseconds at which the process started.
    started_at_ms = _number(fields, "born", 0, most=MAX_STARTED_AT_MS)
    if not started_at_ms.is_integer():
        raise MalformedDocumentError(f"born: {started_at_ms} is not a whole number")
    _number(fields, "sequence")
    # "version" is that of the software, not of the weights.
    software_version = fields.get("version", "")
    if (
        not isinstance(software_version, str)
        or len(software_version) > MAX_VERSION_LENGTH
    ):
        raise MalformedDocumentError("version: a short string is required")
    return EndpointRecord(
        identifier=identifier,
        service=_require_text(fields, "service"),
        host=address.host,
        port=address.port,
        # The platform calls a data centre a zone.
        data_centre=_require_text(fields, "zone"),
        slots=slots,
        draining=DRAINING_BY_STATE[state],
        cold_remaining_ms=_duration_ms(fields, "cold-remaining-ms", 0),
        started_at_ms=int(started_at_ms),
        software_version=software_version,
    )


def has_newer_content(offered: Document, known: Document) -> bool:
    """Return whether a document was written later than a known one of its key.

    The content decides: the version of a configuration, and the start and sequence of a
    registration. False if it does not tell, as for closures and removals.
    """
    if offered.value is None or known.value is None:
        return False
    key = parse_key(offered.key)
    try:
        offered_fields = _load_object(offered.value)
        known_fields = _load_object(known.value)
        if isinstance(key, ConfigurationKey):
            names: tuple[str, ...] = ("version",)
        elif isinstance(key, EndpointKey):
            names = ("born", "sequence")
        else:
            return False
        return [_number(offered_fields, name, 0) for name in names] > [
            _number(known_fields, name, 0) for name in names
        ]
    except MalformedDocumentError:
        return False


def _decode_targets(fields: dict[str, Any]) -> tuple[Target, ...]:
    split = _objects(fields, "traffic-split")
    if split:
        return tuple(
            Target(_require_text(t, "service"), _number(t, "weight")) for t in split
        )
    return (Target(_require_text(fields, "service"), 1.0),)


def _decode_route(fields: dict[str, Any]) -> Route:
    kind = ROUTE_KINDS.get(_require_text(fields, "route-type"))
    if kind is None:
        raise MalformedDocumentError(f"route-type: {fields['route-type']!r} is unknown")
    timeout_ms = _duration_ms(fields, "timeout-ms")
    return Route(
        name=_require_text(fields, "name"),
        host=_require_text(fields, "host").lower(),
        path_prefix=_require_text(fields, "prefix"),
        kind=kind,
        timeout_ms=timeout_ms,
        objective_ms=_duration_ms(fields, "target-latency-ms", timeout_ms),
        max_attempts=max(1, int(_number(fields, "max-attempts", 1))),
        # The platform calls the tier a priority; 0 is the most urgent.
        tier=int(_number(fields, "priority", 0)),
        targets=_decode_targets(fields),
        public=fields.get("public") is True,
        regions=_texts(fields, "allowed-regions"),
        resumable=fields.get("stream-resume") is True,
        # "gap-aim-ms" is the longest event gap of a stream that is still on time.
        max_event_gap_ms=_duration_ms(fields, "gap-aim-ms", 0),
    )


def _decode_engine(fields: dict[str, Any] | None) -> EngineCapacity | None:
    if not fields:
        return None
    return EngineCapacity(
        batch_slots=int(_number(fields, "slots", 1)),
        kv_cache_tokens=int(_number(fields, "kv-tokens", 0)),
        # "stride" is the number of tokens in each event of a stream.
        tokens_per_event=max(1, int(_number(fields, "stride", 1))),
        event_waiters=int(_number(fields, "most", 0)),
    )


def _decode_service(fields: dict[str, Any]) -> Service:
    return Service(
        name=_require_text(fields, "name"),
        health_path=_require_text({"health-path": "/", **fields}, "health-path"),
        max_connections=int(_number(fields, "max-connections", 100)),
        cold_start_s=_number(fields, "cold-start-s", 0),
        cold_requests_per_s=_number(fields, "cold-per-s", 0),
        engine=_decode_engine(fields.get("engine")),
    )


def _decode_team(fields: dict[str, Any]) -> Team:
    has_tier = fields.get("priority") is not None
    return Team(
        name=_require_text(fields, "name"),
        api_keys=_texts(fields, "api-keys"),
        tier=int(_number(fields, "priority")) if has_tier else None,
        regions=_texts(fields, "allowed-regions"),
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
            version=int(_number(fields, "version")),
            routes=tuple(map(_decode_route, _objects(fields, "routes"))),
            services=tuple(map(_decode_service, _objects(fields, "services"))),
            limits=Limits(
                int(_number(limits, "max-header-bytes", defaults.header_bytes)),
                int(_number(limits, "max-body-bytes", defaults.body_bytes)),
                _duration_ms(limits, "header-timeout-ms", defaults.header_timeout_ms),
                _duration_ms(limits, "idle-timeout-ms", defaults.idle_timeout_ms),
            ),
            # The platform calls a team a tenant.
            teams=tuple(map(_decode_team, _objects(fields, "tenants"))),
        )
    except (AttributeError, TypeError, ValueError) as error:
        raise MalformedDocumentError(f"malformed configuration: {error}") from error
