"""Malformed messages of peers are dropped and leave the gateway's state usable.

A field of a wrong type that is stored would fail later, where it is compared, and so
stop all placements instead of one message.
"""

from __future__ import annotations

import contextlib
import random
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from shallotroad.gateway.coordination.exceptions import MalformedMessageError
from shallotroad.gateway.coordination.messages import Sender
from shallotroad.gateway.coordination.messages import Submit
from shallotroad.gateway.coordination.messages import decode
from shallotroad.gateway.coordination.messages import encode
from shallotroad.gateway.membership import Membership
from tests.gateway_builders import make_gateway_job


ROW = ["g1", "10.0.0.1:8229", 1, 9, False, 1.0, 7340, "a"]
NOW_S = 100.0

json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 10**12) | st.floats(0, 9) | st.text(),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=3), children, max_size=3)
    ),
    max_leaves=6,
)


def submit_fields() -> list[Any]:
    request = make_gateway_job(now_s=NOW_S).placement_request(NOW_S)
    fields: list[Any] = orjson.loads(encode(Submit(Sender("g1", 1), 7, request), NOW_S))
    return fields


def check_usable(membership: Membership) -> None:
    membership.rank_coordinators("chat", 1.0)
    membership.live_names(1.0)
    membership.choose_exchange_addresses(3, random.Random(1), 1.0)
    orjson.dumps(membership.snapshot())


@settings(max_examples=300, deadline=None)
@given(position=st.integers(0, 7), value=json_values)
def test_a_member_row_with_any_value_leaves_the_membership_usable(
    position: int, value: Any
) -> None:
    membership = Membership(name="g0", address="10.0.0.9:1", incarnation=1, seeds=())
    row = [*ROW[:position], value, *ROW[position + 1 :]]
    with contextlib.suppress(TypeError, ValueError, OverflowError):
        membership.merge([["g2", *ROW[1:]], row], 0.5)
    check_usable(membership)


def test_no_row_of_a_malformed_exchange_is_merged() -> None:
    membership = Membership(name="g0", address="10.0.0.9:1", incarnation=1, seeds=())
    with pytest.raises(ValueError, match="not an address"):
        membership.merge([ROW, ["g2", "nowhere", *ROW[2:]]], 0.5)
    assert membership.known_names() == ["g0"]


def replace_at(fields: list[Any], path: list[int], value: Any) -> list[Any]:
    """Return a copy with another value at the place that a path of indices names."""
    copy = orjson.loads(orjson.dumps(fields))
    target = copy
    for index in path[:-1]:
        child = target[index % len(target)]
        if not isinstance(child, list) or not child:
            break
        target = child
    target[path[-1] % len(target)] = value
    changed: list[Any] = copy
    return changed


@settings(max_examples=500, deadline=None)
@given(
    path=st.lists(st.integers(0, 15), min_size=1, max_size=3),
    value=json_values,
)
def test_a_placement_request_with_any_value_is_dropped_or_can_be_ordered(
    path: list[int], value: Any
) -> None:
    good = decode(orjson.dumps(submit_fields()), NOW_S)
    assert isinstance(good, Submit)
    data = orjson.dumps(replace_at(submit_fields(), path, value))
    try:
        message = decode(data, NOW_S)
    except MalformedMessageError:
        return
    if isinstance(message, Submit):
        sorted([message.request.priority(NOW_S), good.request.priority(NOW_S)])
        assert encode(message, NOW_S)
        hash((message.sender, message.number))


@settings(max_examples=300, deadline=None)
@given(data=st.binary(max_size=60) | json_values.map(orjson.dumps))
def test_any_datagram_is_decoded_or_malformed(data: bytes) -> None:
    with contextlib.suppress(MalformedMessageError):
        decode(data, NOW_S)
