"""Requests that were running when an endpoint crashed.

A suspect runs alone until it has answered. One that crashes an endpoint while
it runs alone is refused for a while: it can't be a bystander.
"""

from __future__ import annotations

from typing import NamedTuple


SUSPECT_TTL_S = 600.0
MAX_SUSPECTS = 4096
POISON_CRASHES = 2


class Suspicion(NamedTuple):
    """How often a request was there at a crash; ``expires_s`` is monotonic."""

    crashes: int
    expires_s: float


class Suspects:
    """Crash counts by fingerprint, bounded in number and time."""

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}

    def crashes(self, fingerprint: str, *, now_s: float) -> int:
        """Return how many crashes are held against a request."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or suspicion.expires_s < now_s:
            return 0
        return suspicion.crashes

    def poisonous(self, fingerprint: str, *, now_s: float) -> bool:
        """Tell whether a request must not run."""
        return self.crashes(fingerprint, now_s=now_s) >= POISON_CRASHES

    def raise_crash_count(
        self, fingerprint: str, crashes: int, *, now_s: float
    ) -> bool:
        """Hold at least ``crashes`` against a request; tell whether it is news."""
        if crashes <= self.crashes(fingerprint, now_s=now_s):
            return False
        self._make_room(now_s)
        suspicion = Suspicion(crashes, now_s + SUSPECT_TTL_S)
        self._suspicions[fingerprint] = suspicion
        return True

    def clear(self, fingerprint: str) -> None:
        """Drop the suspicion: the request has answered."""
        self._suspicions.pop(fingerprint, None)

    def _make_room(self, now_s: float) -> None:
        if len(self._suspicions) < MAX_SUSPECTS:
            return
        items = self._suspicions.items()
        self._suspicions = {f: s for f, s in items if s.expires_s >= now_s}
        while len(self._suspicions) >= MAX_SUSPECTS:
            del self._suspicions[next(iter(self._suspicions))]

    def count(self) -> int:
        """Return the number of requests under suspicion."""
        return len(self._suspicions)
