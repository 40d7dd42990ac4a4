"""Applies changed settings while the process runs.

The settings file may change with or without a reload signal. Only the store address,
the seeds and the retry bounds take effect; other settings do so only after a restart.
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

# The file is read at this interval, because it may change without a signal.
CHECK_INTERVAL_S = 2.0


class Reloader:
    """Rereads the settings and applies those that may change at run time.

    Setting the event ``requested`` triggers a reload at once.
    """

    def __init__(self, *, components: Components) -> None:
        self._components = components
        self._settings = components.settings
        self.requested = asyncio.Event()

    def apply(self, settings: InstanceSettings) -> None:
        """Apply the store address, seeds and retry bounds if any setting has changed.

        The retry bounds apply to services whose retry budget is created later, at
        their first request. The grace period and the prefix reuse window stay.
        """
        previous = self._settings
        if settings == previous:
            return
        self._settings = settings
        changed = [
            name
            for name, value in settings._asdict().items()
            if value != getattr(previous, name)
        ]
        self._components.store.set_address(settings.store)
        self._components.membership.replace_seeds(
            tuple(str(seed) for seed in settings.seeds)
        )
        self._components.forwarder.bounds = settings.bounds
        log_event("settings reloaded", changed=changed)

    async def reload_periodically(self) -> None:
        """Reread the settings on request and at each interval, until cancelled.

        Invalid settings are logged and leave the current ones in force.
        """
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.requested.wait()
            except TimeoutError:
                pass
            self.requested.clear()
            try:
                self.apply(read_settings())
            except SettingsError as error:
                logger.bind(why=str(error)).error("settings refused; the old hold")
