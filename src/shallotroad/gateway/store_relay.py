"""Passes changes of the store from few gateways that read it to all others.

In each data centre, ``READERS_PER_DATA_CENTRE`` gateways watch the store. The others
follow them: a follower holds one long poll at each reader, which returns as soon as the
reader knows of a change or has heard from the store again. So one reader may be lost
without delaying any news, and the number of calls to the store does not grow with the
number of gateways.

Each response states how long ago its sender last heard from the store, directly or
through others. A follower whose readers can't be reached, or have not heard from the
store for too long, reads the store itself until they have. Any gateway also fetches
what a peer of any data centre knows and it does not, if its own way takes too long.

The documents of a response are compressed, as a slow link takes a large configuration
longer than all else.
"""

from __future__ import annotations

import asyncio
import base64
import math
import zlib
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Protocol

import orjson
from loguru import logger

from shallotroad.http_server.message import Response
from shallotroad.observability.event_log import log_event
from shallotroad.platform.documents import MAX_NUMBER
from shallotroad.platform.documents import Document
from shallotroad.upstream.exceptions import CallFailedError
from shallotroad.upstream.http_client import HttpClient


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from shallotroad.gateway.membership import Membership
    from shallotroad.gateway.store_watcher import StoreWatcher
    from shallotroad.http_server.connection import ServerRequest
    from shallotroad.upstream.http_client import CallResult

WATCH_PATH = "/watch"
READERS_PER_DATA_CENTRE = 2
# Part of the time in which a change must be in force that is kept for a gateway's own
# call to the store, after its readers were found out of touch. On a slow link a list
# with a large configuration takes most of it.
OWN_READ_RESERVE_S = 1.4
# Gateways follow readers only if changes may take at least this long.
MIN_PROPAGATION_S = 3.0
# Followers that lose their readers together read the store within this time.
MAX_SPREAD_S = 0.2
# Added to the wait of a poll for the network and a busy reader.
POLL_RESPONSE_TIMEOUT_S = 0.5
# Time for the rest of a response that has begun.
POLL_TRANSFER_TIMEOUT_S = 2.0
# A reader that falls silent is noticed this and POLL_RESPONSE_TIMEOUT_S later.
POLL_WAIT_MS = 900
CONNECT_TIMEOUT_S = 0.3
RETRY_DELAY_S = 0.3
HTTP_OK = 200
COMPRESSION_LEVEL = 1
MAX_DOCUMENTS_BYTES = 67_108_864
# Followers ask for few revisions, so that most responses need no new compression.
MAX_CACHED_RESPONSES = 8


class RelayedBatch(NamedTuple):
    """News of the store from a peer.

    Parameters
    ----------
    revision : int
        Revision of the store up to which the sender knows all changes; -1 if it does
        not know.
    connected : bool
        Whether the sender's latest call to the store, or its readers', succeeded.
    contact_age_s : float
        Time since the store was last heard from.
    removal_delay_s : float
        Remaining time for which the sender keeps endpoints without a registration.
    era : int
        How often the store had been restored from a copy, as far as the sender knows.
    documents : list of Document
        The documents that changed after the revision asked for.
    """

    revision: int
    connected: bool
    contact_age_s: float
    removal_delay_s: float
    era: int
    documents: list[Document]


def documents_to_rows(documents: list[Document]) -> list[list[Any]]:
    """Return documents as JSON data.

    The value of a removal is None, that of a text the text itself, and any other a list
    with its base64 form.
    """
    return [[d.key, d.revision, _encode_value(d.value)] for d in documents]


def _encode_value(value: bytes | None) -> str | list[str] | None:
    if value is None:
        return None
    try:
        return value.decode()
    except UnicodeDecodeError:
        return [base64.b64encode(value).decode()]


def rows_to_documents(rows: list[list[Any]], *, era: int = 0) -> list[Document]:
    """Return the documents of an era from rows as ``documents_to_rows`` makes them.

    Raises
    ------
    TypeError, ValueError
        When a row is malformed.
    """
    return [_decode_row(*row, era=era) for row in rows]


def _decode_row(key: Any, revision: Any, value: Any, *, era: int) -> Document:
    if not (isinstance(key, str) and isinstance(revision, int)):
        raise TypeError(f"document {str(key)[:40]!r} with revision {revision!r}")
    if not 0 <= revision <= MAX_NUMBER:
        raise ValueError(f"document {key[:40]!r} with revision {revision}")
    return Document(key, revision, _decode_value(value), era)


def _decode_value(value: Any) -> bytes | None:
    if value is None:
        return None
    if isinstance(value, str):
        return value.encode()
    (encoded,) = value
    return base64.b64decode(encoded, validate=True)


