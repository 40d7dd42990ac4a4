"""Bounded priority queue of the requests that wait for one endpoint.

Tier 0 is the highest. Requests start by tier, then by their due time. To prevent
starvation, a request of a lower tier that has waited long enough may start in the
aging slot. At most one running request uses that slot, so that all other permits
remain available to the higher tiers.
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
    """One queued request; all times are monotonic, in seconds.

    Parameters
    ----------
    attempt : str
        Identifier of the attempt.
    tier : int
        Tier of the request; 0 is the highest.
    due_s : float
        When its first token is due, or when it was paused. Requests of one tier
        start in this order.
    start_deadline_s : float
        Latest useful start, after which the request is refused. For a paused
        request, which has started already, the value is ignored.
    waiting_since_s : float
        When it was admitted; for a paused request too, so that the time for which it
        ran counts as waiting.
    paused : bool
        Whether it was started and paused. It is then neither shed nor expired.
    alone : bool
        Whether it must be exclusive: start only when nothing runs, with nothing
        started beside it. This holds for suspects, which were running when an
        endpoint crashed. False for a paused request.
    """

    attempt: str
    tier: int
    due_s: float
    start_deadline_s: float
    waiting_since_s: float
    paused: bool = False
    alone: bool = False


class WorkQueue:
    """A bounded queue with capacity reserved for each tier.

    Parameters
    ----------
    shared_capacity : int
        Number of requests that all tiers together may queue beyond the
        ``RESERVED_CAPACITY_PER_TIER`` that each may always queue.
    aging_threshold_s : float
        How long a request of a lower tier waits before it may use the aging slot.
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

    def counts_by_tier(self) -> list[int]:
        """Return the number of queued requests of each tier, highest tier first."""
        return [len(tier) for tier in self._tiers]

    def count_ahead_of(self, tier: int) -> int:
        """Return the number of queued requests of ``tier`` and higher tiers."""
        return sum(len(requests) for requests in self._tiers[: tier + 1])

    def push(self, queued: QueuedRequest) -> QueuedRequest | None:
        """Add a request.

        Returns the request that was shed because the queue is full, which may be
        the new one. Returns None if the queue is not full, or holds no request that
        may be shed.
        """
        tier = self._tiers[queued.tier]
        tier.append(queued)
        tier.sort(key=lambda request: request.due_s)
        if self._shared_in_use() <= self._shared_capacity:
            return None
        return self._shed()

    def _shared_in_use(self) -> int:
        """Return the number of requests above their tier's reserved capacity.

        Paused requests count too.
        """
        return sum(
            max(0, len(tier) - RESERVED_CAPACITY_PER_TIER) for tier in self._tiers
        )

    def _shed(self) -> QueuedRequest | None:
        """Remove and return the last request in the lowest tier that may lose one.

        Only tiers above their reserved capacity may, and paused requests stay.
        Returns None if there is no such request.
        """
        for tier in reversed(self._tiers):
            if len(tier) <= RESERVED_CAPACITY_PER_TIER:
                continue
            for queued in reversed(tier):
                if not queued.paused:
                    tier.remove(queued)
                    return queued
        return None

    def remove(self, attempt: str) -> QueuedRequest | None:
        """Remove and return a request; return None if it is not queued."""
        for tier in self._tiers:
            for queued in tier:
                if queued.attempt == attempt:
                    tier.remove(queued)
                    return queued
        return None

    def pop_expired(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return the requests whose start deadline has passed."""
        expired = [
            request
            for request in self
            if request.start_deadline_s < now_s and not request.paused
        ]
        for queued in expired:
            self._tiers[queued.tier].remove(queued)
        return expired

    def head(self) -> QueuedRequest | None:
        """Return the first request of the highest queued tier, or None if empty."""
        return next(iter(self), None)

    def aging_candidate(self, now_s: float) -> QueuedRequest | None:
        """Return the request that may use the aging slot, or None.

        This is the one that has waited longest, for at least the aging threshold,
        among the tiers below the highest queued tier.
        """
        head = self.head()
        if head is None:
            return None
        lower = [request for request in self if request.tier > head.tier]
        aged = [
            request
            for request in lower
            if now_s - request.waiting_since_s >= self._aging_threshold_s
        ]
        return min(aged, key=lambda request: request.waiting_since_s, default=None)

    def dequeue(self, queued: QueuedRequest) -> None:
        """Remove a request that the caller got from the queue.

        Unlike ``remove``, raises ValueError if it is not queued.
        """
        self._tiers[queued.tier].remove(queued)
