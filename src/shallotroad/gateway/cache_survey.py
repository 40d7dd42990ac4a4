"""Survey of the prompt parts that the engines of a cell have cached.

A gateway that begins to coordinate a cell does not know the placements of its
predecessor. Without a survey, every cached prefix would be prefilled again after a
coordinator is lost.
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
from shallotroad.upstream.response_body import read_body


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.cells import Cell
    from shallotroad.policy.endpoint_load import EndpointLoad

# Timeout of one engine's cache query. An engine responds only between two of its steps.
RESPONSE_TIMEOUT_S = 0.25
# After this long without a placement here, another gateway has been the coordinator.
MIN_IDLE_S = 5.0
# Each survey delays the engines, so a cell is surveyed at most this often.
MIN_SURVEY_INTERVAL_S = 15.0
HTTP_OK = 200
MAX_LIST_BYTES = 4_194_304


class CacheSurvey:
    """Surveys a cell's engines when this gateway begins to coordinate it.

    The factory and the coordinator set two callbacks. ``on_listed`` is called for each
    engine that responded, with the parts that it has cached but not its identifier;
    they are already recorded in its load. ``on_done`` is called without arguments after
    each survey of a cell, whether or not its engines responded.

    Parameters
    ----------
    has_engine : callable
        Returns whether the endpoints of a service are engines, which have caches.
    """

    def __init__(
        self,
        *,
        endpoint_registry: EndpointRegistry,
        has_engine: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        self._endpoint_registry = endpoint_registry
        self._has_engine = has_engine
        self._clock = clock
        self._last_placement_s: dict[Cell, float] = {}
        self._last_survey_s: dict[Cell, float] = {}
        self._running: dict[Cell, asyncio.Task[None]] = {}
        self.on_done: Callable[[], None] = lambda: None
        self.on_listed: Callable[[list[PromptPart]], None] = lambda _: None

    def refresh_if_stale(self, cell: Cell) -> bool:
        """Record a placement in a cell; return whether a survey of it is running.

        A survey is started by the first placement in ``MIN_IDLE_S``, but not within
        ``MIN_SURVEY_INTERVAL_S`` of the previous survey.
        """
        if not self._has_engine(cell.service):
            return False
        now_s = self._clock()
        idle_s = now_s - self._last_placement_s.get(cell, -math.inf)
        self._last_placement_s[cell] = now_s
        since_survey_s = now_s - self._last_survey_s.get(cell, -math.inf)
        if (
            idle_s > MIN_IDLE_S
            and since_survey_s > MIN_SURVEY_INTERVAL_S
            and cell not in self._running
        ):
            self._last_survey_s[cell] = now_s
            task = asyncio.create_task(self._survey(cell))
            self._running[cell] = task
        return cell in self._running

    async def refresh(self, cell: Cell, *, wait: bool) -> None:
        """Record a placement as ``refresh_if_stale`` does.

        With ``wait``, return only when a survey that is running has ended.
        """
        if self.refresh_if_stale(cell) and wait:
            await asyncio.wait([self._running[cell]])

    async def _survey(self, cell: Cell) -> None:
        """Survey the engines of a cell at once, then call ``on_done``.

        A survey would count as a request at engines that limit these, or want none.
        """
        registry = self._endpoint_registry
        loads = [
            load
            for load in registry.active_loads(cell)
            if load.limit_per_s is None
            and registry.takes_requests(load.record.identifier)
        ]
        try:
            counts = await asyncio.gather(
                *(self._survey_engine(load) for load in loads)
            )
            log_event(
                "caches surveyed",
                service=cell.service,
                cell=cell.name,
                engines=len(loads),
                answered=sum(count >= 0 for count in counts),
                parts=sum(count for count in counts if count > 0),
            )
        finally:
            del self._running[cell]
            self.on_done()

    async def _survey_engine(self, load: EndpointLoad) -> int:
        """Return the number of parts an engine has cached; -1 when the query failed."""
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
        """Return the body of an engine's response to the cache query.

        Raises
        ------
        ConnectError
            When the endpoint has no pool or is unreachable, or its status isn't 200.
        ConnectionLostError
            When the connection ends before the whole response.
        MalformedResponseError
            When the response is not valid HTTP or too large.
        """
        record = load.record
        pool = self._endpoint_registry.pool(record.identifier)
        if pool is None:
            raise ConnectError("the endpoint has been removed")
        connection = await pool.acquire(max_idle_s=1.0)
        try:
            head = encode_cache_query(host=record.host, endpoint=record.identifier)
            await connection.send("", head, b"")
            response = await connection.head()
            body = await read_body(connection, max_bytes=MAX_LIST_BYTES)
            if response.status != HTTP_OK:
                raise ConnectError(f"cache query: HTTP status {response.status}")
            pool.release(connection)
            return body
        except BaseException:
            connection.close()
            raise
