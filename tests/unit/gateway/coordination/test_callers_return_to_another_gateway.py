"""A refused caller returns on a new connection, which leads to another gateway.

Its place is at the coordinator, so it doesn't matter which gateway that is. A new
coordinator knows no places, and treats the caller as new.
"""

from __future__ import annotations

import asyncio

import pytest

from shallotroad.gateway.exceptions import RefusedError
from tests.coordination_builders import GatewayFixture
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateways
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_prompt_request


BACKLOG_MS = 2_800.0
DEADLINE_MS = 12_000
# Time in which a refusal arrives, also of the coordinator after a lost one.
MAX_REPLY_S = 0.4


def fill(gateway: GatewayFixture) -> None:
    fixture = gateway.admission_fixture
    for load in fixture.endpoint_registry.loads.values():
        load.record_dispatch(BACKLOG_MS, fixture.clock())


async def try_at(gateway: GatewayFixture, part: str) -> float | None:
    """Return the delay of a refusal, or None if the request is placed or waits."""
    job = make_gateway_job(
        now_s=gateway.admission_fixture.clock(),
        route=make_gap_tolerant_route(timeout_ms=DEADLINE_MS),
        request=make_prompt_request("shared", 5_400, part, 6_600)._replace(
            deadline_ms=float(DEADLINE_MS)
        ),
    )
    task = asyncio.create_task(gateway.placement_client.place(job))
    await asyncio.wait([task], timeout=MAX_REPLY_S)
    if not task.done():
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return None
    error = task.exception()
    return error.retry_after_s if isinstance(error, RefusedError) else None


# Guards against a place that only the gateway knows that refused the caller.
async def test_a_caller_has_its_place_at_every_gateway() -> None:
    gateways = make_gateways(Network(), 4)
    fill(gateways[0])
    delay_s = await try_at(gateways[1], "a")
    assert delay_s is not None
    assert delay_s == pytest.approx(BACKLOG_MS / 900, abs=0.1)
    await asyncio.sleep(delay_s)
    fill(gateways[0])
    assert await try_at(gateways[2], "b") is not None
    assert await try_at(gateways[3], "a") is None
    assert gateways[0].admission_fixture.admission.decisions["place used"] == 1


# Guards against state whose loss harms more than the places that it held.
async def test_a_new_coordinator_treats_a_returning_caller_as_new() -> None:
    network = Network()
    gateways = make_gateways(network, 4)
    fill(gateways[0])
    delay_s = await try_at(gateways[2], "a")
    assert delay_s is not None
    await asyncio.sleep(delay_s)
    network.partitioned.add("g0")
    fill(gateways[1])
    assert await try_at(gateways[2], "a") is not None
    assert gateways[1].admission_fixture.admission.return_places == 1
