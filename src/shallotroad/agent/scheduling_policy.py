"""Which waiting request starts next at an endpoint, and which one pauses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable

    from shallotroad.agent.job import Job
    from shallotroad.agent.permits import Permits
    from shallotroad.agent.queue import QueuedRequest
    from shallotroad.agent.queue import WorkQueue

SERVICE_WEIGHT = 0.1
SERVICE_FIRST_S = 1.0
LEARNT_JOBS = 8
EXCLUSIVE_BYPASS_S = 1.0


class SchedulingDecision(NamedTuple):
    """The request to start, and whether it takes the turn."""

    queued: QueuedRequest
    aging_slot: bool


def choose_next(
    queue: WorkQueue, permits: Permits, running: Iterable[Job], *, now_s: float
) -> SchedulingDecision | None:
    """Return the request that gets a free permit now, or None.

    The head of strict priority goes first. While no running job holds the
    turn, the longest waiting request of a lower tier takes it instead. A
    suspect starts only alone; others pass it for ``EXCLUSIVE_BYPASS_S``.
    """
    jobs = list(running)
    if not permits.free or any(job.offer.alone for job in jobs):
        return None
    aged = queue.aged(now_s)
    aging_slot_free = not any(job.aging_slot for job in jobs)
    aging_slot = aged is not None and aging_slot_free and permits.limit > 1
    chosen = aged if aging_slot else first_ready(queue, jobs, now_s)
    if chosen is None or (chosen.alone and jobs):
        return None
    return SchedulingDecision(chosen, aging_slot)


def first_ready(
    queue: WorkQueue, running: list[Job], now_s: float
) -> QueuedRequest | None:
    """Return the head, or who may pass a suspect that has not waited long."""
    for queued in queue:
        passed = queued.alone and now_s - queued.waiting_since_s < EXCLUSIVE_BYPASS_S
        if not (passed and running):
            return queued
    return None


def choose_victim(head: QueuedRequest, running: Iterable[Job]) -> Job | None:
    """Return the job to pause so that ``head`` can start, or None."""
    lower = [j for j in running if j.pausable and j.offer.tier > head.tier]
    return max(lower, key=lambda job: (job.offer.tier, job.started_s), default=None)


class ServiceTime:
    """A running mean of how long a permit is held, in seconds.

    Until ``LEARNT_JOBS`` have ended it is a guess, on which nothing may be
    refused.
    """

    def __init__(self) -> None:
        self.mean_s = SERVICE_FIRST_S
        self._ended = 0

    @property
    def learnt(self) -> bool:
        """Whether enough jobs have ended to rely on the mean."""
        return self._ended >= LEARNT_JOBS

    def observe(self, held_s: float) -> None:
        """Learn from one ended job."""
        self._ended += 1
        self.mean_s += SERVICE_WEIGHT * (held_s - self.mean_s)


def expected_wait_s(
    tier: int,
    queue: WorkQueue,
    permits: Permits,
    running: Iterable[Job],
    service: ServiceTime,
) -> float:
    """Return how long a new request of ``tier`` would wait, in seconds.

    Requests of upper and the same tier are ahead of it; running jobs of lower
    tiers that may be paused are not.
    """
    holding = sum(1 for j in running if not (j.pausable and j.offer.tier > tier))
    ahead = holding + queue.ahead_of(tier) + 1 - permits.limit
    if ahead <= 0:
        return 0.0
    return ahead * service.mean_s / permits.limit
