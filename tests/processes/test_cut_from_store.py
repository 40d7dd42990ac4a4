"""Endpoints that leave, or whose registration lapses, while gateways miss the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from devtools.fault_proxy import Fault
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from devtools.fault_proxy import FaultProxy

CUT_S = 4.0
# Time after its leaving from which an endpoint must get no more requests, and time
# after a cut from which a gateway counts as in touch.
DRAIN_S = 2.0
CONTACT_S = 3.0
# Within two seconds, and early enough that a busy machine does not make it later.
REREGISTRATION_S = 1.5
SERVED_S = 4.0
REQUESTS = 12


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1)
    yield gateway_harness
    await gateway_harness.close()


async def start_gateways(harness: GatewayHarness, names: list[str]) -> list[FaultProxy]:
    """Start gateways that know one another; return their ways to the store."""
    links = [await harness.add_proxy(name, harness.store.port) for name in names]
    for name in names:
        await harness.start(
            name, [ports["control"] for ports in harness.ports.values()]
        )
    async with asyncio.timeout(10.0):
        for name in names:
            while len((await harness.dump(name))["live_entries"]) < len(names):
                await asyncio.sleep(0.1)
    return links


def cut(link: FaultProxy, fault: Fault) -> None:
    if fault is Fault.CUT:
        link.disconnect()
    link.fault = fault


async def send_requests(harness: GatewayHarness, prefix: str) -> list[int]:
    responses = await asyncio.gather(
        *(harness.send_request("/stock/1", f"{prefix}{n}") for n in range(REQUESTS))
    )
    return [response.status for response in responses]


# Guards against DRAIN: a gateway that was cut off keeps an endpoint that has left.
@pytest.mark.parametrize(
    ("fault", "peers"),
    [(Fault.SILENT, 1), (Fault.CUT, 1), (Fault.CUT, 0)],
    ids=["silent", "closed", "closed-alone"],
)
async def test_an_endpoint_that_leaves_after_a_cut_gets_nothing(
    harness: GatewayHarness, fault: Fault, peers: int
) -> None:
    leaving = await harness.add_endpoint("m1", "shop", "ok")
    await harness.add_endpoint("m2", "shop", "ok")
    names = ["g1", "g2"][: 1 + peers]
    link = (await start_gateways(harness, names))[0]
    assert await send_requests(harness, "before") == [200] * REQUESTS
    assert leaving.received
    cut(link, fault)
    await asyncio.sleep(CUT_S)
    link.clear_faults()
    healed_s = asyncio.get_running_loop().time()
    while not (await harness.dump("g1"))["store"]["connected"]:
        await asyncio.sleep(0.02)
    harness.store.put("servers/m1", None)
    left_s = asyncio.get_running_loop().time()
    after_s = DRAIN_S if peers else max(DRAIN_S, healed_s + CONTACT_S - left_s)
    await asyncio.sleep(after_s)
    leaving.received.clear()
    assert await send_requests(harness, "after") == [200] * REQUESTS
    assert leaving.received == []


# Guards against LOST: the only endpoint is dropped after an outage of the store.
@pytest.mark.parametrize("names", [["g1"], ["g1", "g2"]], ids=["alone", "two"])
async def test_an_endpoint_that_lapsed_with_the_store_serves_on(
    harness: GatewayHarness, names: list[str]
) -> None:
    endpoint = await harness.add_endpoint("m1", "shop", "ok")
    links = await start_gateways(harness, names)
    for link in links:
        cut(link, Fault.CUT)
    await asyncio.sleep(CUT_S)
    loop = asyncio.get_running_loop()
    harness.store.put("servers/m1", None)
    for link in links:
        link.clear_faults()
    began_s = loop.time()
    registration = endpoint.registration()
    loop.call_later(
        REREGISTRATION_S, lambda: harness.store.put("servers/m1", registration)
    )
    number = 0
    while loop.time() < began_s + SERVED_S:
        number += 1
        assert await send_requests(harness, f"r{number}-") == [200] * REQUESTS
        await asyncio.sleep(0.15)
