from __future__ import annotations

from shallotroad.platform.headers import PromptPart
from shallotroad.policy.endpoint_load import MAX_PREFILL_SHARE
from tests.gateway_builders import make_load
from tests.gateway_builders import make_record


NOW_S = 100.0


def test_the_least_recently_used_part_is_evicted_first() -> None:
    load = make_load()
    load.kv_cache_tokens = 1000
    load.record_parts([PromptPart("a", 400)])
    load.record_parts([PromptPart("b", 400)])
    load.record_parts([PromptPart("a", 400)])
    load.record_parts([PromptPart("c", 400)])
    assert load.cached_tokens([PromptPart("a", 400)]) == 400
    assert load.cached_tokens([PromptPart("b", 400)]) == 0


def test_a_part_counts_as_cached_only_if_all_parts_before_it_are() -> None:
    load = make_load()
    load.record_parts([PromptPart("b", 50)])
    assert load.cached_tokens([PromptPart("a", 10), PromptPart("b", 50)]) == 0


def test_an_overdue_first_event_adds_to_the_backlog() -> None:
    load = make_load()
    load.record_dispatch(50.0, NOW_S)
    assert load.backlog_ms(NOW_S + 1.0) > 700


def test_prefill_debt_is_the_sum_of_placed_prefills_and_falls_with_time() -> None:
    load = make_load()
    load.record_dispatch(300.0, NOW_S)
    load.record_dispatch(400.0, NOW_S)
    assert load.debt_ms(NOW_S) == 700
    assert load.debt_ms(NOW_S + 0.5) == 700 - 500 * MAX_PREFILL_SHARE


def test_a_restart_resets_cached_parts_and_failures() -> None:
    load = make_load()
    load.record_parts([PromptPart("a", 10)])
    load.record_failure(NOW_S)
    load.restart(make_record(started_at_ms=2), NOW_S)
    assert load.cached_tokens([PromptPart("a", 10)]) == 0
    assert load.failure_share(NOW_S) == 0.0


def test_the_slowness_reaches_that_of_the_engine() -> None:
    load = make_load()
    for _ in range(60):
        expected_ms = load.prefill_ms(10_000)
        observed_ms = 4 * load.prefill_ms(10_000) / load.slowness
        load.update_slowness(expected_ms, observed_ms, load.slowness)
    assert 3.0 < load.slowness < 5.0


def test_requests_sent_before_the_slowness_was_known_do_not_raise_it_twice() -> None:
    load = make_load()
    expected_ms = load.prefill_ms(10_000)
    for _ in range(60):
        load.update_slowness(expected_ms, 4 * expected_ms, assumed_slowness=1.0)
    assert load.slowness < 5.0
