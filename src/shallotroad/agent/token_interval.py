"""How fast an endpoint's running streams make tokens."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from shallotroad.agent.job import Job
    from shallotroad.agent.permits import Permits

TOKEN_INTERVAL_CHUNKS = 16
MIN_TOKEN_INTERVAL_CHUNKS = 4


class JobTokenInterval:
    """Tells the permits how fast one streamed job is served."""

    def __init__(self, *, permits: Permits, job: Job) -> None:
        self._permits = permits
        self._job = job
        self._first_s = 0.0
        self._count = 0
        self._reported = False

    def record_chunk(self) -> None:
        """Note a chunk."""
        self._count += 1
        if self._count == 1:
            self._first_s = time.monotonic()
            first_token_s = self._first_s - self._job.started_s
            self._permits.observe_first_token(first_token_s, now_s=self._first_s)
        elif self._count == TOKEN_INTERVAL_CHUNKS:
            self._report()

    def end(self) -> None:
        """Note the end of a job that was too short to be judged before."""
        if not self._reported and self._count >= MIN_TOKEN_INTERVAL_CHUNKS:
            self._report()

    def _report(self) -> None:
        self._reported = True
        if self._job.paused_once:
            return
        now_s = time.monotonic()
        token_interval_s = (now_s - self._first_s) / (self._count - 1)
        self._permits.observe_request_token_interval(token_interval_s, now_s=now_s)


class EndpointTokenInterval:
    """Tells the permits the mean time between tokens of all running streams."""

    def __init__(self, *, permits: Permits) -> None:
        self._permits = permits
        self._chunks: dict[str, int] = {}
        self._recorded_s = 0.0

    def record(self, running: Iterable[Job], *, now_s: float) -> None:
        """Compare the running jobs' chunks with those at the last call."""
        chunks = {
            job.attempt: len(job.response.chunks)
            for job in running
            if job.response.chunks
        }
        before, span_s = self._chunks, now_s - self._recorded_s
        self._chunks, self._recorded_s = chunks, now_s
        both = chunks.keys() & before.keys()
        if both:
            made = sum(chunks[attempt] - before[attempt] for attempt in both)
            token_interval_s = span_s * len(both) / max(1, made)
            self._permits.observe_endpoint_token_interval(token_interval_s, now_s=now_s)
