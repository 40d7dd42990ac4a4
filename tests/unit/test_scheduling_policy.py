from __future__ import annotations

from typing import Any

from shallotroad.agent.permits import Permits
from shallotroad.agent.queue import QueuedRequest
from shallotroad.agent.queue import WorkQueue
from shallotroad.agent.scheduling_policy import EXCLUSIVE_BYPASS_S
from shallotroad.agent.scheduling_policy import choose_next
from shallotroad.agent.scheduling_policy import choose_victim
from tests.builders import make_job


def make_queued(attempt: str, tier: int, **changes: Any) -> QueuedRequest:
    return QueuedRequest(attempt, tier, 10.0, 100.0, 0.0)._replace(**changes)


def test_suspect_starts_only_while_nothing_else_runs() -> None:
    queue = WorkQueue(shared_capacity=8)
    permits = Permits(floor=4, maximum=4)
    queue.push(make_queued("suspect", 0, alone=True))
    queue.push(make_queued("other", 1))
    running = [make_job(attempt="r")]
    permits.acquire()
    before_bypass_limit = choose_next(
        queue, permits, running, now_s=EXCLUSIVE_BYPASS_S / 2
    )
    after_bypass_limit = choose_next(
        queue, permits, running, now_s=EXCLUSIVE_BYPASS_S * 2
    )
    permits.release()
    while_idle = choose_next(queue, permits, [], now_s=EXCLUSIVE_BYPASS_S * 2)
    assert before_bypass_limit is not None
    assert before_bypass_limit.queued.attempt == "other"
    assert after_bypass_limit is None
    assert while_idle is not None
    assert while_idle.queued.attempt == "suspect"


def test_nothing_starts_beside_a_suspect() -> None:
    queue = WorkQueue(shared_capacity=8)
    permits = Permits(floor=4, maximum=4)
    queue.push(make_queued("other", 0))
    permits.acquire()
    running = [make_job(attempt="s", alone=True)]
    assert choose_next(queue, permits, running, now_s=5.0) is None


def test_victim_is_the_last_started_pausable_job_of_the_lowest_tier() -> None:
    jobs = [
        make_job(attempt="chat", tier=0, preemptible=True),
        make_job(attempt="old", tier=3, preemptible=True),
        make_job(attempt="new", tier=3, preemptible=True),
        make_job(attempt="turn", tier=3, preemptible=True),
        make_job(attempt="fixed", tier=3, preemptible=False),
    ]
    for number, job in enumerate(jobs):
        job.started_s = number
    jobs[3].aging_slot = True
    victim = choose_victim(make_queued("head", 1), jobs)
    assert victim is jobs[2]
    assert choose_victim(make_queued("head", 3), jobs) is None
