"""How many requests an endpoint may run at once, learned from its service."""

from __future__ import annotations

from typing import NamedTuple


COLD_RATIO = 4.0
COLD_FIRST_TOKEN_S = 1.0
SLOW_RATIO = 2.0
BASELINE_WEIGHT = 0.1
GROWTH_BACKOFF_INITIAL_S = 2.0
GROWTH_BACKOFF_MAX_S = 16.0
SLOW_SHRINK = 0.8
CALM_S = 30.0


class PermitState(NamedTuple):
    """A view of the permits for reports and dumps."""

    running: int
    limit: int
    maximum: int
    baseline_s: float
    collapses: int


class Permits:
    """Permits of one endpoint: a floor at start, then growth by good service.

    The limit grows by one after as many requests as it admits were served at a
    good pace while all permits were in use. It shrinks when tokens are slow,
    and falls to the floor when a first token or the time between tokens is so
    late that the endpoint must have turned cold. After each fall growth waits
    twice as long, until the endpoint has been calm for ``CALM_S``. First tokens
    below ``COLD_FIRST_TOKEN_S`` tell nothing: prompts differ in length.
    """

    def __init__(self, *, floor: int, maximum: int) -> None:
        self._floor = min(floor, maximum)
        self._maximum = maximum
        self._limit = float(self._floor)
        self._baseline_s = 0.0
        self._baseline_interval_s = 0.0
        self._growth_backoff_s = GROWTH_BACKOFF_INITIAL_S
        self._growth_blocked_until_s = 0.0
        self._fell_s = float("-inf")
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
        """Take one permit; the caller has checked that one is free."""
        self.running += 1

    def release(self) -> None:
        """Give one permit back."""
        self.running -= 1

    def state(self) -> PermitState:
        """Return a view of the permits."""
        return PermitState(
            self.running,
            self.limit,
            self._maximum,
            self._baseline_s,
            self._collapses,
        )

    def reset_to_floor(self, *, now_s: float) -> None:
        """Fall to the floor: the endpoint has started, reopened or crashed."""
        self._limit = float(self._floor)
        self._growth_backoff_s = GROWTH_BACKOFF_INITIAL_S
        self._growth_blocked_until_s = now_s + GROWTH_BACKOFF_INITIAL_S

    def _fall(self, now_s: float) -> None:
        calm = now_s - self._fell_s > CALM_S
        doubled_s = min(GROWTH_BACKOFF_MAX_S, self._growth_backoff_s * 2)
        self._growth_backoff_s = GROWTH_BACKOFF_INITIAL_S if calm else doubled_s
        self._fell_s = now_s
        self._collapses += 1
        self._limit = float(self._floor)
        self._growth_blocked_until_s = now_s + self._growth_backoff_s

    def observe_endpoint_token_interval(
        self, token_interval_s: float, *, now_s: float
    ) -> None:
        """Learn from the mean time between tokens over all running requests."""
        baseline_s = self._baseline_interval_s or token_interval_s
        if token_interval_s > COLD_RATIO * baseline_s and self.limit > self._floor:
            self._fall(now_s)

    def observe_request_token_interval(
        self, token_interval_s: float, *, now_s: float
    ) -> None:
        """Learn from the mean time between the tokens of one served request."""
        baseline_s = self._baseline_interval_s or token_interval_s
        if token_interval_s > SLOW_RATIO * baseline_s:
            self._limit = max(float(self._floor), self._limit * SLOW_SHRINK)
            self.observe_endpoint_token_interval(token_interval_s, now_s=now_s)
            return
        self._baseline_interval_s = baseline_s + BASELINE_WEIGHT * (
            token_interval_s - baseline_s
        )
        self._grow(now_s)

    def observe_complete_response(self, *, now_s: float) -> None:
        """Learn from an answer that came as a whole: growth, no collapse."""
        self._grow(now_s)

    def _grow(self, now_s: float) -> None:
        in_use = self.running >= self.limit - 1
        if in_use and now_s >= self._growth_blocked_until_s:
            grown = self._limit + 1.0 / self._limit
            self._limit = min(float(self._maximum), grown)

    def observe_first_token(self, first_token_s: float, *, now_s: float) -> None:
        """Learn from one first token.

        Parameters
        ----------
        first_token_s : float
            From the order to the endpoint until its first token, in seconds.
        now_s : float
            Monotonic time in seconds.
        """
        baseline_s = self._baseline_s or first_token_s
        cold_s = max(COLD_FIRST_TOKEN_S, COLD_RATIO * baseline_s)
        if first_token_s > cold_s:
            if self.limit > self._floor:
                self._fall(now_s)
            return
        change_s = first_token_s - baseline_s
        self._baseline_s = baseline_s + BASELINE_WEIGHT * change_s
