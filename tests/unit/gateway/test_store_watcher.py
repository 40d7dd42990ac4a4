from __future__ import annotations

import asyncio
from typing import Any

import orjson

from shallotroad.catalog.catalog import Catalog
from shallotroad.gateway.endpoint_registry import EndpointRegistry
from shallotroad.gateway.store_watcher import MAX_BATCH_DELAY_S
from shallotroad.gateway.store_watcher import STALE_WATCH_S
from shallotroad.gateway.store_watcher import StoreWatcher
from shallotroad.platform.documents import Document
from shallotroad.platform.exceptions import RevisionCompactedError
from shallotroad.platform.settings import Address
from shallotroad.platform.store import DocumentBatch
from shallotroad.platform.store import StoreClient
from tests.gateway_builders import Clock


NOWHERE = Address("127.0.0.1", 1)
IN_FORCE_S = 3.0  # the longest that any site allows a new version to take


class Subject:
    """StoreWatcher with its catalog and clock."""

    def __init__(self, *, store: StoreClient | None = None) -> None:
        self.clock = Clock()
        endpoint_registry = EndpointRegistry(clock=self.clock, regions={}, closed=set())
        self.catalog = Catalog(
            on_endpoint_updated=endpoint_registry.put,
            on_endpoint_removed=endpoint_registry.remove,
        )
        self.store_watcher = StoreWatcher(
            store=store or StoreClient(address=NOWHERE),
            catalog=self.catalog,
            clock=self.clock,
        )


class SilentStore(StoreClient):
    """Answers lists; its watches say nothing on the first connection."""

    def __init__(self, changes: list[Document]) -> None:
        super().__init__(address=NOWHERE)
        self.changes = changes
        self.watches = 0

    async def list_documents(self) -> DocumentBatch:
        return DocumentBatch(1, [])

    async def watch(self, after: int, *, wait_ms: int) -> DocumentBatch:
        self.watches += 1
        if self.watches == 1:
            await asyncio.sleep(60)
        batch = DocumentBatch(after + len(self.changes), self.changes)
        self.changes = []
        return batch


class ForgetfulStore(StoreClient):
    """Drops its history under the first watch."""

    def __init__(self) -> None:
        super().__init__(address=NOWHERE)
        self.lists = 0

    async def list_documents(self) -> DocumentBatch:
        self.lists += 1
        if self.lists == 1:
            return DocumentBatch(1, [configuration(7, 1)])
        return DocumentBatch(5, [configuration(9, 5)])

    async def watch(self, after: int, *, wait_ms: int) -> DocumentBatch:
        await asyncio.sleep(wait_ms / 1000)
        if after < 5:
            raise RevisionCompactedError("history is gone")
        return DocumentBatch(after, [])


class BusyStore(SilentStore):
    """Has one change for each watch."""

    async def watch(self, after: int, *, wait_ms: int) -> DocumentBatch:
        self.watches += 1
        return DocumentBatch(after + 1, [configuration(after + 1, after + 1)])


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
    subject = Subject()
    subject.store_watcher.apply(configuration(7, 10))
    subject.store_watcher.apply(configuration(9, 8))
    subject.store_watcher.apply(configuration(6, 11))
    current = subject.catalog.configuration
    assert current is not None
    assert current.version == 7


def test_a_malformed_configuration_leaves_the_old_one_in_force() -> None:
    subject = Subject()
    subject.store_watcher.apply(configuration(7, 10))
    for number, value in enumerate((b"", b"[]", b'{"version": "x"}', b"\xff")):
        subject.store_watcher.apply(Document("op/config", 11 + number, value))
    current = subject.catalog.configuration
    assert current is not None
    assert current.version == 7


def test_a_forged_announcement_names_no_endpoint_and_the_others_hold() -> None:
    subject = Subject()
    subject.store_watcher.apply(endpoint("e1", 2))
    forged: list[dict[str, Any]] = [
        {"state": "odd"},
        {"address": "nowhere"},
        {"slots": "four"},
        {"zone": 3},
        {"sequence": None},
    ]
    for number, changes in enumerate(forged):
        subject.store_watcher.apply(endpoint(f"f{number}", 3 + number, **changes))
    assert set(subject.catalog.endpoints) == {"e1"}


def test_an_endpoint_that_lapsed_in_an_outage_is_kept_until_it_had_time() -> None:
    subject = Subject()
    subject.store_watcher.apply(endpoint("e1", 2))
    subject.store_watcher._reached()
    subject.store_watcher.apply_list(DocumentBatch(9, []))
    assert set(subject.catalog.endpoints) == {"e1"}
    subject.clock.now_s += 2.5
    subject.catalog.evict_missing(subject.clock())
    assert not subject.catalog.endpoints


