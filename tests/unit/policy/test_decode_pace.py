"""Engines leave more time for decode when their streams lag behind what they need."""

from __future__ import annotations

import pytest

from shallotroad.policy.decode_pace import MAX_DECODE_FACTOR
from shallotroad.policy.decode_pace import MIN_DECODE_FACTOR
from shallotroad.policy.decode_pace import MIN_SPAN_S
from shallotroad.policy.decode_pace import DecodeFactor
from shallotroad.policy.decode_pace import StreamPace
from tests.gateway_builders import make_load


NOW_S = 100.0
TOKENS_PER_EVENT = 4


def make_pace(*, expected_tokens: int = 200, time_s: float = 10.0) -> StreamPace:
    return StreamPace(
        tokens_per_event=TOKENS_PER_EVENT,
        expected_tokens=expected_tokens,
        end_s=NOW_S + time_s,
    )


def test_a_stream_with_the_pace_that_it_needs_does_not_lag() -> None:
    pace = make_pace()  # 200 tokens in 10 s, 50 events of 0.2 s
    for number in range(6):
        pace.record_events(1, NOW_S + 0.2 * number)
    lag = pace.take_lag()
    assert lag == pytest.approx(1.0, rel=0.05)


def test_a_stream_of_half_the_pace_lags_twice() -> None:
    pace = make_pace()
    for number in range(6):
        pace.record_events(1, NOW_S + 0.4 * number)
    lag = pace.take_lag()
    assert lag is not None
    assert lag > 1.9


def test_events_that_arrive_together_all_count() -> None:
    single, grouped = make_pace(), make_pace()
    for number in range(13):
        single.record_events(1, NOW_S + 0.1 * number)
        if number % 3 == 0:
            grouped.record_events(3 if number else 1, NOW_S + 0.1 * number)
    assert grouped.take_lag() == pytest.approx(single.take_lag())


def test_a_short_span_is_kept_until_it_is_long_enough() -> None:
    pace = make_pace()
    pace.record_events(1, NOW_S)
    pace.record_events(1, NOW_S + MIN_SPAN_S / 2)
    assert pace.take_lag() is None
    pace.record_events(1, NOW_S + 1.01 * MIN_SPAN_S)
    assert pace.take_lag() is not None
    assert pace.take_lag() is None


def test_an_answer_beyond_its_expected_length_still_needs_time() -> None:
    pace = make_pace(expected_tokens=8, time_s=1.0)
    for number in range(10):
        pace.record_events(1, NOW_S + 0.1 * number)
    lag = pace.take_lag()
    assert lag is not None
    assert 0 < lag < 1


def test_the_factor_follows_a_lasting_lag_and_returns() -> None:
    factor = DecodeFactor()
    for _ in range(200):
        factor.record_lag(2.0)
    assert factor.value == MAX_DECODE_FACTOR
    for _ in range(200):
        factor.record_lag(0.3)
    assert factor.value == MIN_DECODE_FACTOR


def test_lagging_streams_leave_less_time_for_prefill() -> None:
    usual, lagging, slow = make_load(), make_load(), make_load()
    slow.slowness = 2.0
    for _ in range(40):
        usual.record_lag(0.5)
        lagging.record_lag(1.5)
        slow.record_lag(1.5)
    for load in (usual, lagging, slow):
        load.plan_prefill_share(needed_tokens_per_ms=0.02)
    assert usual.prefill_share >= 0.8
    assert lagging.prefill_share == pytest.approx(0.6)
    assert slow.prefill_share < 0.5
