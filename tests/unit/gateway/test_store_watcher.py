from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import orjson

from shallotroad.catalog.catalog import Catalog
from shallotroad.gateway.endpoint_registry import EndpointRegistry
from shallotroad.gateway.store_watcher import MAX_BATCH_DELAY_S
from shallotroad.gateway.store_watcher import STALE_WATCH_TIMEOUT_S
from shallotroad.gateway.store_watcher import StoreWatcher
from shallotroad.platform.documents import Document
from shallotroad.platform.exceptions import RevisionCompactedError
from shallotroad.platform.exceptions import StoreUnavailableError
from shallotroad.platform.settings import Address
from shallotroad.platform.store import DocumentBatch
from shallotroad.platform.store import StoreClient
from tests.gateway_builders import Clock


if TYPE_CHECKING:
    from collections.abc import Callable


UNREACHABLE = Address("127.0.0.1", 1)
# Longest time that any site allows until a new version is in force.
MAX_ADOPTION_S = 3.0


class WatcherFixture:
    """A StoreWatcher with its catalog and a manual clock."""

    def __init__(self, *, store: StoreClient | None = None) -> None:
        self.clock = Clock()
        endpoint_registry = EndpointRegistry(clock=self.clock, regions={}, closed=set())
        self.catalog = Catalog(
            on_endpoint_updated=endpoint_registry.put,
            on_endpoint_removed=endpoint_registry.remove,
        )
        self.store_watcher = StoreWatcher(
            store=store or StoreClient(address=UNREACHABLE),
            catalog=self.catalog,
            clock=self.clock,
        )


class SilentWatchStore(StoreClient):
    """Returns an empty list; its first watch never returns.

    Later lists and the second watch return the changes.
    """

    def __init__(self, changes: list[Document]) -> None:
        super().__init__(address=UNREACHABLE)
        self.changes = changes
        self.watches = 0

    async def list_documents(
        self, on_page: Callable[[list[Document]], None]
    ) -> DocumentBatch:
        changes = self.changes if self.watches else []
        return DocumentBatch(1 + len(changes), changes)

    async def watch(self, after: int, *, wait_ms: int) -> DocumentBatch:
        self.watches += 1
        if self.watches == 1:
            await asyncio.sleep(60)
        batch = DocumentBatch(after + len(self.changes), self.changes)
        self.changes = []
        return batch


class CompactingStore(StoreClient):
    """Compacts its history during the first watch."""

    def __init__(self) -> None:
        super().__init__(address=UNREACHABLE)
        self.lists = 0

    async def list_documents(
        self, on_page: Callable[[list[Document]], None]
    ) -> DocumentBatch:
        self.lists += 1
        if self.lists == 1:
            return DocumentBatch(1, [configuration(7, 1)])
        return DocumentBatch(5, [configuration(9, 5)])

    async def watch(self, after: int, *, wait_ms: int) -> DocumentBatch:
        await asyncio.sleep(wait_ms / 1000)
        if after < 5:
            raise RevisionCompactedError("history is compacted")
        return DocumentBatch(after, [])


class ChangingStore(SilentWatchStore):
    """Returns one change from each watch at once."""

    async def watch(self, after: int, *, wait_ms: int) -> DocumentBatch:
        self.watches += 1
        return DocumentBatch(after + 1, [configuration(after + 1, after + 1)])


class StoreLostWhileListed(StoreClient):
    """Returns the first page of its list and can't be reached after that."""

    def __init__(self, first_page: list[Document]) -> None:
        super().__init__(address=UNREACHABLE)
        self._first_page = first_page

    async def list_documents(
        self, on_page: Callable[[list[Document]], None]
    ) -> DocumentBatch:
        on_page(self._first_page)
        raise StoreUnavailableError("the second page timed out")


def configuration(version: int, revision: int) -> Document:
    value = {"version": version, "routes": [], "services": [], "limits": {}}
    return Document("op/config", revision, orjson.dumps(value))


def endpoint(name: str, revision: int, **changes: Any) -> Document:
    value = {
        "service": "chat",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 4,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": 5,
        **changes,
    }
    return Document(f"servers/{name}", revision, orjson.dumps(value))


