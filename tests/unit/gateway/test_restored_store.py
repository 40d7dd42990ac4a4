"""The store comes back from a copy: what it lost is written again, one by one.

Revisions go back and are given out again, so neither they nor the versions of
configurations tell alone what is newer.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import orjson
import pytest

from shallotroad.gateway.store_relay import RelayedBatch
from shallotroad.gateway.store_watcher import RESTORE_SETTLING_S
from shallotroad.platform.documents import Document
from tests.configuration_builders import configuration_fields
from tests.store_builders import DataCentre
from tests.store_builders import registration
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

GATEWAYS = 6
PROMPT_S = 1.5
CONFIGURATION = "op/config"
# More than a gateway that only listens to its peers takes to follow.
SETTLED_S = RESTORE_SETTLING_S + 3.0


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.fixture(params=[2.0, 4.0], ids=["all-read", "two-readers"])
async def centre(request: pytest.FixtureRequest) -> AsyncIterator[DataCentre]:
    """Four documents, and later changes of each that the copy does not have."""
    data_centre = DataCentre(GATEWAYS, propagation_s=request.param, exchanges=True)
    store = data_centre.store
    store.era = 3
    store.put(CONFIGURATION, configuration_fields(7))
    store.put("servers/e1", registration(1))
    store.put("servers/e2", registration(1))
    data_centre.start()
    await asyncio.sleep(10.0)
    store.put(CONFIGURATION, configuration_fields(9))
    store.put("servers/e1", registration(8, state="draining"))
    store.put("servers/e3", registration(1))
    store.put("op/evacuate/b", {})
    await asyncio.sleep(3.0)
    yield data_centre
    await data_centre.stop()


def versions(centre: DataCentre) -> set[int]:
    configurations = [g.catalog.configuration for g in centre.gateways.values()]
    return {c.version for c in configurations if c is not None}


def draining(centre: DataCentre, name: str) -> set[bool]:
    return {g.catalog.endpoints[name].draining for g in centre.gateways.values()}


def endpoints(centre: DataCentre) -> list[set[str]]:
    return [set(g.catalog.endpoints) for g in centre.gateways.values()]


# Guards against CONFIG and DRAIN: a copy takes back what had been acknowledged.
async def test_what_was_lost_stays_in_force_until_it_is_written_again(
    centre: DataCentre,
) -> None:
    store = centre.store
    store.restore(3)
    for _ in range(20):
        await asyncio.sleep(0.1)
        assert versions(centre) == {9}
        assert draining(centre, "e1") == {True}
        assert all("e3" in names for names in endpoints(centre))
        assert all(
            g.catalog.closed_data_centres == {"b"} for g in centre.gateways.values()
        )
    store.put("servers/e3", registration(2))
    store.put("op/evacuate/b", {})
    store.put("servers/e1", registration(9, state="draining"))
    store.put(CONFIGURATION, configuration_fields(9))
    await asyncio.sleep(SETTLED_S)
    assert versions(centre) == {9}
    assert draining(centre, "e1") == {True}
    assert all(names == {"e1", "e2", "e3"} for names in endpoints(centre))
    assert all(g.catalog.closed_data_centres == {"b"} for g in centre.gateways.values())


# Guards against CONFIG: a revision that is given out again counts as known.
async def test_what_is_written_under_a_known_revision_is_in_force(
    centre: DataCentre,
) -> None:
    store = centre.store
    store.restore(3)
    assert store.put(CONFIGURATION, configuration_fields(10)) == 4
    await asyncio.sleep(PROMPT_S)
    assert versions(centre) == {10}
    store.put("servers/e2", registration(2, state="draining"))
    await asyncio.sleep(PROMPT_S)
    assert draining(centre, "e2") == {True}
    store.put("servers/e2", None)
    await asyncio.sleep(SETTLED_S)
    assert all("e2" not in names for names in endpoints(centre))


async def test_what_is_not_written_again_is_given_up(centre: DataCentre) -> None:
    centre.store.restore(3)
    await asyncio.sleep(SETTLED_S)
    assert versions(centre) == {7}
    assert draining(centre, "e1") == {False}
    assert all(names == {"e1", "e2"} for names in endpoints(centre))
    assert all(not g.catalog.closed_data_centres for g in centre.gateways.values())


async def test_an_older_version_written_after_the_restore_is_in_force(
    centre: DataCentre,
) -> None:
    centre.store.restore(3)
    await asyncio.sleep(1.0)
    centre.store.put(CONFIGURATION, configuration_fields(8))
    await asyncio.sleep(PROMPT_S)
    assert versions(centre) == {8}


async def test_two_restores_in_a_row_are_followed(centre: DataCentre) -> None:
    centre.store.restore(5)
    await asyncio.sleep(1.0)
    centre.store.put("servers/e4", registration(1))
    centre.store.restore(3)
    centre.store.put(CONFIGURATION, configuration_fields(11))
    await asyncio.sleep(PROMPT_S)
    assert versions(centre) == {11}
    await asyncio.sleep(SETTLED_S)
    assert all(names == {"e1", "e2"} for names in endpoints(centre))


async def test_a_gateway_without_the_store_follows_its_peers(
    centre: DataCentre,
) -> None:
    name = centre.followers()[0]
    centre.store.refused.add(name)
    centre.store.restore(3)
    centre.store.put(CONFIGURATION, configuration_fields(10))
    await asyncio.sleep(SETTLED_S)
    assert versions(centre) == {10}
    watcher = centre.gateways[name].watcher
    assert watcher.era == centre.store.era


# Guards against what a wrong peer has left when the store is reached again.
async def test_the_store_outweighs_what_a_peer_told_while_it_was_away(
    centre: DataCentre,
) -> None:
    centre.store.refused.update(centre.gateways)
    await asyncio.sleep(5.0)
    era = 2**53
    documents = [
        Document(CONFIGURATION, 5, orjson.dumps(configuration_fields(99)), era),
        Document("servers/e9", 6, orjson.dumps(registration(1)), era),
    ]
    for gateway in centre.gateways.values():
        batch = RelayedBatch(9, True, 0.0, 0.0, era, documents)
        gateway.watcher.apply_relayed(batch, in_touch=False)
    assert versions(centre) == {99}
    centre.store.refused.clear()
    await asyncio.sleep(2 * SETTLED_S)
    assert versions(centre) == {9}
    assert all(names == {"e1", "e2", "e3"} for names in endpoints(centre))


# A peer that is wrong, or of the version before, must not outweigh the store.
@pytest.mark.parametrize("era", [0, 2, 2**53])
async def test_an_era_that_the_store_does_not_have_changes_nothing(
    centre: DataCentre, era: int
) -> None:
    document = Document(CONFIGURATION, 99, b'{"version": 99}', era)
    for gateway in centre.gateways.values():
        batch = RelayedBatch(99, True, 0.0, 0.0, era, [document])
        gateway.watcher.apply_relayed(batch, in_touch=True)
        gateway.watcher.observe_peer_revision(99, era)
    await asyncio.sleep(PROMPT_S)
    assert versions(centre) == {9}
    centre.store.put(CONFIGURATION, configuration_fields(12))
    await asyncio.sleep(PROMPT_S)
    assert versions(centre) == {12}
