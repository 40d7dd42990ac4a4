"""Guards against work that leaves its data centre although local engines have time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest

from shallotroad.platform.headers import PromptPart
from shallotroad.policy.cells import Cell
from shallotroad.policy.data_centre_balance import DAMPING_S
from shallotroad.policy.data_centre_balance import MAX_COUNTED_PAIRS
from shallotroad.policy.data_centre_balance import MAX_IDLE_S
from shallotroad.policy.data_centre_balance import MAX_PARTS
from shallotroad.policy.data_centre_balance import RETURN_RAMP_S
from shallotroad.policy.data_centre_balance import TARGET_UTILISATION
from shallotroad.policy.data_centre_balance import UPDATE_INTERVAL_S
from shallotroad.policy.data_centre_balance import CallersBalance
from shallotroad.policy.data_centre_balance import DataCentreBalance
from shallotroad.policy.data_centre_balance import LocalPreference
from shallotroad.policy.data_centre_balance import PartRequests
from shallotroad.policy.data_centre_balance import target_shares
from shallotroad.policy.data_centre_balance import usable_time
from shallotroad.policy.placement import rank_engines
from shallotroad.policy.placement import view_engine
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_load
from tests.gateway_builders import make_prompt_request


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement import RankedEngine
    from shallotroad.policy.placement_request import PlacementRequest

NOW_S = 100.0
CELL = Cell("chat")
SHARED = PromptPart("shared", 13_300)
STAYS = LocalPreference(remote_ms=500.0, may_copy=True, copy_tokens=0.0)


def make_placement_request(data_centre: str = "a") -> PlacementRequest:
    job = make_gateway_job(
        route=make_gap_tolerant_route(),
        data_centre=data_centre,
        body=b"x" * 17_000,
        request=make_prompt_request("shared", 13_300, "own", 3_700),
    )
    return job.placement_request(NOW_S)


def request_at(now_s: float) -> PlacementRequest:
    request = make_placement_request()
    return request._replace(arrival_s=now_s, objective_s=now_s + 2.5)


def play(
    balance: DataCentreBalance,
    loads: Sequence[EndpointLoad],
    *,
    since_s: float = NOW_S,
    duration_s: float = 20.0,
    work: float = 0.0,
) -> float:
    """Place ``work`` of engine time for callers of ``a``; return the time after it."""
    request = make_placement_request()
    now_s = since_s
    while now_s < since_s + duration_s:
        balance.update(CELL, loads, frozenset(), now_s)
        work_ms = work * UPDATE_INTERVAL_S * 1000.0
        loads[0].record_dispatch(work_ms, now_s)
        balance.record_placement(request, loads[0], work_ms, now_s)
        now_s += UPDATE_INTERVAL_S
    return now_s


def share(balance: DataCentreBalance, data_centre: str = "a") -> float:
    return balance.shares()[CELL][data_centre]


def test_nothing_leaves_while_local_engines_have_time() -> None:
    shares = target_shares({"a": 1.0, "b": 0.1}, {"a": 2.0, "b": 2.0})
    assert shares == {"a": 0.0, "b": 0.0}


def test_the_excess_and_no_more_leaves() -> None:
    """Guards against a data centre that sends more away than it lacks time for."""
    shares = target_shares({"a": 3.0, "b": 0.0}, {"a": 1.0, "b": 9.0})
    assert shares["a"] * 3.0 == pytest.approx(3.0 - TARGET_UTILISATION)


def test_engines_that_are_short_of_time_everywhere_keep_the_constant_costs() -> None:
    """Guards against repeated prefills when every engine is busy."""
    assert target_shares({"a": 1.7, "b": 1.7}, {"a": 2.0, "b": 2.0})["a"] == 1.0
    half_way = target_shares({"a": 1.4, "b": 1.4}, {"a": 2.0, "b": 2.0})["a"]
    assert half_way == pytest.approx(0.5)


def test_unusable_engines_are_no_capacity_and_return_gradually() -> None:
    load = make_load()
    load.avoided_until_s = NOW_S + 1.0
    assert usable_time(load, NOW_S) == 0.0
    load = make_load()
    load.cold_until_s = NOW_S
    assert usable_time(load, NOW_S - 1.0) == 0.0
    half_s = NOW_S + RETURN_RAMP_S / 2
    assert usable_time(load, half_s) == pytest.approx(load.prefill_share / 2)
    assert usable_time(load, half_s + RETURN_RAMP_S) == load.prefill_share


def test_a_new_coordinator_starts_from_the_constant_costs() -> None:
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    request = make_placement_request()
    assert balance.preference(request, NOW_S) is None
    loads = [make_load("e1"), make_load("e2", data_centre="b")]
    balance.update(CELL, loads, frozenset(), NOW_S)
    assert share(balance) == 1.0
    assert balance.preference(request, NOW_S) is None
    now_s = play(balance, loads, work=0.1)
    assert share(balance) == 0.0
    preference = balance.preference(request_at(now_s), now_s)
    assert preference is not None
    assert preference.remote_ms == 500.0


def test_a_request_near_its_objective_is_not_kept_local() -> None:
    """Guards against interrupted and queued streams that are delayed further."""
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    loads = [make_load("e1"), make_load("e2", data_centre="b")]
    now_s = play(balance, loads, work=0.1)
    request = request_at(now_s)
    preference = balance.preference(request._replace(objective_s=now_s + 0.25), now_s)
    assert preference is not None
    assert preference.remote_ms == pytest.approx(50.0)
    late = request._replace(objective_s=now_s - 0.1)
    assert balance.preference(late, now_s) is None


def test_the_share_follows_its_target_with_the_stated_damping() -> None:
    """Guards against jumps that load waves would turn into oscillations."""
    callers = CallersBalance(now_s=NOW_S)
    callers.approach(0.0, DAMPING_S)
    assert callers.share == pytest.approx(1.0 / math.e)
    callers.approach(1.0, UPDATE_INTERVAL_S)
    assert callers.share < 1.0 / math.e + UPDATE_INTERVAL_S / DAMPING_S


def test_the_share_of_the_work_leaves_neither_more_nor_less() -> None:
    """Guards against a share that acts like a switch."""
    callers = CallersBalance(now_s=NOW_S)
    callers.share = 0.3
    remote = 0
    for _ in range(1_000):
        leaves = callers.may_leave
        remote += leaves
        callers.record(100.0, NOW_S, remote=leaves)
    assert 295 <= remote <= 310


def test_too_little_local_time_lets_the_excess_leave() -> None:
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    loads = [make_load("e1"), *(make_load(f"e{n}", data_centre="b") for n in range(9))]
    play(balance, loads, work=1.5)
    planned = TARGET_UTILISATION * loads[0].prefill_share
    assert share(balance) == pytest.approx((1.5 - planned) / 1.5, abs=0.05)


def test_engines_in_one_data_centre_only_switch_it_off() -> None:
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    loads = [make_load("e1"), make_load("e2")]
    now_s = play(balance, loads, work=0.1)
    assert balance.preference(request_at(now_s), now_s) is None


def test_callers_without_engines_in_their_data_centre_have_no_preference() -> None:
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    loads = [make_load("e1"), make_load("e2", data_centre="b")]
    now_s = play(balance, loads, work=0.1)
    elsewhere = request_at(now_s)
    profile = elsewhere.profile._replace(data_centre="c")
    elsewhere = elsewhere._replace(profile=profile)
    assert balance.preference(elsewhere, now_s) is None


def test_a_closed_data_centre_returns_gradually() -> None:
    """Guards against a rush to engines that come back with empty caches."""
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    loads = [make_load("e1"), make_load("e2", data_centre="b")]
    loads.append(make_load("e3", data_centre="c"))
    now_s = play(balance, loads, work=0.1)
    assert share(balance) == 0.0
    now_s = play(balance, loads[1:], since_s=now_s, duration_s=3.0)
    assert "a" not in balance.shares()[CELL]
    now_s = play(balance, loads, since_s=now_s, duration_s=0.5, work=0.1)
    assert share(balance) > 0.5
    play(balance, loads, since_s=now_s, work=0.1)
    assert share(balance) == 0.0


def test_cold_local_engines_let_all_work_leave() -> None:
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    loads = [make_load("e1"), make_load("e2", data_centre="b")]
    now_s = play(balance, loads, work=0.1)
    loads[0].cold_until_s = now_s + 60.0
    play(balance, loads, since_s=now_s, work=0.1, duration_s=10.0)
    assert share(balance) > 0.95


def test_a_coordinator_that_was_another_meanwhile_starts_anew() -> None:
    """Guards against decisions by an account that is out of date."""
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    loads = [make_load("e1"), make_load("e2", data_centre="b")]
    now_s = play(balance, loads, work=0.1) + MAX_IDLE_S + 1.0
    balance.update(CELL, loads, frozenset(), now_s)
    assert share(balance) == 1.0


def test_requests_for_a_part_are_averaged_and_bounded_in_number() -> None:
    requests = PartRequests(window_s=10.0)
    now_s = NOW_S
    for _ in range(200):
        requests.record("a", "shared", now_s)
        now_s += 2.0
    assert requests.per_window("a", "shared", now_s) == pytest.approx(5.0, rel=0.1)
    assert requests.per_window("b", "shared", now_s) == 0.0
    for number in range(MAX_PARTS):
        requests.record("a", f"p{number}", now_s)
    assert requests.per_window("a", "shared", now_s) == 0.0


def test_a_popular_part_is_worth_a_local_copy_and_a_rare_one_is_not() -> None:
    """Guards against local copies that are read once."""
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    loads = [make_load("e1"), make_load("e2", data_centre="b")]
    now_s = play(balance, loads, work=0.1)
    preference = balance.preference(request_at(now_s), now_s)
    assert preference is not None
    assert preference.copy_tokens > SHARED.tokens
    later_s = now_s + 80.0
    preference = balance.preference(request_at(later_s), later_s)
    assert preference is not None
    assert 0.0 < preference.copy_tokens < SHARED.tokens


def test_totals_for_the_metrics_are_bounded() -> None:
    """Guards against callers' data centres that a faulty process makes up."""
    balance = DataCentreBalance(prefix_reuse_s=10.0)
    load = make_load(data_centre="b")
    for number in range(MAX_COUNTED_PAIRS + 10):
        request = make_placement_request(f"x{number}")
        balance.record_placement(request, load, 1.0, NOW_S)
    assert len(balance.totals) == MAX_COUNTED_PAIRS
    assert balance.totals["chat", "x0"].remote_bytes == 17_000


