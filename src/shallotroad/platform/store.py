"""The one client of the platform's store, which can only be read."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import aiohttp
import orjson

from shallotroad.platform.documents import Document
from shallotroad.platform.exceptions import RevisionCompactedError
from shallotroad.platform.exceptions import StoreUnavailableError


if TYPE_CHECKING:
    from shallotroad.platform.settings import Address

RESPONSE_TIMEOUT_S = (
    1.2  # the store answers in milliseconds; slow days take 50 times that
)
CONNECT_TIMEOUT_S = 0.5  # a cut machine's packets vanish without an error


class DocumentBatch(NamedTuple):
    """Documents and the store's revision up to which they were read."""

    revision: int
    documents: list[Document]


def _document(item: dict[str, Any]) -> Document | None:
    try:
        key = str(item["key"])
        revision = int(item["revision"])
        if item.get("removed"):
            return Document(key, revision, None)
        return Document(key, revision, base64.b64decode(item["value"], validate=True))
    except (KeyError, TypeError, ValueError, binascii.Error):
        return None


class StoreClient:
    """Lists and watches the store over HTTP.

    A call that gets no whole answer in time closes its connection, since a
    connection may go silent without a reset.
    """

    def __init__(self, *, address: Address) -> None:
        self._url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self.request_count = 0

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def set_address(self, address: Address) -> None:
        """Use another address for the calls to come."""
        self._url = f"http://{address}"

    async def list_documents(self) -> DocumentBatch:
        """Read every document, page by page.

        The pages are no snapshot: the batch carries the revision of the
        first page, and a watch from there repeats what changed meanwhile.

        Raises
        ------
        StoreUnavailableError
            When a page was not answered.
        """
        documents: list[Document] = []
        revision = -1
        after = ""
        while True:
            query = {"prefix": ""}
            if after:
                query["after"] = after
            payload = await self._get("/api/kv-range", query, RESPONSE_TIMEOUT_S)
            page = [d for d in map(_document, payload.get("items") or ()) if d]
            if revision < 0:
                revision = int(payload.get("store-revision", 0))
            documents += page
            if not payload.get("truncated") or not page:
                return DocumentBatch(revision, documents)
            after = page[-1].key

    async def watch(self, after: int, *, wait_ms: int) -> DocumentBatch:
        """Wait for changes after a revision.

        Raises
        ------
        RevisionCompactedError
            When the store dropped that part of its history.
        StoreUnavailableError
            When the store did not answer.
        """
        query = {"prefix": "", "after": str(after), "wait-ms": str(wait_ms)}
        timeout_s = wait_ms / 1000 + RESPONSE_TIMEOUT_S
        payload = await self._get("/api/kv-watch", query, timeout_s)
        documents = [d for d in map(_document, payload.get("events") or ()) if d]
        return DocumentBatch(int(payload.get("store-revision", after)), documents)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> dict[str, Any]:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=2, keepalive_timeout=10),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        self.request_count += 1
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url + path, params=query, timeout=timeout
            ) as response:
                body = await response.read()
                if response.status == 410:
                    raise RevisionCompactedError(
                        f"history after {query['after']} is gone"
                    )
                if response.status != 200:
                    raise StoreUnavailableError(f"status {response.status} for {path}")
                payload = orjson.loads(body)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            await self.close()
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        if not isinstance(payload, dict):
            raise StoreUnavailableError(f"{path}: the answer is not a table")
        return payload
