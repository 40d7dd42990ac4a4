"""Learns from the engines themselves what they have cached.

A gateway that begins to coordinate knows of no placement before its own.
Without this all prompts would be read again after a coordinator is lost.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.observability.event_log import log_event
from shallotroad.platform.engine_cache import decode_cached_parts
from shallotroad.platform.engine_cache import encode_cache_query
from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.upstream.exceptions import ConnectError
from shallotroad.upstream.exceptions import ConnectionLostError
from shallotroad.upstream.exceptions import MalformedResponseError


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.endpoint_load import EndpointLoad

RESPONSE_TIMEOUT_S = 0.25  # an engine lists its cache between two steps
IDLE_S = 5.0  # without a placement; then another gateway has coordinated meanwhile
# between two surveys of a service; each call delays the engine
SURVEY_INTERVAL_S = 15.0
OK = 200


class CacheSurvey:
    """Asks the engines of a service when this gateway begins to coordinate it."""

    def __init__(
        self, *, endpoint_registry: EndpointRegistry, clock: Callable[[], float]
    ) -> None:
        self._endpoint_registry = endpoint_registry
        self._clock = clock
        self._placed_s: dict[str, float] = {}
        self._surveyed_s: dict[str, float] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self.on_done: Callable[[], None] = lambda: None
        self.on_listed: Callable[[list[PromptPart]], None] = lambda _: None

    def refresh_if_stale(self, service: str) -> bool:
        """Note a placement for a service; tell whether its engines are being asked.

        The first one after a while begins a survey.
        """
        now_s = self._clock()
        idle_s = now_s - self._placed_s.get(service, -math.inf)
        self._placed_s[service] = now_s
        since_s = now_s - self._surveyed_s.get(service, -math.inf)
        if (
            idle_s > IDLE_S
            and since_s > SURVEY_INTERVAL_S
            and service not in self._running
        ):
            self._surveyed_s[service] = now_s
            task = asyncio.create_task(self._survey(service))
            self._running[service] = task
        return service in self._running

    async def refresh_and_wait(self, service: str, *, wait: bool) -> None:
        """Note a placement for a service; wait for the engines' lists if asked to."""
        if self.refresh_if_stale(service) and wait:
            await asyncio.wait([self._running[service]])

    async def _survey(self, service: str) -> None:
        loads = self._endpoint_registry.of_service(service)
        try:
            counts = await asyncio.gather(
                *(self._survey_engine(load) for load in loads)
            )
            log_event(
                "caches surveyed",
                service=service,
                engines=len(loads),
                answered=sum(count >= 0 for count in counts),
                parts=sum(count for count in counts if count > 0),
            )
        finally:
            del self._running[service]
            self.on_done()

    async def _survey_engine(self, load: EndpointLoad) -> int:
        """Return the number of parts an engine keeps; -1 when it did not say."""
        record = load.record
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                body = await self._fetch(load)
            parts = decode_cached_parts(body)
        except (
            ConnectError,
            ConnectionLostError,
            MalformedResponseError,
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
        pool = self._endpoint_registry.pool(record.identifier)
        if pool is None:
            raise ConnectError("the endpoint is gone")
        connection = await pool.acquire(max_idle_s=1.0)
        try:
            head = encode_cache_query(host=record.host, endpoint=record.identifier)
            await connection.send("", head, b"")
            response = await connection.head()
            chunks = []
            while chunk := await connection.read():
                chunks.append(chunk)
            if response.status != OK:
                raise ConnectError(f"status {response.status}")
            pool.release(connection)
            return b"".join(chunks)
        except BaseException:
            connection.close()
            raise
