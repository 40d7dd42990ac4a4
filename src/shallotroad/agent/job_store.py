"""Jobs and refusals that an agent remembers, within a bounded memory."""

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

    An ended answer is kept for ``RESPONSE_RETENTION_S`` and within ``limit_bytes``
    for all together; the answer of a call with an idempotency key is kept as
    long as its key lives.
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
        """Return a job by its attempt."""
        return self._jobs.get(attempt)

    def add(self, job: Job) -> None:
        """Remember a job."""
        self._jobs[job.attempt] = job
        self._live[job.attempt] = job

    def live(self) -> list[Job]:
        """Return the jobs that have not ended."""
        return list(self._live.values())

    def end(self, job: Job) -> None:
        """Note that a job has ended; its answer is kept for a while."""
        job.state = JobState.ENDED
        job.ended_s = time.monotonic()
        self._live.pop(job.attempt, None)

    def refusal(self, attempt: str) -> OfferRefusedError | None:
        """Return how an attempt was refused."""
        return self._refusals.get(attempt)

    def remember_refusal(self, attempt: str, error: OfferRefusedError) -> None:
        """Refuse every later copy of the attempt in the same way."""
        self._refusals[attempt] = error
        if len(self._refusals) > MAX_REFUSALS:
            self._refusals.popitem(last=False)

    def refuse(self, job: Job, error: OfferRefusedError) -> None:
        """Turn a job that never ran into a refusal and tell its watchers."""
        self.remember_refusal(job.attempt, error)
        self._jobs.pop(job.attempt, None)
        self.end(job)
        job.response.finish(Result(peer_pb2.GONE, error.detail))

    def size_bytes(self) -> int:
        """Return the memory that kept answers take."""
        return sum(job.response.size_bytes for job in self)

    def trim(self) -> None:
        """Forget ended answers that are too old or too many."""
        now_s = time.monotonic()
        wall_s = time.time()
        ended = [j for j in self if j.state is JobState.ENDED]
        excess = self.size_bytes() - self._limit_bytes
        for job in sorted(ended, key=lambda j: j.ended_s):
            if job.key is not None:
                old = job.key.expires_at_s < wall_s
            else:
                old = job.ended_s + RESPONSE_RETENTION_S < now_s
            if old or (excess > 0 and job.key is None):
                excess -= job.response.size_bytes
                del self._jobs[job.attempt]
            elif excess > 0:
                excess -= job.response.size_bytes
                job.response.discard_chunks()
