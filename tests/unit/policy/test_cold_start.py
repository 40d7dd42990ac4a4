"""Pattern: many entries send to an endpoint that has just started."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from shallotroad.policy.cold_start import OWNERS
from shallotroad.policy.cold_start import ColdStartLimiter


BORNE_PER_S = 6.0
OVERSHOOT = 1.5
SLACK = 5.0


def sent_in_worst_second(gateways: list[str], views: list[list[str]]) -> int:
    limiters = [ColdStartLimiter(gateway=gateway) for gateway in gateways]
    times: list[float] = []
    for tick in range(60):
        now_s = tick * 0.05
        for limiter, view in zip(limiters, views, strict=True):
            while limiter.try_acquire(
                "e1", per_s=BORNE_PER_S, gateways=view, now_s=now_s
            ):
                times.append(now_s)
    return max(sum(t <= u < t + 1.0 for u in times) for t in times)


@given(st.integers(1, 40))
@settings(max_examples=20, deadline=None)
def test_the_sum_over_all_entries_stays_in_the_bound(count: int) -> None:
    gateways = [f"entry-{n}" for n in range(count)]
    worst = sent_in_worst_second(gateways, [gateways] * count)
    assert worst <= BORNE_PER_S * OVERSHOOT + SLACK


def test_two_halves_that_lost_each_other_stay_in_the_bound() -> None:
    gateways = [f"entry-{n}" for n in range(10)]
    views = [gateways[:5]] * 5 + [gateways[5:]] * 5
    worst = sent_in_worst_second(gateways, views)
    assert worst <= BORNE_PER_S * OVERSHOOT + SLACK
    assert OWNERS < 5
