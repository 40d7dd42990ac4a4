"""Endpoints of two software versions serve side by side in one service.

What two versions write does not fit together, so a stream may go on only at the version
that began it, within a response and over the tries of a caller.
"""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import wait_until
from devtools.fault_proxy import Fault
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

GATEWAYS = ("g1", "g2", "g3")
REQUESTS = 12


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1, keys={"k1": "clinic", "k2": "shop"})
    yield gateway_harness
    await gateway_harness.close()


async def start_gateways(harness: GatewayHarness) -> None:
    """Start three gateways, and wait until all of them know one another."""
    for name in GATEWAYS:
        seeds = [ports["control"] for ports in harness.ports.values()]
        await harness.start(name, seeds)
    await wait_for_members(harness)


async def wait_for_members(harness: GatewayHarness) -> None:
    """Wait until all gateways know one another."""
    async with asyncio.timeout(10.0):
        for name in GATEWAYS:
            while len((await harness.dump(name))["live_entries"]) < len(GATEWAYS):
                await asyncio.sleep(0.1)


def resumed_at(harness: GatewayHarness) -> dict[str, int]:
    """Return how many streams were resumed at the endpoints of each version."""
    counts = {"v1": 0, "v2": 0}
    for endpoint in harness.endpoints.values():
        resumed = [r for r in endpoint.received if "last-event-id" in r.headers]
        counts[endpoint.software_version] += len(resumed)
    return counts


async def resume(
    harness: GatewayHarness, name: str, request_id: str, resumes: str, key: str = "k1"
) -> int:
    """Resume a stream after its second event at a gateway; return the status."""
    response = await harness.send_request(
        "/notes/1",
        request_id,
        name=name,
        extra_headers={
            "Last-Event-Id": "2",
            "Authorization": f"Token {key}",
            **({"Resumes": resumes} if resumes else {}),
        },
    )
    return response.status


# Guards against ORDER: a gateway resumes a broken stream at another version.
async def test_a_broken_stream_goes_on_at_its_own_version(
    harness: GatewayHarness,
) -> None:
    beginning = await harness.add_endpoint("m1", "model", "cut", software_version="v1")
    beginning.event_gap_s = 0.6
    await start_gateways(harness)
    tasks = [
        asyncio.create_task(harness.send_request("/notes/1", f"q{n}", name=name))
        for n, name in enumerate(GATEWAYS * 2)
    ]
    await wait_until(lambda: len(beginning.received) == len(tasks))
    await harness.add_endpoint("m2", "model", "stream", software_version="v2")
    await harness.add_endpoint("m3", "model", "stream", software_version="v1")
    responses = await asyncio.gather(*tasks)
    assert all(response.complete for response in responses)
    assert resumed_at(harness) == {"v1": len(tasks), "v2": 0}


