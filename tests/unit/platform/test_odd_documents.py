"""Odd documents of another writer among those of the endpoints.

None may end a gateway, stop it from following the store, or reach what it sends: each
is refused with an error, and the other documents hold.
"""

from __future__ import annotations

import base64
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from shallotroad.gateway.membership import Membership
from shallotroad.gateway.store_relay import documents_to_rows
from shallotroad.gateway.store_relay import rows_to_documents
from shallotroad.platform.documents import Document
from shallotroad.platform.documents import decode_configuration
from shallotroad.platform.documents import decode_endpoint
from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.platform.headers import encode_request_head
from shallotroad.platform.settings import parse_address
from shallotroad.policy.crash_correlation import Incarnation
from shallotroad.policy.crash_correlation import encode_fact
from tests.crash_builders import make_crash_fixture
from tests.gateway_builders import make_request
from tests.unit.gateway.test_store_watcher import WatcherFixture


REGISTRATION: dict[str, Any] = {
    "service": "chat",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "born": 1_700_000_000_000,
    "cold-remaining-ms": 0,
}
ROUTE: dict[str, Any] = {
    "name": "r",
    "host": "h",
    "prefix": "/a/",
    "route-type": "safe",
    "timeout-ms": 1000,
    "service": "chat",
}
CONFIGURATION: dict[str, Any] = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "chat"}],
    "tenants": [{"name": "t", "api-keys": ["k"]}],
}
DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES: list[Any] = [
    None,
    True,
    [],
    [[[["x"]]]],
    {"a": {"b": []}},
    -1,
    2**53 + 2,
    2**64,
    1e300,
    "",
    "x" * 10_000,
    "a\r\nX-Tenant: other",
    "a\0",
    "\u0661",
    "\udc80",
]


def encode_with(fields: dict[str, Any], name: str, value: Any) -> bytes:
    """Return a JSON object with a field of any value, also one beyond JSON's range."""
    text = orjson.dumps({**fields, name: "ODD"})
    if isinstance(value, int) and abs(value) >= 2**64:
        odd = str(value).encode()
    elif value == "\udc80":
        odd = b'"\\udc80"'
    else:
        odd = orjson.dumps(value)
    return text.replace(b'"ODD"', odd)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"null",
        b"[]",
        DEEP,
        b'{"born":' + DEEP + b"}",
        b'{"slots":1e999}',
        b'{"slots":-1e999}',
        b'{"slots":NaN}',
    ],
)
def test_bytes_that_are_no_registration_are_refused(value: bytes) -> None:
    with pytest.raises(MalformedDocumentError):
        decode_endpoint("i-1", value)
    with pytest.raises(MalformedDocumentError):
        decode_configuration(value)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("born", 1e300),
        ("born", 2**64),
        ("born", 2**60),
        ("born", 1.5),
        ("born", -1),
        ("born", True),
        ("slots", 1e308),
        ("slots", 2**40),
        ("slots", 0),
        ("cold-remaining-ms", 1e300),
        ("cold-remaining-ms", 1e10),
        ("sequence", 1e300),
        ("address", "10.0.0.1:70000"),
        ("address", "10.0.0.1:-1"),
        ("address", "10.0.0.1: 80"),
        ("address", "10.0.0.1:8_0"),
        ("address", "\u0661.0.0.1:80"),
        ("address", "10.0.0.1\r\n:80"),
        ("address", [["10.0.0.1:80"]]),
        ("version", 5),
        ("version", None),
        ("version", ["v1"]),
        ("version", "v" * 300),
        ("state", "gone"),
        ("state", ["ready"]),
        ("service", {"a": 1}),
        ("zone", ""),
    ],
)
def test_a_registration_with_an_odd_field_is_refused(name: str, value: Any) -> None:
    decode_endpoint("i-1", orjson.dumps(REGISTRATION))
    with pytest.raises(MalformedDocumentError):
        decode_endpoint("i-1", encode_with(REGISTRATION, name, value))


# Guards against a head that a key of the store extends by a header of its own.
@pytest.mark.parametrize(
    "identifier", ["", "a b", "a\r\nX-Tenant: other", "a\0", "a\x7f", "\xe9", "x" * 300]
)
def test_an_identifier_that_can_not_stand_in_a_head_is_refused(identifier: str) -> None:
    with pytest.raises(MalformedDocumentError):
        decode_endpoint(identifier, orjson.dumps(REGISTRATION))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), 1e300),
        (("version",), 2**64),
        (("version",), [1]),
        (("routes",), {"a": 1}),
        (("routes",), 5),
        (("routes", 0), [ROUTE]),
        (("routes", 0, "timeout-ms"), 1e300),
        (("routes", 0, "timeout-ms"), -1),
        (("routes", 0, "priority"), 2**70),
        (("routes", 0, "traffic-split"), [[["x"]]]),
        (("routes", 0, "traffic-split"), [{"service": "a", "weight": 1e308}] * 3),
        (("routes", 0, "traffic-split"), "ab"),
        (("routes", 0, "allowed-regions"), "ab"),
        (("routes", 0, "allowed-regions"), [["a"]]),
        (("services", 0, "engine"), [1]),
        (("services", 0, "engine"), {"slots": 1e300}),
        (("services", 0, "cold-per-s"), "x"),
        (("services", 0, "health-path"), ["/"]),
        (("tenants",), [[["t"]]]),
        (("tenants", 0, "api-keys"), "secret"),
        (("tenants", 0, "api-keys"), [["k"]]),
        (("tenants", 0, "api-keys"), [1]),
        (("tenants", 0, "priority"), -5),
        (("tenants", 0, "priority"), 2**70),
        (("tenants", 0, "priority"), True),
        (("limits",), [1]),
        (("limits",), {"idle-timeout-ms": 1e300}),
    ],
)
def test_a_configuration_with_an_odd_part_is_refused_whole(
    path: tuple[Any, ...], value: Any
) -> None:
    fields = orjson.loads(orjson.dumps(CONFIGURATION))
    decode_configuration(orjson.dumps(fields))
    part = fields
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = "ODD"
    text = orjson.dumps(fields)
    odd = (
        str(value).encode()
        if isinstance(value, int) and value >= 2**64
        else orjson.dumps(value)
    )
    with pytest.raises(MalformedDocumentError):
        decode_configuration(text.replace(b'"ODD"', odd))


