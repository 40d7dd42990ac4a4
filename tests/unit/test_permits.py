from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from shallotroad.agent.permits import GROWTH_BACKOFF_INITIAL_S
from shallotroad.agent.permits import Permits


def serve_at_full_load(
    permits: Permits, count: int, now_s: float, token_interval_s: float = 0.1
) -> None:
    for _ in range(count):
        permits.running = permits.limit
        permits.observe_request_token_interval(token_interval_s, now_s=now_s)


def test_limit_starts_at_the_floor_and_grows_with_good_service() -> None:
    permits = Permits(floor=2, maximum=8)
    assert permits.limit == 2
    serve_at_full_load(permits, 2, now_s=10.0)
    assert permits.limit == 2
    serve_at_full_load(permits, 1, now_s=10.0)
    assert permits.limit == 3
    serve_at_full_load(permits, 100, now_s=10.0)
    assert permits.limit == 8


def test_limit_does_not_grow_while_permits_are_free() -> None:
    permits = Permits(floor=2, maximum=8)
    permits.running = 0
    permits.observe_request_token_interval(0.1, now_s=10.0)
    assert permits.limit == 2


def test_late_first_token_collapses_the_limit_to_the_floor() -> None:
    permits = Permits(floor=2, maximum=8)
    permits.observe_first_token(0.1, now_s=10.0)
    serve_at_full_load(permits, 100, now_s=10.0)
    permits.observe_first_token(2.0, now_s=11.0)
    assert permits.limit == 2
    serve_at_full_load(permits, 50, now_s=11.0 + GROWTH_BACKOFF_INITIAL_S / 2)
    assert permits.limit == 2
    serve_at_full_load(permits, 50, now_s=11.0 + GROWTH_BACKOFF_INITIAL_S)
    assert permits.limit > 6


def test_long_endpoint_token_interval_collapses_the_limit_to_the_floor() -> None:
    permits = Permits(floor=2, maximum=8)
    serve_at_full_load(permits, 100, now_s=10.0, token_interval_s=0.01)
    permits.observe_endpoint_token_interval(0.01, now_s=10.0)
    permits.observe_endpoint_token_interval(0.12, now_s=10.5)
    assert permits.limit == 2


def test_growth_backoff_doubles_after_each_collapse() -> None:
    permits = Permits(floor=2, maximum=8)
    permits.observe_first_token(0.1, now_s=10.0)
    serve_at_full_load(permits, 100, now_s=10.0)
    for now_s in (20.0, 30.0):
        permits.observe_first_token(2.0, now_s=now_s)
        serve_at_full_load(permits, 10, now_s=now_s + 8.0)
        permits.running = permits.limit
    permits.observe_first_token(2.0, now_s=40.0)
    serve_at_full_load(permits, 10, now_s=40.0 + 2 * GROWTH_BACKOFF_INITIAL_S)
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
    for measured_s, step_s, is_interval in observations:
        now_s += step_s
        permits.running = permits.limit
        permits.observe_request_token_interval(measured_s, now_s=now_s)
        if is_interval:
            permits.observe_endpoint_token_interval(measured_s, now_s=now_s)
        else:
            permits.observe_first_token(measured_s, now_s=now_s)
        assert 2 <= permits.limit <= 6


def test_first_tokens_of_long_prompts_do_not_lower_the_limit() -> None:
    """A long prompt delays the first token without the endpoint being cold."""
    permits = Permits(floor=2, maximum=8)
    permits.observe_first_token(0.03, now_s=10.0)
    serve_at_full_load(permits, 100, now_s=10.0)
    for _ in range(20):
        permits.observe_first_token(0.4, now_s=11.0)
    assert permits.limit > 6


def test_slow_tokens_lower_the_limit_to_the_floor() -> None:
    permits = Permits(floor=2, maximum=8)
    serve_at_full_load(permits, 100, now_s=10.0, token_interval_s=0.02)
    for _ in range(20):
        permits.observe_request_token_interval(0.06, now_s=11.0)
    assert permits.limit == 2
