"""The step time of an engine follows from the events of its streams."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotroad.policy.decode_step import MIN_INTERVALS
from shallotroad.policy.decode_step import DecodeStepModel
from shallotroad.policy.decode_step import EventIntervals
from tests.gateway_builders import make_load


NOW_S = 100.0


def test_prefills_beside_a_stream_do_not_change_its_step() -> None:
    intervals = EventIntervals()
    now_s = NOW_S
    for number in range(20):
        now_s += 0.200 if number % 3 == 0 else 0.040
        intervals.record_events(1, now_s)
    assert intervals.take_step_ms(tokens_per_event=4) == pytest.approx(10.0)


def test_events_that_arrive_together_share_their_interval() -> None:
    intervals = EventIntervals()
    for number in range(MIN_INTERVALS):
        intervals.record_events(4, NOW_S + 0.080 * number)
    assert intervals.take_step_ms(tokens_per_event=2) == pytest.approx(10.0)


def test_too_few_intervals_give_no_step() -> None:
    intervals = EventIntervals()
    for number in range(MIN_INTERVALS):
        intervals.record_events(1, NOW_S + 0.040 * number)
    assert intervals.take_step_ms(tokens_per_event=1) is None
    intervals.record_events(1, NOW_S + 0.040 * MIN_INTERVALS)
    assert intervals.take_step_ms(tokens_per_event=1) == pytest.approx(40.0)


@given(
    empty_ms=st.floats(1.0, 20.0),
    stream_ms=st.floats(0.0, 1.0),
    streams=st.lists(st.integers(0, 64), min_size=80, max_size=120),
)
def test_the_model_learns_the_engine(
    empty_ms: float, stream_ms: float, streams: list[int]
) -> None:
    model = DecodeStepModel()
    for number, running in enumerate(streams):
        step_ms = empty_ms + stream_ms * running
        model.record(streams=running, step_ms=step_ms, now_s=NOW_S + 0.01 * number)
    running = streams[-1]
    expected_ms = empty_ms + stream_ms * running
    assert model.predict_ms(running) == pytest.approx(expected_ms, rel=0.25, abs=1.0)


def test_a_slow_engine_leaves_less_time_for_prefill() -> None:
    fast, slow = make_load(), make_load()
    for number in range(20):
        fast.record_decode_step(5.0, NOW_S + number)
        slow.record_decode_step(25.0, NOW_S + number)
    for load in (fast, slow):
        load.plan_prefill_share(needed_tokens_per_ms=0.02)
    assert fast.prefill_share == pytest.approx(0.9, abs=0.05)
    assert slow.prefill_share == pytest.approx(0.5, abs=0.05)