json_values = st.recursive(
    st.sampled_from(ODD_VALUES[:-1])
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=12),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=6), children, max_size=3)
    ),
    max_leaves=6,
)
safe_json = json_values.filter(lambda value: _is_encodable(value))


def _is_encodable(value: Any) -> bool:
    try:
        orjson.dumps(value)
    except TypeError:
        return False
    return True


# Guards against entries that end machines that read the list, or stop these from
# following it: whatever is taken can be sent on, logged and put in a head.
@settings(max_examples=300, deadline=None)
@given(
    changes=st.dictionaries(st.sampled_from(list(REGISTRATION)), safe_json, max_size=3),
    identifier=st.text(max_size=9) | st.just("i-1"),
)
def test_what_is_taken_of_a_registration_can_be_used(
    changes: dict[str, Any], identifier: str
) -> None:
    try:
        record = decode_endpoint(identifier, orjson.dumps({**REGISTRATION, **changes}))
    except MalformedDocumentError:
        return
    orjson.dumps(list(record))
    head = encode_request_head(
        make_request(),
        body_bytes=1,
        endpoint=record.identifier,
        team="",
        remaining_ms=1.0,
        engine_priority=None,
        last_event_id="",
    )
    assert head.count(b"\r\n") == 5
    fixture = make_crash_fixture()
    incarnation = Incarnation(record.identifier, record.started_at_ms)
    fixture.correlation.record_crash(incarnation, [("a", "request:b")], 1.0)
    for fact in fixture.correlation.facts(9, 1.0):
        orjson.dumps(encode_fact(fact, 1.0))


@settings(max_examples=300, deadline=None)
@given(
    documents=st.lists(
        st.builds(
            Document,
            key=st.sampled_from(["op/config", "op/evacuate/a", "servers/i-1"])
            | st.text(max_size=12).map(lambda text: f"servers/{text}")
            | st.text(max_size=12),
            revision=st.integers(1, 2**53),
            value=st.none()
            | st.binary(max_size=20)
            | safe_json.map(orjson.dumps)
            | st.dictionaries(
                st.sampled_from([*REGISTRATION, *CONFIGURATION]), safe_json, max_size=3
            ).map(lambda fields: orjson.dumps({**REGISTRATION, **fields})),
        ),
        max_size=8,
    )
)
def test_odd_documents_leave_the_other_endpoints(documents: list[Document]) -> None:
    fixture = WatcherFixture()
    sound = Document("servers/sound", 1, orjson.dumps(REGISTRATION))
    fixture.store_watcher.apply(sound)
    for document in documents:
        if document.key != sound.key:
            fixture.store_watcher.apply(document)
    assert "sound" in fixture.catalog.endpoints
    rows = documents_to_rows(fixture.store_watcher.snapshot(-1))
    assert rows_to_documents(orjson.loads(orjson.dumps(rows)))


@pytest.mark.parametrize(
    "row",
    [
        ["k", 2**64, None],
        ["k", 1e300, None],
        ["k", -1, None],
        ["k", 1, ["no base64!"]],
        ["k", 1, []],
        ["k", 1, {"a": 1}],
        ["k", 1, 5],
        ["k", 1],
        5,
    ],
)
def test_a_relayed_document_that_is_malformed_is_refused(row: Any) -> None:
    with pytest.raises((TypeError, ValueError)):
        rows_to_documents([row])
    sound = ["k", 1, [base64.b64encode(b"\xff").decode()]]
    assert rows_to_documents([sound]) == [Document("k", 1, b"\xff")]
    assert rows_to_documents([["k", 1, "x"]]) == [Document("k", 1, b"x")]


# Guards against a member whose numbers no gateway can pass on again.
@pytest.mark.parametrize(("position", "value"), [(2, 2**64), (3, 1e300), (2, -1)])
def test_a_member_with_odd_numbers_is_refused(position: int, value: Any) -> None:
    membership = Membership(name="g0", address="10.0.0.1:1", incarnation=1, seeds=())
    row: list[Any] = ["g1", "10.0.0.2:1", 1, 1, False, 1.0, 1, "a"]
    row[position] = value
    with pytest.raises((TypeError, ValueError)):
        membership.merge([row], 1.0)
    assert orjson.dumps(membership.snapshot())


@pytest.mark.parametrize("text", ["1.2.3.4:\u0661", "1.2.3.4:+1", "\xb2.1.1.1:80"])
def test_an_address_of_other_digits_is_refused(text: str) -> None:
    with pytest.raises(ValueError, match="address"):
        parse_address(text)
