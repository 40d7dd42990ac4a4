from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from shallotroad.agent.permits import Permits
from shallotroad.agent.queue import RESERVED_PLACES
from shallotroad.agent.queue import Waiting
from shallotroad.agent.queue import WorkQueue
from shallotroad.agent.scheduler import choose_next
from tests.builders import make_job


PLACES = 4
TURN_AFTER_S = 5.0


class QueueMachine(RuleBasedStateMachine):
    """Tiers, shedding and the turn, on the real queue and scheduler."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.number = 0
        self.queue = WorkQueue(places=PLACES, turn_after_s=TURN_AFTER_S)
        self.permits = Permits(floor=2, maximum=2)
        self.running: list[object] = []

    @rule(tier=st.integers(0, 3), budget_s=st.floats(1, 60))
    def push(self, tier: int, budget_s: float) -> None:
        self.number += 1
        item = Waiting(
            attempt=f"a{self.number}",
            tier=tier,
            due_s=self.now_s + 1,
            expires_s=self.now_s + budget_s,
            since_s=self.now_s,
        )
        waiting_below = [w for w in self.queue if w.tier > tier]
        shed = self.queue.push(item)
        if shed is not None:
            assert shed.tier >= tier
            for other in waiting_below:
                if shed.tier < other.tier:
                    kept = sum(w.tier == other.tier for w in self.queue)
                    assert kept <= RESERVED_PLACES

    @rule()
    def start(self) -> None:
        choice = choose_next(
            self.queue,
            self.permits,
            self.running,  # type: ignore[arg-type]
            now_s=self.now_s,
        )
        if choice is None:
            return
        head = self.queue.head()
        assert head is not None
        if not choice.turn:
            assert choice.waiting.tier == head.tier
        else:
            assert not any(job.turn for job in self.running)  # type: ignore[attr-defined]
            assert self.now_s - choice.waiting.since_s >= TURN_AFTER_S
        self.queue.take(choice.waiting)
        self.permits.acquire()
        job = make_job(attempt=choice.waiting.attempt, tier=choice.waiting.tier)
        job.turn = choice.turn
        self.running.append(job)

    @rule(which=st.integers(0, 1))
    def end(self, which: int) -> None:
        if len(self.running) > which:
            self.running.pop(which)
            self.permits.release()

    @rule(step_s=st.floats(0.1, 10))
    def wait(self, step_s: float) -> None:
        self.now_s += step_s
        for item in self.queue.expired(self.now_s):
            assert item.expires_s < self.now_s

    @invariant()
    def bounded(self) -> None:
        shared = sum(max(0, count - RESERVED_PLACES) for count in self.queue.counts())
        assert shared <= PLACES
        assert self.permits.running <= self.permits.limit


QueueMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=50)
TestQueue = QueueMachine.TestCase


def test_lowest_tier_gets_its_turn_below_an_endless_top_tier() -> None:
    """A top tier that always waits does not keep a draft waiting for ever."""
    queue = WorkQueue(places=64, turn_after_s=TURN_AFTER_S)
    permits = Permits(floor=2, maximum=2)
    draft = Waiting("draft", 3, 100.0, 1000.0, 0.0)
    queue.push(draft)
    running: list[object] = []
    started_s = None
    for second in range(60):
        for name in range(4):
            queue.push(Waiting(f"c{second}-{name}", 0, second, second + 2, second))
        queue.expired(float(second))
        running.clear()
        permits.running = 0
        while permits.free:
            choice = choose_next(
                queue,
                permits,
                running,  # type: ignore[arg-type]
                now_s=float(second),
            )
            if choice is None:
                break
            queue.take(choice.waiting)
            permits.acquire()
            job = make_job(attempt=choice.waiting.attempt, tier=choice.waiting.tier)
            job.turn = choice.turn
            running.append(job)
            if choice.waiting.attempt == "draft":
                started_s = second
        if started_s is not None:
            break
    assert started_s is not None
    assert started_s <= TURN_AFTER_S + 1