# Guards against ORDER: where its version is gone, the stream goes on at another one.
async def test_a_stream_whose_version_is_gone_is_broken_off(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("m1", "model", "cut", software_version="v1")
    await harness.start()
    task = asyncio.create_task(harness.send_request("/notes/1", "q1"))
    await wait_until(lambda: bool(harness.endpoints["m1"].received))
    await harness.add_endpoint("m2", "model", "stream", software_version="v2")
    response = await task
    assert not response.complete
    assert resumed_at(harness) == {"v1": 0, "v2": 0}


# Guards against ORDER: the caller resumes at a gateway that did not see the beginning.
async def test_a_caller_resumes_at_the_version_that_began_its_stream(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("m1", "model", "cut", software_version="v1")
    await start_gateways(harness)
    begun = await asyncio.gather(
        *(harness.send_request("/notes/1", f"q{n}") for n in range(REQUESTS))
    )
    assert not any(response.complete for response in begun)
    harness.processes["g1"].kill()
    await harness.add_endpoint("m2", "model", "stream", software_version="v2")
    await harness.add_endpoint("m3", "model", "stream", software_version="v1")
    harness.store.put("servers/m1", None)
    await asyncio.sleep(1.0)
    statuses = [
        await resume(harness, GATEWAYS[1 + n % 2], f"r{n}", f"q{n}")
        for n in range(REQUESTS)
    ]
    assert statuses == [200] * REQUESTS
    assert resumed_at(harness) == {"v1": REQUESTS, "v2": 0}


# Guards against LOST: after restarts in turn no gateway knows who began a stream.
async def test_a_gateway_that_stops_hands_over_who_began_its_streams(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("m1", "model", "cut", software_version="v1")
    await start_gateways(harness)
    begun = await asyncio.gather(
        *(harness.send_request("/notes/1", f"q{n}") for n in range(REQUESTS))
    )
    assert not any(response.complete for response in begun)
    await harness.add_endpoint("m2", "model", "stream", software_version="v2")
    await harness.add_endpoint("m3", "model", "stream", software_version="v1")
    harness.store.put("servers/m1", None)
    for name in GATEWAYS[1:]:
        harness.processes[name].kill()
        await harness.processes[name].wait()
        seeds = [ports["control"] for ports in harness.ports.values()]
        await harness.start(name, seeds)
    await wait_for_members(harness)
    harness.send_signal("g1", signal.SIGTERM)
    await harness.processes["g1"].wait()
    statuses = [
        await resume(harness, GATEWAYS[1 + n % 2], f"r{n}", f"q{n}")
        for n in range(REQUESTS)
    ]
    assert statuses == [200] * REQUESTS
    assert resumed_at(harness) == {"v1": REQUESTS, "v2": 0}


# Guards against ORDER: nobody knows the version, or another team asks for it.
@pytest.mark.parametrize(
    ("resumes", "key"),
    [("", "k1"), ("other", "k1"), ("q" * 300, "k1"), ("q0", "k2")],
    ids=["none", "unknown", "too-long", "other-team"],
)
async def test_a_stream_of_unknown_version_is_refused_beside_two_versions(
    harness: GatewayHarness, resumes: str, key: str
) -> None:
    await harness.add_endpoint("m1", "model", "stream", software_version="v1")
    await harness.add_endpoint("m2", "model", "stream", software_version="v2")
    await start_gateways(harness)
    await harness.send_request("/notes/1", "q0")
    assert await resume(harness, "g2", "r0", resumes, key) == 503
    assert resumed_at(harness) == {"v1": 0, "v2": 0}


# Guards against ORDER: a gateway that is cut off from the store and its peers takes the
# only version that it knows of for the one that began a stream.
@pytest.mark.parametrize("fault", [Fault.SILENT, Fault.CUT], ids=["silent", "closed"])
@pytest.mark.parametrize("after_s", [0.0, 3.0], ids=["at-once", "later"])
async def test_a_gateway_that_is_cut_off_does_not_guess_the_version(
    harness: GatewayHarness, fault: Fault, after_s: float
) -> None:
    old = await harness.add_endpoint("m1", "model", "stream", software_version="v1")
    store_link = await harness.add_proxy("g2", harness.store.port)
    await harness.start("g1")
    await harness.start("g2")
    assert await resume(harness, "g2", "r0", "other") == 200
    old.received.clear()
    if fault is Fault.CUT:
        store_link.disconnect()
    store_link.fault = fault
    await asyncio.sleep(after_s)
    new = await harness.add_endpoint("m2", "model", "cut", software_version="v2")
    harness.store.put("servers/m1", None)
    await wait_for_endpoints(harness, "g1", {"m2"})
    begun = await asyncio.gather(
        *(harness.send_request("/notes/1", f"q{n}") for n in range(REQUESTS))
    )
    assert not any(response.complete for response in begun)
    assert len(new.received) >= REQUESTS
    statuses = await asyncio.gather(
        *(resume(harness, "g2", f"r{n}", f"q{n}") for n in range(REQUESTS))
    )
    assert statuses == [503] * REQUESTS
    assert old.received == []
    store_link.clear_faults()
    await wait_for_endpoints(harness, "g2", {"m2"})
    assert await resume(harness, "g2", "r-later", "q0") == 503
    assert old.received == []


async def wait_for_endpoints(
    harness: GatewayHarness, name: str, endpoints: set[str]
) -> None:
    """Wait until a gateway knows exactly these endpoints."""
    async with asyncio.timeout(10.0):
        known: set[str] = set()
        while known != endpoints:
            await asyncio.sleep(0.05)
            rows = (await harness.dump(name))["endpoints"]
            known = {row["endpoint"] for row in rows}


async def test_a_stream_of_unknown_version_goes_on_where_there_is_one_version(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("m1", "model", "stream")
    await harness.start()
    assert await resume(harness, "g1", "r0", "") == 200
    assert await resume(harness, "g1", "r1", "other") == 200
