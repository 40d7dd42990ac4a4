"""Confirms that a gateway knows all that the platform's store has acknowledged.

A gateway learns of changes some time after the store has acknowledged them, and of none
while it is cut off, which it notices late. That is enough for most decisions. One that
relies on the absence of a change asks the store for its current revision and waits
until all changes up to it are known here.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from shallotroad.observability.event_log import log_event
from shallotroad.platform.exceptions import StoreUnavailableError


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.store_watcher import StoreWatcher
    from shallotroad.platform.store import StoreClient

# Covers the delay between two watches of a reader, through which others learn of a
# change. A caller waits for the result.
CONFIRMATION_TIMEOUT_S = 0.8
# One read serves all callers that came before it, so that there are few of them.
MIN_READ_INTERVAL_S = 0.2


class StoreConfirmation:
    """Reads the current revision of the store for callers that need to know it."""

    def __init__(
        self,
        *,
        store: StoreClient,
        store_watcher: StoreWatcher,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._store_watcher = store_watcher
        self._clock = clock
        self._lock = asyncio.Lock()
        self._read_s = -math.inf
        self._confirmed = False

    async def confirm(self) -> bool:
        """Return whether all changes are known that were acknowledged before the call.

        It is False if the store can't be reached, or if the changes do not arrive here
        in time.
        """
        called_s = self._clock()
        async with self._lock:
            if self._read_s <= called_s:
                wait_s = self._read_s + MIN_READ_INTERVAL_S - self._clock()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                self._read_s = self._clock()
                self._confirmed = await self._read()
            return self._confirmed

    async def _read(self) -> bool:
        watcher = self._store_watcher
        if not watcher.connected:
            return False
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
                era, revision = watcher.era, watcher.revision
                position = await self._store.read_position()
                if position.era == era and position.revision < revision:
                    raise StoreUnavailableError(
                        f"revision {position.revision} is older than the known one"
                    )
                while not watcher.has_reached(position):
                    await watcher.wait_for_news(CONFIRMATION_TIMEOUT_S)
        except (StoreUnavailableError, TimeoutError) as error:
            log_event("store not confirmed", revision=watcher.revision, why=repr(error))
            return False
        return True
