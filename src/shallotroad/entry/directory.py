"""The platform's instance list as an entry last read it.

The list lags behind the real state of the processes, and entries read it at a
bounded total rate.
"""

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
# Maximum rate of reads by all entries together.
MAX_FLEET_READS_PER_S = 200.0


class InstanceDirectory:
    """The latest instance list.

    During an outage of the platform the last list that was read stays in use.
    """

    def __init__(self, *, platform: PlatformClient) -> None:
        self.instances: list[Instance] = []
        self._platform = platform
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each successful refresh."""
        self._listeners.append(listener)

    def agents(self) -> list[Instance]:
        """Return the listed agents, also those that are leaving."""
        return [instance for instance in self.instances if instance.role == "agent"]

    def entries(self) -> list[Instance]:
        """Return the listed entries whose state is ``live``, also this one if listed.

        The other state is ``leaving``.
        """
        return [
            instance
            for instance in self.instances
            if instance.role == "entry" and instance.state == "live"
        ]

    def refresh_interval_s(self) -> float:
        """Return the mean time between reads, in seconds.

        It grows with the number of live entries, so that all of them together stay
        within ``MAX_FLEET_READS_PER_S``.
        """
        return max(MIN_REFRESH_INTERVAL_S, len(self.entries()) / MAX_FLEET_READS_PER_S)

    async def refresh(self) -> bool:
        """Read the list once; return False if the platform is unavailable."""
        try:
            self.instances = await self._platform.fetch_instances()
        except PlatformUnavailableError as error:
            logger.debug("instance list not refreshed: {}", error)
            return False
        for listener in self._listeners:
            listener()
        return True

    async def refresh_periodically(self) -> None:
        """Refresh the list until cancelled, at randomized intervals."""
        while True:
            await asyncio.sleep(self.refresh_interval_s() * random.uniform(0.75, 1.25))
            await self.refresh()
