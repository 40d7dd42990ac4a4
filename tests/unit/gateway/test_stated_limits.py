"""Endpoints that state how many requests they take from all gateways together.

Under load beyond these limits, and while gateways fail, start and disagree, no endpoint
may get more than one and a half times its limit and five requests in four seconds.
"""

from __future__ import annotations

import asyncio

import pytest

from shallotroad.gateway.coordination.messages import Stated
from shallotroad.gateway.coordination.messages import decode
from shallotroad.gateway.coordination.messages import encode
from shallotroad.platform.headers import decode_response
from shallotroad.policy.endpoint_statement import EndpointStatement
from tests.gateway_builders import make_record
from tests.limit_simulation import LimitSimulation
from tests.limit_simulation import allowed
from tests.virtual_time import VirtualTimePolicy


LIMITED = ("e0", "e1", "e2", "e3")


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


def check_limits(simulation: LimitSimulation, limit_per_s: float) -> None:
    counts = {name: simulation.most_counted(name) for name in simulation.limited_s}
    assert max(counts.values()) <= allowed(limit_per_s), str(counts)


# Guards against back ends that get far more requests than the limit that they named.
@pytest.mark.parametrize("engine", [True, False])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.5, 1.2, 7.5])
@pytest.mark.parametrize("gateways", [1, 5, 40])
async def test_limited_endpoints_get_no_more_than_they_state(
    gateways: int, limit_per_s: float, *, engine: bool
) -> None:
    simulation = LimitSimulation(gateways=gateways, endpoints=6, engine=engine)
    await simulation.send_load(per_s=40.0, for_s=3.0)
    simulation.state_limit(LIMITED, str(limit_per_s))
    await simulation.send_load(per_s=40.0, for_s=20.0)
    await simulation.close()
    check_limits(simulation, limit_per_s)
    assert simulation.refusals == []


# Guards against a rate that doubles when another gateway begins to coordinate.
@pytest.mark.parametrize("engine", [True, False])
@pytest.mark.parametrize("lost", [("g0",), ("g0", "g1")])
async def test_the_loss_of_coordinators_does_not_double_the_rate(
    lost: tuple[str, ...], *, engine: bool
) -> None:
    simulation = LimitSimulation(gateways=5, endpoints=6, engine=engine)
    simulation.state_limit(LIMITED, "2.0")
    await simulation.send_load(per_s=40.0, for_s=8.0)
    for name in lost:
        simulation.kill(name)
        await simulation.send_load(per_s=40.0, for_s=4.0)
    await simulation.send_load(per_s=40.0, for_s=8.0)
    await simulation.close()
    check_limits(simulation, 2.0)


# Guards against a limit that outlives its statement, once nothing is sent there.
@pytest.mark.parametrize("engine", [True, False])
@pytest.mark.parametrize("limit", ["0", "2.0"])
async def test_an_endpoint_that_states_no_limit_any_more_is_used_again(
    limit: str, *, engine: bool
) -> None:
    simulation = LimitSimulation(gateways=5, endpoints=4, engine=engine)
    simulation.state_limit(["e0"], limit)
    await simulation.send_load(per_s=40.0, for_s=10.0)
    simulation.limits.clear()
    await simulation.send_load(per_s=40.0, for_s=6.0)
    ended_s = asyncio.get_running_loop().time()
    await simulation.send_load(per_s=40.0, for_s=4.0)
    await simulation.close()
    loads = [
        gateway.admission_fixture.endpoint_registry.loads["e0"]
        for gateway in simulation.gateways.values()
    ]
    assert loads[0].limit_per_s is None
    # With the limit in force it would get 7 at most.
    assert simulation.arrivals_since("e0", ended_s) > 10


# Guards against callers that are held for endpoints that can't take them in time.
@pytest.mark.parametrize("engine", [True, False])
async def test_what_limited_endpoints_cannot_take_is_refused_at_once(
    *, engine: bool
) -> None:
    simulation = LimitSimulation(gateways=5, endpoints=3, engine=engine)
    simulation.state_limit(["e0", "e1", "e2"], "2.0")
    await simulation.send_load(per_s=40.0, for_s=20.0)
    await simulation.close()
    check_limits(simulation, 2.0)
    assert len(simulation.refusals) > 400
    held_s = sorted(refusal.held_s for refusal in simulation.refusals)
    assert held_s[len(held_s) * 9 // 10] < 0.05
    assert all(refusal.retry_after_s >= 0.2 for refusal in simulation.refusals)
    arrived = sum(len(arrivals) for arrivals in simulation.arrivals.values())
    assert arrived >= 0.8 * 3 * 2.0 * 16.0


async def test_a_statement_of_an_earlier_incarnation_is_ignored() -> None:
    simulation = LimitSimulation(gateways=2, endpoints=1)
    gateway = simulation.gateways["g0"]
    registry = gateway.admission_fixture.endpoint_registry
    limited = decode_response(
        200, [(b"X-Replica-Signature", b"s"), (b"Server-Limit", b"1.5")]
    )
    gateway.statements.record_answer(make_record("e0"), limited, 0.0)
    assert registry.loads["e0"].limit_per_s == 1.5
    registry.put(make_record("e0", started_at_ms=2))
    assert registry.loads["e0"].limit_per_s is None
    await asyncio.sleep(1.0)
    gateway.statements.record_answer(make_record("e0"), limited, 0.0)
    gateway.statements.merge(Stated("e0", EndpointStatement(1, 0.5, 1.5)))
    assert registry.loads["e0"].limit_per_s is None
    await simulation.close()


async def test_an_answer_to_an_earlier_request_does_not_end_a_limit() -> None:
    simulation = LimitSimulation(gateways=2, endpoints=1)
    gateway = simulation.gateways["g0"]
    load = gateway.admission_fixture.endpoint_registry.loads["e0"]
    signature = (b"X-Replica-Signature", b"s")
    limited = decode_response(200, [signature, (b"Server-Limit", b"1.5")])
    unlimited = decode_response(200, [signature])
    await asyncio.sleep(1.0)
    gateway.statements.record_answer(load.record, limited, 0.5)
    gateway.statements.record_answer(load.record, unlimited, 0.9)
    assert load.limit_per_s == 1.5
    await asyncio.sleep(1.0)
    gateway.statements.record_answer(load.record, unlimited, 1.5)
    assert load.limit_per_s is None
    await simulation.close()


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"nan", b"inf", b"1e300", b"1_0", b"2,5", b"+1", b"9" * 40, b"x"],
)
def test_a_malformed_limit_counts_as_not_stated(value: bytes) -> None:
    head = decode_response(200, [(b"Server-Limit", value)])
    assert head.limit_per_s is None


def test_a_statement_survives_the_datagram() -> None:
    stated = Stated("e0", EndpointStatement(5, 99.0, 1.5))
    assert decode(encode(stated, 100.0), 100.0) == stated
    ended = Stated("e0", EndpointStatement(5, 99.0, None))
    assert decode(encode(ended, 100.0), 100.0) == ended
