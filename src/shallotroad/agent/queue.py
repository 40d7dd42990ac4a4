"""The waiting requests of one endpoint, by tier and deadline.

Upper tiers go first. The longest waiting request of a lower tier gets a
bounded turn: at most one running request holds the turn, and the capacity
that upper tiers are promised is the limit less that one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.config.fleet_config import TIER_COUNT


if TYPE_CHECKING:
    from collections.abc import Iterator

RESERVED_CAPACITY_PER_TIER = 2
AGING_THRESHOLD_S = 5.0


class QueuedRequest(NamedTuple):
    """One waiting request.

    ``due_s`` orders a tier, ``start_deadline_s`` is the latest useful start,
    ``waiting_since_s`` is when it began to wait; all in monotonic seconds. ``paused``
    marks a paused request, which is never shed.
    """

    attempt: str
    tier: int
    due_s: float
    start_deadline_s: float
    waiting_since_s: float
    paused: bool = False
    alone: bool = False


class WorkQueue:
    """A bounded queue with reserved places for each tier.

    Parameters
    ----------
    shared_capacity : int
        Places that all tiers share; each tier has ``RESERVED_CAPACITY_PER_TIER`` more.
    aging_threshold_s : float
        How long a request of a lower tier waits before it may have the turn.
    """

    def __init__(
        self, *, shared_capacity: int, aging_threshold_s: float = AGING_THRESHOLD_S
    ) -> None:
        self._shared_capacity = shared_capacity
        self._aging_threshold_s = aging_threshold_s
        self._tiers: list[list[QueuedRequest]] = [[] for _ in range(TIER_COUNT)]

    def __len__(self) -> int:
        return sum(len(tier) for tier in self._tiers)

    def __iter__(self) -> Iterator[QueuedRequest]:
        for tier in self._tiers:
            yield from tier

    def counts(self) -> list[int]:
        """Return the number of waiting requests by tier."""
        return [len(tier) for tier in self._tiers]

    def ahead_of(self, tier: int) -> int:
        """Return how many waiting requests go before a new one of ``tier``."""
        return sum(len(requests) for requests in self._tiers[: tier + 1])

    def push(self, queued: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the one that had to be shed for it, if any."""
        tier = self._tiers[queued.tier]
        tier.append(queued)
        tier.sort(key=lambda request: request.due_s)
        if self._shared_in_use() <= self._shared_capacity:
            return None
        return self._shed()

    def _shared_in_use(self) -> int:
        return sum(
            max(0, len(tier) - RESERVED_CAPACITY_PER_TIER) for tier in self._tiers
        )

    def _shed(self) -> QueuedRequest | None:
        for tier in reversed(self._tiers):
            if len(tier) <= RESERVED_CAPACITY_PER_TIER:
                continue
            for queued in reversed(tier):
                if not queued.paused:
                    tier.remove(queued)
                    return queued
        return None

    def remove(self, attempt: str) -> QueuedRequest | None:
        """Take a request out; return it, or None when it doesn't wait here."""
        for tier in self._tiers:
            for queued in tier:
                if queued.attempt == attempt:
                    tier.remove(queued)
                    return queued
        return None

    def pop_expired(self, now_s: float) -> list[QueuedRequest]:
        """Take out and return what can no longer start in time."""
        late = [w for w in self if w.start_deadline_s < now_s and not w.paused]
        for queued in late:
            self._tiers[queued.tier].remove(queued)
        return late

    def head(self) -> QueuedRequest | None:
        """Return the request that strict priority would start next."""
        return next(iter(self), None)

    def aged(self, now_s: float) -> QueuedRequest | None:
        """Return the longest waiting request that has earned the turn."""
        head = self.head()
        if head is None:
            return None
        lower = [w for w in self if w.tier > head.tier]
        aged = [
            w for w in lower if now_s - w.waiting_since_s >= self._aging_threshold_s
        ]
        return min(aged, key=lambda request: request.waiting_since_s, default=None)

    def dequeue(self, queued: QueuedRequest) -> None:
        """Take a chosen request out to start it."""
        self._tiers[queued.tier].remove(queued)
