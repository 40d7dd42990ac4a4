"""Periodic exchange of membership and store documents between gateways.

Each round posts the known members, store revision and crash facts to a random member,
and to a seed while some seed is not a known member, and merges the responses. A gateway
that hears of newer documents later than the peer fetches them from it.
"""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING
from typing import Any

import orjson
from loguru import logger

from shallotroad.gateway.store_availability import AvailabilityAges
from shallotroad.http_server.exceptions import BodyTooLargeError
from shallotroad.http_server.message import Response
from shallotroad.observability.event_log import log_event
from shallotroad.platform.documents import MAX_NUMBER
from shallotroad.upstream.exceptions import CallFailedError
from shallotroad.upstream.http_client import HttpClient


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from random import Random

    from shallotroad.gateway.crash_exchange import CrashExchange
    from shallotroad.gateway.engine_models import EngineModels
    from shallotroad.gateway.membership import Membership
    from shallotroad.gateway.store_watcher import StoreWatcher
    from shallotroad.http_server.connection import ServerRequest

EXCHANGE_INTERVAL_S = 0.6
# Members contacted per round, besides a seed while some seed is not a known member. One
# is enough, since an exchange also carries what the peer has learned from others.
FAN_OUT = 1
EXCHANGE_TIMEOUT_S = 0.5
EXCHANGE_PATH = "/exchange"
# Level of zlib. Rows differ little, so higher levels save no more bytes.
COMPRESSION_LEVEL = 1
MAX_STATE_BYTES = 1_000_000  # About ten thousand members.


def encode_state(state: dict[str, Any]) -> bytes:
    """Return a gateway's state as compressed JSON.

    Its keys are ``members``, the rows of ``Membership.snapshot``, ``revision``, the
    newest store revision that the gateway knows, ``crashes``, the rows of
    ``CrashExchange.rows``, ``engines``, those of ``EngineModels.rows`` unless there are
    none, ``era``, that of the store, ``configuration``, the revision of its
    configuration, and ``available``, the ``AvailabilityAges`` of the store unless
    there are none. Gateways of earlier versions do not send the last five.
    """
    return zlib.compress(orjson.dumps(state), COMPRESSION_LEVEL)


def decode_state(body: bytes) -> dict[str, Any]:
    """Return the state that a peer sent as compressed JSON.

    The keys, those of ``encode_state``, are not checked; ``Membership.merge`` checks
    the rows of the members.

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
    """Exchanges members, store revisions and crash facts with other gateways in rounds.

    A round contacts ``FAN_OUT`` random members, and one seed while some seed is not a
    known member.

    Parameters
    ----------
    fetch_documents : callable
        Applies the newer documents of the peer at an address.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        store_watcher: StoreWatcher,
        crash_exchange: CrashExchange,
        engine_models: EngineModels,
        fetch_documents: Callable[[str], Awaitable[None]],
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._membership = membership
        self._store_watcher = store_watcher
        self._crash_exchange = crash_exchange
        self._engine_models = engine_models
        self._fetch_documents = fetch_documents
        self._fetching: asyncio.Future[None] | None = None
        self._clock = clock
        self._rng = rng

    def _encode_own_state(self) -> bytes:
        state = {
            "members": self._membership.snapshot(),
            "revision": self._store_watcher.known_revision,
            "era": self._store_watcher.era,
            "configuration": self._store_watcher.configuration_revision,
            "crashes": self._crash_exchange.rows(),
        }
        if engines := self._engine_models.rows():
            state["engines"] = engines
        if (ages := self._store_watcher.availability) is not None:
            state["available"] = [round(age_s, 3) for age_s in ages]
        return encode_state(state)

    def _merge_state(self, body: bytes) -> dict[str, Any]:
        """Merge the members and the revision of a peer; return its decoded state.

        Raises
        ------
        KeyError, TypeError, ValueError
            When the body is malformed.
        """
        state = decode_state(body)
        if not isinstance(state["revision"], int):
            raise ValueError(f"revision {state['revision']!r} is not an integer")
        era = state.setdefault("era", 0)
        if not (isinstance(era, int) and 0 <= era <= MAX_NUMBER):
            raise ValueError(f"era {era!r} is not a number of restores")
        configuration = state.get("configuration", -1)
        if not (isinstance(configuration, int) and -1 <= configuration <= MAX_NUMBER):
            raise ValueError(f"configuration {configuration!r} is not a revision")
        if state.get("available") is not None:
            state["available"] = AvailabilityAges.from_row(state["available"])
        now_s = self._clock()
        for name in self._membership.merge(state["members"], now_s):
            log_event("peer found", peer=name)
        self._store_watcher.observe_peer_revision(state["revision"], era)
        self._store_watcher.observe_peer_configuration(configuration, era)
        self._crash_exchange.merge(state.get("crashes"))
        self._engine_models.merge(state.get("engines"))
        return state

    async def handle(self, request: ServerRequest) -> Response:
        """Respond to a peer's request for an exchange.

        The status is 400 for a malformed exchange and 404 for another path.
        """
        if request.path == EXCHANGE_PATH:
            try:
                state = self._merge_state(await request.read_body(MAX_STATE_BYTES))
            except (BodyTooLargeError, KeyError, TypeError, ValueError) as error:
                logger.bind(why=repr(error)).warning("malformed exchange")
                return Response(400)
            if state["members"]:
                self._fetch_if_behind(state, str(state["members"][0][1]))
            return Response(200, body=self._encode_own_state())
        return Response(404)

    async def exchange_periodically(self) -> None:
        """Run rounds until cancelled.

        Each counts a heartbeat, evicts members, and exchanges with the chosen peers.
        """
        while True:
            self._membership.increment_heartbeat()
            now_s = self._clock()
            self._membership.evict(now_s)
            addresses = self._membership.choose_exchange_addresses(
                FAN_OUT, self._rng, now_s
            )
            await asyncio.gather(*(self._exchange(address) for address in addresses))
            await asyncio.sleep(EXCHANGE_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def _exchange(self, address: str) -> None:
        client = HttpClient(address=address, connect_timeout_s=EXCHANGE_TIMEOUT_S)
        try:
            result = await client.call(
                "POST",
                EXCHANGE_PATH,
                body=self._encode_own_state(),
                timeout_s=EXCHANGE_TIMEOUT_S,
            )
            state = self._merge_state(result.body)
            # A request may have been held up by a cut, a response only for the timeout.
            if state.get("available") is not None:
                self._store_watcher.observe_peer_availability(
                    state["available"], state["era"]
                )
            self._fetch_if_behind(state, address)
        except CallFailedError as error:
            logger.bind(peer=address, why=str(error)).debug("peer not reached")
        except (KeyError, TypeError, ValueError) as error:
            logger.bind(peer=address, why=repr(error)).warning("malformed exchange")
        finally:
            client.close()

    def _fetch_if_behind(self, state: dict[str, Any], address: str) -> None:
        """Begin to fetch the documents of a peer that knows newer ones.

        Only one fetch runs at a time.
        """
        if not address or not self._store_watcher.should_fetch(
            state["revision"], state["era"]
        ):
            return
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch_documents(address))
