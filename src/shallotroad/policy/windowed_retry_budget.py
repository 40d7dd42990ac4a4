"""A bound on repeats as a share of requests, over a sliding window."""

from __future__ import annotations

from collections import deque


SAFETY = 0.7  # of the allowance; entries may disagree on their number for a while


class WindowedRetryBudget:
    """Repeats that this entry may still make for one service.

    The bound is a sum over all entries: each takes its own requests' share
    and an equal part of the fixed slack.
    """

    def __init__(self, *, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def _evict_expired(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now_s - self._window_s:
                times.popleft()

    def record_request(self, now_s: float) -> None:
        """Note a request of a caller."""
        self._evict_expired(now_s)
        self._requests.append(now_s)

    def try_spend(self, *, gateways: int, now_s: float) -> bool:
        """Take one repeat; tell whether the budget allowed it."""
        self._evict_expired(now_s)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, gateways)
        if len(self._retries) + 1 > SAFETY * allowed:
            return False
        self._retries.append(now_s)
        return True
