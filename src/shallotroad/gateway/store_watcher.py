"""Follows the store, and takes documents from peers while it can't be read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.observability.event_log import log_event
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
WATCH_TIMEOUT_MS = 2_000
STALE_WATCH_S = 1.0  # a peer may hear of a change so much earlier on a good connection
BATCH_DELAY_S = 0.15  # between watches, so that one call brings several changes
MAX_BATCH_DELAY_S = 0.6  # while changes come in quick succession
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_REMOVALS = 10_000  # remembered, so that no peer brings back what is gone
REREGISTRATION_S = 2.2  # lapsed announcements are back within about two seconds


class StoreWatcher:
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
        self._stale_since_s: float | None = None
        self._aborted_for_revision = -1
        self._documents: dict[str, Document] = {}
        self._known_revision = -1
        self.revision = -1
        self.connected = False
        self.last_contact_s = 0.0
        self._regained_s = -REREGISTRATION_S

    # Documents

    def snapshot(self, after: int) -> list[Document]:
        """Return the documents newer than a revision, removals included."""
        return [d for d in self._documents.values() if d.revision > after]

    @property
    def known_revision(self) -> int:
        """Revision of the newest document held, from the store or from a peer."""
        return self._known_revision

    def _expires_at_s(self) -> float:
        return self._regained_s + REREGISTRATION_S

    def apply(self, document: Document) -> None:
        """Take a document unless a newer one of its key is known."""
        current = self._documents.get(document.key)
        if current is not None and current.revision >= document.revision:
            return
        key = parse_key(document.key)
        if key is None:
            return
        self._documents[document.key] = document
        self._known_revision = max(self._known_revision, document.revision)
        self._evict_removals()
        if isinstance(key, ClosureKey):
            self._apply_closure(key, document)
        elif isinstance(key, ConfigurationKey):
            self._apply_configuration(document)
        else:
            self._apply_registration(key, document)

    def _evict_removals(self) -> None:
        if len(self._documents) <= 2 * MAX_REMOVALS:
            return
        removed = [d for d in self._documents.values() if d.value is None]
        removed.sort(key=lambda d: d.revision)
        for document in removed[:-MAX_REMOVALS]:
            del self._documents[document.key]

    def _apply_closure(self, key: ClosureKey, document: Document) -> None:
        closed = document.value is not None
        if closed:
            self._catalog.closed_data_centres.add(key.data_centre)
        else:
            self._catalog.closed_data_centres.discard(key.data_centre)
        log_event(
            "data centre closed" if closed else "data centre opened",
            data_centre=key.data_centre,
            revision=document.revision,
        )

    def _apply_configuration(self, document: Document) -> None:
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
        log_event(
            "configuration adopted" if adopted else "older configuration ignored",
            version=configuration.version,
            revision=document.revision,
        )

    def _apply_registration(self, key: EndpointKey, document: Document) -> None:
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
        for key, current in list(self._documents.items()):
            missing = key not in listed and current.value is not None
            if missing and current.revision <= batch.revision:
                self.apply(Document(key, batch.revision, None))

    # Peers

    def observe_peer_revision(self, revision: int) -> None:
        """Give a watch up that is silent about a revision that a peer knows.

        Once for each revision: a peer that read a whole list counts removals by the
        revision of the list, of which no change tells.
        """
        if revision <= max(
            self._known_revision, self.revision, self._aborted_for_revision
        ):
            return  # the peer is no further; others may be
        now_s = self._clock()
        if self._stale_since_s is None:
            self._stale_since_s = now_s
        elif (
            now_s - self._stale_since_s >= STALE_WATCH_S and self._watching is not None
        ):
            self._stale_since_s = None
            self._aborted_for_revision = revision
            self._watching.reschedule(asyncio.get_running_loop().time())

    # The store

    async def follow(self) -> None:
        """List and watch until cancelled."""
        backoff_s = MIN_BACKOFF_S
        batch_delay_s = BATCH_DELAY_S
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
                self._stale_since_s = None
                backoff_s = MIN_BACKOFF_S
                await asyncio.sleep(batch_delay_s)
                batch_delay_s = min(MAX_BATCH_DELAY_S, 2 * batch_delay_s)
                if not batch.documents:
                    batch_delay_s = BATCH_DELAY_S
            except RevisionCompactedError as error:
                log_event("store history lost", revision=self.revision, why=str(error))
                self.revision = -1
            except StoreUnavailableError as error:
                self._lost(error)
                await asyncio.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _watch(self) -> DocumentBatch:
        """Wait for changes, until peers know of one and this watch does not."""
        try:
            async with asyncio.timeout(None) as self._watching:
                return await self._store.watch(self.revision, wait_ms=WATCH_TIMEOUT_MS)
        except TimeoutError:
            raise StoreUnavailableError("peers know of a newer revision") from None
        finally:
            self._watching = None

    async def evict_missing_periodically(self) -> None:
        """Forget endpoints that have not come back after an outage."""
        while True:
            await asyncio.sleep(BATCH_DELAY_S)
            if self.connected:
                self._catalog.evict_missing(self._clock())

    def _reached(self) -> None:
        self.last_contact_s = self._clock()
        if not self.connected:
            self.connected = True
            if self._documents:
                self._regained_s = self.last_contact_s
            log_event("store reached", revision=self.revision)

    def _lost(self, error: StoreUnavailableError) -> None:
        if self.connected:
            self.connected = False
            log_event("store lost", revision=self.revision, why=str(error))
