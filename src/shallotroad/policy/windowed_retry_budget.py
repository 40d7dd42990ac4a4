"""Retry budget: limits retries to a share of the requests in a sliding window."""

from __future__ import annotations

import math
from collections import deque


# Fraction of the whole allowance, ratio and slack, that is used, because gateways may
# briefly disagree on their number.
BUDGET_SAFETY_FACTOR = 0.7


class WindowedRetryBudget:
    """Retries that this gateway may still make for one service.

    The budget applies to the sum over all gateways: each gateway may use ``ratio``
    times its own requests and an equal part of ``slack``. A retry counts from when it
    is decided until it is sent, and from then on for the length of the window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the sliding window in seconds.
    slack : float
        Retries that all gateways together may make in a window at any traffic.
    restarted_s : float
        When this gateway was restarted, monotonic time in seconds. Its process before
        may have spent its part of the slack, so that there is none for the length of
        the window. By default there was no process before.
    """

    def __init__(
        self,
        *,
        ratio: float,
        window_s: float,
        slack: float,
        restarted_s: float = -math.inf,
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._slack_from_s = restarted_s + window_s
        self._requests_s: deque[float] = deque()
        self._retries_s: deque[float] = deque()
        self._reserved = 0

    def _evict_expired(self, now_s: float) -> None:
        for times in (self._requests_s, self._retries_s):
            while times and times[0] < now_s - self._window_s:
                times.popleft()

    def record_request(self, now_s: float) -> None:
        """Record a caller's request, which increases the budget."""
        self._evict_expired(now_s)
        self._requests_s.append(now_s)

    def try_reserve(self, *, gateways: int, now_s: float) -> bool:
        """Reserve one retry; return whether the budget allowed it.

        ``record_sent`` or ``release`` is called for it later.

        Parameters
        ----------
        gateways : int
            Number of gateways that share the slack.
        now_s : float
            Monotonic time in seconds.
        """
        self._evict_expired(now_s)
        allowed = self._ratio * len(self._requests_s)
        if now_s >= self._slack_from_s:
            allowed += self._slack / max(1, gateways)
        used = len(self._retries_s) + self._reserved
        if used + 1 > BUDGET_SAFETY_FACTOR * allowed:
            return False
        self._reserved += 1
        return True

    def record_sent(self, now_s: float) -> None:
        """Record that a reserved retry is sent now."""
        self._reserved -= 1
        self._retries_s.append(now_s)

    def release(self) -> None:
        """Give back a reserved retry that was not sent."""
        self._reserved -= 1