# Use of the preference in the costs


def rank(
    loads: Sequence[EndpointLoad],
    local: LocalPreference | None,
    recently_used_tokens: int = 0,
) -> list[RankedEngine]:
    views = [view_engine(load, frozenset(), NOW_S) for load in loads]
    return list(
        rank_engines(
            make_placement_request().profile,
            views,
            recently_used_tokens=recently_used_tokens,
            local=local,
        )
    )


def make_loads_with_a_remote_copy() -> list[EndpointLoad]:
    remote = make_load("e2", data_centre="b")
    remote.record_parts([SHARED])
    return [make_load("e1"), remote]


def first_data_centre(ranked: Sequence[RankedEngine]) -> str:
    return ranked[0].view.load.record.data_centre


def test_an_unused_part_is_prefilled_locally_though_a_remote_engine_has_it() -> None:
    loads = make_loads_with_a_remote_copy()
    assert first_data_centre(rank(loads, None)) == "b"
    assert first_data_centre(rank(loads, STAYS)) == "a"


def test_a_recently_used_part_is_prefilled_locally_only_if_that_pays() -> None:
    loads = make_loads_with_a_remote_copy()
    pays = STAYS._replace(copy_tokens=20_000.0)
    assert first_data_centre(rank(loads, STAYS, SHARED.tokens)) == "b"
    assert first_data_centre(rank(loads, pays, SHARED.tokens)) == "a"
    busy = pays._replace(may_copy=False)
    assert first_data_centre(rank(loads, busy, SHARED.tokens)) == "b"


def test_a_part_is_not_copied_from_one_local_engine_to_another() -> None:
    """Guards against a waiver of the repeated prefill where a local copy exists."""
    loads = [*make_loads_with_a_remote_copy(), make_load("e3")]
    loads[2].record_parts([SHARED])
    loads[2].record_dispatch(300.0, NOW_S)
    pays = STAYS._replace(copy_tokens=20_000.0)
    ranked = rank(loads, pays, SHARED.tokens)
    assert ranked[0].view.load is loads[2]


def test_costs_are_as_before_where_the_preference_does_not_apply() -> None:
    loads = make_loads_with_a_remote_copy()
    costs = [(r.cost_ms, r.view.load) for r in rank(loads, None, SHARED.tokens)]
    busy = STAYS._replace(may_copy=False)
    assert costs == [(r.cost_ms, r.view.load) for r in rank(loads, busy, SHARED.tokens)]


def test_a_new_part_is_read_first_in_the_callers_data_centre() -> None:
    loads = [
        make_load(f"e{n}", data_centre="a" if n % 3 == 0 else "b") for n in range(12)
    ]
    assert first_data_centre(rank(loads, STAYS)) == "a"
