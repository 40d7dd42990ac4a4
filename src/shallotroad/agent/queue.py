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

RESERVED_PLACES = 2
TURN_AFTER_S = 5.0


class Waiting(NamedTuple):
    """One waiting request.

    ``due_s`` orders a tier, ``expires_s`` is the latest useful start,
    ``since_s`` is when it began to wait; all in monotonic seconds. ``started``
    marks a paused request, which is never shed.
    """

    attempt: str
    tier: int
    due_s: float
    expires_s: float
    since_s: float
    started: bool = False
    alone: bool = False


class WorkQueue:
    """A bounded queue with reserved places for each tier.

    Parameters
    ----------
    places : int
        Places that all tiers share; each tier has ``RESERVED_PLACES`` more.
    turn_after_s : float
        How long a request of a lower tier waits before it may have the turn.
    """

    def __init__(self, *, places: int, turn_after_s: float = TURN_AFTER_S) -> None:
        self._places = places
        self._turn_after_s = turn_after_s
        self._tiers: list[list[Waiting]] = [[] for _ in range(TIER_COUNT)]

    def __len__(self) -> int:
        return sum(len(tier) for tier in self._tiers)

    def __iter__(self) -> Iterator[Waiting]:
        for tier in self._tiers:
            yield from tier

    def counts(self) -> list[int]:
        """Return the number of waiting requests by tier."""
        return [len(tier) for tier in self._tiers]

    def ahead_of(self, tier: int) -> int:
        """Return how many waiting requests go before a new one of ``tier``."""
        return sum(len(waiting) for waiting in self._tiers[: tier + 1])

    def push(self, item: Waiting) -> Waiting | None:
        """Add a request; return the one that had to be shed for it, if any."""
        tier = self._tiers[item.tier]
        tier.append(item)
        tier.sort(key=lambda waiting: waiting.due_s)
        if self._shared_in_use() <= self._places:
            return None
        return self._shed()

    def _shared_in_use(self) -> int:
        return sum(max(0, len(tier) - RESERVED_PLACES) for tier in self._tiers)

    def _shed(self) -> Waiting | None:
        for tier in reversed(self._tiers):
            if len(tier) <= RESERVED_PLACES:
                continue
            for item in reversed(tier):
                if not item.started:
                    tier.remove(item)
                    return item
        return None

    def remove(self, attempt: str) -> Waiting | None:
        """Take a request out; return it, or None when it doesn't wait here."""
        for tier in self._tiers:
            for item in tier:
                if item.attempt == attempt:
                    tier.remove(item)
                    return item
        return None

    def expired(self, now_s: float) -> list[Waiting]:
        """Take out and return what can no longer start in time."""
        late = [w for w in self if w.expires_s < now_s and not w.started]
        for item in late:
            self._tiers[item.tier].remove(item)
        return late

    def head(self) -> Waiting | None:
        """Return the request that strict priority would start next."""
        return next(iter(self), None)

    def aged(self, now_s: float) -> Waiting | None:
        """Return the longest waiting request that has earned the turn."""
        head = self.head()
        if head is None:
            return None
        lower = [w for w in self if w.tier > head.tier]
        ripe = [w for w in lower if now_s - w.since_s >= self._turn_after_s]
        return min(ripe, key=lambda waiting: waiting.since_s, default=None)

    def take(self, item: Waiting) -> None:
        """Take a chosen request out to start it."""
        self._tiers[item.tier].remove(item)
