"""Learns from the engines themselves what they have cached.

A gateway that begins to coordinate knows of no placement before its own.
Without this all prompts would be read again after a coordinator is lost.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.observability.decisions import decided
from shallotroad.platform.engine_cache import decode_cached_parts
from shallotroad.platform.engine_cache import encode_cache_query
from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.upstream.exceptions import ConnectError
from shallotroad.upstream.exceptions import ConnectionLostError
from shallotroad.upstream.exceptions import GarbledAnswerError


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.fleet import Fleet
    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.endpoint_load import EndpointLoad

ANSWER_S = 0.25  # an engine lists its cache between two steps
IDLE_S = 5.0  # without a placement; then another gateway has coordinated meanwhile
AGAIN_S = 15.0  # between two surveys of a service; each call delays the engine
OK = 200


class CacheSurvey:
    """Asks the engines of a service when this gateway begins to coordinate it."""

    def __init__(self, *, fleet: Fleet, clock: Callable[[], float]) -> None:
        self._fleet = fleet
        self._clock = clock
        self._placed_s: dict[str, float] = {}
        self._surveyed_s: dict[str, float] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self.on_done: Callable[[], None] = lambda: None
        self.on_listed: Callable[[list[PromptPart]], None] = lambda _: None

    def pending(self, service: str) -> bool:
        """Note a placement for a service; tell whether its engines are being asked.

        The first one after a while begins a survey.
        """
        now_s = self._clock()
        idle_s = now_s - self._placed_s.get(service, -math.inf)
        self._placed_s[service] = now_s
        since_s = now_s - self._surveyed_s.get(service, -math.inf)
        if idle_s > IDLE_S and since_s > AGAIN_S and service not in self._running:
            self._surveyed_s[service] = now_s
            task = asyncio.create_task(self._survey(service))
            self._running[service] = task
        return service in self._running

    async def listed(self, service: str, *, wait: bool) -> None:
        """Note a placement for a service; wait for the engines' lists if asked to."""
        if self.pending(service) and wait:
            await asyncio.wait([self._running[service]])

    async def _survey(self, service: str) -> None:
        loads = self._fleet.of_service(service)
        try:
            counts = await asyncio.gather(*(self._ask(load) for load in loads))
            decided(
                "caches surveyed",
                service=service,
                engines=len(loads),
                answered=sum(count >= 0 for count in counts),
                parts=sum(count for count in counts if count > 0),
            )
        finally:
            del self._running[service]
            self.on_done()

    async def _ask(self, load: EndpointLoad) -> int:
        """Return the number of parts an engine keeps; -1 when it did not say."""
        record = load.record
        try:
            async with asyncio.timeout(ANSWER_S):
                body = await self._fetch(load)
            parts = decode_cached_parts(body)
        except (
            ConnectError,
            ConnectionLostError,
            GarbledAnswerError,
            MalformedDocumentError,
            TimeoutError,
        ) as error:
            logger.bind(endpoint=record.identifier, why=repr(error)).info(
                "cache not listed"
            )
            return -1
        load.replace_parts(parts)
        self.on_listed(parts)
        return len(parts)

    async def _fetch(self, load: EndpointLoad) -> bytes:
        record = load.record
        pool = self._fleet.pool(record.identifier)
        if pool is None:
            raise ConnectError("the endpoint is gone")
        connection = await pool.acquire(max_idle_s=1.0)
        try:
            head = encode_cache_query(host=record.host, endpoint=record.identifier)
            await connection.send("", head, b"")
            answer = await connection.head()
            pieces = []
            while piece := await connection.read():
                pieces.append(piece)
            if answer.status != OK:
                raise ConnectError(f"status {answer.status}")
            pool.release(connection)
            return b"".join(pieces)
        except BaseException:
            connection.close()
            raise
