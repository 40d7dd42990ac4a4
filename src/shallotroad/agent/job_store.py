"""Bounded store of the jobs and refusals of an agent."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import TYPE_CHECKING

from shallotroad.agent.job import JobState
from shallotroad.agent.response_buffer import Result
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from collections.abc import Iterator

    from shallotroad.agent.exceptions import OfferRefusedError
    from shallotroad.agent.job import Job

RESPONSE_RETENTION_S = 60.0
MAX_REFUSALS = 10_000


class JobStore:
    """Jobs by attempt, and the refusals of attempts that never ran.

    An ended job and its response are kept for ``RESPONSE_RETENTION_S`` or, with an
    idempotency key, until the key expires. When all responses together exceed
    ``limit_bytes``, those of the jobs that ended first are dropped early; a job with
    a key stays without its response, so that the call is known to have run. At most
    ``MAX_REFUSALS`` refusals are kept.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._jobs: dict[str, Job] = {}
        self._live: dict[str, Job] = {}
        self._refusals: OrderedDict[str, OfferRefusedError] = OrderedDict()

    def __iter__(self) -> Iterator[Job]:
        return iter(self._jobs.values())

    def __len__(self) -> int:
        return len(self._jobs)

    def get(self, attempt: str) -> Job | None:
        """Return the job of an attempt, or None if there is none."""
        return self._jobs.get(attempt)

    def add(self, job: Job) -> None:
        """Add a job that has not ended."""
        self._jobs[job.attempt] = job
        self._live[job.attempt] = job

    def live(self) -> list[Job]:
        """Return the jobs that have not ended."""
        return list(self._live.values())

    def mark_ended(self, job: Job) -> None:
        """Mark a job as ended now; its response remains readable until evicted."""
        job.state = JobState.ENDED
        job.ended_s = time.monotonic()
        self._live.pop(job.attempt, None)

    def refusal(self, attempt: str) -> OfferRefusedError | None:
        """Return the refusal of an attempt, or None if none is recorded."""
        return self._refusals.get(attempt)

    def record_refusal(self, attempt: str, error: OfferRefusedError) -> None:
        """Record a refusal, to be repeated for every later offer of the attempt.

        Above ``MAX_REFUSALS``, the one recorded first is evicted; a later offer of
        its attempt counts as new.
        """
        self._refusals[attempt] = error
        if len(self._refusals) > MAX_REFUSALS:
            self._refusals.popitem(last=False)

    def refuse(self, job: Job, error: OfferRefusedError) -> None:
        """Replace a job that never ran by a refusal and notify the response's watchers.

        The refusal is recorded for the attempt; the job is removed from the store.
        """
        self.record_refusal(job.attempt, error)
        self._jobs.pop(job.attempt, None)
        self.mark_ended(job)
        job.response.finish(Result(peer_pb2.GONE, error.detail))

    def size_bytes(self) -> int:
        """Return the total size of the responses of all jobs, running ones included."""
        return sum(job.response.size_bytes for job in self)

    def evict_ended(self) -> None:
        """Remove expired jobs, and free memory above ``limit_bytes``.

        Jobs that ended first go first. Above the limit, those without an idempotency
        key are removed, and those with one lose only their response.
        """
        now_s = time.monotonic()
        wall_s = time.time()
        ended = [j for j in self if j.state is JobState.ENDED]
        excess_bytes = self.size_bytes() - self._limit_bytes
        for job in sorted(ended, key=lambda j: j.ended_s):
            if job.key is not None:
                expired = job.key.expires_at_s < wall_s
            else:
                expired = job.ended_s + RESPONSE_RETENTION_S < now_s
            if expired or (excess_bytes > 0 and job.key is None):
                excess_bytes -= job.response.size_bytes
                del self._jobs[job.attempt]
            elif excess_bytes > 0:
                excess_bytes -= job.response.size_bytes
                job.response.discard_chunks()
