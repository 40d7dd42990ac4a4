"""Sixty gateways of a data centre follow two that read the store.

The calls to the store must not grow with the gateways, and a change must be in force
everywhere within the bound, also while readers are cut off from the store, from their
followers, or from both.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.store_relay import StoreRelay
from tests.store_builders import DataCentre
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

GATEWAYS = 14
PROPAGATION_S = 4.0
# A change that reaches a reader must be everywhere about as soon as if all read it.
PROMPT_S = 0.8


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.fixture
async def centre() -> AsyncIterator[DataCentre]:
    data_centre = DataCentre(GATEWAYS, propagation_s=PROPAGATION_S)
    data_centre.store.put("op/config", {})
    data_centre.start()
    await asyncio.sleep(10.0)
    yield data_centre
    await data_centre.stop()


async def time_until_known(centre: DataCentre, names: list[str]) -> float:
    """Write a change; return the time until the named gateways know it."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    revision = centre.store.put(f"servers/i{centre.store.revision}", {})
    while not set(names) <= set(centre.at_revision(revision)):
        await asyncio.sleep(0.01)
        assert loop.time() - started_s < 30.0
    return loop.time() - started_s


async def calls_per_second(gateways: int) -> float:
    data_centre = DataCentre(gateways, propagation_s=PROPAGATION_S)
    data_centre.start()
    await asyncio.sleep(10.0)
    data_centre.store.calls.clear()
    await asyncio.sleep(30.0)
    await data_centre.stop()
    return sum(data_centre.store.calls.values()) / 30.0


async def test_calls_to_the_store_do_not_grow_with_the_gateways() -> None:
    assert await calls_per_second(14) == pytest.approx(await calls_per_second(60))
    assert await calls_per_second(60) < 2.0


async def test_only_the_readers_call_the_store(centre: DataCentre) -> None:
    centre.store.calls.clear()
    await asyncio.sleep(10.0)
    assert sorted(centre.store.calls) == sorted(centre.readers())


async def test_a_change_is_soon_known_everywhere(centre: DataCentre) -> None:
    for _ in range(5):
        assert await time_until_known(centre, list(centre.gateways)) < PROMPT_S
        await asyncio.sleep(0.7)


async def test_changes_in_quick_succession_arrive_in_order(centre: DataCentre) -> None:
    for number in range(40):
        centre.store.put(f"servers/i{number % 7}", None if number % 3 else {})
        await asyncio.sleep(0.03)
    await asyncio.sleep(PROMPT_S)
    expected = sorted(d.key for d in centre.store.documents())
    for gateway in centre.gateways.values():
        known = [d for d in gateway.watcher.snapshot(-1) if d.value is not None]
        assert sorted(d.key for d in known) == expected


@pytest.mark.parametrize("kind", ["silenced", "refused"])
async def test_one_reader_without_the_store_delays_no_follower(
    centre: DataCentre, kind: str
) -> None:
    getattr(centre.store, kind).add(centre.readers()[0])
    await asyncio.sleep(0.05)
    assert await time_until_known(centre, centre.followers()) < PROMPT_S


async def test_one_reader_cut_off_from_all_delays_no_follower(
    centre: DataCentre,
) -> None:
    reader = centre.readers()[0]
    centre.cut_off.add(reader)
    centre.store.silenced.add(reader)
    assert await time_until_known(centre, centre.followers()) < PROMPT_S


@pytest.mark.parametrize("kind", ["silenced", "refused"])
async def test_followers_read_the_store_when_no_reader_reaches_it(
    centre: DataCentre, kind: str
) -> None:
    getattr(centre.store, kind).update(centre.readers())
    await asyncio.sleep(0.05)
    assert await time_until_known(centre, centre.followers()) < PROPAGATION_S
    await asyncio.sleep(5.0)
    assert await time_until_known(centre, centre.followers()) < PROMPT_S


async def test_followers_read_the_store_when_all_readers_are_cut_off(
    centre: DataCentre,
) -> None:
    centre.cut_off.update(centre.readers())
    assert await time_until_known(centre, centre.followers()) < PROPAGATION_S


async def test_readers_that_reach_the_store_again_are_followed_again(
    centre: DataCentre,
) -> None:
    centre.store.refused.update(centre.readers())
    await asyncio.sleep(5.0)
    centre.store.refused.clear()
    await asyncio.sleep(5.0)
    centre.store.calls.clear()
    await asyncio.sleep(10.0)
    assert sorted(centre.store.calls) == sorted(centre.readers())


async def test_readers_that_only_repeat_old_news_are_left(centre: DataCentre) -> None:
    centre.store.stuck.update(centre.readers())
    await asyncio.sleep(2.5)  # The watches that had begun end.
    assert await time_until_known(centre, centre.followers()) < PROPAGATION_S


async def test_a_follower_that_never_reads_itself_misses_the_bound(
    centre: DataCentre, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without its fallback, a follower learns nothing while no reader does."""
    for gateway in centre.gateways.values():
        is_reader = gateway.name in centre.readers()
        monkeypatch.setattr(
            gateway.watcher, "reads_store", lambda is_reader=is_reader: is_reader
        )
    centre.store.stuck.update(centre.readers())
    await asyncio.sleep(2.5)
    with pytest.raises(AssertionError):
        await time_until_known(centre, centre.followers())


async def test_readers_that_hide_the_age_of_their_news_break_the_bound(
    centre: DataCentre, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the stated age, followers can't tell old news from no news."""
    make_batch = StoreRelay._batch
    monkeypatch.setattr(
        StoreRelay,
        "_batch",
        lambda self, after: make_batch(self, after)._replace(contact_age_s=0.0),
    )
    centre.store.stuck.update(centre.readers())
    await asyncio.sleep(2.5)
    with pytest.raises(AssertionError):
        await time_until_known(centre, centre.followers())


async def test_a_compacted_history_takes_removals_to_all(centre: DataCentre) -> None:
    centre.store.put("servers/i1", {})
    await asyncio.sleep(PROMPT_S)
    readers = centre.readers()
    centre.store.silenced.update(readers)
    centre.store.put("servers/i1", None)
    centre.store.put("servers/i2", {})
    centre.store.compacted_revision = centre.store.revision
    centre.store.silenced.clear()
    await asyncio.sleep(8.0)
    for gateway in centre.gateways.values():
        known = {d.key for d in gateway.watcher.snapshot(-1) if d.value is not None}
        assert known == {"op/config", "servers/i2"}


async def test_all_read_the_store_where_changes_must_be_in_force_sooner() -> None:
    data_centre = DataCentre(6, propagation_s=2.0)
    data_centre.start()
    await asyncio.sleep(10.0)
    assert len(data_centre.store.calls) == 6
    assert await time_until_known(data_centre, list(data_centre.gateways)) < PROMPT_S
    await data_centre.stop()
