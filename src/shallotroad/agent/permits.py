"""Adaptive limit of the number of requests that an endpoint runs at once."""

from __future__ import annotations

from typing import NamedTuple


# Ratio of a measurement to its baseline above which the endpoint counts as cold.
COLD_RATIO = 4.0
# An earlier first token is no sign of a cold endpoint: prompts differ in length.
MIN_COLD_FIRST_TOKEN_S = 1.0
# Ratio of a token interval to its baseline above which the limit is decreased.
SLOW_RATIO = 2.0
BASELINE_EWMA_WEIGHT = 0.1
GROWTH_BACKOFF_INITIAL_S = 2.0
GROWTH_BACKOFF_MAX_S = 16.0
SLOW_DECREASE_FACTOR = 0.8
# Time since the last collapse after which the growth backoff starts anew.
BACKOFF_RESET_S = 30.0


class PermitState(NamedTuple):
    """Snapshot of the permits for load reports and dumps.

    ``baseline_s`` is the usual time to first token in seconds, 0 before the first
    measurement. ``collapses`` counts how often the limit fell because the endpoint
    turned cold.
    """

    running: int
    limit: int
    maximum: int
    baseline_s: float
    collapses: int


class Permits:
    """Permits of one endpoint; a request needs one to run.

    The limit starts at the floor and follows additive increase, multiplicative
    decrease. It grows by one for every ``limit`` requests that were served at the
    usual token interval, or not streamed, while at most one permit was free. It
    shrinks when tokens are slow, and collapses to the floor when the time to first
    token or the token interval shows that the endpoint has turned cold. Each collapse
    blocks growth for twice as long as the one before, up to ``GROWTH_BACKOFF_MAX_S``,
    unless more than ``BACKOFF_RESET_S`` lie between them.
    """

    def __init__(self, *, floor: int, maximum: int) -> None:
        self._floor = min(floor, maximum)
        self._maximum = maximum
        self._limit = float(self._floor)
        self._baseline_first_token_s = 0.0
        self._baseline_token_interval_s = 0.0
        self._growth_backoff_s = GROWTH_BACKOFF_INITIAL_S
        self._no_growth_until_s = 0.0
        self._collapsed_at_s = float("-inf")
        self._collapses = 0
        self.running = 0

    @property
    def limit(self) -> int:
        """The number of requests that may run now."""
        return int(self._limit)

    @property
    def free(self) -> int:
        """The number of permits not in use; 0 when overcommitted."""
        return max(0, self.limit - self.running)

    def acquire(self) -> None:
        """Take one permit; does not check that one is free."""
        self.running += 1

    def release(self) -> None:
        """Return one permit."""
        self.running -= 1

    def state(self) -> PermitState:
        """Return a snapshot of the permits."""
        return PermitState(
            self.running,
            self.limit,
            self._maximum,
            self._baseline_first_token_s,
            self._collapses,
        )

    def reset_to_floor(self, *, now_s: float) -> None:
        """Set the limit to the floor after the endpoint restarted, reopened or crashed.

        Does not count as a collapse. The limit may grow again after
        ``GROWTH_BACKOFF_INITIAL_S``, even if a collapse blocked growth for longer, and
        the doubling of the growth backoff starts anew from that time.
        """
        self._limit = float(self._floor)
        self._growth_backoff_s = GROWTH_BACKOFF_INITIAL_S
        self._no_growth_until_s = now_s + GROWTH_BACKOFF_INITIAL_S

    def _collapse(self, now_s: float) -> None:
        stable = now_s - self._collapsed_at_s > BACKOFF_RESET_S
        doubled_backoff_s = min(GROWTH_BACKOFF_MAX_S, self._growth_backoff_s * 2)
        self._growth_backoff_s = (
            GROWTH_BACKOFF_INITIAL_S if stable else doubled_backoff_s
        )
        self._collapsed_at_s = now_s
        self._collapses += 1
        self._limit = float(self._floor)
        self._no_growth_until_s = now_s + self._growth_backoff_s

    def observe_endpoint_token_interval(
        self, token_interval_s: float, *, now_s: float
    ) -> None:
        """Collapse if the mean token interval of all running requests shows cold.

        Changes nothing until a request token interval has set the baseline.
        """
        baseline_s = self._baseline_token_interval_s or token_interval_s
        if token_interval_s > COLD_RATIO * baseline_s and self.limit > self._floor:
            self._collapse(now_s)

    def observe_request_token_interval(
        self, token_interval_s: float, *, now_s: float
    ) -> None:
        """Adapt the limit to the mean token interval of one request, in seconds.

        An interval above ``SLOW_RATIO`` baselines decreases the limit and leaves the
        baseline unchanged; any other updates the baseline and may grow the limit.
        """
        baseline_s = self._baseline_token_interval_s or token_interval_s
        if token_interval_s > SLOW_RATIO * baseline_s:
            self._limit = max(float(self._floor), self._limit * SLOW_DECREASE_FACTOR)
            self.observe_endpoint_token_interval(token_interval_s, now_s=now_s)
            return
        self._baseline_token_interval_s = baseline_s + BASELINE_EWMA_WEIGHT * (
            token_interval_s - baseline_s
        )
        self._grow(now_s)

    def observe_complete_response(self, *, now_s: float) -> None:
        """Grow the limit, if possible, after a response that was not streamed."""
        self._grow(now_s)

    def _grow(self, now_s: float) -> None:
        """Add ``1 / limit`` to the limit; ``limit`` calls raise it by about one.

        Does nothing while more than one permit is free or a collapse or reset blocks
        growth. The limit stays at or below its maximum.
        """
        saturated = self.running >= self.limit - 1
        if saturated and now_s >= self._no_growth_until_s:
            grown = self._limit + 1.0 / self._limit
            self._limit = min(float(self._maximum), grown)

    def observe_first_token(self, first_token_s: float, *, now_s: float) -> None:
        """Update the baseline, or collapse if the first token came very late.

        Parameters
        ----------
        first_token_s : float
            From the start of the request until its first token, in seconds.
        now_s : float
            Monotonic time in seconds.
        """
        baseline_s = self._baseline_first_token_s or first_token_s
        cold_s = max(MIN_COLD_FIRST_TOKEN_S, COLD_RATIO * baseline_s)
        if first_token_s > cold_s:
            if self.limit > self._floor:
                self._collapse(now_s)
            return
        deviation_s = first_token_s - baseline_s
        self._baseline_first_token_s = baseline_s + BASELINE_EWMA_WEIGHT * deviation_s
