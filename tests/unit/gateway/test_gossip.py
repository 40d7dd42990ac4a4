"""Size of an exchange between many gateways, and rejection of malformed bodies."""

from __future__ import annotations

import zlib

import orjson
import pytest

from shallotroad.gateway.gossip import MAX_STATE_BYTES
from shallotroad.gateway.gossip import decode_state
from shallotroad.gateway.gossip import encode_state
from shallotroad.gateway.membership import Membership


MAX_BYTES_PER_MEMBER = 40


def make_member(number: int) -> Membership:
    return Membership(
        name=f"front-amman-{'abc'[number % 3]}-{number}",
        address=f"10.{number % 3}.0.{number}:8229",
        incarnation=1_783_227_436_000 + 17 * number * number,
        seeds=(),
        cores=0.387,
        datagram_port=7340,
        data_centre=f"amman-{'abc'[number % 3]}",
    )


def make_state(members: int) -> dict[str, object]:
    first = make_member(0)
    for number in range(1, members):
        other = make_member(number)
        for _ in range(number * 7 % 90):
            other.increment_heartbeat()
        first.merge(other.snapshot(), 0.0)
    return {"members": first.snapshot(), "revision": 1234}


@pytest.mark.parametrize("members", [27, 300])
def test_an_exchange_takes_few_bytes_per_member(members: int) -> None:
    state = make_state(members)
    body = encode_state(state)
    assert decode_state(body) == state
    assert len(body) < MAX_BYTES_PER_MEMBER * members


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        zlib.compress(b"{")[:-1],
        zlib.compress(b"no json"),
        zlib.compress(b"[]"),
        zlib.compress(orjson.dumps({"members": " " * MAX_STATE_BYTES})),
    ],
)
def test_a_malformed_or_too_large_body_is_rejected(body: bytes) -> None:
    with pytest.raises(ValueError, match=r".+"):
        decode_state(body)
