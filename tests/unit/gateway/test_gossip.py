"""Size of an exchange between many gateways, and rejection of malformed bodies."""

from __future__ import annotations

import random
import zlib
from typing import Any
from unittest.mock import AsyncMock
from unittest.mock import MagicMock

import orjson
import pytest

from shallotroad.gateway.gossip import MAX_STATE_BYTES
from shallotroad.gateway.gossip import Gossip
from shallotroad.gateway.gossip import decode_state
from shallotroad.gateway.gossip import encode_state
from shallotroad.gateway.membership import Membership
from shallotroad.gateway.store_availability import AvailabilityAges


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


def make_gossip(watcher: MagicMock) -> Gossip:
    membership = Membership(name="g0", address="10.0.0.1:1", incarnation=1, seeds=())
    return Gossip(
        membership=membership,
        store_watcher=watcher,
        crash_exchange=MagicMock(),
        engine_models=MagicMock(),
        fetch_documents=AsyncMock(),
        clock=lambda: 100.0,
        rng=random.Random(1),
    )


def test_a_state_of_the_version_before_is_taken_without_an_era() -> None:
    watcher = MagicMock()
    state = make_gossip(watcher)._merge_state(
        encode_state({"members": [], "revision": 7})
    )
    assert state["era"] == 0
    watcher.observe_peer_revision.assert_called_once_with(7, 0)
    watcher.observe_peer_configuration.assert_called_once_with(-1, 0)


# Guards against LOST: a request that a cut has held up claims that the store was there.
def test_only_the_availability_in_a_response_is_taken() -> None:
    watcher = MagicMock()
    body = encode_state({"members": [], "revision": 7, "available": [0.1, 9.0]})
    state = make_gossip(watcher)._merge_state(body)
    assert state["available"] == AvailabilityAges(0.1, 9.0)
    watcher.observe_peer_availability.assert_not_called()


@pytest.mark.parametrize("ages", [None, AvailabilityAges(0.5, 3600.0)])
def test_a_state_has_the_availability_of_the_store_if_it_is_known(
    ages: AvailabilityAges | None,
) -> None:
    watcher = MagicMock(
        availability=ages, known_revision=7, era=0, configuration_revision=1
    )
    gossip = make_gossip(watcher)
    gossip._crash_exchange.rows.return_value = []  # type: ignore[attr-defined]
    gossip._engine_models.rows.return_value = []  # type: ignore[attr-defined]
    sent = decode_state(gossip._encode_own_state())
    assert sent.get("available") == (ages and list(ages))


@pytest.mark.parametrize(
    "fields",
    [
        {"era": -1},
        {"era": 1.5},
        {"era": "1"},
        {"era": 2**60},
        {"configuration": -2},
        {"configuration": None},
        {"configuration": 2**60},
        {"available": [-0.1, 4.0]},
        {"available": [4.0, 0.1]},
        {"available": [0.1, "inf"]},
        {"available": ["nan", 1.0]},
        {"available": [0.1]},
        {"available": [0.1, 4.0, 4.0]},
        {"available": "0.1"},
    ],
)
def test_a_state_with_an_odd_era_configuration_or_availability_is_refused(
    fields: dict[str, Any],
) -> None:
    watcher = MagicMock()
    with pytest.raises(
        ValueError, match=r"era|configuration|availability|unpack|convert"
    ):
        make_gossip(watcher)._merge_state(
            encode_state({"members": [], "revision": 7, **fields})
        )
    watcher.observe_peer_revision.assert_not_called()
