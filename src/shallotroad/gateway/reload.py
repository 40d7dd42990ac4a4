"""Takes changed settings while the process runs.

The settings file changes with a signal or without one. Addresses that the
process listens on stay as they are until it starts again.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.observability.event_log import log_event
from shallotroad.platform.exceptions import SettingsError
from shallotroad.platform.settings import read_settings


if TYPE_CHECKING:
    from shallotroad.gateway.factory import Components
    from shallotroad.platform.settings import InstanceSettings

CHECK_INTERVAL_S = 2.0  # between looks at a file that changed without a signal


class Reloader:
    """Reads the settings again and applies what may change."""

    def __init__(self, *, components: Components) -> None:
        self._components = components
        self._settings = components.settings
        self.wanted = asyncio.Event()

    def apply(self, settings: InstanceSettings) -> None:
        """Apply settings that differ from those in force."""
        old = self._settings
        if settings == old:
            return
        self._settings = settings
        changed = [
            name
            for name, value in settings._asdict().items()
            if value != getattr(old, name)
        ]
        self._components.store.set_address(settings.store)
        self._components.membership.replace_seeds(
            tuple(str(seed) for seed in settings.seeds)
        )
        self._components.forwarder.bounds = settings.bounds
        log_event("settings reloaded", changed=changed)

    async def watch(self) -> None:
        """Read the settings at each signal and now and then."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.wanted.wait()
            except TimeoutError:
                pass
            self.wanted.clear()
            try:
                self.apply(read_settings())
            except SettingsError as error:
                logger.bind(why=str(error)).error("settings refused; the old hold")
