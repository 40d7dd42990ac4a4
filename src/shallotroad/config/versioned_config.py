"""The accepted configuration of one process, with its revision.

Deltas from the platform and from peers are applied when they lead to a newer,
valid revision; the revision never decreases. Recent deltas are kept, so that a
peer that is behind receives only the changes it lacks.
"""

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

# A peer whose revision is not in the history receives a full delta.
MAX_HISTORY_DELTAS = 256
MIN_PULL_INTERVAL_S = 0.5
MIN_FULL_DELTA_INTERVAL_S = 0.25


class Delta(NamedTuple):
    """Changed values by key, and removed keys, between two revisions.

    ``base`` is the revision that the delta applies to; 0 marks a full delta, which
    contains every value.
    """

    base: int
    revision: int
    changed: dict[str, str]
    removed: tuple[str, ...] = ()


class VersionedConfig:
    """Accepted values, the fleet built from them and recent deltas.

    ``revision`` is 0 and ``fleet`` None until a revision is accepted.
    ``rejected_revisions`` has at most one item: the latest invalid revision, with its
    findings as ``location: message`` texts.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.fleet: FleetConfig | None = None
        self.rejected_revisions: dict[int, list[str]] = {}
        self._values: dict[str, str] = {}
        self._history: deque[Delta] = deque(maxlen=MAX_HISTORY_DELTAS)
        self._listeners: list[Callable[[FleetConfig], None]] = []
        self._changed = asyncio.Event()
        self._builder = FleetBuilder()
        self._last_pull_s = float("-inf")
        self._last_full_delta_s = float("-inf")

    def add_listener(self, listener: Callable[[FleetConfig], None]) -> None:
        """Register a function that is called with each fleet accepted from now on.

        It is not called with the fleet that is already in force.
        """
        self._listeners.append(listener)

    def apply(self, delta: Delta) -> bool:
        """Apply a delta; return whether its revision was accepted.

        A delta is ignored when its revision is not newer, or its base is newer
        than the accepted revision. An invalid revision is rejected as a whole.
        """
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
        self._record_delta(delta, values)
        self._values = values
        self.revision = delta.revision
        self.fleet = fleet
        for listener in self._listeners:
            listener(fleet)
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def wait_for_revision(self, revision: int, *, timeout_s: float) -> bool:
        """Wait until ``revision`` or a newer one is accepted; False on timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.revision < revision:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _reject(self, revision: int, error: ConfigInvalidError) -> None:
        if revision not in self.rejected_revisions:
            logger.warning("revision {} rejected: {}", revision, error.lines())
        self.rejected_revisions = {revision: error.lines()}

    def _record_delta(self, delta: Delta, new_values: Mapping[str, str]) -> None:
        """Append the step from the accepted revision to the new one to the history.

        It is computed from the values, because a received delta may be full or start
        at an older revision.
        """
        old = self._values
        changed = {k: v for k, v in new_values.items() if old.get(k) != v}
        removed = tuple(k for k in old if k not in new_values)
        self._history.append(Delta(self.revision, delta.revision, changed, removed))

    def allow_pull(self, *, now_s: float) -> bool:
        """Return whether a peer may be asked now, and if so count this pull.

        Pulls are at least ``MIN_PULL_INTERVAL_S`` apart, so that a process that
        learns of a revision from many peers asks one of them at a time.
        """
        if now_s - self._last_pull_s < MIN_PULL_INTERVAL_S:
            return False
        self._last_pull_s = now_s
        return True

    def rate_limited_delta(self, revision: int, *, now_s: float) -> Delta | None:
        """Return the delta for a peer at ``revision``, full deltas at a limited rate.

        Returns None when the peer lacks nothing, or when the last full delta was
        less than ``MIN_FULL_DELTA_INTERVAL_S`` ago; the peer then retries or pulls
        from another peer.
        """
        delta = self.delta_since(revision)
        if delta is None or delta.base > 0:
            return delta
        if now_s - self._last_full_delta_s < MIN_FULL_DELTA_INTERVAL_S:
            return None
        self._last_full_delta_s = now_s
        return delta

    def delta_since(self, revision: int) -> Delta | None:
        """Return the delta from ``revision`` to the accepted revision.

        Returns None when ``revision`` is not older, and a full delta when the
        history does not reach back to it.
        """
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
