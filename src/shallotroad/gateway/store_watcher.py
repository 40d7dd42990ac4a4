"""Keeps the catalog up to date with the platform's store.

The watcher lists all documents once and then watches for changes by long polling. While
the store can't be read, gossip adds documents that peers have. While other gateways
read it for this one (``store_relay.py``), it makes no calls itself. Of each key, the
newest revision is kept, removals included.

A store that was restored from a copy has lost its last changes and begins a new era, in
which it gives their revisions out again. The watcher then lists it anew. What was lost
is written again soon, so a document of the copy replaces a later one only when
``RESTORE_SETTLING_S`` have passed.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.gateway.store_availability import StoreAvailability
from shallotroad.observability.event_log import log_event
from shallotroad.platform.documents import CONFIGURATION_KEY
from shallotroad.platform.documents import ClosureKey
from shallotroad.platform.documents import ConfigurationKey
from shallotroad.platform.documents import Document
from shallotroad.platform.documents import EndpointKey
from shallotroad.platform.documents import decode_configuration
from shallotroad.platform.documents import decode_endpoint
from shallotroad.platform.documents import has_newer_content
from shallotroad.platform.documents import parse_key
from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.platform.exceptions import RevisionCompactedError
from shallotroad.platform.exceptions import StoreUnavailableError


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.catalog import Catalog
    from shallotroad.gateway.store_availability import AvailabilityAges
    from shallotroad.gateway.store_relay import RelayedBatch
    from shallotroad.platform.store import DocumentBatch
    from shallotroad.platform.store import StoreClient
    from shallotroad.platform.store import StorePosition

# How long the store holds a watch without a change. A waiting watch learns neither of a
# compacted history nor of a silent connection: the former is noticed after this time,
# the latter when the call times out, RESPONSE_TIMEOUT_S of the store client later.
# Followers also count on a sign of the store this often.
WATCH_WAIT_MS = 1_000
# A watch returns every version of a document, a list only the newest. After a watch
# with more than this of outdated configurations, the next changes are listed.
MAX_OUTDATED_BYTES = 65_536
# So many documents fit on one page of a list, which then costs no more than a watch.
MAX_LISTED_DOCUMENTS = 450
# Time after which a watch is aborted that has not returned a revision known to a peer.
# A peer with a healthy connection may receive a change up to this much earlier.
STALE_WATCH_TIMEOUT_S = 1.0
# Delay between watches, so that one call returns several changes.
BATCH_DELAY_S = 0.15
# Time after which the documents of a peer that is ahead are fetched. If the store was
# not heard from for PEER_FETCH_CONTACT_AGE_S, they are fetched at once.
PEER_FETCH_DELAY_S = 0.4
PEER_FETCH_CONTACT_AGE_S = 1.3
# The delay doubles up to this value while changes come in quick succession.
MAX_BATCH_DELAY_S = 0.6
# Time from the begin of a failed call to that of the next one. It doubles up to the
# highest value, which keeps the return of the store from being noticed late: the time
# until unregistered endpoints are removed counts from then.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.7
# Removals are kept so that no peer can bring a removed document back. Once more than
# twice this number of documents are known, only this many removals stay, the newest.
RETAINED_REMOVALS = 10_000
# Time from the end of an outage of the store until endpoints that have not registered
# again are removed. Endpoints whose registration lapsed register within about two
# seconds. Time in which the store was available to a peer is no outage.
REREGISTRATION_TIMEOUT_S = 2.2
# A configuration that a peer claims to know is awaited for this long. After that, the
# store has shown it or there is none.
PEER_CONFIGURATION_S = 10.0
# Time from the first sign of a restored store until all that it holds is taken over.
RESTORE_SETTLING_S = 4.0
# A registration stays in the store for longer than this, as an endpoint that leaves
# serves on for some seconds, and one that falls silent is missed after as many.
MIN_REGISTRATION_S = 2.0
# Endpoints without a registration are removed on news of the store that are at most
# this much older than the time at which they had to be registered again.
MAX_EVICTION_NEWS_AGE_S = 0.1
# How often a gateway that does not read the store checks whether it has to.
READ_CHECK_INTERVAL_S = 0.1


class StoreWatcher:
    """Applies documents of the store and of peers to the catalog.

    Parameters
    ----------
    restarted : bool
        Whether the store was in use before this process started.

    Attributes
    ----------
    revision : int
        Revision up to which the store was read; -1 while a new list is needed.
    era : int
        How often the store had been restored from a copy, as far as is known here.
    connected : bool
        False at the start, and after a failed call to the store until one succeeds,
        here or at a gateway that reads it for this one.
    last_contact_s : float
        When a call to the store last succeeded, monotonic time in seconds; 0 before
        the first.
    change_count : int
        Number of documents that were applied.
    complete_since_s : float
        Monotonic time since which no registration can have come and gone without being
        seen here; infinite before the first contact of a process that restarted.
    reads_store : callable
        Returns whether this gateway has to read the store itself.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        catalog: Catalog,
        clock: Callable[[], float],
        restarted: bool = False,
    ) -> None:
        self._store = store
        self._catalog = catalog
        self._clock = clock
        self.complete_since_s = math.inf if restarted else -math.inf
        # When all changes up to ``revision`` were last known to be all that there were.
        self._complete_s = -math.inf if restarted else clock()
        self._watch_timeout: asyncio.Timeout | None = None
        self._behind_since_s: float | None = None
        self._aborted_for_revision = -1
        self._documents: dict[str, Document] = {}
        self._known_revision = -1
        self.change_count = 0
        self.revision = -1
        self.era = 0
        self._settles_at_s = math.inf
        # The store's revision when it was first listed in this era.
        self._restored_revision = math.inf
        self._refuted_era = 0
        # Position of the newest configuration that peers know, and until when they are
        # believed.
        self._peer_configuration = (0, -1)
        self._peer_configuration_until_s = -math.inf
        self.connected = False
        self.last_contact_s = 0.0
        self._availability = StoreAvailability()
        # Time of the first response since which no call to the store has failed.
        self._responding_since_s: float | None = None
        self._must_read_once = False
        self._list_next = False
        self._news = asyncio.Event()
        self.reads_store: Callable[[], bool] = lambda: True

    def snapshot(self, after: int) -> list[Document]:
        """Return the documents of this era after a revision, removals included."""
        return [
            d
            for d in self._documents.values()
            if d.revision > after and d.era == self.era
        ]

    @property
    def known_revision(self) -> int:
        """Newest revision among the known documents; -1 when there are none."""
        return self._known_revision

    def has_reached(self, position: StorePosition) -> bool:
        """Return whether all changes up to a position of the store are known."""
        return position.era == self.era and position.revision <= self.revision

    async def wait_for_news(self, timeout_s: float) -> None:
        """Wait for a change, or for the success or failure of a call to the store."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._news.wait()
        except TimeoutError:
            return

    def _announce_news(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def removal_delay_s(self) -> float:
        """Return for how long endpoints without a registration are still kept."""
        return max(0.0, self._removal_time_s() - self._clock())

    def registration_inputs(self, identifier: str) -> dict[str, object]:
        """Return log fields on what is known of the registration of an endpoint.

        These are ``store_age_s``, the time since the store was last heard from, and
        ``unregistered`` if the endpoint is kept though its registration is missing.
        """
        inputs: dict[str, object] = {
            "store_age_s": round(self._clock() - self.last_contact_s, 2)
        }
        if self._catalog.is_missing(identifier):
            inputs["unregistered"] = True
        return inputs

    @property
    def availability(self) -> AvailabilityAges | None:
        """When the store was available; None before it first was."""
        return self._availability.ages(self._clock())

    def observe_peer_availability(self, ages: AvailabilityAges, era: int) -> None:
        """Take over when the store has been available to a peer.

        The message must be fresh: one that a cut has held up would claim that the store
        was available during the cut.
        """
        if era != self.era:
            return
        now_s = self._clock()
        before_s = self._availability.since_s
        self._availability.record(now_s - ages.since_age_s, now_s - ages.until_age_s)
        if self._catalog.missing_count and self._availability.since_s < before_s:
            log_event(
                "store was available to a peer",
                since_age_s=round(ages.since_age_s, 2),
                until_age_s=round(ages.until_age_s, 2),
                missing=self._catalog.missing_count,
            )
        self._evict_missing()

    def apply_relayed(self, batch: RelayedBatch, *, in_touch: bool) -> None:
        """Apply the news that another gateway has of the store.

        ``in_touch`` says that the other one has heard from the store recently, so that
        this gateway counts as connected too. News of an earlier era are dropped. Those
        of a later one only make this gateway list the store, if it is connected.
        """
        self.observe_era(batch.era)
        if batch.era != self.era:
            return
        now_s = self._clock()
        # At least so long ago, the span began in which the store is available.
        since_age_s = max(0.0, REREGISTRATION_TIMEOUT_S - batch.removal_delay_s)
        until_age_s = min(since_age_s, batch.contact_age_s)
        in_contact = batch.connected and batch.contact_age_s <= since_age_s
        if in_contact or batch.removal_delay_s:
            self._availability.record(now_s - since_age_s, now_s - until_age_s)
        contact_s = now_s
        if in_touch:
            contact_s = max(self.last_contact_s, now_s - batch.contact_age_s)
        self._check_for_missed_changes(batch.revision, contact_s)
        if in_touch:
            self._record_contact(contact_s)
        for document in batch.documents:
            self.apply(document)
        if batch.revision > self.revision >= 0:
            self.revision = batch.revision
        if self.revision >= self._known_revision:
            self._behind_since_s = None
        self._evict_missing()
        self._announce_news()

    def _check_for_missed_changes(self, revision: int, read_s: float) -> None:
        """Note whether registrations may have come and gone unseen.

        A list, and the news of another gateway, has only the latest state of each
        document, while a watch returns every change.

        Parameters
        ----------
        revision : int
            Revision of the store up to which the changes were read.
        read_s : float
            Monotonic time at which the store had it.
        """
        unchanged = 0 <= revision <= self.revision
        if unchanged or read_s - self._complete_s <= MIN_REGISTRATION_S:
            return
        log_event(
            "registrations may have been missed",
            revision=revision,
            before=self.revision,
            silence_s=round(min(999.0, read_s - self._complete_s), 2),
        )
        self.complete_since_s = read_s

    def _removal_time_s(self) -> float:
        """Return the earliest monotonic time to remove an unregistered endpoint.

        It is ``REREGISTRATION_TIMEOUT_S`` after the store's latest outage. A time in
        the past means at once.
        """
        return self._availability.since_s + REREGISTRATION_TIMEOUT_S

    def apply(self, document: Document) -> None:
        """Apply a document unless the same or a newer revision of its key is known.

        Keys that do not concern the gateway are ignored. A malformed configuration is
        logged and leaves the current one in force; a malformed registration removes
        its endpoint.
        """
        current = self._documents.get(document.key)
        if document.era < self.era:
            return
        if current is not None and current.position >= document.position:
            return
        key = parse_key(document.key)
        if key is None:
            return
        if current is not None and self._predates_known(current, document):
            return
        self._documents[document.key] = document
        self.change_count += 1
        self._known_revision = max(self._known_revision, document.revision)
        self._evict_removals()
        restored = current is not None and document.era > current.era
        if restored and current is not None and document.value == current.value:
            return
        if isinstance(key, ClosureKey):
            self._apply_closure(key, document)
        elif isinstance(key, ConfigurationKey):
            self._apply_configuration(document, restored=restored)
        else:
            self._apply_registration(key, document)

    def _predates_known(self, current: Document, document: Document) -> bool:
        """Return whether a document of a restored store predates the known one.

        The store has lost the known one, which is to be written to it again soon.
        """
        return (
            document.era > current.era
            and self._clock() < self._settles_at_s
            and self._settles_at_s < math.inf
            and document.revision <= self._restored_revision
            and document.value != current.value
            and not has_newer_content(document, current)
        )

    def observe_era(self, era: int) -> None:
        """List the store if a peer knows of a later era.

        While the store can't be reached, the peer is believed. Otherwise the store
        decides, and an era that it does not know is ignored from then on.
        """
        if era <= self.era or era == self._refuted_era:
            return
        if not self.connected:
            self._begin_era(era)
            return
        self._refuted_era = era  # Unless the next list shows that it has begun.
        self._must_read_once = True
        self.revision = -1

    def _begin_era(self, era: int) -> None:
        log_event("store restored", era=era, before=self.era, revision=self.revision)
        restored = bool(self._documents)
        self.era = era
        self.revision = -1
        self._known_revision = -1
        self._behind_since_s = None
        self._aborted_for_revision = -1
        self._restored_revision = math.inf
        self._settles_at_s = math.inf
        if restored:
            self._complete_s = -math.inf  # Changes that were not seen may be lost.
            self._settles_at_s = self._clock() + RESTORE_SETTLING_S
            self._availability.restart(self._clock())
            self._responding_since_s = None

    def _take_era(self, era: int) -> bool:
        """Follow the era that the store states; return whether it is the known one."""
        if era == self.era:
            return True
        for key, document in self._documents.items():
            if (
                document.era > era
            ):  # A peer was wrong: any document of the store is newer.
                self._documents[key] = document._replace(era=0, revision=0)
        self._begin_era(era)
        return False

    def _apply_changes(self, documents: list[Document]) -> None:
        """Apply the changes of a watch, of the configuration only the newest."""
        outdated = [d for d in documents if d.key == CONFIGURATION_KEY][:-1]
        for document in documents:
            if document not in outdated:
                self.apply(document)
        outdated_bytes = sum(len(document.value or b"") for document in outdated)
        self._list_next = outdated_bytes > MAX_OUTDATED_BYTES
        if outdated:
            log_event(
                "outdated configurations read", n=len(outdated), bytes=outdated_bytes
            )

    def _evict_removals(self) -> None:
        """Keep only the newest ``RETAINED_REMOVALS`` removals.

        Does nothing until more than twice as many documents of all kinds are known.
        """
        if len(self._documents) <= 2 * RETAINED_REMOVALS:
            return
        removed = [d for d in self._documents.values() if d.value is None]
        removed.sort(key=lambda d: d.revision)
        for document in removed[:-RETAINED_REMOVALS]:
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

    def _apply_configuration(self, document: Document, *, restored: bool) -> None:
        if document.value is None:
            return
        try:
            configuration = decode_configuration(document.value)
        except MalformedDocumentError as error:
            logger.bind(revision=document.revision, why=str(error)).error(
                "configuration refused"
            )
            return
        adopted = self._catalog.adopt_configuration(configuration, restored=restored)
        log_event(
            "configuration adopted" if adopted else "older configuration ignored",
            version=configuration.version,
            revision=document.revision,
        )

    def _apply_registration(self, key: EndpointKey, document: Document) -> None:
        """Add, change or remove the endpoint of a registration.

        If the registration was removed, the endpoint is removed at
        ``_removal_time_s``, or at once if that has passed or the endpoint was
        draining. A malformed registration removes it at once.
        """
        was_missing = self._catalog.is_missing(key.identifier)
        if document.value is None:
            self._catalog.remove_endpoint(
                key.identifier, may_return=self.removal_delay_s() > 0
            )
            if self._catalog.is_missing(key.identifier) and not was_missing:
                log_event(
                    "endpoint kept without registration",
                    endpoint=key.identifier,
                    revision=document.revision,
                    for_s=round(self.removal_delay_s(), 3),
                    contact_age_s=round(self._clock() - self.last_contact_s, 3),
                )
            return
        try:
            record = decode_endpoint(key.identifier, document.value)
        except MalformedDocumentError as error:
            logger.bind(endpoint=key.identifier, why=str(error)).warning(
                "announcement ignored"
            )
            self._catalog.remove_endpoint(key.identifier, may_return=False)
            return
        self._catalog.put_endpoint(record)
        if was_missing and not self._catalog.is_missing(key.identifier):
            log_event(
                "endpoint registered again",
                endpoint=key.identifier,
                revision=document.revision,
            )

    def _apply_page(self, documents: list[Document]) -> None:
        """Apply the documents of one page of a list, before the others are read.

        A gateway that starts can serve with the configuration and the first endpoints.
        The documents do not count in ``known_revision`` until the list is complete, so
        that peers still send the others if it is interrupted.
        """
        if documents:
            self._take_era(documents[0].era)
        self._record_availability()
        known_revision = self._known_revision
        for document in documents:
            self.apply(document)
        self._known_revision = known_revision

    def apply_list(self, batch: DocumentBatch) -> None:
        """Apply a complete list, and remove the documents that are missing from it.

        Documents newer than the list's revision are kept. An endpoint whose
        registration is missing stays in use until ``_removal_time_s``, that is,
        ``REREGISTRATION_TIMEOUT_S`` after an outage, unless it was draining.
        """
        if self._restored_revision == math.inf:
            self._restored_revision = batch.revision
        for document in batch.documents:
            self.apply(document)
            self._known_revision = max(self._known_revision, document.revision)
        listed_keys = {document.key for document in batch.documents}
        for key, current in list(self._documents.items()):
            missing = key not in listed_keys and current.value is not None
            if missing and current.position <= (batch.era, batch.revision):
                self.apply(Document(key, batch.revision, None, batch.era))

    def observe_peer_revision(self, revision: int, era: int = 0) -> None:
        """Read the store anew when a peer knows a revision that is unknown here.

        A watch is aborted, or begun if others read the store for this gateway,
        ``STALE_WATCH_TIMEOUT_S`` after a peer was first found ahead, and only once per
        revision: a peer that read a complete list records removals under the revision
        of the list, which no watch returns. A revision of another era tells nothing.
        """
        self.observe_era(era)
        if era != self.era or revision <= max(
            self._known_revision, self.revision, self._aborted_for_revision
        ):
            return  # This peer is not ahead, but others may be.
        now_s = self._clock()
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        elif now_s - self._behind_since_s >= STALE_WATCH_TIMEOUT_S:
            if self._watch_timeout is not None:
                self._watch_timeout.reschedule(asyncio.get_running_loop().time())
            elif self._must_read_once or self.reads_store():
                return  # Between two calls; the next one may bring the revision.
            self._must_read_once = True
            self._behind_since_s = None
            self._aborted_for_revision = revision

    @property
    def configuration_revision(self) -> int:
        """Revision of the configuration that is known here; -1 before the first."""
        document = self._documents.get(CONFIGURATION_KEY)
        if document is None or document.era != self.era:
            return -1
        return document.revision

    def observe_peer_configuration(self, revision: int, era: int) -> None:
        """Record the revision of the configuration that a peer knows."""
        if (era, revision) > self._peer_configuration:
            self._peer_configuration = (era, revision)
            self._peer_configuration_until_s = self._clock() + PEER_CONFIGURATION_S

    def is_outdated(self, max_age_s: float) -> bool:
        """Return whether there may be a newer configuration than the known one.

        A peer knows one, or the store was last heard of longer ago than ``max_age_s``.
        """
        now_s = self._clock()
        era, revision = self._peer_configuration
        is_behind = era == self.era and revision > self.configuration_revision
        if is_behind and now_s < self._peer_configuration_until_s:
            return True
        return now_s - self.last_contact_s > max_age_s

    def should_fetch(self, peer_revision: int, era: int = 0) -> bool:
        """Return whether a peer that knows a revision is asked for its documents."""
        if era != self.era or peer_revision <= max(self._known_revision, self.revision):
            return False
        now_s = self._clock()
        if not self.connected:
            return True
        if now_s - self.last_contact_s > PEER_FETCH_CONTACT_AGE_S:
            return True
        behind_since_s = self._behind_since_s
        return (
            behind_since_s is not None and now_s - behind_since_s >= PEER_FETCH_DELAY_S
        )

    async def run(self) -> None:
        """List and watch the store until cancelled.

        A compacted history leads to a new list, and a failed call to a retry with
        exponential backoff. What may have changed often since the last call, because
        that failed or others have read the store until now, is listed as well.
        """
        backoff_s = MIN_BACKOFF_S
        batch_delay_s = BATCH_DELAY_S
        while True:
            settles = self._clock() >= self._settles_at_s
            if self.revision >= 0 and not (
                settles or self._must_read_once or self.reads_store()
            ):
                self._list_next = True
                self._responding_since_s = None
                await asyncio.sleep(READ_CHECK_INTERVAL_S)
                continue
            started_s = self._clock()
            try:
                if settles or self.revision < 0 or self._should_list():
                    batch = await self._store.list_documents(self._apply_page)
                    self._list_next = False
                    self._take_era(batch.era)
                    self._check_for_missed_changes(batch.revision, self._clock())
                    self._record_read()
                    if settles:
                        self._settles_at_s = math.inf
                    self.apply_list(batch)
                    log_event(
                        "store listed",
                        revision=batch.revision,
                        n=len(batch.documents),
                        ms=round((self._clock() - started_s) * 1000),
                    )
                else:
                    batch = await self._watch()
                    self._record_read()
                    if not self._take_era(batch.era):
                        continue  # Its revisions do not follow the known one.
                    self._apply_changes(batch.documents)
                self.revision = max(self.revision, batch.revision)
                self._must_read_once = False
                self._behind_since_s = None
                self._evict_missing()
                self._announce_news()
                backoff_s = MIN_BACKOFF_S
                await asyncio.sleep(batch_delay_s)
                batch_delay_s = min(MAX_BATCH_DELAY_S, 2 * batch_delay_s)
                if not batch.documents or self._catalog.missing_count:
                    batch_delay_s = BATCH_DELAY_S
            except RevisionCompactedError as error:
                log_event("store history lost", revision=self.revision, why=str(error))
                self.revision = -1
            except StoreUnavailableError as error:
                self._record_outage(error)
                self._list_next = True
                elapsed_s = self._clock() - started_s
                await asyncio.sleep(max(MIN_BACKOFF_S, backoff_s - elapsed_s))
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def _should_list(self) -> bool:
        if not self._list_next:
            return False
        present = sum(d.value is not None for d in self._documents.values())
        return present <= MAX_LISTED_DOCUMENTS

    def _wait_ms(self) -> int:
        """Return how long a watch waits.

        While endpoints have no registration, it ends when they are to be removed.
        """
        if not self._catalog.missing_count:
            return WATCH_WAIT_MS
        return min(WATCH_WAIT_MS, max(1, math.ceil(1000 * self.removal_delay_s())))

    async def _watch(self) -> DocumentBatch:
        """Wait for changes and return them.

        The batch is empty when none came within ``_wait_ms``.

        Raises
        ------
        RevisionCompactedError
            When the store no longer has the history after the revision.
        StoreUnavailableError
            When the call failed, or when it was aborted because a peer is ahead.
        """
        try:
            async with asyncio.timeout(None) as self._watch_timeout:
                return await self._store.watch(self.revision, wait_ms=self._wait_ms())
        except TimeoutError:
            raise StoreUnavailableError("peers know of a newer revision") from None
        finally:
            self._watch_timeout = None

    def _evict_missing(self) -> None:
        """Remove endpoints that did not register again after an outage.

        That is certain only if the store has been heard from at the end of their time:
        it may be away again.
        """
        news_s = self.last_contact_s + MAX_EVICTION_NEWS_AGE_S
        if self.connected and news_s >= self._removal_time_s():
            for identifier in self._catalog.evict_missing():
                log_event("endpoint did not register again", endpoint=identifier)

    def _record_availability(self) -> None:
        """Record that the store has responded.

        It has been available since its first response after the latest failed call.
        """
        now_s = self._clock()
        if self._responding_since_s is None:
            self._responding_since_s = now_s
        self._availability.record(self._responding_since_s, now_s)

    def _record_read(self) -> None:
        """Record that a call to the store has succeeded."""
        self._record_availability()
        self._record_contact(self._clock())

    def _record_contact(self, contact_s: float) -> None:
        self.last_contact_s = contact_s
        self._complete_s = contact_s
        if not self.connected:
            self.connected = True
            log_event("store reached", revision=self.revision)

    def _record_outage(self, error: StoreUnavailableError) -> None:
        self._refuted_era = 0
        self._responding_since_s = None
        if self.connected:
            self.connected = False
            log_event("store lost", revision=self.revision, why=str(error))
            self._announce_news()
