"""When every response fails, all gateways together must not multiply the load.

Each gateway retries every failed request, and each decides from its own counts only.
"""

from __future__ import annotations

import pytest

from shallotroad.policy.windowed_retry_budget import WindowedRetryBudget
from tests.budget_builders import excess
from tests.budget_builders import make_budget
from tests.budget_builders import make_membership
from tests.budget_builders import make_memberships
from tests.budget_builders import retry_at_once


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
        for _ in range(2):
            retries += retry_at_once(budget, gateways=gateways, now_s=now_s)
    assert retries <= 0.2 * 500 + 56


def test_the_budget_recovers_after_the_window() -> None:
    budget = WindowedRetryBudget(ratio=0.0, window_s=10.0, slack=10.0)
    retries = [retry_at_once(budget, gateways=1, now_s=0.0) for _ in range(20)]
    assert sum(retries) == 7
    assert budget.try_reserve(gateways=1, now_s=10.5)


# Guards against BUDGET: each restart spends the slack of the service once more.
@pytest.mark.parametrize("restart_interval_s", [1.0, 2.5, 6.0])
def test_restarts_do_not_multiply_the_slack(restart_interval_s: float) -> None:
    gateways, requests_per_s, slack = 22, 67, 84.0
    memberships = make_memberships(gateways)
    budgets = [make_budget(slack=slack) for _ in range(gateways)]
    sent_s: list[float] = []
    requests_s: list[float] = []
    restart_s = 10.0
    for number in range(30 * requests_per_s):
        now_s = number / requests_per_s
        requests_s.append(now_s)
        if now_s >= restart_s:
            restart_s += restart_interval_s
            for index in range(0, gateways * 6 // 10):
                budgets[index] = make_budget(slack=slack, restarted_s=now_s)
                memberships[index] = make_membership(index, started_s=now_s)
        budget = budgets[number % gateways]
        sharers = memberships[number % gateways].budget_sharers(now_s)
        budget.record_request(now_s)
        for _ in range(2):
            if retry_at_once(budget, gateways=sharers, now_s=now_s):
                sent_s.append(now_s)
    assert excess(sent_s, requests_s, slack=slack) <= 0


# Guards against BUDGET: both sides of a cut divide the slack among themselves only.
def test_the_sides_of_a_cut_divide_the_slack_by_all_gateways() -> None:
    (membership, *_) = make_memberships(22)
    assert membership.budget_sharers(100.0) == 22
    membership.evict(200.0)
    assert membership.known_names() == ["g0"]
    assert membership.budget_sharers(200.0) == 22
    assert membership.budget_sharers(1_000.0) < 22


# Guards against BUDGET: retries that wait for a place arrive together later.
def test_retries_that_wait_count_until_they_are_sent_and_from_then_on() -> None:
    budget = make_budget(slack=10.0)
    assert [budget.try_reserve(gateways=1, now_s=0.0) for _ in range(8)] == [
        True
    ] * 7 + [False]
    assert not budget.try_reserve(gateways=1, now_s=15.0)
    for _ in range(6):
        budget.record_sent(15.0)
    budget.release()
    assert budget.try_reserve(gateways=1, now_s=24.0)
    assert not budget.try_reserve(gateways=1, now_s=24.0)
    assert budget.try_reserve(gateways=1, now_s=25.5)
