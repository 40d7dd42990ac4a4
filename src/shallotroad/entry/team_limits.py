"""Request limits of teams, shared by all entries without shared state."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.config.fleet import Limits


class TokenBucket:
    """A bucket that fills at a rate up to a burst; one token a request."""

    def __init__(self, *, burst: float, now_s: float) -> None:
        self._tokens = burst
        self._filled_s = now_s

    def take(self, *, per_s: float, burst: float, now_s: float) -> float:
        """Take a token; return 0, or the seconds until there is one."""
        grown = (now_s - self._filled_s) * per_s
        self._tokens = min(burst, self._tokens + grown)
        self._filled_s = now_s
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / per_s


class TeamLimits:
    """One bucket for each team, with this entry's share of the limit.

    ``share`` returns the part of the fleet's limit that this entry may admit.
    """

    def __init__(
        self,
        *,
        share: Callable[[str], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._share = share
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, team: str, limits: Limits) -> float:
        """Admit a request; return 0, or the seconds after which to retry."""
        share = self._share(team)
        per_s = limits.requests_per_s * share
        burst = max(1.0, limits.burst_requests * share)
        now_s = self._clock()
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = TokenBucket(burst=burst, now_s=now_s)
        return bucket.take(per_s=per_s, burst=burst, now_s=now_s)
