"""The accepted configuration of one process: it only ever moves forward."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from loguru import logger

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.fleet_config import FleetBuilder
from shallotroad.config.fleet_config import FleetConfig
from shallotroad.config.fleet_config import build_fleet_config


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

HISTORY_CHANGES = 256
MIN_PULL_INTERVAL_S = 0.5
MIN_FULL_DELTA_INTERVAL_S = 0.25


class Delta(NamedTuple):
    """What changed between two revisions.

    ``base`` 0 marks a delta that holds every value.
    """

    base: int
    revision: int
    changed: dict[str, str]
    removed: tuple[str, ...] = ()


class VersionedConfig:
    """Accepted values, the fleet built from them and the latest deltas.

    A revision that is lower than or equal to the accepted one is never
    adopted. A revision that is not valid is refused whole.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.fleet: FleetConfig | None = None
        self.refused_revisions: dict[int, list[str]] = {}
        self._values: dict[str, str] = {}
        self._history: deque[Delta] = deque(maxlen=HISTORY_CHANGES)
        self._listeners: list[Callable[[FleetConfig], None]] = []
        self._changed = asyncio.Event()
        self._builder = FleetBuilder()
        self._pulled_s = float("-inf")
        self._full_s = float("-inf")

    def add_listener(self, listener: Callable[[FleetConfig], None]) -> None:
        """Call the listener with each newly accepted fleet."""
        self._listeners.append(listener)

    def apply(self, delta: Delta) -> bool:
        """Adopt a delta; tell whether the revision moved forward."""
        if delta.revision <= self.revision:
            return False
        if delta.base > self.revision:
            return False
        values = {} if delta.base == 0 else dict(self._values)
        values.update(delta.changed)
        for key in delta.removed:
            values.pop(key, None)
        try:
            fleet = build_fleet_config(
                revision=delta.revision, values=values, builder=self._builder
            )
        except ConfigInvalidError as error:
            self._reject(delta.revision, error)
            return False
        self._record(delta, values)
        self._values = values
        self.revision = delta.revision
        self.fleet = fleet
        for listener in self._listeners:
            listener(fleet)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def wait_for_revision(self, revision: int, *, timeout_s: float) -> bool:
        """Wait until ``revision`` is accepted; tell whether it was in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.revision < revision:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _reject(self, revision: int, error: ConfigInvalidError) -> None:
        if revision not in self.refused_revisions:
            logger.warning("revision {} refused: {}", revision, error.lines())
        self.refused_revisions = {revision: error.lines()}

    def _record(self, delta: Delta, values: Mapping[str, str]) -> None:
        old = self._values
        changed = {k: v for k, v in values.items() if old.get(k) != v}
        removed = tuple(k for k in old if k not in values)
        self._history.append(Delta(self.revision, delta.revision, changed, removed))

    def allow_pull(self, *, now_s: float) -> bool:
        """Tell whether this process may ask a peer now: one at a time."""
        if now_s - self._pulled_s < MIN_PULL_INTERVAL_S:
            return False
        self._pulled_s = now_s
        return True

    def rate_limited_delta(self, revision: int, *, now_s: float) -> Delta | None:
        """Return what a peer lacks, but whole configurations at a bounded rate.

        A peer that gets nothing asks again, or asks another.
        """
        delta = self.delta_since(revision)
        if delta is None or delta.base > 0:
            return delta
        if now_s - self._full_s < MIN_FULL_DELTA_INTERVAL_S:
            return None
        self._full_s = now_s
        return delta

    def delta_since(self, revision: int) -> Delta | None:
        """Return what a process at ``revision`` lacks, or None when nothing."""
        if revision >= self.revision:
            return None
        changed: dict[str, str] = {}
        removed: set[str] = set()
        base = None
        for delta in self._history:
            if base is None and delta.base == revision and revision > 0:
                base = revision
            if base is not None:
                changed.update(delta.changed)
                removed.difference_update(delta.changed)
                removed.update(delta.removed)
                for key in delta.removed:
                    changed.pop(key, None)
        if base is None:
            return Delta(0, self.revision, dict(self._values))
        return Delta(base, self.revision, changed, tuple(sorted(removed)))
