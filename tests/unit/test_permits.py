from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from shallotroad.agent.permits import GROWTH_BACKOFF_INITIAL_S
from shallotroad.agent.permits import Permits


def warm(
    permits: Permits, count: int, now_s: float, token_interval_s: float = 0.1
) -> None:
    for _ in range(count):
        permits.running = permits.limit
        permits.observe_request_token_interval(token_interval_s, now_s=now_s)


def test_starts_at_the_floor_and_grows_by_good_service() -> None:
    permits = Permits(floor=2, maximum=8)
    assert permits.limit == 2
    warm(permits, 2, now_s=10.0)
    assert permits.limit == 2
    warm(permits, 1, now_s=10.0)
    assert permits.limit == 3
    warm(permits, 100, now_s=10.0)
    assert permits.limit == 8


def test_does_not_grow_unused() -> None:
    permits = Permits(floor=2, maximum=8)
    permits.running = 0
    permits.observe_request_token_interval(0.1, now_s=10.0)
    assert permits.limit == 2


def test_falls_to_the_floor_when_the_endpoint_turns_cold() -> None:
    permits = Permits(floor=2, maximum=8)
    permits.observe_first_token(0.1, now_s=10.0)
    warm(permits, 100, now_s=10.0)
    permits.observe_first_token(2.0, now_s=11.0)
    assert permits.limit == 2
    warm(permits, 50, now_s=11.0 + GROWTH_BACKOFF_INITIAL_S / 2)
    assert permits.limit == 2
    warm(permits, 50, now_s=11.0 + GROWTH_BACKOFF_INITIAL_S)
    assert permits.limit > 6


def test_falls_by_the_time_between_tokens() -> None:
    permits = Permits(floor=2, maximum=8)
    warm(permits, 100, now_s=10.0, token_interval_s=0.01)
    permits.observe_endpoint_token_interval(0.01, now_s=10.0)
    permits.observe_endpoint_token_interval(0.12, now_s=10.5)
    assert permits.limit == 2


def test_growth_waits_longer_after_each_fall() -> None:
    permits = Permits(floor=2, maximum=8)
    permits.observe_first_token(0.1, now_s=10.0)
    warm(permits, 100, now_s=10.0)
    for now_s in (20.0, 30.0):
        permits.observe_first_token(2.0, now_s=now_s)
        warm(permits, 10, now_s=now_s + 8.0)
        permits.running = permits.limit
    permits.observe_first_token(2.0, now_s=40.0)
    warm(permits, 10, now_s=40.0 + 2 * GROWTH_BACKOFF_INITIAL_S)
    assert permits.limit == 2


@given(
    st.lists(
        st.tuples(st.floats(0.001, 10), st.floats(0, 5), st.booleans()), max_size=60
    )
)
def test_limit_stays_between_floor_and_maximum(
    observations: list[tuple[float, float, bool]],
) -> None:
    permits = Permits(floor=2, maximum=6)
    now_s = 0.0
    for taken_s, step_s, gap in observations:
        now_s += step_s
        permits.running = permits.limit
        permits.observe_request_token_interval(taken_s, now_s=now_s)
        if gap:
            permits.observe_endpoint_token_interval(taken_s, now_s=now_s)
        else:
            permits.observe_first_token(taken_s, now_s=now_s)
        assert 2 <= permits.limit <= 6


def test_long_prompts_take_no_permits_away() -> None:
    """First tokens of long prompts come late; that is no sign of cold."""
    permits = Permits(floor=2, maximum=8)
    permits.observe_first_token(0.03, now_s=10.0)
    warm(permits, 100, now_s=10.0)
    for _ in range(20):
        permits.observe_first_token(0.4, now_s=11.0)
    assert permits.limit > 6


def test_slow_tokens_take_permits_away() -> None:
    permits = Permits(floor=2, maximum=8)
    warm(permits, 100, now_s=10.0, token_interval_s=0.02)
    for _ in range(20):
        permits.observe_request_token_interval(0.06, now_s=11.0)
    assert permits.limit == 2
