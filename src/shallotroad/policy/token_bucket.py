"""Token bucket for rate limits."""

from __future__ import annotations

import math


class TokenBucket:
    """Token bucket that refills at a rate up to a burst size.

    One request costs one token. The rate and the burst are passed with each call,
    because limits may change while the bucket is in use.
    """

    def __init__(self, *, tokens: float, now_s: float) -> None:
        self._tokens = tokens
        self._refilled_s = now_s

    def take(self, wanted: int, *, per_s: float, burst: float, now_s: float) -> int:
        """Take up to ``wanted`` whole tokens and return the number taken.

        Parameters
        ----------
        wanted : int
            Maximum number of tokens to take.
        per_s, burst : float
            Tokens added per second and capacity of the bucket.
        now_s : float
            Monotonic time in seconds.
        """
        refilled = (now_s - self._refilled_s) * per_s
        self._tokens = min(burst, self._tokens + refilled)
        self._refilled_s = now_s
        granted = min(wanted, math.floor(self._tokens))
        self._tokens -= granted
        return granted

    def time_to_token_s(self, per_s: float) -> float:
        """Return the seconds from the last ``take`` until a token is available.

        0.0 if one is left.

        Raises
        ------
        ZeroDivisionError
            When ``per_s`` is 0, also if a token is left.
        """
        return max(0.0, 1.0 - self._tokens) / per_s
