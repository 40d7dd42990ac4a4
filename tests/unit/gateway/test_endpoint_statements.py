"""What endpoints say of themselves: that they leave, and that they want quiet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.platform.headers import decode_response
from shallotroad.policy.cells import Cell
from shallotroad.policy.endpoint_statement import MAX_LEAVING_S
from shallotroad.policy.endpoint_statement import MAX_QUIET_S
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateways
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_record
from tests.gateway_builders import make_service
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.platform.headers import ResponseHead
    from tests.coordination_builders import GatewayFixture

PLAIN = make_service(engine=None)
SIGNATURE = (b"X-Replica-Signature", b"s")
LEAVES = decode_response(200, [SIGNATURE, (b"Server-Leaving", b"1")])


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


def turned_away(retry_after: str) -> ResponseHead:
    headers = [(b"X-Not-Executed", b"1"), (b"Retry-After", retry_after.encode())]
    return decode_response(503, headers)


def registry_of(gateway: GatewayFixture) -> EndpointRegistry:
    return gateway.admission_fixture.endpoint_registry


def now_s() -> float:
    return asyncio.get_running_loop().time()


def usable(gateway: GatewayFixture) -> set[str]:
    registry = registry_of(gateway)
    unusable = registry.unusable_endpoints(Cell("chat"))
    return {load.record.identifier for load in registry.active_loads(Cell("chat"))} - (
        unusable
    )


# Guards against a gateway that goes on using an endpoint which told another one that it
# leaves, while the store, which can't be reached, lists it as ready.
async def test_all_gateways_know_that_an_endpoint_leaves() -> None:
    gateways = make_gateways(Network(), 5)
    gateways[3].statements.record_answer(make_record("e2"), LEAVES, now_s())
    await asyncio.sleep(0.1)
    for gateway in gateways:
        assert "e2" not in usable(gateway)
        assert registry_of(gateway).is_leaving("e2")
    for _ in range(12):
        job = make_gateway_job(now_s=now_s())
        placement = await gateways[4].placement_client.place(job)
        assert placement.load.record.identifier != "e2"


async def test_a_restarted_endpoint_starts_clean() -> None:
    (gateway,) = make_gateways(Network(), 1)
    gateway.statements.record_answer(make_record("e2"), LEAVES, now_s())
    gateway.statements.record_answer(make_record("e2"), turned_away("9"), now_s())
    assert not registry_of(gateway).takes_requests("e2")
    registry_of(gateway).put(make_record("e2", started_at_ms=2))
    assert registry_of(gateway).takes_requests("e2")
    gateway.statements.record_answer(make_record("e2"), LEAVES, now_s())
    gateway.statements.record_answer(make_record("e2"), turned_away("9"), now_s())
    assert registry_of(gateway).takes_requests("e2")


async def test_another_endpoint_at_the_address_says_nothing_of_this_one() -> None:
    (gateway,) = make_gateways(Network(), 1)
    other = decode_response(421, [SIGNATURE, (b"Server-Leaving", b"1")])
    gateway.statements.record_answer(make_record("e2"), other, now_s())
    unsigned = decode_response(200, [(b"Server-Leaving", b"1")])
    gateway.statements.record_answer(make_record("e2"), unsigned, now_s())
    assert registry_of(gateway).takes_requests("e2")


# Guards against an endpoint that is lost for ever because it said something wrong.
async def test_a_wrong_statement_does_harm_for_a_bounded_time() -> None:
    (gateway,) = make_gateways(Network(), 1)
    gateway.statements.record_answer(make_record("e1"), LEAVES, now_s())
    gateway.statements.record_answer(make_record("e2"), turned_away("999999"), now_s())
    await asyncio.sleep(MAX_QUIET_S - 1)
    assert not registry_of(gateway).takes_requests("e2")
    await asyncio.sleep(2)
    assert registry_of(gateway).takes_requests("e2")
    assert not registry_of(gateway).takes_requests("e1")
    await asyncio.sleep(MAX_LEAVING_S)
    assert registry_of(gateway).takes_requests("e1")


@pytest.mark.parametrize(
    "value", ["", "-5", "nan", "inf", "x", "Fri, 31 Dec 2027 23:59:59 GMT", "1e9"]
)
async def test_a_malformed_time_to_retry_asks_for_nothing(value: str) -> None:
    (gateway,) = make_gateways(Network(), 1)
    gateway.statements.record_answer(make_record("e2"), turned_away(value), now_s())
    assert registry_of(gateway).takes_requests("e2")


async def test_quiet_is_for_the_gateway_that_was_told() -> None:
    gateways = make_gateways(Network(), 3)
    gateways[1].statements.record_answer(make_record("e2"), turned_away("2.5"), now_s())
    await asyncio.sleep(0.1)
    assert "e2" not in usable(gateways[1])
    assert "e2" in usable(gateways[0])
    assert "e2" in usable(gateways[2])
    await asyncio.sleep(2.5)
    assert "e2" in usable(gateways[1])


# Guards against a request that waited for an endpoint while that asked for quiet.
async def test_a_queued_request_gets_no_endpoint_that_asks_for_quiet_meanwhile() -> (
    None
):
    gateways = make_gateways(Network(), 2)
    for gateway in gateways:
        for number in range(1, 6):
            registry_of(gateway).remove(f"e{number}")
        registry_of(gateway).put(make_record("e0", slots=1))
    first = await gateways[1].placement_client.place(make_gateway_job(now_s=now_s()))
    job = make_gateway_job(now_s=now_s())
    waiting = asyncio.create_task(gateways[1].placement_client.place(job))
    await asyncio.sleep(0.1)
    gateways[1].statements.record_answer(make_record("e0"), turned_away("9"), now_s())
    first.load.record_end(first.due_s, started=False, now_s=now_s())
    gateways[1].placement_client.record_end(first, success=False)
    try:
        placement = await waiting
    except RefusedError:
        return
    # The forwarder looks again before it sends.
    assert not registry_of(gateways[1]).takes_requests(placement.load.record.identifier)


@pytest.mark.parametrize("kind", ["quiet", "leaving"])
async def test_a_request_is_refused_at_once_while_all_endpoints_say_so(
    kind: str,
) -> None:
    (gateway,) = make_gateways(Network(), 1)
    for name in registry_of(gateway).loads:
        head = turned_away("4") if kind == "quiet" else LEAVES
        gateway.statements.record_answer(make_record(name), head, now_s())
    for service in (make_service(), PLAIN):
        started_s = now_s()
        with pytest.raises(RefusedError) as refusal:
            await gateway.placement_client.place(
                make_gateway_job(now_s=started_s, service=service)
            )
        assert now_s() - started_s < 0.05
        assert 0 < refusal.value.retry_after_s <= 4.0
