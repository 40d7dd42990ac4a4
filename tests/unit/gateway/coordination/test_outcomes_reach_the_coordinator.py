"""Outcomes of other gateways' requests at the coordinator that places them."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from shallotroad.gateway.coordination.exceptions import MalformedMessageError
from shallotroad.gateway.coordination.messages import Ended
from shallotroad.gateway.coordination.messages import Sender
from shallotroad.gateway.coordination.messages import Submit
from shallotroad.gateway.coordination.messages import decode
from shallotroad.gateway.coordination.messages import encode
from shallotroad.policy.failing_endpoints import Fault
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateways
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_route


async def fail_requests(count: int, weight: float, fault: Fault) -> Any:
    """Let one gateway's requests fail; return the coordinator's loads by name."""
    gateways = make_gateways(Network(), 2)
    coordinator, other = gateways
    loads = coordinator.admission_fixture.endpoint_registry.loads
    for _ in range(count):
        now_s = asyncio.get_running_loop().time()
        job = make_gateway_job(now_s=now_s)
        job.excluded.update(name for name in loads if name != "e0")
        placement = await other.placement_client.place(job)
        other.placement_client.record_end(
            placement, success=False, failure_weight=weight, fault=fault
        )
        placement.load.record_end(placement.due_s, started=False, now_s=now_s)
        await asyncio.sleep(0.1)
    return loads


# Guards against a coordinator that goes on to place requests at an endpoint whose
# errors only the other gateways see, also those that they repeat elsewhere.
@pytest.mark.parametrize("weight", [0.0, 1.0])
async def test_errors_at_other_gateways_open_the_circuit(weight: float) -> None:
    loads = await fail_requests(20, weight, Fault.ERROR)
    assert [name for name, load in loads.items() if not load.circuit.is_closed] == [
        "e0"
    ]


# Guards against full endpoints that count as failing ones.
async def test_requests_that_did_not_run_open_no_circuit() -> None:
    loads = await fail_requests(20, 0.5, Fault.NONE)
    assert loads["e0"].circuit.is_closed


# Guards against further requests to an endpoint that another gateway found gone.
async def test_an_unreachable_endpoint_is_avoided_by_the_coordinator() -> None:
    loads = await fail_requests(1, 0.5, Fault.UNREACHABLE)
    now_s = asyncio.get_running_loop().time()
    assert [n for n, load in loads.items() if load.avoided_until_s > now_s] == ["e0"]
    await asyncio.sleep(1.0)
    assert loads["e0"].avoided_until_s <= asyncio.get_running_loop().time()


# Guards against a coordinator that waits for the loads of other versions' messages.
@pytest.mark.parametrize(
    ("weight", "fault", "fields"),
    [
        (0.0, Fault.NONE, 5),
        (0.5, Fault.NONE, 5),
        (1.0, Fault.LOST, 5),
        (1.0, Fault.ERROR, 6),
        (0.0, Fault.ERROR, 6),
        (0.5, Fault.UNREACHABLE, 6),
    ],
)
def test_a_fault_is_sent_only_if_the_weight_does_not_tell_it(
    weight: float, fault: Fault, fields: int
) -> None:
    message = Ended(Sender("g1", 5), 3, False, weight, fault)
    data = encode(message, 0.0)
    assert len(orjson.loads(data)) == fields
    assert decode(data, 0.0) == message


# Guards against values that no gateway sends.
@pytest.mark.parametrize(
    "rest", [[-0.5], [1.5], [1e300], [1.0, 7], [1.0, -1], [1.0, "x"], [1.0, None]]
)
def test_an_end_with_absurd_values_is_rejected(rest: list[Any]) -> None:
    with pytest.raises(MalformedMessageError):
        decode(orjson.dumps(["end", ["g1", 5], 3, False, *rest]), 0.0)


# Guards against requests of an earlier version that are refused or become probes.
def test_a_request_of_an_earlier_version_is_neither_probe_nor_held() -> None:
    once = make_gateway_job(now_s=0.0).placement_request(0.0)
    assert once.runs_once
    assert not once.spare_attempts
    twice = make_gateway_job(
        now_s=0.0, route=make_route(resumable=True, max_attempts=2)
    ).placement_request(0.0)
    assert not twice.runs_once
    assert twice.spare_attempts == 1
    for request in (once, twice):
        data = encode(Submit(Sender("g1", 5), 3, request), 0.0)
        received = decode(data, 0.0)
        assert isinstance(received, Submit)
        assert received.request[-2:] == request[-2:]
        kind, sender, number, row = orjson.loads(data)
        earlier = decode(orjson.dumps([kind, sender, number, row[:17]]), 0.0)
        assert isinstance(earlier, Submit)
        assert not earlier.request.runs_once
        assert not earlier.request.spare_attempts