def test_an_endpoint_removed_in_quiet_times_is_gone_at_once() -> None:
    subject = Subject()
    subject.store_watcher.apply(endpoint("e1", 2))
    subject.store_watcher.apply(Document("servers/e1", 3, None))
    assert not subject.catalog.endpoints


def test_a_closed_data_centre_opens_only_by_a_newer_revision() -> None:
    subject = Subject()
    subject.store_watcher.apply(Document("op/evacuate/a", 5, b"{}"))
    subject.store_watcher.apply(Document("op/evacuate/a", 4, None))
    assert subject.catalog.closed_data_centres == {"a"}
    subject.store_watcher.apply(Document("op/evacuate/a", 6, None))
    assert not subject.catalog.closed_data_centres


def test_what_changed_after_the_first_page_is_not_undone_by_the_list() -> None:
    subject = Subject()
    subject.store_watcher.apply(endpoint("e1", 12))
    subject.store_watcher.apply_list(DocumentBatch(9, [endpoint("e2", 3)]))
    assert set(subject.catalog.endpoints) == {"e1", "e2"}


def test_a_peer_gets_only_what_it_lacks_removals_included() -> None:
    subject = Subject()
    subject.store_watcher.apply(endpoint("e1", 2))
    subject.store_watcher.apply(endpoint("e2", 3))
    subject.store_watcher.apply(Document("servers/e2", 5, None))
    assert subject.store_watcher.known_revision == 5
    assert [d.key for d in subject.store_watcher.snapshot(2)] == ["servers/e2"]
    assert subject.store_watcher.snapshot(5) == []
    assert len(subject.store_watcher.snapshot(-1)) == 2


async def test_a_history_that_is_dropped_under_a_watch_is_noticed_in_time() -> None:
    """Pattern: the history goes and a version comes while all watches wait.

    The store answers such a watch only when its time is over.
    """
    subject = Subject(store=ForgetfulStore())
    following = asyncio.create_task(subject.store_watcher.follow())
    await asyncio.sleep(IN_FORCE_S)
    following.cancel()
    current = subject.catalog.configuration
    assert current is not None
    assert current.version == 9


async def test_a_peer_that_is_as_far_behind_does_not_hide_one_that_knows() -> None:
    store = SilentStore([configuration(7, 5)])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.store_watcher.follow())
    await asyncio.sleep(0.2)
    subject.store_watcher.observe_peer_revision(5)
    subject.clock.now_s += STALE_WATCH_S / 2
    subject.store_watcher.observe_peer_revision(-1)
    subject.clock.now_s += STALE_WATCH_S / 2
    subject.store_watcher.observe_peer_revision(5)
    await asyncio.sleep(0.2)
    following.cancel()
    assert subject.catalog.configuration is not None


async def test_a_silent_watch_is_given_up_when_peers_know_more() -> None:
    store = SilentStore([configuration(7, 5)])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.store_watcher.follow())
    await asyncio.sleep(0.2)
    assert store.watches == 1
    subject.store_watcher.observe_peer_revision(5)
    subject.clock.now_s += STALE_WATCH_S
    subject.store_watcher.observe_peer_revision(5)
    await asyncio.sleep(0.2)
    following.cancel()
    current = subject.catalog.configuration
    assert current is not None
    assert current.version == 7


async def test_a_revision_that_the_store_does_not_tell_of_is_chased_once() -> None:
    store = SilentStore([])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.store_watcher.follow())
    await asyncio.sleep(0.2)
    for _ in range(6):
        subject.store_watcher.observe_peer_revision(9)
        subject.clock.now_s += STALE_WATCH_S
        await asyncio.sleep(0.02)
    assert subject.store_watcher._stale_since_s is None
    assert subject.store_watcher._aborted_for_revision == 9
    following.cancel()


async def test_a_peer_that_is_a_moment_ahead_ends_no_watch() -> None:
    store = SilentStore([])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.store_watcher.follow())
    await asyncio.sleep(0.2)
    subject.store_watcher.observe_peer_revision(9)
    subject.clock.now_s += STALE_WATCH_S / 2
    subject.store_watcher.observe_peer_revision(9)
    subject.store_watcher.apply(configuration(7, 9))
    subject.clock.now_s += STALE_WATCH_S
    subject.store_watcher.observe_peer_revision(9)
    await asyncio.sleep(0.2)
    assert store.watches == 1
    following.cancel()


async def test_changes_in_quick_succession_cost_few_calls() -> None:
    store = BusyStore([])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.store_watcher.follow())
    await asyncio.sleep(0.15 + 0.3 + MAX_BATCH_DELAY_S + 0.1)
    following.cancel()
    assert store.watches == 3
