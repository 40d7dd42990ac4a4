"""When every response fails, all gateways together must not multiply the load.

Each gateway retries every failed request, and each decides from its own counts only.
"""

from __future__ import annotations

import pytest

from shallotroad.policy.windowed_retry_budget import WindowedRetryBudget


@pytest.mark.parametrize("gateways", [1, 5, 27])
def test_the_retries_of_all_gateways_stay_within_the_budget(gateways: int) -> None:
    budgets = [
        WindowedRetryBudget(ratio=0.2, window_s=10.0, slack=56.0)
        for _ in range(gateways)
    ]
    retries = 0
    for number in range(500):
        now_s = number * 0.02
        budget = budgets[number % gateways]
        budget.record_request(now_s)
        retries += budget.try_spend(gateways=gateways, now_s=now_s)
        retries += budget.try_spend(gateways=gateways, now_s=now_s)
    assert retries <= 0.2 * 500 + 56


def test_the_budget_recovers_after_the_window() -> None:
    budget = WindowedRetryBudget(ratio=0.0, window_s=10.0, slack=10.0)
    assert sum(budget.try_spend(gateways=1, now_s=0.0) for _ in range(20)) == 7
    assert budget.try_spend(gateways=1, now_s=10.5)
