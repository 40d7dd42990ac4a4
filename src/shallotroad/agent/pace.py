"""How fast an endpoint's running streams make tokens."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from shallotroad.agent.job import Job
    from shallotroad.agent.permits import Permits

PACE_CHUNKS = 16
PACE_CHUNKS_LEAST = 4


class JobPace:
    """Tells the permits how fast one streamed job is served."""

    def __init__(self, *, permits: Permits, job: Job) -> None:
        self._permits = permits
        self._job = job
        self._first_s = 0.0
        self._count = 0
        self._told = False

    def note(self) -> None:
        """Note a chunk."""
        self._count += 1
        if self._count == 1:
            self._first_s = time.monotonic()
            taken_s = self._first_s - self._job.started_s
            self._permits.observe_first_token(taken_s, now_s=self._first_s)
        elif self._count == PACE_CHUNKS:
            self._tell()

    def end(self) -> None:
        """Note the end of a job that was too short to be judged before."""
        if not self._told and self._count >= PACE_CHUNKS_LEAST:
            self._tell()

    def _tell(self) -> None:
        self._told = True
        if self._job.paused_once:
            return
        now_s = time.monotonic()
        gap_s = (now_s - self._first_s) / (self._count - 1)
        self._permits.observe_pace(gap_s, now_s=now_s)


class EndpointPace:
    """Tells the permits the mean time between tokens of all running streams."""

    def __init__(self, *, permits: Permits) -> None:
        self._permits = permits
        self._chunks: dict[str, int] = {}
        self._noted_s = 0.0

    def note(self, running: Iterable[Job], *, now_s: float) -> None:
        """Compare the running jobs' chunks with those at the last call."""
        chunks = {
            job.attempt: len(job.answer.chunks) for job in running if job.answer.chunks
        }
        before, span_s = self._chunks, now_s - self._noted_s
        self._chunks, self._noted_s = chunks, now_s
        both = chunks.keys() & before.keys()
        if both:
            made = sum(chunks[name] - before[name] for name in both)
            gap_s = span_s * len(both) / max(1, made)
            self._permits.observe_gap(gap_s, now_s=now_s)
