"""Callers that are refused, and return when they were told to, or before.

One whose turn comes soon enough has a place then, and is not refused again. One that
does not wait gains nothing, and state is lost with the coordinator without harm.
"""

from __future__ import annotations

import asyncio

import pytest

from shallotroad.gateway.admission import MAX_SHARED_WAIT_S
from shallotroad.gateway.admission import MAX_WORK_MS
from shallotroad.gateway.admission import MIN_RETRY_AFTER_S
from shallotroad.gateway.exceptions import RefusedError
from tests.burst_simulation import DEADLINE_MS
from tests.burst_simulation import MAX_OBSERVED_RETRY_AFTER_SHARE
from tests.burst_simulation import TeamLoad
from tests.burst_simulation import TeamOutcomes
from tests.burst_simulation import TeamSimulation
from tests.burst_simulation import without_shares_and_places
from tests.gateway_builders import AdmissionFixture
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_prompt_request
from tests.virtual_time import VirtualTimePolicy


# The engines can do the work of this burst in the time that callers wait.
SHORT_BURST = [TeamLoad("one", 5.0, burst=(3.0, 5.0, 80.0))]
MAX_TWICE_SHARE = 1 / 3
# Long enough to fill the queue, so that a new request is refused.
BACKLOG_MS = 2_800.0


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


async def play(
    loads: list[TeamLoad], seed: int, for_s: float = 10.0
) -> dict[str, TeamOutcomes]:
    return await TeamSimulation(seed=seed).play(loads, for_s=for_s)


# Guards against callers that wait as they are told and are refused again.
async def test_callers_that_return_in_time_are_not_refused_twice_in_a_burst() -> None:
    twice = late = before_twice = before_late = 0
    for seed in range(1, 5):
        outcomes = (await play(SHORT_BURST, seed))["one"]
        twice += outcomes.refused_twice
        late += outcomes.late_refusals
        with without_shares_and_places():
            before = (await play(SHORT_BURST, seed))["one"]
        before_twice += before.refused_twice
        before_late += before.late_refusals
        assert outcomes.served >= before.served
    assert twice <= MAX_TWICE_SHARE * before_twice
    assert late < before_late


# Guards against places that are promised and not kept.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("burst_per_s", [60.0, 100.0])
async def test_every_caller_that_returns_to_its_place_is_served(
    seed: int, burst_per_s: float
) -> None:
    simulation = TeamSimulation(seed=seed)
    load = TeamLoad("one", 15.0, burst=(3.0, 6.0, burst_per_s))
    outcomes = (await simulation.play([load], for_s=10.0))["one"]
    decisions = simulation.fixture.admission.decisions
    assert decisions["place used"] == decisions["place reserved"] > 0
    # Each caller that is served at its return had a place or was treated as new.
    assert outcomes.served - outcomes.at_first >= decisions["place used"]


def fill(fixture: AdmissionFixture) -> None:
    for load in fixture.endpoint_registry.loads.values():
        load.record_dispatch(BACKLOG_MS, fixture.clock())


def submit(
    fixture: AdmissionFixture, part: str, *, team: str = "t", route: str = "r2"
) -> RefusedError | str:
    """Return the refusal of a request, or whether it was placed or queued."""
    job = make_gateway_job(
        now_s=fixture.clock(),
        route=make_gap_tolerant_route(name=route, timeout_ms=DEADLINE_MS),
        request=make_prompt_request("shared", 5_400, part, 6_600)._replace(
            deadline_ms=float(DEADLINE_MS)
        ),
    )
    request = job.placement_request(fixture.clock())._replace(team=team)
    placed: list[object] = []
    refused: list[RefusedError] = []
    queued = fixture.admission.submit(request, placed.append, refused.append)
    if refused:
        return refused[0]
    return "placed" if queued is None else "queued"


def refusal(fixture: AdmissionFixture, part: str, team: str = "t") -> RefusedError:
    result = submit(fixture, part, team=team)
    assert isinstance(result, RefusedError)
    return result


async def test_a_caller_that_returns_in_time_has_its_place() -> None:
    fixture = make_admission_fixture()
    fill(fixture)
    delay_s = refusal(fixture, "a").retry_after_s
    assert fixture.admission.decisions["place reserved"] == 1
    fixture.clock.now_s += delay_s
    fill(fixture)
    assert isinstance(submit(fixture, "b"), RefusedError)
    assert submit(fixture, "a") == "queued"
    fixture.admission.dispatch_queued()
    assert fixture.admission.queue_length == 1  # It is not refused from there either.


# Guards against places that one caller collects by many requests.
async def test_a_caller_that_returns_at_once_is_told_the_rest_of_its_time() -> None:
    fixture = make_admission_fixture()
    fill(fixture)
    delay_s = refusal(fixture, "a").retry_after_s
    # A request that may not be refused waits before the returning one.
    job = make_gateway_job(now_s=fixture.clock(), route=make_gap_tolerant_route())
    job.attempts.append("e9")
    fixture.admission.submit(
        job.placement_request(fixture.clock()), lambda _: None, lambda _: None
    )
    for _ in range(5):
        fixture.clock.now_s += 0.1
        delay_s -= 0.1
        again = refusal(fixture, "a")
        assert again.reason == "returned too early"
        assert again.retry_after_s == pytest.approx(
            max(MIN_RETRY_AFTER_S, delay_s), abs=0.01
        )
    assert fixture.admission.return_places == 1
    assert fixture.admission.decisions["place reserved"] == 1


