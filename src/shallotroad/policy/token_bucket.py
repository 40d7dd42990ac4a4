"""A bucket of requests that fills at a rate."""

from __future__ import annotations

import math


class TokenBucket:
    """A bucket that fills at a rate up to a burst; one token a request."""

    def __init__(self, *, tokens: float, now_s: float) -> None:
        self._tokens = tokens
        self._filled_s = now_s

    def take(self, wanted: int, *, per_s: float, burst: float, now_s: float) -> int:
        """Take up to ``wanted`` whole tokens and return how many.

        Parameters
        ----------
        wanted : int
            Most tokens to take.
        per_s, burst : float
            Rate and size of the bucket now; both may change between calls.
        now_s : float
            Monotonic time in seconds.
        """
        grown = (now_s - self._filled_s) * per_s
        self._tokens = min(burst, self._tokens + grown)
        self._filled_s = now_s
        granted = min(wanted, math.floor(self._tokens))
        self._tokens -= granted
        return granted

    def next_s(self, per_s: float) -> float:
        """Return the seconds until there is a whole token."""
        return max(0.0, 1.0 - self._tokens) / per_s
