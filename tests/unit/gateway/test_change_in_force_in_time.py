"""Changes of a large configuration reach gateways with slow links within the bound.

Both gateways that read the store for their data centre are cut off in the middle of a
series of versions, and every other gateway has a link of 10 Mbit/s.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.store_relay import RelayedBatch
from shallotroad.gateway.store_relay import decode_batch
from shallotroad.gateway.store_relay import encode_batch
from shallotroad.gateway.store_relay import encode_documents
from shallotroad.gateway.store_watcher import MAX_LISTED_DOCUMENTS
from shallotroad.gateway.store_watcher import PEER_CONFIGURATION_S
from shallotroad.platform.documents import Document
from tests.configuration_builders import configuration_fields
from tests.store_builders import DataCentre
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

GATEWAYS = 6
PROPAGATION_S = 3.0
ROUTES = 1_200
VERSIONS = 26
GAP_S = 0.33
SLOW_LINK_BYTES_PER_S = 10_000_000 / 8


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.fixture
async def centre() -> AsyncIterator[DataCentre]:
    data_centre = DataCentre(GATEWAYS, propagation_s=PROPAGATION_S)
    data_centre.store.put("op/config", configuration_fields(1, routes=ROUTES))
    data_centre.start()
    for number in range(16):  # So that the readers have news until they are cut off.
        await asyncio.sleep(0.6)
        data_centre.store.put("servers/i1", {"sequence": number})
    data_centre.store.link_bytes_per_s = SLOW_LINK_BYTES_PER_S
    yield data_centre
    await data_centre.stop()


async def latest_adoption_s(
    centre: DataCentre, names: list[str], *, first_version: int
) -> float:
    """Write versions in quick succession; return the longest time to adopt one."""
    loop = asyncio.get_running_loop()
    acknowledged_s: dict[int, float] = {}
    longest_s = 0.0
    last_version = first_version + VERSIONS - 1
    started_s = loop.time()
    while True:
        version = first_version + len(acknowledged_s)
        due_s = started_s + len(acknowledged_s) * GAP_S
        if version <= last_version and loop.time() >= due_s:
            centre.store.put("op/config", configuration_fields(version, routes=ROUTES))
            acknowledged_s[version] = loop.time()
        in_force = [
            configuration.version
            for name in names
            if (configuration := centre.gateways[name].catalog.configuration)
        ]
        for version, written_s in acknowledged_s.items():
            if min(in_force) < version:
                longest_s = max(longest_s, loop.time() - written_s)
        if min(in_force) == last_version or longest_s > 20.0:
            return longest_s
        await asyncio.sleep(0.02)


# Guards against CONFIG: a version in force long after a newer one was acknowledged.
async def test_versions_are_in_force_in_time_while_both_readers_are_cut_off(
    centre: DataCentre,
) -> None:
    readers, followers = centre.readers(), centre.followers()
    centre.cut_off.update(readers)
    centre.store.silenced.update(readers)
    longest_s = await latest_adoption_s(centre, followers, first_version=2)
    assert longest_s < PROPAGATION_S


# Guards against CONFIG: a gateway that never catches up over a slow link (review/3).
async def test_a_gateway_that_reads_over_a_slow_link_catches_up_in_time() -> None:
    data_centre = DataCentre(1, propagation_s=PROPAGATION_S)
    data_centre.store.put("op/config", configuration_fields(1, routes=ROUTES))
    data_centre.start()
    await asyncio.sleep(10.0)
    data_centre.store.link_bytes_per_s = SLOW_LINK_BYTES_PER_S
    longest_s = await latest_adoption_s(data_centre, ["g0"], first_version=2)
    await data_centre.stop()
    assert longest_s < PROPAGATION_S


# Guards against CONFIG: no news of a peer is used while the last call succeeded.
@pytest.mark.parametrize("propagation_s", [2.0, 3.0])
async def test_a_gateway_whose_own_calls_hang_has_changes_from_its_peers(
    propagation_s: float,
) -> None:
    data_centre = DataCentre(GATEWAYS, propagation_s=propagation_s, exchanges=True)
    data_centre.store.put("op/config", configuration_fields(1))
    data_centre.start()
    await asyncio.sleep(10.0)
    names = [data_centre.readers()[0], data_centre.followers()[0]]
    data_centre.store.stuck.update(names)
    await asyncio.sleep(1.5)
    for version in range(2, 12):
        data_centre.store.put("op/config", configuration_fields(version))
        await asyncio.sleep(propagation_s)
        for name in names:
            configuration = data_centre.gateways[name].catalog.configuration
            assert configuration is not None
            assert configuration.version == version
    await data_centre.stop()


# Guards against callers that are told to come back for ever, on the word of one peer.
async def test_a_configuration_that_the_store_does_not_show_is_not_awaited() -> None:
    data_centre = DataCentre(1)
    data_centre.store.put("op/config", configuration_fields(1))
    data_centre.start()
    await asyncio.sleep(5.0)
    watcher = data_centre.gateways["g0"].watcher
    assert not watcher.is_outdated(PROPAGATION_S)
    for pause_s, awaited in (
        (0.0, True),
        (PEER_CONFIGURATION_S - 1, True),
        (2.0, False),
    ):
        await asyncio.sleep(pause_s)
        watcher.observe_peer_configuration(99, 0)
        assert watcher.is_outdated(PROPAGATION_S) == awaited
    await data_centre.stop()


# Guards against versions that are read one by one where many endpoints have come and
# gone, whose removals are remembered.
async def test_removals_do_not_keep_a_gateway_from_listing() -> None:
    data_centre = DataCentre(1, propagation_s=PROPAGATION_S)
    data_centre.store.put("op/config", configuration_fields(1, routes=ROUTES))
    for number in range(MAX_LISTED_DOCUMENTS + 50):
        data_centre.store.put(f"servers/i{number}", {})
    data_centre.start()
    await asyncio.sleep(5.0)
    for number in range(MAX_LISTED_DOCUMENTS + 50):
        data_centre.store.put(f"servers/i{number}", None)
    await asyncio.sleep(5.0)
    data_centre.store.link_bytes_per_s = SLOW_LINK_BYTES_PER_S
    assert await latest_adoption_s(data_centre, ["g0"], first_version=2) < PROPAGATION_S
    await data_centre.stop()


def test_a_batch_passes_texts_bytes_and_removals_on() -> None:
    documents = [
        Document("op/config", 7, b'{"version": 1}'),
        Document("servers/odd", 8, b"\xff\x00"),
        Document("servers/gone", 9, None),
    ]
    batch = RelayedBatch(9, True, 0.25, 0.0, 0, documents)
    assert decode_batch(encode_batch(batch, encode_documents(documents))) == batch


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'[9,true,0.25,0.0,[["op/config",7,"e30="]]]',  # Of the version before.
        b"[9,true,0.25,0.0,0]\nno documents",
        b"[9,true,0.25,0.0,0]\n" + encode_documents([])[:-1],
        b"[9,true,0.25,0.0,-1]\n" + encode_documents([]),
        b"[9,true,0.25,0.0,1e300]\n" + encode_documents([]),
        b"[9,true,-1,0.0,0]\n" + encode_documents([]),
        b"[9,true,0.25,1e999,0]\n" + encode_documents([]),
    ],
)
def test_a_batch_that_is_malformed_or_of_the_version_before_is_dropped(
    body: bytes,
) -> None:
    with pytest.raises((TypeError, ValueError)):
        decode_batch(body)
