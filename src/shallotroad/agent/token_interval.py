"""Measurement of the time between tokens of an endpoint's running streams.

Each chunk of a stream counts as one token. The measurements set the permits' limit.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from shallotroad.agent.job import Job
    from shallotroad.agent.permits import Permits

# The token interval of a stream is reported once, after this number of chunks.
REPORT_AFTER_CHUNKS = 16
# A stream that ended before with fewer chunks is too short to be measured.
MIN_REPORT_CHUNKS = 4


class JobTokenInterval:
    """Reports time to first token and token interval of one streamed job.

    The token interval of a job that was paused is not reported, as it includes the
    pause. The time to first token, counted from the start, always is.
    """

    def __init__(self, *, permits: Permits, job: Job) -> None:
        self._permits = permits
        self._job = job
        self._first_chunk_s = 0.0
        self._chunk_count = 0
        self._reported = False

    def record_chunk(self) -> None:
        """Record that a chunk has arrived now."""
        self._chunk_count += 1
        if self._chunk_count == 1:
            self._first_chunk_s = time.monotonic()
            first_token_s = self._first_chunk_s - self._job.started_s
            self._permits.observe_first_token(first_token_s, now_s=self._first_chunk_s)
        elif self._chunk_count == REPORT_AFTER_CHUNKS:
            self._report()

    def record_end(self) -> None:
        """Report the token interval of a job that ended before it was reported."""
        if not self._reported and self._chunk_count >= MIN_REPORT_CHUNKS:
            self._report()

    def _report(self) -> None:
        self._reported = True
        if self._job.was_paused:
            return
        now_s = time.monotonic()
        token_interval_s = (now_s - self._first_chunk_s) / (self._chunk_count - 1)
        self._permits.observe_request_token_interval(token_interval_s, now_s=now_s)


class EndpointTokenInterval:
    """Reports the mean token interval over all running streams."""

    def __init__(self, *, permits: Permits) -> None:
        self._permits = permits
        self._chunks: dict[str, int] = {}
        self._recorded_s = 0.0

    def record(self, running: Iterable[Job], *, now_s: float) -> None:
        """Report the mean token interval since the last call to the permits.

        Counts only the jobs that run now and ran at the last call, and whose response
        had begun by then with at least one chunk. Reports nothing if there are none.
        The mean is the time since the last call, times the number of these jobs,
        divided by the number of chunks that all of them together got since, or by 1 if
        they got none.
        """
        chunks = {
            job.attempt: len(job.response.chunks)
            for job in running
            if job.response.chunks
        }
        previous, span_s = self._chunks, now_s - self._recorded_s
        self._chunks, self._recorded_s = chunks, now_s
        in_both = chunks.keys() & previous.keys()
        if in_both:
            new_chunks = sum(chunks[attempt] - previous[attempt] for attempt in in_both)
            token_interval_s = span_s * len(in_both) / max(1, new_chunks)
            self._permits.observe_endpoint_token_interval(token_interval_s, now_s=now_s)
