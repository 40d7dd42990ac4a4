"""The instance list as an entry knows it: lagging, refreshed at a bounded rate."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.discovery.exceptions import PlatformUnavailableError


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.discovery.client import Instance
    from shallotroad.discovery.client import PlatformClient

MIN_REFRESH_INTERVAL_S = 1.0
FLEET_READS_PER_S = 200.0


class InstanceDirectory:
    """The latest instance list; the last one stays when the platform is away."""

    def __init__(self, *, platform: PlatformClient) -> None:
        self.instances: list[Instance] = []
        self._platform = platform
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call the listener after each refresh."""
        self._listeners.append(listener)

    def agents(self) -> list[Instance]:
        """Return the rows of agents."""
        return [row for row in self.instances if row.role == "agent"]

    def entries(self) -> list[Instance]:
        """Return the rows of live entries."""
        return [
            row for row in self.instances if row.role == "entry" and row.state == "live"
        ]

    def refresh_interval_s(self) -> float:
        """Return the time between reads that bounds those of all entries."""
        return max(MIN_REFRESH_INTERVAL_S, len(self.entries()) / FLEET_READS_PER_S)

    async def refresh(self) -> bool:
        """Read the list once; tell whether the platform answered."""
        try:
            self.instances = await self._platform.fetch_instances()
        except PlatformUnavailableError as error:
            logger.debug("{}", error)
            return False
        for listener in self._listeners:
            listener()
        return True

    async def refresh_periodically(self) -> None:
        """Refresh for ever."""
        while True:
            await asyncio.sleep(self.refresh_interval_s() * random.uniform(0.75, 1.25))
            await self.refresh()