def encode_documents(documents: list[Document]) -> bytes:
    """Return the compressed rows of documents."""
    return zlib.compress(orjson.dumps(documents_to_rows(documents)), COMPRESSION_LEVEL)


def encode_batch(batch: RelayedBatch, documents: bytes) -> bytes:
    """Return the body of a response to a poll.

    ``documents`` are those of the batch as ``encode_documents`` returns them. They
    follow a line with the other fields.
    """
    return orjson.dumps(list(batch[:-1])) + b"\n" + documents


def decode_batch(body: bytes) -> RelayedBatch:
    """Return the batch of a response body.

    Raises
    ------
    TypeError, ValueError
        When the body is malformed, or its documents take more than
        ``MAX_DOCUMENTS_BYTES`` after decompression.
    """
    head, _, compressed = body.partition(b"\n")
    revision, connected, age_s, removal_delay_s, era = orjson.loads(head)
    if not (isinstance(era, int) and 0 <= era <= MAX_NUMBER):
        raise ValueError(f"era {era!r}")
    if float(age_s) < 0 or not 0 <= float(removal_delay_s) < math.inf:
        raise ValueError(f"contact age {age_s!r}, removal delay {removal_delay_s!r}")
    decompressor = zlib.decompressobj()
    try:
        rows = decompressor.decompress(compressed, MAX_DOCUMENTS_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("the documents are truncated or too large")
    return RelayedBatch(
        int(revision),
        bool(connected),
        float(age_s),
        float(removal_delay_s),
        era,
        rows_to_documents(orjson.loads(rows), era=era),
    )


class StoreRelay:
    """Responds to the polls of followers."""

    def __init__(
        self, *, store_watcher: StoreWatcher, clock: Callable[[], float]
    ) -> None:
        self._store_watcher = store_watcher
        self._clock = clock
        self._encoded: dict[tuple[int, int, int], bytes] = {}

    async def handle(self, request: ServerRequest) -> Response:
        """Respond with the changes after a revision.

        Without any, wait at most as long as the query says for a change or for a sign
        of the store.
        """
        query = request.target.partition("?")[2]
        after_text, _, wait_text = query.partition("&")
        try:
            after = int(after_text)
            wait_s = min(POLL_WAIT_MS, int(wait_text)) / 1000
        except ValueError:
            return Response(400)
        if self._store_watcher.revision <= after:
            await self._store_watcher.wait_for_news(wait_s)
        return Response(200, body=self._encode(self._batch(after), after))

    def _encode(self, batch: RelayedBatch, after: int) -> bytes:
        """Return the body of a response, whose documents may be encoded already."""
        key = (after, batch.era, self._store_watcher.change_count)
        documents = self._encoded.get(key)
        if documents is None:
            if len(self._encoded) >= MAX_CACHED_RESPONSES:
                self._encoded.clear()
            documents = self._encoded[key] = encode_documents(batch.documents)
        return encode_batch(batch, documents)

    def _batch(self, after: int) -> RelayedBatch:
        watcher = self._store_watcher
        return RelayedBatch(
            watcher.revision,
            watcher.connected,
            round(self._clock() - watcher.last_contact_s, 3),
            round(watcher.removal_delay_s(), 3),
            watcher.era,
            watcher.snapshot(after),
        )


class PeerClient(Protocol):
    """Calls one peer; ``HttpClient`` in a gateway."""

    async def call(
        self, method: str, target: str, *, timeout_s: float, transfer_timeout_s: float
    ) -> CallResult:
        """Return the response of the peer."""

    def close(self) -> None:
        """Close the idle connections."""


def _make_peer_client(address: str) -> PeerClient:
    return HttpClient(address=address, connect_timeout_s=CONNECT_TIMEOUT_S)


class StoreFollower:
    """Follows the readers of this gateway's data centre.

    Parameters
    ----------
    propagation_s : float
        Time in which a change of the store must be in force.
    make_client : callable
        Returns a client for the address of a peer.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        store_watcher: StoreWatcher,
        clock: Callable[[], float],
        rng: Random,
        propagation_s: float,
        make_client: Callable[[str], PeerClient] = _make_peer_client,
    ) -> None:
        self._membership = membership
        self._make_client = make_client
        self._store_watcher = store_watcher
        self._clock = clock
        self._spread_s = rng.uniform(0.0, MAX_SPREAD_S)
        self._enabled = propagation_s >= MIN_PROPAGATION_S
        self._max_age_s = propagation_s - OWN_READ_RESERVE_S
        self._contact_s = -math.inf
        self._reachable = [False] * READERS_PER_DATA_CENTRE
        self._unreachable_since_s = -math.inf
        self._following = False

    def readers(self) -> list[str]:
        """Return the gateways of the own data centre that read the store."""
        return self._membership.rank_local_members(self._clock())[
            :READERS_PER_DATA_CENTRE
        ]

    def reads_store(self) -> bool:
        """Return whether this gateway has to read the store itself now."""
        reads = self._must_read()
        if reads == self._following:
            self._following = not reads
            log_event(
                "store is read here" if reads else "store is followed",
                readers=self.readers(),
                contact_age_s=round(min(999.0, self._clock() - self._contact_s), 2),
            )
        return reads

    def _must_read(self) -> bool:
        if not self._enabled or self._membership.name in self.readers():
            return True
        now_s = self._clock()
        if not any(self._reachable):
            return now_s - self._unreachable_since_s > self._spread_s
        return now_s - self._contact_s > self._max_age_s + self._spread_s

    async def follow_periodically(self) -> None:
        """Poll the readers until cancelled, each in a task of its own."""
        async with asyncio.TaskGroup() as tasks:
            for slot in range(READERS_PER_DATA_CENTRE):
                tasks.create_task(self._follow_slot(slot))

    def _reader_address(self, slot: int) -> str | None:
        """Return the address of a slot's reader; None if this gateway is a reader."""
        readers = self.readers()
        if (
            not self._enabled
            or self._membership.name in readers
            or slot >= len(readers)
            or self._store_watcher.revision < 0
        ):
            return None
        return self._membership.peer_address(readers[slot])

    async def _follow_slot(self, slot: int) -> None:
        client: PeerClient | None = None
        address: str | None = None
        try:
            while True:
                current = self._reader_address(slot)
                if current != address:
                    address = current
                    self._set_reachable(slot, reachable=False)
                    if client is not None:
                        client.close()
                    client = None
                if address is None:
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                if client is None:
                    client = self._make_client(address)
                if not await self._poll(slot, client):
                    await asyncio.sleep(RETRY_DELAY_S)
        finally:
            if client is not None:
                client.close()

    async def _poll(self, slot: int, client: PeerClient) -> bool:
        """Poll a reader once; return whether it is in touch with the store.

        The first poll does not wait, so that it shows at once what the reader knows.
        """
        wait_ms = POLL_WAIT_MS if self._reachable[slot] else 0
        try:
            batch = await self._call(client, wait_ms)
        except (CallFailedError, TypeError, ValueError) as error:
            logger.bind(why=repr(error)).info("reader of the store not reached")
            self._set_reachable(slot, reachable=False)
            return False
        in_touch = self._is_in_touch(batch)
        if in_touch:
            self._contact_s = max(self._contact_s, self._clock() - batch.contact_age_s)
        self._store_watcher.apply_relayed(batch, in_touch=in_touch)
        self._set_reachable(slot, reachable=in_touch)
        return in_touch

    async def _call(self, client: PeerClient, wait_ms: int) -> RelayedBatch:
        """Return what a peer knows beyond this gateway.

        Raises
        ------
        CallFailedError, TypeError, ValueError
            When the peer sent no valid response in time.
        """
        result = await client.call(
            "GET",
            f"{WATCH_PATH}?{self._store_watcher.revision}&{wait_ms}",
            timeout_s=wait_ms / 1000 + POLL_RESPONSE_TIMEOUT_S,
            transfer_timeout_s=POLL_TRANSFER_TIMEOUT_S,
        )
        if result.status != HTTP_OK:
            raise CallFailedError(f"status {result.status}")
        return decode_batch(result.body)

    def _is_in_touch(self, batch: RelayedBatch) -> bool:
        return (
            batch.connected
            and batch.era == self._store_watcher.era
            and batch.revision >= 0
            and batch.contact_age_s <= self._max_age_s
        )

    async def fetch_from(self, address: str) -> None:
        """Apply what the peer at an address knows beyond this gateway."""
        client = self._make_client(address)
        try:
            batch = await self._call(client, 0)
        except (CallFailedError, TypeError, ValueError) as error:
            logger.bind(peer=address, why=repr(error)).info("documents not fetched")
            return
        finally:
            client.close()
        log_event("documents taken from a peer", peer=address, n=len(batch.documents))
        in_touch = self._is_in_touch(batch) and self._store_watcher.connected
        self._store_watcher.apply_relayed(batch, in_touch=in_touch)

    def _set_reachable(self, slot: int, *, reachable: bool) -> None:
        if any(self._reachable) and not reachable:
            self._unreachable_since_s = self._clock()
        self._reachable[slot] = reachable
