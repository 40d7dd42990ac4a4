"""Retry budget: limits retries to a share of the requests in a sliding window."""

from __future__ import annotations

from collections import deque


# Fraction of the whole allowance, ratio and slack, that is used, because gateways may
# briefly disagree on their number.
BUDGET_SAFETY_FACTOR = 0.7


class WindowedRetryBudget:
    """Retries that this gateway may still make for one service.

    The budget applies to the sum over all gateways: each gateway may use ``ratio``
    times its own requests and an equal part of ``slack``.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the sliding window in seconds.
    slack : float
        Retries that all gateways together may make in a window at any traffic.
    """

    def __init__(self, *, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests_s: deque[float] = deque()
        self._retries_s: deque[float] = deque()

    def _evict_expired(self, now_s: float) -> None:
        for times in (self._requests_s, self._retries_s):
            while times and times[0] < now_s - self._window_s:
                times.popleft()

    def record_request(self, now_s: float) -> None:
        """Record a caller's request, which increases the budget."""
        self._evict_expired(now_s)
        self._requests_s.append(now_s)

    def try_spend(self, *, gateways: int, now_s: float) -> bool:
        """Spend one retry; return whether the budget allowed it.

        Parameters
        ----------
        gateways : int
            Number of gateways that share the slack.
        now_s : float
            Monotonic time in seconds.
        """
        self._evict_expired(now_s)
        allowed = self._ratio * len(self._requests_s) + self._slack / max(1, gateways)
        if len(self._retries_s) + 1 > BUDGET_SAFETY_FACTOR * allowed:
            return False
        self._retries_s.append(now_s)
        return True
