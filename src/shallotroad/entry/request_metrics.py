"""Metrics of callers' requests: outcomes, time to first token, delivered chunks."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from aioprometheus import Counter
from aioprometheus import Histogram


if TYPE_CHECKING:
    from aioprometheus.collectors import Registry

    from shallotroad.entry.request import RoutedRequest

FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.2, 0.5, 1.0, 1.8, 3.0, 6.0, 15.0, 60.0]


class RequestMetrics:
    """Request metrics of one entry.

    ``totals`` counts finished requests by ``outcome:code``, or by outcome alone
    when there is no code.
    """

    def __init__(self, *, registry: Registry) -> None:
        self._outcomes = Counter(
            "shallotroad_requests_total",
            "Requests by team, class, outcome and code",
            registry=registry,
        )
        self._first_token_targets = Counter(
            "shallotroad_first_token_total",
            "First tokens by class and whether the target was met",
            registry=registry,
        )
        self._first_token = Histogram(
            "shallotroad_first_token_seconds",
            "Time to the first chunk by class",
            registry=registry,
            buckets=FIRST_TOKEN_BUCKETS_S,
        )
        self._chunks = Counter(
            "shallotroad_delivered_chunks_total",
            "Chunks delivered to callers by class",
            registry=registry,
        )
        self.totals: dict[str, int] = {}

    def record_outcome(
        self, team: str, request_class: str, outcome: str, code: str
    ) -> None:
        """Count a finished request; ``code`` is empty if it succeeded."""
        labels = {
            "team": team,
            "class": request_class,
            "outcome": outcome,
            "code": code,
        }
        self._outcomes.inc(labels)
        name = f"{outcome}:{code}" if code else outcome
        self.totals[name] = self.totals.get(name, 0) + 1

    def record_first_token(self, request: RoutedRequest, *, began_s: float) -> None:
        """Record the time to first token, and whether it met the request's target.

        The time runs until now, when the first chunk has arrived. ``began_s`` is the
        monotonic time at which the entry began to run the request, after its body was
        read and the rate limit was checked.
        """
        elapsed_s = time.monotonic() - began_s
        met = str(elapsed_s <= request.first_token_s).lower()
        labels = {"class": request.request_class}
        self._first_token_targets.inc({**labels, "met": met})
        self._first_token.observe(labels, elapsed_s)

    def record_delivered(self, request: RoutedRequest, chunks: int) -> None:
        """Count chunks that were written to the caller's connection."""
        self._chunks.add({"class": request.request_class}, chunks)