def test_an_older_revision_or_version_is_never_adopted() -> None:
    fixture = WatcherFixture()
    fixture.store_watcher.apply(configuration(7, 10))
    fixture.store_watcher.apply(configuration(9, 8))
    fixture.store_watcher.apply(configuration(6, 11))
    current = fixture.catalog.configuration
    assert current is not None
    assert current.version == 7


def test_a_malformed_configuration_leaves_the_old_one_in_force() -> None:
    fixture = WatcherFixture()
    fixture.store_watcher.apply(configuration(7, 10))
    for number, value in enumerate((b"", b"[]", b'{"version": "x"}', b"\xff")):
        fixture.store_watcher.apply(Document("op/config", 11 + number, value))
    current = fixture.catalog.configuration
    assert current is not None
    assert current.version == 7


def test_malformed_registrations_add_no_endpoint_and_keep_the_others() -> None:
    fixture = WatcherFixture()
    fixture.store_watcher.apply(endpoint("e1", 2))
    malformed: list[dict[str, Any]] = [
        {"state": "odd"},
        {"address": "nowhere"},
        {"slots": "four"},
        {"zone": 3},
        {"sequence": None},
    ]
    for number, changes in enumerate(malformed):
        fixture.store_watcher.apply(endpoint(f"f{number}", 3 + number, **changes))
    assert set(fixture.catalog.endpoints) == {"e1"}


def test_an_endpoint_that_lapsed_in_an_outage_has_time_to_register_again() -> None:
    fixture = WatcherFixture()
    fixture.store_watcher.apply(endpoint("e1", 2))
    fixture.store_watcher._record_read()
    fixture.store_watcher.apply_list(DocumentBatch(9, []))
    assert set(fixture.catalog.endpoints) == {"e1"}
    fixture.clock.now_s += 2.5
    fixture.store_watcher._record_read()
    fixture.store_watcher._evict_missing()
    assert not fixture.catalog.endpoints


def test_an_endpoint_removed_without_an_outage_is_removed_at_once() -> None:
    fixture = WatcherFixture()
    fixture.store_watcher.apply(endpoint("e1", 2))
    fixture.store_watcher.apply(Document("servers/e1", 3, None))
    assert not fixture.catalog.endpoints


def test_a_closed_data_centre_opens_only_by_a_newer_revision() -> None:
    fixture = WatcherFixture()
    fixture.store_watcher.apply(Document("op/evacuate/a", 5, b"{}"))
    fixture.store_watcher.apply(Document("op/evacuate/a", 4, None))
    assert fixture.catalog.closed_data_centres == {"a"}
    fixture.store_watcher.apply(Document("op/evacuate/a", 6, None))
    assert not fixture.catalog.closed_data_centres


def test_a_list_does_not_remove_documents_newer_than_its_revision() -> None:
    fixture = WatcherFixture()
    fixture.store_watcher.apply(endpoint("e1", 12))
    fixture.store_watcher.apply_list(DocumentBatch(9, [endpoint("e2", 3)]))
    assert set(fixture.catalog.endpoints) == {"e1", "e2"}


def test_a_snapshot_holds_only_newer_documents_and_includes_removals() -> None:
    fixture = WatcherFixture()
    fixture.store_watcher.apply(endpoint("e1", 2))
    fixture.store_watcher.apply(endpoint("e2", 3))
    fixture.store_watcher.apply(Document("servers/e2", 5, None))
    assert fixture.store_watcher.known_revision == 5
    assert [d.key for d in fixture.store_watcher.snapshot(2)] == ["servers/e2"]
    assert fixture.store_watcher.snapshot(5) == []
    assert len(fixture.store_watcher.snapshot(-1)) == 2


async def test_a_history_compacted_during_a_watch_is_detected_in_time() -> None:
    """The history is compacted and a new version written while the watch waits.

    The store responds to such a watch only when its wait time is over, so a long wait
    would delay the new version.
    """
    fixture = WatcherFixture(store=CompactingStore())
    watcher_task = asyncio.create_task(fixture.store_watcher.run())
    await asyncio.sleep(MAX_ADOPTION_S)
    watcher_task.cancel()
    current = fixture.catalog.configuration
    assert current is not None
    assert current.version == 9


