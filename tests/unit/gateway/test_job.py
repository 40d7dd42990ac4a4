from __future__ import annotations

import pytest

from shallotroad.catalog.configuration import RouteKind
from shallotroad.catalog.configuration import Team
from shallotroad.gateway.job import MIN_WAIT_S
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_request
from tests.gateway_builders import make_route


def regions(*names: str) -> frozenset[str]:
    return frozenset(names)


@pytest.mark.parametrize(
    ("of_route", "of_team", "allowed"),
    [
        (regions(), regions(), regions()),
        (regions("x"), regions(), regions("x")),
        (regions(), regions("y"), regions("y")),
        (regions("x", "y"), regions("y"), regions("y")),
    ],
)
def test_allowed_regions_are_those_of_both_the_route_and_the_team(
    of_route: frozenset[str], of_team: frozenset[str], allowed: frozenset[str]
) -> None:
    team = Team("clinic", frozenset(), None, of_team)
    job = make_gateway_job(route=make_route(regions=of_route), team=team)
    assert job.placement_request(100.0).regions == allowed


def test_a_route_and_a_team_without_a_common_region_allow_no_region() -> None:
    team = Team("clinic", frozenset(), None, regions("y"))
    job = make_gateway_job(route=make_route(regions=regions("x")), team=team)
    assert job.placement_request(100.0).regions
    assert not job.placement_request(100.0).regions & {"x", "y"}


def test_a_stream_stops_waiting_before_its_caller_times_out() -> None:
    job = make_gateway_job(now_s=100.0)  # objective 0.5 s, event gap 0.25 s
    assert job.placement_request(100.0).last_start_s == pytest.approx(101.6)


def test_a_retry_of_a_stream_waits_at_most_a_quarter_of_the_remaining_time() -> None:
    job = make_gateway_job(now_s=100.0)
    job.timeout_s = 101.0
    assert job.placement_request(100.8).last_start_s == pytest.approx(100.85)


def test_other_retries_wait_at_most_half_of_the_remaining_time() -> None:
    job = make_gateway_job(now_s=100.0, route=make_route(kind=RouteKind.IDEMPOTENT))
    job.timeout_s = 101.0
    assert job.placement_request(100.8).last_start_s == pytest.approx(100.9)


def test_a_long_answer_starts_early_enough_to_be_whole() -> None:
    request = make_request(expected_output_tokens=400, max_output_tokens=400)
    route = make_gap_tolerant_route()
    job = make_gateway_job(now_s=100.0, request=request, route=route)
    # 400 tokens at a token in 16.7 ms, the smallest planned prefill share.
    assert job.placement_request(100.0).last_start_s <= 110.0 - 6.6
    assert job.placement_request(100.0).last_start_s >= 100.0 + MIN_WAIT_S


def test_an_interrupted_stream_is_due_within_its_event_gap() -> None:
    job = make_gateway_job(now_s=100.0)
    job.interrupted_s = 104.0
    resumed = job.placement_request(104.0)
    fresh = make_gateway_job(now_s=103.5).placement_request(104.0)
    assert resumed.objective_s == pytest.approx(104.25)
    assert resumed.last_start_s > 104.0
    assert resumed.priority(104.0) < fresh.priority(104.3)
