from __future__ import annotations

import asyncio
from typing import Any

import orjson

from shallotroad.catalog.catalog import Catalog
from shallotroad.gateway.fleet import Fleet
from shallotroad.gateway.news import BEHIND_S
from shallotroad.gateway.news import LONGEST_GATHER_S
from shallotroad.gateway.news import News
from shallotroad.platform.documents import Document
from shallotroad.platform.exceptions import RevisionCompactedError
from shallotroad.platform.settings import Address
from shallotroad.platform.store import DocumentBatch
from shallotroad.platform.store import StoreClient
from tests.gateway_builders import Clock


NOWHERE = Address("127.0.0.1", 1)
IN_FORCE_S = 3.0  # the longest that any site allows a new version to take


class Subject:
    """News with its catalog and clock."""

    def __init__(self, *, store: StoreClient | None = None) -> None:
        self.clock = Clock()
        fleet = Fleet(clock=self.clock, regions={}, closed=set())
        self.catalog = Catalog(
            on_endpoint_updated=fleet.put, on_endpoint_removed=fleet.drop
        )
        self.news = News(
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
    subject.news.apply(configuration(7, 10))
    subject.news.apply(configuration(9, 8))
    subject.news.apply(configuration(6, 11))
    held = subject.catalog.configuration
    assert held is not None
    assert held.version == 7


def test_a_malformed_configuration_leaves_the_old_one_in_force() -> None:
    subject = Subject()
    subject.news.apply(configuration(7, 10))
    for number, value in enumerate((b"", b"[]", b'{"version": "x"}', b"\xff")):
        subject.news.apply(Document("op/config", 11 + number, value))
    held = subject.catalog.configuration
    assert held is not None
    assert held.version == 7


def test_a_forged_announcement_names_no_endpoint_and_the_others_hold() -> None:
    subject = Subject()
    subject.news.apply(endpoint("e1", 2))
    forged: list[dict[str, Any]] = [
        {"state": "odd"},
        {"address": "nowhere"},
        {"slots": "four"},
        {"zone": 3},
        {"sequence": None},
    ]
    for number, changes in enumerate(forged):
        subject.news.apply(endpoint(f"f{number}", 3 + number, **changes))
    assert set(subject.catalog.endpoints) == {"e1"}


def test_an_endpoint_that_lapsed_in_an_outage_is_kept_until_it_had_time() -> None:
    subject = Subject()
    subject.news.apply(endpoint("e1", 2))
    subject.news._reached()
    subject.news.apply_list(DocumentBatch(9, []))
    assert set(subject.catalog.endpoints) == {"e1"}
    subject.clock.now_s += 2.5
    subject.catalog.expire(subject.clock())
    assert not subject.catalog.endpoints


def test_an_endpoint_removed_in_quiet_times_is_gone_at_once() -> None:
    subject = Subject()
    subject.news.apply(endpoint("e1", 2))
    subject.news.apply(Document("servers/e1", 3, None))
    assert not subject.catalog.endpoints


def test_a_closed_data_centre_opens_only_by_a_newer_revision() -> None:
    subject = Subject()
    subject.news.apply(Document("op/evacuate/a", 5, b"{}"))
    subject.news.apply(Document("op/evacuate/a", 4, None))
    assert subject.catalog.closed_data_centres == {"a"}
    subject.news.apply(Document("op/evacuate/a", 6, None))
    assert not subject.catalog.closed_data_centres


def test_what_changed_after_the_first_page_is_not_undone_by_the_list() -> None:
    subject = Subject()
    subject.news.apply(endpoint("e1", 12))
    subject.news.apply_list(DocumentBatch(9, [endpoint("e2", 3)]))
    assert set(subject.catalog.endpoints) == {"e1", "e2"}


def test_a_peer_gets_only_what_it_lacks_removals_included() -> None:
    subject = Subject()
    subject.news.apply(endpoint("e1", 2))
    subject.news.apply(endpoint("e2", 3))
    subject.news.apply(Document("servers/e2", 5, None))
    assert subject.news.known_revision == 5
    assert [d.key for d in subject.news.snapshot(2)] == ["servers/e2"]
    assert subject.news.snapshot(5) == []
    assert len(subject.news.snapshot(-1)) == 2


async def test_a_history_that_is_dropped_under_a_watch_is_noticed_in_time() -> None:
    """Pattern: the history goes and a version comes while all watches wait.

    The store answers such a watch only when its time is over.
    """
    subject = Subject(store=ForgetfulStore())
    following = asyncio.create_task(subject.news.follow())
    await asyncio.sleep(IN_FORCE_S)
    following.cancel()
    held = subject.catalog.configuration
    assert held is not None
    assert held.version == 9


async def test_a_peer_that_is_as_far_behind_does_not_hide_one_that_knows() -> None:
    store = SilentStore([configuration(7, 5)])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.news.follow())
    await asyncio.sleep(0.2)
    subject.news.hear_of(5)
    subject.clock.now_s += BEHIND_S / 2
    subject.news.hear_of(-1)
    subject.clock.now_s += BEHIND_S / 2
    subject.news.hear_of(5)
    await asyncio.sleep(0.2)
    following.cancel()
    assert subject.catalog.configuration is not None


async def test_a_silent_watch_is_given_up_when_peers_know_more() -> None:
    store = SilentStore([configuration(7, 5)])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.news.follow())
    await asyncio.sleep(0.2)
    assert store.watches == 1
    subject.news.hear_of(5)
    subject.clock.now_s += BEHIND_S
    subject.news.hear_of(5)
    await asyncio.sleep(0.2)
    following.cancel()
    held = subject.catalog.configuration
    assert held is not None
    assert held.version == 7


async def test_a_revision_that_the_store_does_not_tell_of_is_chased_once() -> None:
    store = SilentStore([])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.news.follow())
    await asyncio.sleep(0.2)
    for _ in range(6):
        subject.news.hear_of(9)
        subject.clock.now_s += BEHIND_S
        await asyncio.sleep(0.02)
    assert subject.news._behind_s is None
    assert subject.news._chased == 9
    following.cancel()


async def test_a_peer_that_is_a_moment_ahead_ends_no_watch() -> None:
    store = SilentStore([])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.news.follow())
    await asyncio.sleep(0.2)
    subject.news.hear_of(9)
    subject.clock.now_s += BEHIND_S / 2
    subject.news.hear_of(9)
    subject.news.apply(configuration(7, 9))
    subject.clock.now_s += BEHIND_S
    subject.news.hear_of(9)
    await asyncio.sleep(0.2)
    assert store.watches == 1
    following.cancel()


async def test_changes_in_quick_succession_cost_few_calls() -> None:
    store = BusyStore([])
    subject = Subject(store=store)
    following = asyncio.create_task(subject.news.follow())
    await asyncio.sleep(0.15 + 0.3 + LONGEST_GATHER_S + 0.1)
    following.cancel()
    assert store.watches == 3
