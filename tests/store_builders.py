"""A store in memory, and gateways of one data centre that read or follow it."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import cast

import orjson

from shallotroad.catalog.catalog import Catalog
from shallotroad.gateway.endpoint_registry import EndpointRegistry
from shallotroad.gateway.gossip import EXCHANGE_INTERVAL_S
from shallotroad.gateway.membership import Membership
from shallotroad.gateway.store_confirmation import StoreConfirmation
from shallotroad.gateway.store_relay import StoreFollower
from shallotroad.gateway.store_relay import StoreRelay
from shallotroad.gateway.store_watcher import StoreWatcher
from shallotroad.platform.documents import Document
from shallotroad.platform.exceptions import RevisionCompactedError
from shallotroad.platform.exceptions import StoreUnavailableError
from shallotroad.platform.settings import Address
from shallotroad.platform.store import CONNECT_TIMEOUT_S
from shallotroad.platform.store import PAGE_TRANSFER_TIMEOUT_S
from shallotroad.platform.store import RESPONSE_TIMEOUT_S
from shallotroad.platform.store import DocumentBatch
from shallotroad.platform.store import StoreClient
from shallotroad.platform.store import StorePosition
from shallotroad.upstream.exceptions import CallFailedError
from shallotroad.upstream.http_client import CallResult


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.http_server.connection import ServerRequest

STORE_ADDRESS = Address("127.0.0.1", 1)
HOP_S = 0.002
GOSSIP_INTERVAL_S = 1.5
# Heartbeats after which a member is no newcomer.
SETTLED_HEARTBEATS = 10


def registration(sequence: int, **changes: Any) -> dict[str, Any]:
    return {
        "service": "scribe",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": sequence,
        "born": 5,
        **changes,
    }


class MemoryStore:
    """Documents with revisions, and who can't reach them.

    A gateway in ``silenced`` sends calls that get no response; one in ``unreachable``
    opens no connection; one in ``refused`` gets an error at once. The watches of one
    in ``stuck`` never end, not even by a timeout. Each gateway receives
    ``link_bytes_per_s`` from the store.
    """

    def __init__(self) -> None:
        self.link_bytes_per_s = math.inf
        self.era = 0
        self.changes: list[Document] = []
        self.compacted_revision = 0
        self.calls: dict[str, int] = {}
        self.silenced: set[str] = set()
        self.unreachable: set[str] = set()
        self.refused: set[str] = set()
        self.stuck: set[str] = set()
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        return len(self.changes)

    def put(self, key: str, value: dict[str, Any] | None) -> int:
        """Write or remove a document; return the revision of the change."""
        data = None if value is None else orjson.dumps(value)
        self.changes.append(Document(key, self.revision + 1, data, self.era))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def restore(self, revision: int) -> None:
        """Come back from the copy that was made at a revision, in a new era."""
        self.era += 1
        self.changes = [d._replace(era=self.era) for d in self.changes[:revision]]
        self._changed.set()
        self._changed = asyncio.Event()

    def documents(self) -> list[Document]:
        newest = {document.key: document for document in self.changes}
        return [d for d in newest.values() if d.value is not None]

    def transfer_s(self, documents: list[Document]) -> float:
        """Return the time that the values take on the link of a gateway, as base64."""
        size_bytes = sum(len(d.value or b"") for d in documents)
        return 4 / 3 * size_bytes / self.link_bytes_per_s

    async def wait_for_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return


class MemoryStoreClient(StoreClient):
    """Client of one gateway for a store in memory."""

    def __init__(self, store: MemoryStore, name: str) -> None:
        super().__init__(address=STORE_ADDRESS)
        self._store = store
        self._name = name

    async def _begin_call(self, timeout_s: float) -> None:
        self._store.calls[self._name] = self._store.calls.get(self._name, 0) + 1
        await asyncio.sleep(HOP_S)
        if self._name in self._store.refused:
            raise StoreUnavailableError("refused")
        if self._name in self._store.unreachable:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise StoreUnavailableError("no connection")
        if self._name in self._store.silenced:
            await asyncio.sleep(timeout_s)
            raise StoreUnavailableError("no response")

    async def list_documents(
        self, on_page: Callable[[list[Document]], None]
    ) -> DocumentBatch:
        await self._begin_call(RESPONSE_TIMEOUT_S)
        revision, documents = self._store.revision, self._store.documents()
        transfer_s = self._store.transfer_s(documents)
        await asyncio.sleep(min(transfer_s, PAGE_TRANSFER_TIMEOUT_S))
        if transfer_s > PAGE_TRANSFER_TIMEOUT_S:
            raise StoreUnavailableError("no complete response")
        on_page(documents)
        return DocumentBatch(revision, documents, self._store.era)

    async def watch(self, after: int, *, wait_ms: int) -> DocumentBatch:
        timeout_s = wait_ms / 1000 + RESPONSE_TIMEOUT_S
        ends_s = asyncio.get_running_loop().time() + timeout_s
        await self._begin_call(timeout_s)
        if self._name in self._store.stuck:
            await asyncio.sleep(3600)
        era = self._store.era
        if after > self._store.revision:
            raise RevisionCompactedError("the store does not have the revision")
        if after < self._store.compacted_revision:
            raise RevisionCompactedError("history is compacted")
        if after >= self._store.revision:
            await self._store.wait_for_change(wait_ms / 1000)
        if self._store.era != era:
            raise StoreUnavailableError("the store was restored")
        if self._name in self._store.silenced | self._store.unreachable:
            await asyncio.sleep(ends_s - asyncio.get_running_loop().time())
            raise StoreUnavailableError("no response")
        if self._name in self._store.refused:
            raise StoreUnavailableError("connection reset")
        revision, changes = self._store.revision, self._store.changes[after:]
        transfer_s = self._store.transfer_s(changes)
        remaining_s = ends_s - asyncio.get_running_loop().time()
        await asyncio.sleep(min(transfer_s, remaining_s))
        if transfer_s > remaining_s:
            raise StoreUnavailableError("no complete response")
        return DocumentBatch(revision, changes, self._store.era)

    async def read_position(self) -> StorePosition:
        await self._begin_call(RESPONSE_TIMEOUT_S)
        return StorePosition(self._store.revision, self._store.era)


class StoreGateway(NamedTuple):
    """The parts of a gateway that learn of the store's changes."""

    name: str
    membership: Membership
    watcher: StoreWatcher
    catalog: Catalog
    relay: StoreRelay
    follower: StoreFollower
    confirmation: StoreConfirmation
    registry: EndpointRegistry


