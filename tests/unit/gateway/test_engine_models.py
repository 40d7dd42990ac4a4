"""Gateways learn how fast engines are, and tell each other."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from shallotroad.gateway.coordination.messages import Grant
from shallotroad.gateway.coordination.messages import Started
from shallotroad.gateway.coordination.messages import decode
from shallotroad.gateway.coordination.messages import encode
from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.engine_model import EngineModel
from shallotroad.policy.engine_model import Prefill
from shallotroad.policy.engine_model import relative_prefill
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateways
from tests.engine_model_simulation import EngineTraffic
from tests.engine_model_simulation import median_error
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_prompt_request
from tests.gateway_builders import make_record
from tests.virtual_time import VirtualTimeLoop
from tests.virtual_time import VirtualTimePolicy


LEARNING_S = 2.0
MAX_MEDIAN_ERROR = 0.3
FAST = EngineModel(150.0, 6_000_000.0, 25.0, 4.0)
FAST_ROW = ["chat", 1_000, *FAST, 50]


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.mark.parametrize(
    ("speed", "arrivals_per_s"), [(1 / 3, 25.0), (3.0, 150.0), (5.0, 250.0)]
)
async def test_expected_times_are_right_after_two_seconds_of_traffic(
    speed: float, arrivals_per_s: float
) -> None:
    traffic = EngineTraffic(speeds=[speed] * 6)
    await traffic.send(LEARNING_S, arrivals_per_s)
    learned_s = traffic.clock()
    await traffic.send(3.0, arrivals_per_s)
    await traffic.finish()
    assert traffic.fixture.engine_models.learned_count() == 1
    requests = traffic.requests_since(learned_s)
    assert len(requests) >= 20
    assert median_error(requests) < MAX_MEDIAN_ERROR


@pytest.mark.parametrize(("speed", "arrivals_per_s"), [(3.0, 700.0), (5.0, 900.0)])
async def test_fast_engines_are_recognised_under_steady_overload(
    speed: float, arrivals_per_s: float
) -> None:
    """Guards against a queue, caused by a slow model, that keeps this model."""
    traffic = EngineTraffic(speeds=[speed] * 6)
    slow = ["chat", 0, 10.0, 400_000.0, 100.0, 40.0, 50]
    traffic.fixture.engine_models.merge([slow])
    await traffic.send(15.0 + LEARNING_S, arrivals_per_s / 10)
    await traffic.send(LEARNING_S, arrivals_per_s)
    learned_s = traffic.clock()
    await traffic.send(1.0, arrivals_per_s)
    await traffic.finish()
    assert median_error(traffic.requests_since(learned_s)) < MAX_MEDIAN_ERROR


async def test_placements_follow_the_real_speeds() -> None:
    speeds = [3 / 0.7, 3 / 0.7, 3 / 1.7] * 2
    traffic = EngineTraffic(speeds=speeds)
    await traffic.send(LEARNING_S, 150.0)
    learned_s = traffic.clock()
    await traffic.send(6.0, 250.0)
    await traffic.finish()
    requests = traffic.requests_since(learned_s)
    assert median_error(requests) < MAX_MEDIAN_ERROR
    tokens: Counter[float] = Counter()
    for request in requests:
        load = request.placement.load
        tokens[traffic.engines[load.record.identifier].speed] += (
            request.job.request.prompt_tokens
        )
    fast, slow = max(speeds), min(speeds)
    # Four fast engines and two slow ones, 2.4 times as fast.
    assert tokens[fast] / 2 > 1.5 * tokens[slow]


@pytest.mark.parametrize("restarts", [True, False])
@pytest.mark.parametrize(("before", "after"), [(3.0, 1.2), (1.0, 4.0), (4.0, 8.0)])
async def test_a_release_that_changes_the_speed_is_noticed(
    before: float, after: float, restarts: bool
) -> None:
    traffic = EngineTraffic(speeds=[before] * 6)
    await traffic.send(3.0, 50.0 * before)
    for name, engine in traffic.engines.items():
        engine.speed = after
        if restarts:
            record = traffic.fixture.endpoint_registry.loads[name].record
            traffic.fixture.catalog.put_endpoint(record._replace(started_at_ms=2))
    rate = 40.0 * min(before, after)
    await traffic.send(LEARNING_S if restarts else 6.0, rate)
    noticed_s = traffic.clock()
    await traffic.send(2.0, rate)
    await traffic.finish()
    if after > 2:
        assert traffic.fixture.engine_models.learned_count() == 1
        assert median_error(traffic.requests_since(noticed_s)) < MAX_MEDIAN_ERROR
    else:
        # The learned model stays as long as it is not near the nominal one for long.
        assert median_error(traffic.requests_since(noticed_s)) < 0.45


@pytest.mark.parametrize("arrivals_per_s", [30.0, 80.0, 200.0])
@pytest.mark.parametrize("speed", [0.8, 1.0, 1.2])
def test_engines_that_fit_the_nominal_model_get_the_same_decisions(
    speed: float, arrivals_per_s: float
) -> None:
    """The learned model must change nothing where it is not needed."""

    async def decide(learns: bool) -> list[tuple[object, ...]]:
        traffic = EngineTraffic(speeds=[speed] * 6, learns=learns)
        await traffic.send(6.0, arrivals_per_s)
        await traffic.finish()
        assert traffic.fixture.engine_models.changes == 0
        assert traffic.fixture.engine_models.rows() == []
        estimators = traffic.fixture.engine_models._estimators
        assert (not learns) or estimators["chat"]._last_fit is not None
        return [
            (request.placed_s, *request.placement.inputs().values())
            for request in traffic.outcomes.requests
        ]

    decisions = []
    for learns in (True, False):
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            decisions.append(runner.run(decide(learns)))
    assert len(decisions[0]) > 100
    assert decisions[0] == decisions[1]


# Exchange of models


def make_pair() -> tuple[Any, Any]:
    return make_admission_fixture(3), make_admission_fixture(3)


async def test_a_received_model_is_in_force_for_known_new_and_restarted_engines() -> (
    None
):
    sender, receiver = make_pair()
    sender.engine_models.merge([FAST_ROW])
    rows = sender.engine_models.rows()
    assert rows == [["chat", 1_000, *FAST, 50]]
    receiver.engine_models.merge(rows)
    receiver.catalog.put_endpoint(make_record("e9"))
    restarted = receiver.endpoint_registry.loads["e0"].record
    receiver.catalog.put_endpoint(restarted._replace(started_at_ms=5))
    for load in receiver.endpoint_registry.loads.values():
        assert load.model == FAST
    assert receiver.endpoint_registry.loads["e0"].slowness == 1.0
    assert receiver.endpoint_registry.loads["e9"].slowness == 1.0


async def test_the_more_recent_row_takes_precedence() -> None:
    fixture = make_admission_fixture(3)
    models = fixture.engine_models
    models.merge([["chat", 5_000, *FAST, 50]])
    models.merge([["chat", 60_000, 300.0, 1e7, 20.0, 3.0, 50]])
    assert models.model("chat") == FAST
    models.merge([["chat", 1_000, *NOMINAL_MODEL, 50]])
    assert models.model("chat") == NOMINAL_MODEL
    assert models.learned_count() == 0


@pytest.mark.parametrize(
    "rows",
    [
        None,
        3,
        {"chat": 1},
        "engines",
        [None],
        [[]],
        [["chat"]],
        [["chat", 1_000, *FAST]],
        [["chat", 1_000, *FAST, 0]],
        [["chat", 1_000, *FAST, 1e300]],
        [["chat", 1_000, *FAST, "50"]],
        [["chat", -1, *FAST, 50]],
        [["chat", 86_400_000, *FAST, 50]],
        [["chat", float("nan"), *FAST, 50]],
        [["chat", float("inf"), *FAST, 50]],
        [["chat", 10**400, *FAST, 50]],
        [["chat", 1_000, -1.0, 6e6, 25.0, 4.0, 50]],
        [["chat", 1_000, 0, 6e6, 25.0, 4.0, 50]],
        [["chat", 1_000, 1e30, 6e6, 25.0, 4.0, 50]],
        [["chat", 1_000, 150.0, float("nan"), 25.0, 4.0, 50]],
        [["chat", 1_000, 150.0, 6e6, float("inf"), 4.0, 50]],
        [["chat", 1_000, 150.0, 6e6, 25.0, None, 50]],
        [["chat", 1_000, 150.0, 6e6, 25.0, True, 50]],
        [["chat", 1_000, 150.0, 6e6, 25.0, [], 50]],
        [["unknown", 1_000, *FAST, 50]],
        [["", 1_000, *FAST, 50]],
        [["c" * 10_000, 1_000, *FAST, 50]],
        [[7, 1_000, *FAST, 50]],
    ],
)
async def test_malformed_old_and_absurd_rows_change_nothing(rows: Any) -> None:
    fixture = make_admission_fixture(3)
    fixture.engine_models.merge(rows)
    assert fixture.engine_models.model("chat") == NOMINAL_MODEL
    assert fixture.engine_models.rows() == []
    fixture.engine_models.merge([FAST_ROW])
    fixture.engine_models.merge(rows)
    assert fixture.engine_models.model("chat") == FAST


async def test_a_row_with_fields_of_a_later_version_is_understood() -> None:
    fixture = make_admission_fixture(3)
    fixture.engine_models.merge([[*FAST_ROW, "more", 7]])
    assert fixture.engine_models.model("chat") == FAST


async def test_work_that_is_placed_and_queued_is_converted() -> None:
    """Guards against refusals by a queue that still has the times of the old model."""
    fixture = make_admission_fixture(1)
    (load,) = fixture.endpoint_registry.loads.values()
    load.record_dispatch(3_000.0, fixture.clock())
    job = make_gateway_job(now_s=fixture.clock())
    queued = fixture.admission.submit(
        job.placement_request(fixture.clock()), lambda _: None, lambda _: None
    )
    assert queued is not None
    prefill_ms = queued.prefill_ms
    ratio = relative_prefill(FAST, NOMINAL_MODEL)
    fixture.engine_models.merge([FAST_ROW])
    assert queued.prefill_ms == pytest.approx(prefill_ms * ratio)
    assert load.slowness == 1.0
    assert load.backlog_ms(fixture.clock()) == pytest.approx(3_000.0 * ratio)


# Messages


def test_a_grant_with_the_nominal_model_is_that_of_the_previous_version() -> None:
    grant = Grant(3, "e1", 1.5, 2.0, 3.0, 40, True, 1.25)
    assert encode(grant, 0.0) == b'["grant",3,"e1",1.5,2.0,3.0,40,true,1.25]'
    assert decode(encode(grant, 0.0), 0.0) == grant


def test_a_grant_carries_a_learned_model() -> None:
    grant = Grant(3, "e1", 1.5, 2.0, 3.0, 40, True, 1.25, FAST)
    assert decode(encode(grant, 0.0), 0.0) == grant


def test_a_start_of_the_previous_version_is_not_learned_from() -> None:
    start = decode(b'["start",["g1",5],3,120]', 0.0)
    assert isinstance(start, Started)
    assert not start.streamed


async def test_a_gateway_goes_on_with_the_model_after_its_coordinator_is_lost() -> None:
    network = Network()
    first, second, third = make_gateways(network, 3)
    first.admission_fixture.engine_models.merge([FAST_ROW])
    load = first.admission_fixture.endpoint_registry.loads["e0"]
    load.slowness = 2.5
    rows = first.admission_fixture.engine_models.rows()
    second.admission_fixture.engine_models.merge(rows)
    third.admission_fixture.engine_models.merge(rows)
    now_s = asyncio.get_running_loop().time()
    placement = await third.placement_client.place(make_gateway_job(now_s=now_s))
    assert placement.model == FAST
    granted = placement.load.record.identifier
    assert placement.load.slowness == pytest.approx(
        first.admission_fixture.endpoint_registry.loads[granted].slowness, abs=0.01
    )
    network.partitioned.add("g0")
    now_s = asyncio.get_running_loop().time()
    placement = await third.placement_client.place(make_gateway_job(now_s=now_s))
    assert placement.model == FAST
    assert placement.prefill_ms < 20


async def test_the_coordinator_learns_from_the_starts_of_other_gateways() -> None:
    network = Network()
    first, second = make_gateways(network, 2)
    models = first.admission_fixture.engine_models
    for number in range(80):
        now_s = asyncio.get_running_loop().time()
        request = make_prompt_request("shared", 300, f"q{number}", 700)
        placement = await second.placement_client.place(
            make_gateway_job(now_s=now_s, request=request)
        )
        tokens = 1_000 - placement.cached_tokens
        first_event_ms = 20.0 + tokens / 200
        await asyncio.sleep(first_event_ms / 1000)
        now_s = asyncio.get_running_loop().time()
        placement.load.record_first_event(placement.due_s, now_s)
        second.placement_client.record_first_event(
            placement, first_event_ms, streamed=True
        )
        await asyncio.sleep(0.01)
        placement.load.record_end(placement.due_s, started=True, now_s=now_s)
        second.placement_client.record_end(placement, success=True)
    estimator = models._estimators["chat"]
    assert sum(len(kept.samples) for kept in estimator._endpoints.values()) >= 20


async def test_a_peer_without_models_keeps_those_that_are_known() -> None:
    """Gateways of the previous version send no ``engines``."""
    fixture = make_admission_fixture(3)
    fixture.engine_models.merge([FAST_ROW])
    fixture.engine_models.merge(None)
    assert fixture.engine_models.model("chat") == FAST
    assert fixture.engine_models.dropped_rows == 0


async def test_a_removed_endpoint_no_longer_counts() -> None:
    fixture = make_admission_fixture(3)
    models = fixture.engine_models
    for number in range(200):
        fixture.clock.now_s += 0.02
        load = fixture.endpoint_registry.loads[f"e{number % 3}"]
        tokens = (500, 2_000, 6_000)[number // 3 % 3]
        models.record_first_event(
            load,
            Prefill(tokens, 0, fixture.clock.now_s - 0.01, True),
            25.0 + tokens / 150,
        )
    assert models.learned_count() == 1
    fixture.endpoint_registry.remove("e2")
    fixture.clock.now_s += 10.0
    load = fixture.endpoint_registry.loads["e0"]
    models.record_first_event(
        load, Prefill(500, 0, fixture.clock.now_s, True), 25.0 + 500 / 150
    )
    assert set(models._estimators["chat"]._endpoints) == {"e0", "e1"}
