"""Choice of the queued request to start next and of the running job to pause."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable

    from shallotroad.agent.job import Job
    from shallotroad.agent.permits import Permits
    from shallotroad.agent.queue import QueuedRequest
    from shallotroad.agent.queue import WorkQueue

SERVICE_TIME_EWMA_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 1.0
MIN_SERVICE_SAMPLES = 8
# How long other requests may start before a queued exclusive request.
EXCLUSIVE_BYPASS_S = 1.0


class SchedulingDecision(NamedTuple):
    """The request to start, and whether it uses the aging slot."""

    queued: QueuedRequest
    aging_slot: bool


def choose_next(
    queue: WorkQueue, permits: Permits, running: Iterable[Job], *, now_s: float
) -> SchedulingDecision | None:
    """Return the request to start now, or None if none may start.

    The first request of the highest tier starts next, unless the aging slot is
    free and a request of a lower tier has waited long enough for it. With a limit
    of one permit there is no aging slot. An exclusive request starts only when
    nothing runs, and nothing starts beside it. Until it has waited for
    ``EXCLUSIVE_BYPASS_S``, other requests may start before it.
    """
    jobs = list(running)
    if not permits.free or any(job.offer.alone for job in jobs):
        return None
    aged = queue.aging_candidate(now_s)
    aging_slot_free = not any(job.aging_slot for job in jobs)
    aging_slot = aged is not None and aging_slot_free and permits.limit > 1
    chosen = aged if aging_slot else first_not_bypassed(queue, jobs, now_s)
    if chosen is None or (chosen.alone and jobs):
        return None
    return SchedulingDecision(chosen, aging_slot)


def first_not_bypassed(
    queue: WorkQueue, running: list[Job], now_s: float
) -> QueuedRequest | None:
    """Return the first request in queue order that others may not bypass, or None.

    While jobs run, exclusive requests that have waited less than
    ``EXCLUSIVE_BYPASS_S`` are bypassed. An exclusive request that has waited longer is
    returned although it can't start yet, so that nothing starts before it.
    """
    for queued in queue:
        bypassed = queued.alone and now_s - queued.waiting_since_s < EXCLUSIVE_BYPASS_S
        if not (bypassed and running):
            return queued
    return None


def choose_victim(head: QueuedRequest, running: Iterable[Job]) -> Job | None:
    """Return the running job to pause so that ``head`` can start.

    This is the last started pausable job of the lowest tier below that of ``head``,
    or None if there is none.
    """
    lower = [j for j in running if j.pausable and j.offer.tier > head.tier]
    return max(lower, key=lambda job: (job.offer.tier, job.started_s), default=None)


class ServiceTime:
    """Exponentially weighted mean of the time from first start to end of a job.

    The time includes pauses, and jobs that failed or were cancelled count too.
    Until ``MIN_SERVICE_SAMPLES`` jobs have ended, the mean is mostly its initial value
    and no request may be refused because of it.
    """

    def __init__(self) -> None:
        self.mean_s = INITIAL_SERVICE_TIME_S
        self._sample_count = 0

    @property
    def is_reliable(self) -> bool:
        """Whether enough jobs have ended to rely on the mean."""
        return self._sample_count >= MIN_SERVICE_SAMPLES

    def observe(self, duration_s: float) -> None:
        """Add the duration of an ended job, in seconds."""
        self._sample_count += 1
        self.mean_s += SERVICE_TIME_EWMA_WEIGHT * (duration_s - self.mean_s)


def expected_wait_s(
    tier: int,
    queue: WorkQueue,
    permits: Permits,
    running: Iterable[Job],
    service_time: ServiceTime,
) -> float:
    """Return the expected wait of a new request of ``tier``, in seconds.

    Queued requests of the same and of higher tiers start before it. Running jobs of
    lower tiers that can be paused do not delay it. The wait is the number of permits
    that the limit lacks for the other running jobs, these queued requests and itself,
    times the mean service time, divided by the limit; it is 0 if none is lacking.
    """
    occupied = sum(1 for j in running if not (j.pausable and j.offer.tier > tier))
    ahead = occupied + queue.count_ahead_of(tier) + 1 - permits.limit
    if ahead <= 0:
        return 0.0
    return ahead * service_time.mean_s / permits.limit