class DataCentre:
    """Gateways of one data centre with a common store.

    ``cut_off`` names gateways that no other gateway reaches. If ``exchanges`` is set,
    each gateway fetches documents from peers that gossip shows to be ahead.
    """

    def __init__(
        self, count: int, *, propagation_s: float = 4.0, exchanges: bool = False
    ) -> None:
        self._exchanges = exchanges
        self._propagation_s = propagation_s
        self._rng = random.Random(count)
        self.store = MemoryStore()
        self.cut_off: set[str] = set()
        self.gateways: dict[str, StoreGateway] = {}
        self._tasks: list[asyncio.Task[None]] = []
        for number in range(count):
            self._add(f"g{number}", propagation_s)
        self.gossip()

    def restart(self, name: str) -> str:
        """Add a process that starts while the store is in use; return its name."""
        restarted = f"{name}-restarted"
        self._add(restarted, self._propagation_s, restarted=True)
        self.gossip()
        self._start_gateway(self.gateways[restarted])
        return restarted

    def _start_gateway(self, gateway: StoreGateway) -> None:
        for run in (gateway.watcher.run, gateway.follower.follow_periodically):
            self._tasks.append(asyncio.create_task(run()))

    def _add(self, name: str, propagation_s: float, *, restarted: bool = False) -> None:
        clock = asyncio.get_running_loop().time
        registry = EndpointRegistry(clock=clock, regions={}, closed=set())
        catalog = Catalog(
            on_endpoint_updated=registry.put, on_endpoint_removed=registry.remove
        )
        number = len(self.gateways)
        membership = Membership(
            name=name,
            address=f"10.0.0.{number}:8229",
            incarnation=1,
            seeds=(),
            data_centre="a",
        )
        store = MemoryStoreClient(self.store, name)
        watcher = StoreWatcher(
            store=store, catalog=catalog, clock=clock, restarted=restarted
        )
        confirmation = StoreConfirmation(
            store=store, store_watcher=watcher, clock=clock
        )
        follower = StoreFollower(
            membership=membership,
            store_watcher=watcher,
            clock=clock,
            rng=random.Random(number),
            propagation_s=propagation_s,
            make_client=lambda address: MemoryPeerClient(self, name, address),
        )
        watcher.reads_store = follower.reads_store
        relay = StoreRelay(store_watcher=watcher, clock=clock)
        self.gateways[name] = StoreGateway(
            name,
            membership,
            watcher,
            catalog,
            relay,
            follower,
            confirmation,
            registry,
        )

    def gossip(self) -> None:
        """Let all gateways know one another as settled members."""
        now_s = asyncio.get_running_loop().time()
        for gateway in self.gateways.values():
            for _ in range(SETTLED_HEARTBEATS):
                gateway.membership.increment_heartbeat()
        rows = [g.membership.snapshot()[0] for g in self.gateways.values()]
        for gateway in self.gateways.values():
            gateway.membership.merge(rows, now_s)

    def start(self) -> None:
        for gateway in self.gateways.values():
            self._start_gateway(gateway)
        self._tasks.append(asyncio.create_task(self._gossip_periodically()))
        if self._exchanges:
            for gateway in self.gateways.values():
                task = asyncio.create_task(self._exchange_periodically(gateway))
                self._tasks.append(task)

    async def _gossip_periodically(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            self.gossip()

    async def _exchange_periodically(self, gateway: StoreGateway) -> None:
        """Let a gateway learn the revision of a random peer, as gossip does."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            peer = self._rng.choice(list(self.gateways.values()))
            if {peer.name, gateway.name} & self.cut_off:
                continue
            revision, era = peer.watcher.known_revision, peer.watcher.era
            gateway.watcher.observe_peer_revision(revision, era)
            if peer.watcher.availability is not None:
                gateway.watcher.observe_peer_availability(
                    peer.watcher.availability, era
                )
            if gateway.watcher.should_fetch(revision, era):
                await gateway.follower.fetch_from(peer.membership.address)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def readers(self) -> list[str]:
        return self.gateways["g0"].follower.readers()

    def followers(self) -> list[str]:
        return [name for name in self.gateways if name not in self.readers()]

    def at_revision(self, revision: int) -> list[str]:
        """Return the gateways that know all changes up to a revision."""
        return [
            name
            for name, gateway in self.gateways.items()
            if gateway.watcher.known_revision >= revision
        ]

    def by_address(self, address: str) -> StoreGateway:
        return next(
            g for g in self.gateways.values() if g.membership.address == address
        )


class PollRequest(NamedTuple):
    """The part of a request that the relay uses."""

    target: str


class MemoryPeerClient:
    """Calls the relay of another gateway without a network."""

    def __init__(self, data_centre: DataCentre, name: str, address: str) -> None:
        self._data_centre = data_centre
        self._name = name
        self._address = address

    async def call(
        self, method: str, target: str, *, timeout_s: float, transfer_timeout_s: float
    ) -> CallResult:
        peer = self._data_centre.by_address(self._address)
        try:
            async with asyncio.timeout(timeout_s):
                await self._cross()
                request = cast("ServerRequest", PollRequest(target))
                response = await peer.relay.handle(request)
                await self._cross()
        except TimeoutError:
            raise CallFailedError("no response") from None
        store = self._data_centre.store
        transfer_s = len(response.body) / store.link_bytes_per_s
        await asyncio.sleep(min(transfer_s, transfer_timeout_s))
        if transfer_s > transfer_timeout_s:
            raise CallFailedError("no complete response")
        return CallResult(response.status, response.body)

    async def _cross(self) -> None:
        await asyncio.sleep(HOP_S)
        peer = self._data_centre.by_address(self._address)
        if {self._name, peer.name} & self._data_centre.cut_off:
            await asyncio.sleep(3600)

    def close(self) -> None:
        """Nothing is kept."""
