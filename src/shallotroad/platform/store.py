"""Read-only HTTP client of the platform's store."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from urllib.parse import urlencode

import orjson

from shallotroad.platform.documents import CLOSURE_PREFIX
from shallotroad.platform.documents import MAX_NUMBER
from shallotroad.platform.documents import Document
from shallotroad.platform.exceptions import RevisionCompactedError
from shallotroad.platform.exceptions import StoreUnavailableError
from shallotroad.upstream.exceptions import CallFailedError
from shallotroad.upstream.http_client import HttpClient


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.platform.settings import Address

# The store responds within milliseconds, and up to 50 times slower when it is loaded.
# The wait time of a watch is added.
RESPONSE_TIMEOUT_S = 1.2
# A network partition drops packets without an error, so only a timeout detects it.
CONNECT_TIMEOUT_S = 0.5
# A page of 1 MB takes this long on a link of 5 Mbit/s that also has other traffic.
PAGE_TRANSFER_TIMEOUT_S = 4.0


# How often the store was restored from a copy; in all its responses.
STORE_ERA = b"store-era"


class DocumentBatch(NamedTuple):
    """Documents, and the revision of the store that they are complete up to.

    ``era`` counts how often the store was restored from a copy. Revisions of two eras
    can't be compared.
    """

    revision: int
    documents: list[Document]
    era: int = 0


class StorePosition(NamedTuple):
    """A revision of the store, and the era in which it was given out."""

    revision: int
    era: int


class StoreResponse(NamedTuple):
    """Decoded body of a response, and the era of the store that sent it."""

    payload: dict[str, Any]
    era: int


def _decode_era(value: bytes) -> int:
    """Return the era of a header; 0 if it is missing or malformed."""
    digits = value.strip()
    if not (digits.isdigit() and len(digits) < 17):
        return 0
    return min(int(digits), MAX_NUMBER)


def _decode_document(item: dict[str, Any], era: int) -> Document | None:
    """Decode one item of a response; None, so that it is skipped, if malformed."""
    try:
        key = str(item["key"])
        revision = int(item["revision"])
        if not 0 <= revision <= MAX_NUMBER:
            return None
        if item.get("removed"):
            return Document(key, revision, None, era)
        value = base64.b64decode(item["value"], validate=True)
        return Document(key, revision, value, era)
    except (KeyError, OverflowError, TypeError, ValueError, binascii.Error):
        return None


def _decode_documents(items: Any, era: int) -> list[Document]:
    decoded = (_decode_document(item, era) for item in items or ())
    return [document for document in decoded if document is not None]


def _make_client(address: Address) -> HttpClient:
    return HttpClient(address=str(address), connect_timeout_s=CONNECT_TIMEOUT_S)


class StoreClient:
    """Lists and watches the documents of the store.

    A call that times out, fails or receives no JSON closes all connections, because a
    connection may stop responding without a reset.
    """

    def __init__(self, *, address: Address) -> None:
        self._client = _make_client(address)
        self._era = 0
        self.request_count = 0

    async def close(self) -> None:
        """Close the connections. The next call opens new ones."""
        self._client.close()

    def set_address(self, address: Address) -> None:
        """Set the address of the store for later requests, which open new connections.

        A request in flight is not interrupted.
        """
        self._client.close()
        self._client = _make_client(address)

    async def list_documents(
        self, on_page: Callable[[list[Document]], None]
    ) -> DocumentBatch:
        """Read every document, page by page.

        The pages are not a consistent snapshot. The batch carries the revision of the
        first page, and a watch from there reports what changed since.

        Parameters
        ----------
        on_page : callable
            Called with the documents of each page as soon as it was read.

        Raises
        ------
        StoreUnavailableError
            When the store sent no valid response for a page.
        """
        documents: list[Document] = []
        revision = -1
        list_era = 0
        after = ""
        while True:
            query = {"prefix": ""}
            if after:
                query["after"] = after
            payload, era = await self._get(
                "/api/kv-range",
                query,
                RESPONSE_TIMEOUT_S,
                transfer_timeout_s=PAGE_TRANSFER_TIMEOUT_S,
            )
            if revision < 0:
                revision, list_era = int(payload.get("store-revision", 0)), era
            if era != list_era:
                raise StoreUnavailableError("the store was restored during the list")
            page = _decode_documents(payload.get("items"), era)
            documents += page
            on_page(page)
            if not payload.get("truncated") or not page:
                return DocumentBatch(revision, documents, era)
            after = page[-1].key

    async def watch(self, after: int, *, wait_ms: int) -> DocumentBatch:
        """Wait for changes after a revision.

        Parameters
        ----------
        after : int
            Revision up to which the changes are known.
        wait_ms : int
            How long the store waits for a change. Without one the batch has no
            documents and the revision that the store states, or else ``after``.

        Raises
        ------
        RevisionCompactedError
            When the store has discarded the changes after the revision.
        StoreUnavailableError
            When the store sent no valid response in time.
        """
        query = {"prefix": "", "after": str(after), "wait-ms": str(wait_ms)}
        timeout_s = wait_ms / 1000 + RESPONSE_TIMEOUT_S
        payload, era = await self._get("/api/kv-watch", query, timeout_s)
        documents = _decode_documents(payload.get("events"), era)
        return DocumentBatch(int(payload.get("store-revision", after)), documents, era)

    async def read_position(self) -> StorePosition:
        """Return the position of the store at some moment after the call.

        Raises
        ------
        StoreUnavailableError
            When the store sent no valid response in time.
        """
        # The closures are the fewest documents, and the revision is that of the store.
        try:
            payload, era = await self._get(
                "/api/kv-range", {"prefix": CLOSURE_PREFIX}, RESPONSE_TIMEOUT_S
            )
        except RevisionCompactedError as error:
            raise StoreUnavailableError(
                f"the read needs no history: {error}"
            ) from error
        revision = payload.get("store-revision")
        if type(revision) is not int or not 0 < revision <= MAX_NUMBER:
            raise StoreUnavailableError(f"store revision {str(revision)[:40]!r}")
        return StorePosition(revision, era)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        *,
        transfer_timeout_s: float = 0.0,
    ) -> StoreResponse:
        self.request_count += 1
        client = self._client
        try:
            result = await client.call(
                "GET",
                f"{path}?{urlencode(query)}",
                timeout_s=timeout_s,
                transfer_timeout_s=transfer_timeout_s,
            )
        except CallFailedError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        if result.status == 410:
            raise RevisionCompactedError(
                f"changes after revision {query.get('after', '')} were discarded"
            )
        if result.status != 200:
            raise StoreUnavailableError(f"{path}: status {result.status}")
        try:
            payload = orjson.loads(result.body)
        except ValueError as error:
            client.close()
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        if not isinstance(payload, dict):
            raise StoreUnavailableError(f"{path}: the response is not a JSON object")
        # A response without an era tells nothing of a restore.
        self._era = _decode_era(result.header(STORE_ERA)) or self._era
        return StoreResponse(payload, self._era)
