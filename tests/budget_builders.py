"""Retry budgets, gateways that share them, and the rule that they have to keep."""

from __future__ import annotations

import math

from shallotroad.gateway.membership import Membership
from shallotroad.policy.windowed_retry_budget import WindowedRetryBudget


RATIO = 0.2
WINDOW_S = 10.0


def make_budget(*, slack: float, restarted_s: float = -math.inf) -> WindowedRetryBudget:
    return WindowedRetryBudget(
        ratio=RATIO, window_s=WINDOW_S, slack=slack, restarted_s=restarted_s
    )


def make_membership(index: int, *, started_s: float = -math.inf) -> Membership:
    return Membership(
        name=f"g{index}",
        address=f"10.0.0.{index}:1",
        incarnation=1,
        seeds=(),
        started_s=started_s,
    )


def make_memberships(count: int) -> list[Membership]:
    """Return gateways that know one another since the time 100 s or before."""
    memberships = [make_membership(index) for index in range(count)]
    rows = [membership.snapshot()[0] for membership in memberships]
    for membership in memberships:
        membership.merge(rows, 100.0)
    return memberships


def retry_at_once(budget: WindowedRetryBudget, *, gateways: int, now_s: float) -> bool:
    """Reserve a retry and send it; return whether it was allowed."""
    if not budget.try_reserve(gateways=gateways, now_s=now_s):
        return False
    budget.record_sent(now_s)
    return True


def excess(retries_s: list[float], requests_s: list[float], *, slack: float) -> float:
    """Return by how much the retries of the worst window exceed what is allowed."""

    def within(times_s: list[float], start_s: float) -> int:
        return sum(start_s <= time_s < start_s + WINDOW_S for time_s in times_s)

    return max(
        within(retries_s, start_s)
        - RATIO
        * max(within(requests_s, start_s - lag_s) for lag_s in (0.0, 5.0, WINDOW_S))
        - slack
        for start_s in retries_s
    )
