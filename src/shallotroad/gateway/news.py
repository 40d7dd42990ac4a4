"""Follows the store, and takes documents from peers while it can't be read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.observability.decisions import decided
from shallotroad.platform.documents import ClosureKey
from shallotroad.platform.documents import ConfigurationKey
from shallotroad.platform.documents import Document
from shallotroad.platform.documents import EndpointKey
from shallotroad.platform.documents import decode_configuration
from shallotroad.platform.documents import decode_endpoint
from shallotroad.platform.documents import parse_key
from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.platform.exceptions import RevisionCompactedError
from shallotroad.platform.exceptions import StoreUnavailableError


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.catalog import Catalog
    from shallotroad.platform.store import DocumentBatch
    from shallotroad.platform.store import StoreClient

# Until then a connection that went silent is noticed, and a history that was dropped:
# the store tells a waiting watch of neither.
WATCH_MS = 2_000
BEHIND_S = 1.0  # a peer may hear of a change so much earlier on a good connection
GATHER_S = 0.15  # between watches, so that one call brings several changes
LONGEST_GATHER_S = 0.6  # while changes come in quick succession
FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 1.0
MOST_REMOVALS = 10_000  # remembered, so that no peer brings back what is gone
RETURN_S = 2.2  # lapsed announcements are back within about two seconds


class News:
    """Applies documents to the catalog, newest revision of each key only."""

    def __init__(
        self,
        *,
        store: StoreClient,
        catalog: Catalog,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._catalog = catalog
        self._clock = clock
        self._watching: asyncio.Timeout | None = None
        self._behind_s: float | None = None
        self._chased = -1
        self._documents: dict[str, Document] = {}
        self._known_revision = -1
        self.revision = -1
        self.connected = False
        self.heard_s = 0.0
        self._regained_s = -RETURN_S

    # Documents

    def snapshot(self, after: int) -> list[Document]:
        """Return the documents newer than a revision, removals included."""
        return [d for d in self._documents.values() if d.revision > after]

    @property
    def known_revision(self) -> int:
        """Revision of the newest document held, from the store or from a peer."""
        return self._known_revision

    def _expires_at_s(self) -> float:
        return self._regained_s + RETURN_S

    def apply(self, document: Document) -> None:
        """Take a document unless a newer one of its key is known."""
        held = self._documents.get(document.key)
        if held is not None and held.revision >= document.revision:
            return
        key = parse_key(document.key)
        if key is None:
            return
        self._documents[document.key] = document
        self._known_revision = max(self._known_revision, document.revision)
        self._forget_removals()
        if isinstance(key, ClosureKey):
            self._close(key, document)
        elif isinstance(key, ConfigurationKey):
            self._configure(document)
        else:
            self._announce(key, document)

    def _forget_removals(self) -> None:
        if len(self._documents) <= 2 * MOST_REMOVALS:
            return
        removed = [d for d in self._documents.values() if d.value is None]
        removed.sort(key=lambda d: d.revision)
        for document in removed[:-MOST_REMOVALS]:
            del self._documents[document.key]

    def _close(self, key: ClosureKey, document: Document) -> None:
        closed = document.value is not None
        if closed:
            self._catalog.closed_data_centres.add(key.data_centre)
        else:
            self._catalog.closed_data_centres.discard(key.data_centre)
        decided(
            "data centre closed" if closed else "data centre opened",
            data_centre=key.data_centre,
            revision=document.revision,
        )

    def _configure(self, document: Document) -> None:
        if document.value is None:
            return
        try:
            configuration = decode_configuration(document.value)
        except MalformedDocumentError as error:
            logger.bind(revision=document.revision, why=str(error)).error(
                "configuration refused"
            )
            return
        adopted = self._catalog.adopt_configuration(configuration)
        decided(
            "configuration adopted" if adopted else "older configuration ignored",
            version=configuration.version,
            revision=document.revision,
        )

    def _announce(self, key: EndpointKey, document: Document) -> None:
        now_s = self._clock()
        if document.value is None:
            self._catalog.remove_endpoint(
                key.identifier, expires_at_s=self._expires_at_s(), now_s=now_s
            )
            return
        try:
            record = decode_endpoint(key.identifier, document.value)
        except MalformedDocumentError as error:
            logger.bind(endpoint=key.identifier, why=str(error)).warning(
                "announcement ignored"
            )
            self._catalog.remove_endpoint(
                key.identifier, expires_at_s=now_s, now_s=now_s
            )
            return
        self._catalog.put_endpoint(record)

    def apply_list(self, batch: DocumentBatch) -> None:
        """Take a whole list; what it does not hold was removed."""
        for document in batch.documents:
            self.apply(document)
        listed = {document.key for document in batch.documents}
        for key, held in list(self._documents.items()):
            missing = key not in listed and held.value is not None
            if missing and held.revision <= batch.revision:
                self.apply(Document(key, batch.revision, None))

    # Peers

    def hear_of(self, revision: int) -> None:
        """Give a watch up that is silent about a revision that a peer knows.

        Once for each revision: a peer that read a whole list counts removals by the
        revision of the list, of which no change tells.
        """
        if revision <= max(self._known_revision, self.revision, self._chased):
            return  # the peer is no further; others may be
        now_s = self._clock()
        if self._behind_s is None:
            self._behind_s = now_s
        elif now_s - self._behind_s >= BEHIND_S and self._watching is not None:
            self._behind_s = None
            self._chased = revision
            self._watching.reschedule(asyncio.get_running_loop().time())

    # The store

    async def follow(self) -> None:
        """List and watch until cancelled."""
        backoff_s = FIRST_BACKOFF_S
        gather_s = GATHER_S
        while True:
            try:
                if self.revision < 0:
                    batch = await self._store.list_documents()
                    self._reached()
                    self.apply_list(batch)
                else:
                    batch = await self._watch()
                    self._reached()
                    for document in batch.documents:
                        self.apply(document)
                self.revision = max(self.revision, batch.revision)
                self._behind_s = None
                backoff_s = FIRST_BACKOFF_S
                await asyncio.sleep(gather_s)
                gather_s = min(LONGEST_GATHER_S, 2 * gather_s)
                if not batch.documents:
                    gather_s = GATHER_S
            except RevisionCompactedError as error:
                decided("store history lost", revision=self.revision, why=str(error))
                self.revision = -1
            except StoreUnavailableError as error:
                self._lost(error)
                await asyncio.sleep(backoff_s)
                backoff_s = min(LONGEST_BACKOFF_S, 2 * backoff_s)

    async def _watch(self) -> DocumentBatch:
        """Wait for changes, until peers know of one and this watch does not."""
        try:
            async with asyncio.timeout(None) as self._watching:
                return await self._store.watch(self.revision, wait_ms=WATCH_MS)
        except TimeoutError:
            raise StoreUnavailableError("peers know of a newer revision") from None
        finally:
            self._watching = None

    async def expire(self) -> None:
        """Forget endpoints that have not come back after an outage."""
        while True:
            await asyncio.sleep(GATHER_S)
            if self.connected:
                self._catalog.expire(self._clock())

    def _reached(self) -> None:
        self.heard_s = self._clock()
        if not self.connected:
            self.connected = True
            if self._documents:
                self._regained_s = self.heard_s
            decided("store reached", revision=self.revision)

    def _lost(self, error: StoreUnavailableError) -> None:
        if self.connected:
            self.connected = False
            decided("store lost", revision=self.revision, why=str(error))