@pytest.mark.parametrize(
    "other", [("b", "t"), ("a", "other")], ids=["another-part", "another-team"]
)
async def test_a_place_is_for_its_own_caller(other: tuple[str, str]) -> None:
    fixture = make_admission_fixture()
    fill(fixture)
    fixture.clock.now_s += refusal(fixture, "a").retry_after_s
    fill(fixture)
    part, team = other
    assert isinstance(submit(fixture, part, team=team), RefusedError)


# Guards against delays that callers ignore, and against none at all.
@pytest.mark.parametrize("remaining_ms", [300.0, 3_000.0, 12_000.0])
async def test_the_delay_is_at_most_a_third_of_the_time_left(
    remaining_ms: float,
) -> None:
    fixture = make_admission_fixture()
    fill(fixture)
    job = make_gateway_job(
        now_s=fixture.clock(),
        route=make_gap_tolerant_route(timeout_ms=DEADLINE_MS),
        request=make_prompt_request("shared", 5_400, "a", 6_600)._replace(
            deadline_ms=remaining_ms
        ),
    )
    refused: list[RefusedError] = []
    fixture.admission.submit(
        job.placement_request(fixture.clock()), lambda _: None, refused.append
    )
    (error,) = refused
    third_s = MAX_OBSERVED_RETRY_AFTER_SHARE * remaining_ms / 1000
    assert error.retry_after_s >= MIN_RETRY_AFTER_S
    assert error.retry_after_s <= max(MIN_RETRY_AFTER_S, third_s)


# Guards against callers that gain by ignoring their delay.
async def test_callers_that_return_at_once_gain_nothing() -> None:
    burst = (3.0, 8.0, 10.0)
    loads = [
        TeamLoad(f"team{n}", 3.0, impatient=n % 2 == 0, burst=burst) for n in range(6)
    ]
    outcomes = await play(loads, 1)
    impatient = [outcomes[load.name] for load in loads if load.impatient]
    patient = [outcomes[load.name] for load in loads if not load.impatient]
    assert sum(o.served for o in impatient) / sum(o.callers for o in impatient) <= (
        sum(o.served for o in patient) / sum(o.callers for o in patient)
    )
    assert sum(o.tries for o in impatient) > 2 * sum(o.tries for o in patient)


# Guards against a new coordinator that refuses or stops because it knows no places.
async def test_a_new_coordinator_treats_returning_callers_as_new() -> None:
    simulation = TeamSimulation(seed=1)
    asyncio.get_running_loop().call_later(4.5, simulation.lose_coordinator)
    outcomes = (await simulation.play(SHORT_BURST, for_s=10.0))["one"]
    assert outcomes.served_share > 0.8
    assert simulation.fixture.admission.queue_length == 0


async def test_places_expire_and_their_number_is_bounded() -> None:
    fixture = make_admission_fixture()
    fill(fixture)
    for number in range(1_500):
        refusal(fixture, f"p{number}")
    assert fixture.admission.return_places <= 1_000
    fixture.clock.now_s += 30.0
    task = asyncio.create_task(fixture.admission.dispatch_periodically())
    await asyncio.sleep(0.2)
    task.cancel()
    assert fixture.admission.return_places == 0


# Guards against a peer whose figures turn the shares of the other teams.
@pytest.mark.parametrize("tokens", [-(10**15), 10**15])
@pytest.mark.parametrize("arrival_s", [-1e12, 1e12])
async def test_absurd_figures_of_a_peer_change_no_order_of_others(
    tokens: int, arrival_s: float
) -> None:
    fixture = make_admission_fixture()
    fill(fixture)
    for team, absurd in (("x", True), ("a", False), ("b", False), ("x", True)):
        job = make_gateway_job(now_s=fixture.clock(), route=make_gap_tolerant_route())
        job.attempts.append("e9")  # It waits, as it may have run.
        request = job.placement_request(fixture.clock())._replace(team=team, route="")
        if absurd:
            request = request._replace(expected_tokens=tokens, arrival_s=arrival_s)
        fixture.admission.submit(request, lambda _: None, lambda _: None)
    fixture.admission.dispatch_queued()
    queue = fixture.admission._queue
    assert all(0.0 <= queued.work_ms <= MAX_WORK_MS for queued in queue)
    oldest_s = fixture.clock() - MAX_SHARED_WAIT_S
    assert all(queued.waits_since_s >= oldest_s for queued in queue)


# Guards against a lost refusal whose repetition names another time than the place has.
async def test_a_repeated_refusal_names_the_same_time() -> None:
    fixture = make_admission_fixture()
    fill(fixture)
    first = refusal(fixture, "a")
    fixture.clock.now_s += 0.1
    again = refusal(fixture, "a")
    assert again.retry_after_s == pytest.approx(first.retry_after_s - 0.1, abs=0.01)
    assert fixture.admission.decisions["place reserved"] == 1