async def test_a_peer_that_is_also_behind_does_not_mask_one_that_is_ahead() -> None:
    store = SilentWatchStore([configuration(7, 5)])
    fixture = WatcherFixture(store=store)
    watcher_task = asyncio.create_task(fixture.store_watcher.run())
    await asyncio.sleep(0.2)
    fixture.store_watcher.observe_peer_revision(5)
    fixture.clock.now_s += STALE_WATCH_TIMEOUT_S / 2
    fixture.store_watcher.observe_peer_revision(-1)
    fixture.clock.now_s += STALE_WATCH_TIMEOUT_S / 2
    fixture.store_watcher.observe_peer_revision(5)
    await asyncio.sleep(0.2)
    watcher_task.cancel()
    assert fixture.catalog.configuration is not None


async def test_a_silent_watch_is_aborted_when_a_peer_stays_ahead() -> None:
    store = SilentWatchStore([configuration(7, 5)])
    fixture = WatcherFixture(store=store)
    watcher_task = asyncio.create_task(fixture.store_watcher.run())
    await asyncio.sleep(0.2)
    assert store.watches == 1
    fixture.store_watcher.observe_peer_revision(5)
    fixture.clock.now_s += STALE_WATCH_TIMEOUT_S
    fixture.store_watcher.observe_peer_revision(5)
    await asyncio.sleep(0.2)
    watcher_task.cancel()
    current = fixture.catalog.configuration
    assert current is not None
    assert current.version == 7


async def test_a_revision_that_no_watch_returns_aborts_only_one_watch() -> None:
    store = SilentWatchStore([])
    fixture = WatcherFixture(store=store)
    watcher_task = asyncio.create_task(fixture.store_watcher.run())
    await asyncio.sleep(0.2)
    for _ in range(6):
        fixture.store_watcher.observe_peer_revision(9)
        fixture.clock.now_s += STALE_WATCH_TIMEOUT_S
        await asyncio.sleep(0.02)
    assert fixture.store_watcher._behind_since_s is None
    assert fixture.store_watcher._aborted_for_revision == 9
    watcher_task.cancel()


async def test_a_peer_that_is_briefly_ahead_aborts_no_watch() -> None:
    store = SilentWatchStore([])
    fixture = WatcherFixture(store=store)
    watcher_task = asyncio.create_task(fixture.store_watcher.run())
    await asyncio.sleep(0.2)
    fixture.store_watcher.observe_peer_revision(9)
    fixture.clock.now_s += STALE_WATCH_TIMEOUT_S / 2
    fixture.store_watcher.observe_peer_revision(9)
    fixture.store_watcher.apply(configuration(7, 9))
    fixture.clock.now_s += STALE_WATCH_TIMEOUT_S
    fixture.store_watcher.observe_peer_revision(9)
    await asyncio.sleep(0.2)
    assert store.watches == 1
    watcher_task.cancel()


async def test_changes_in_quick_succession_need_few_store_calls() -> None:
    store = ChangingStore([])
    fixture = WatcherFixture(store=store)
    watcher_task = asyncio.create_task(fixture.store_watcher.run())
    await asyncio.sleep(0.15 + 0.3 + MAX_BATCH_DELAY_S + 0.1)
    watcher_task.cancel()
    assert store.watches == 3


async def test_the_first_page_of_a_list_is_in_force_before_the_others() -> None:
    page = [configuration(7, 20), endpoint("e1", 30)]
    fixture = WatcherFixture(store=StoreLostWhileListed(page))
    task = asyncio.create_task(fixture.store_watcher.run())
    await asyncio.sleep(0.01)
    current = fixture.catalog.configuration
    assert current is not None
    assert current.version == 7
    assert set(fixture.catalog.endpoints) == {"e1"}
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_peers_complete_a_list_that_was_interrupted() -> None:
    fixture = WatcherFixture(store=StoreLostWhileListed([endpoint("e1", 30)]))
    task = asyncio.create_task(fixture.store_watcher.run())
    await asyncio.sleep(0.01)
    watcher = fixture.store_watcher
    # Peers are asked for what is newer than this.
    assert watcher.known_revision == -1
    watcher.apply(configuration(7, 20))
    watcher.apply(endpoint("e2", 25))
    assert set(fixture.catalog.endpoints) == {"e1", "e2"}
    assert watcher.known_revision == 25
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
