"""Periodic exchange of membership and store documents between gateways.

Each round posts the known members and store revision to a random member, and to a seed
while some seed is not a known member, and merges the responses. A gateway that can't
read the store fetches newer documents from the peer.
"""

from __future__ import annotations

import asyncio
import base64
import zlib
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import orjson
from aiohttp import web
from loguru import logger

from shallotroad.observability.event_log import log_event
from shallotroad.platform.documents import Document


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from shallotroad.gateway.membership import Membership
    from shallotroad.gateway.store_watcher import StoreWatcher

EXCHANGE_INTERVAL_S = 0.6
# Members contacted per round, besides a seed while some seed is not a known member. One
# is enough, since an exchange also carries what the peer has learned from others.
FAN_OUT = 1
EXCHANGE_TIMEOUT_S = 0.5
EXCHANGE_PATH = "/exchange"
SNAPSHOT_PATH = "/snapshot"
# Level of zlib. Rows differ little, so higher levels save no more bytes.
COMPRESSION_LEVEL = 1
MAX_STATE_BYTES = 1_000_000  # About ten thousand members.
# Headers that aiohttp would add to each request; peers do not read them.
OMITTED_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


def _documents_to_rows(documents: list[Document]) -> list[list[Any]]:
    return [
        [
            d.key,
            d.revision,
            None if d.value is None else base64.b64encode(d.value).decode(),
        ]
        for d in documents
    ]


def _rows_to_documents(rows: list[list[Any]]) -> list[Document]:
    return [
        Document(key, revision, None if value is None else base64.b64decode(value))
        for key, revision, value in rows
    ]


def encode_state(state: dict[str, Any]) -> bytes:
    """Return a gateway's state as compressed JSON.

    Its keys are ``members``, the rows of ``Membership.snapshot``, and ``revision``, the
    newest store revision that the gateway knows.
    """
    return zlib.compress(orjson.dumps(state), COMPRESSION_LEVEL)


def decode_state(body: bytes) -> dict[str, Any]:
    """Return the state that a peer sent as compressed JSON.

    The keys, those of ``encode_state``, are not checked.

    Raises
    ------
    ValueError
        When the body is malformed, truncated or larger than ``MAX_STATE_BYTES``
        after decompression.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body, MAX_STATE_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError(
            f"gossip state is truncated or exceeds {MAX_STATE_BYTES} bytes"
        )
    state = orjson.loads(text)
    if not isinstance(state, dict):
        raise ValueError("gossip state is not a JSON object")
    return state


class Gossip:
    """Exchanges members and store revisions with other gateways in rounds.

    A round contacts ``FAN_OUT`` random members, and one seed while some seed is not a
    known member.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        store_watcher: StoreWatcher,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._membership = membership
        self._store_watcher = store_watcher
        self._clock = clock
        self._rng = rng
        self._session: aiohttp.ClientSession | None = None

    def _encode_own_state(self) -> bytes:
        return encode_state(
            {
                "members": self._membership.snapshot(),
                "revision": self._store_watcher.known_revision,
            }
        )

    def _merge_state(self, body: bytes) -> dict[str, Any]:
        """Merge the members and the revision of a peer; return its decoded state.

        Raises
        ------
        KeyError, TypeError, ValueError
            When the body is malformed.
        """
        state = decode_state(body)
        now_s = self._clock()
        for name in self._membership.merge(state["members"], now_s):
            log_event("peer found", peer=name)
        self._store_watcher.observe_peer_revision(state["revision"])
        return state

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a peer's request for an exchange or for newer documents.

        The status is 400 for a malformed exchange and 404 for another path.
        """
        if request.path == EXCHANGE_PATH:
            try:
                self._merge_state(await request.read())
            except (KeyError, TypeError, ValueError) as error:
                logger.bind(why=repr(error)).warning("malformed exchange")
                return web.Response(status=400)
            return web.Response(body=self._encode_own_state())
        if request.path == SNAPSHOT_PATH:
            after = request.query.get("after", "")
            revision = int(after) if after.isdigit() else -1
            rows = _documents_to_rows(self._store_watcher.snapshot(revision))
            return web.Response(body=orjson.dumps(rows))
        return web.Response(status=404)

    async def exchange_periodically(self) -> None:
        """Run rounds until cancelled.

        Each counts a heartbeat, evicts members, and exchanges with the chosen peers.
        """
        try:
            while True:
                self._membership.increment_heartbeat()
                now_s = self._clock()
                self._membership.evict(now_s)
                addresses = self._membership.choose_exchange_addresses(
                    FAN_OUT, self._rng, now_s
                )
                await asyncio.gather(
                    *(self._exchange(address) for address in addresses)
                )
                await asyncio.sleep(EXCHANGE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
        finally:
            await self._close_session()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_S),
                skip_auto_headers=OMITTED_HEADERS,
            )
        return self._session

    async def _close_session(self) -> None:
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def _exchange(self, address: str) -> None:
        try:
            url = f"http://{address}{EXCHANGE_PATH}"
            async with self._get_session().post(
                url, data=self._encode_own_state()
            ) as response:
                state = self._merge_state(await response.read())
            if (
                not self._store_watcher.connected
                and state["revision"] > self._store_watcher.known_revision
            ):
                await self._fetch_snapshot(address)
        except TimeoutError:
            # All kept-alive connections may have gone silent together.
            await self._close_session()
            logger.bind(peer=address).debug("peer is silent")
        except (aiohttp.ClientError, OSError) as error:
            logger.bind(peer=address, why=repr(error)).debug("peer not reached")
        except (KeyError, TypeError, ValueError) as error:
            logger.bind(peer=address, why=repr(error)).warning("malformed exchange")

    async def _fetch_snapshot(self, address: str) -> None:
        url = f"http://{address}{SNAPSHOT_PATH}"
        query = {"after": str(self._store_watcher.known_revision)}
        async with self._get_session().get(url, params=query) as response:
            documents = _rows_to_documents(orjson.loads(await response.read()))
        log_event("documents taken from a peer", peer=address, n=len(documents))
        for document in documents:
            self._store_watcher.apply(document)
