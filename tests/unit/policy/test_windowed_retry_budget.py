"""Pattern: every answer fails and every entry wants to repeat."""

from __future__ import annotations

import pytest

from shallotroad.policy.windowed_retry_budget import WindowedRetryBudget


@pytest.mark.parametrize("gateways", [1, 5, 27])
def test_the_repeats_of_all_entries_stay_in_the_budget(gateways: int) -> None:
    windows = [
        WindowedRetryBudget(ratio=0.2, window_s=10.0, slack=56.0)
        for _ in range(gateways)
    ]
    repeats = 0
    for number in range(500):
        now_s = number * 0.02
        window = windows[number % gateways]
        window.record_request(now_s)
        repeats += window.try_spend(gateways=gateways, now_s=now_s)
        repeats += window.try_spend(gateways=gateways, now_s=now_s)
    assert repeats <= 0.2 * 500 + 56


def test_the_budget_comes_back_with_time() -> None:
    window = WindowedRetryBudget(ratio=0.0, window_s=10.0, slack=10.0)
    assert sum(window.try_spend(gateways=1, now_s=0.0) for _ in range(20)) == 7
    assert window.try_spend(gateways=1, now_s=10.5)
