from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from shallotroad.agent.permits import Permits
from shallotroad.agent.queue import RESERVED_CAPACITY_PER_TIER
from shallotroad.agent.queue import QueuedRequest
from shallotroad.agent.queue import WorkQueue
from shallotroad.agent.scheduling_policy import choose_next
from tests.builders import make_job


SHARED_CAPACITY = 4
AGING_THRESHOLD_S = 5.0


class QueueMachine(RuleBasedStateMachine):
    """Checks priority, shedding and the aging slot of the queue in random histories."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.number = 0
        self.queue = WorkQueue(
            shared_capacity=SHARED_CAPACITY, aging_threshold_s=AGING_THRESHOLD_S
        )
        self.permits = Permits(floor=2, maximum=2)
        self.running: list[object] = []

    @rule(tier=st.integers(0, 3), budget_s=st.floats(1, 60))
    def push(self, tier: int, budget_s: float) -> None:
        self.number += 1
        queued = QueuedRequest(
            attempt=f"a{self.number}",
            tier=tier,
            due_s=self.now_s + 1,
            start_deadline_s=self.now_s + budget_s,
            waiting_since_s=self.now_s,
        )
        queued_below = [other for other in self.queue if other.tier > tier]
        shed = self.queue.push(queued)
        if shed is not None:
            assert shed.tier >= tier
            for other in queued_below:
                if shed.tier < other.tier:
                    kept = sum(q.tier == other.tier for q in self.queue)
                    assert kept <= RESERVED_CAPACITY_PER_TIER

    @rule()
    def start(self) -> None:
        decision = choose_next(
            self.queue,
            self.permits,
            self.running,  # type: ignore[arg-type]
            now_s=self.now_s,
        )
        if decision is None:
            return
        head = self.queue.head()
        assert head is not None
        if not decision.aging_slot:
            assert decision.queued.tier == head.tier
        else:
            assert not any(job.aging_slot for job in self.running)  # type: ignore[attr-defined]
            assert self.now_s - decision.queued.waiting_since_s >= AGING_THRESHOLD_S
        self.queue.dequeue(decision.queued)
        self.permits.acquire()
        job = make_job(attempt=decision.queued.attempt, tier=decision.queued.tier)
        job.aging_slot = decision.aging_slot
        self.running.append(job)

    @rule(which=st.integers(0, 1))
    def end(self, which: int) -> None:
        if len(self.running) > which:
            self.running.pop(which)
            self.permits.release()

    @rule(step_s=st.floats(0.1, 10))
    def wait(self, step_s: float) -> None:
        self.now_s += step_s
        for queued in self.queue.pop_expired(self.now_s):
            assert queued.start_deadline_s < self.now_s

    @invariant()
    def queue_and_permits_are_bounded(self) -> None:
        shared = sum(
            max(0, count - RESERVED_CAPACITY_PER_TIER)
            for count in self.queue.counts_by_tier()
        )
        assert shared <= SHARED_CAPACITY
        assert self.permits.running <= self.permits.limit


QueueMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=50)
TestQueue = QueueMachine.TestCase


def test_aging_slot_prevents_starvation_of_the_lowest_tier() -> None:
    """A draft starts although requests of the top tier are always queued."""
    queue = WorkQueue(shared_capacity=64, aging_threshold_s=AGING_THRESHOLD_S)
    permits = Permits(floor=2, maximum=2)
    draft = QueuedRequest("draft", 3, 100.0, 1000.0, 0.0)
    queue.push(draft)
    running: list[object] = []
    started_s = None
    for second in range(60):
        for name in range(4):
            queue.push(
                QueuedRequest(f"c{second}-{name}", 0, second, second + 2, second)
            )
        queue.pop_expired(float(second))
        running.clear()
        permits.running = 0
        while permits.free:
            decision = choose_next(
                queue,
                permits,
                running,  # type: ignore[arg-type]
                now_s=float(second),
            )
            if decision is None:
                break
            queue.dequeue(decision.queued)
            permits.acquire()
            job = make_job(attempt=decision.queued.attempt, tier=decision.queued.tier)
            job.aging_slot = decision.aging_slot
            running.append(job)
            if decision.queued.attempt == "draft":
                started_s = second
        if started_s is not None:
            break
    assert started_s is not None
    assert started_s <= AGING_THRESHOLD_S + 1
