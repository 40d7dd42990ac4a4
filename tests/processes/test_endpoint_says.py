"""What endpoints say in their answers: that they leave, and that they want quiet.

From 2 s after a gateway has passed on that an endpoint leaves, no request from a caller
may reach it. One that turns a request away with a time to retry gets at most two
requests of that gateway from half a second later until that time is over.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import RouteSpec
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from devtools.gateway_harness import Response

GATEWAYS = ("g1", "g2")
DRAIN_S = 2.0
QUIET_LEAD_S = 0.5
MAX_QUIET_ARRIVALS = 2
REQUESTS_PER_S = 20.0
PATHS = {"model": "/notes/", "shop": "/stock/"}


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(
        1,
        [
            RouteSpec("/notes/", "streaming", "model", resumable=True),
            RouteSpec("/stock/", "safe", "shop"),
        ],
    )
    for number in range(2):
        await gateway_harness.add_endpoint(f"m{number}", "model", "stream")
        await gateway_harness.add_endpoint(f"s{number}", "shop", "ok")
    for name in GATEWAYS:
        await gateway_harness.add_proxy(name, gateway_harness.store.port)
        seeds = [ports["control"] for ports in gateway_harness.ports.values()]
        await gateway_harness.start(name, seeds)
    yield gateway_harness
    await gateway_harness.close()


async def send_load(
    harness: GatewayHarness, service: str, for_s: float, first: int
) -> list[Response]:
    """Send requests to the gateways in turn; return the responses."""
    tasks = []
    for number in range(first, first + round(for_s * REQUESTS_PER_S)):
        request = harness.send_request(
            f"{PATHS[service]}{number}",
            f"q{number}",
            name=GATEWAYS[number % len(GATEWAYS)],
            extra_headers={"X-Prompt-Prefix": f"s{number % 5}:3000,own{number}:90"},
        )
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


# Guards against requests that reach an endpoint long after it has said that it leaves,
# while the store, which some gateways can't reach, still lists it as ready.
@pytest.mark.parametrize("service", ["model", "shop"])
@pytest.mark.parametrize("silenced", [False, True])
async def test_an_endpoint_that_says_it_leaves_gets_no_more_requests(
    harness: GatewayHarness, service: str, *, silenced: bool
) -> None:
    await send_load(harness, service, 1.0, 0)
    endpoints = [e for e in harness.endpoints.values() if e.service == service]
    if silenced:
        for name in GATEWAYS:
            harness.proxies[name].silence_open_connections()
    leaving = max(endpoints, key=lambda endpoint: len(endpoint.received))
    leaving.leaving = True
    await send_load(harness, service, DRAIN_S, 1000)
    left_s = asyncio.get_running_loop().time()
    responses = await send_load(harness, service, 3.0, 2000)
    assert {response.status for response in responses} == {200}
    assert sum(s > left_s for s in leaving.received_s) == 0


# Guards against requests that go on reaching an endpoint that asked for quiet.
@pytest.mark.parametrize("service", ["model", "shop"])
async def test_an_endpoint_that_asks_for_quiet_gets_it(
    harness: GatewayHarness, service: str
) -> None:
    await send_load(harness, service, 1.0, 0)
    endpoints = [e for e in harness.endpoints.values() if e.service == service]
    quiet = max(endpoints, key=lambda endpoint: len(endpoint.received))
    quiet.mode, quiet.retry_after = "full", "3.0"
    before = len(quiet.received)
    asked_s = asyncio.get_running_loop().time()
    responses = await send_load(harness, service, 3.0, 1000)
    assert len(quiet.received) > before
    assert {response.status for response in responses} == {200}
    first_s = quiet.received_s[before]
    arrivals = sum(first_s + QUIET_LEAD_S < s < asked_s + 3.0 for s in quiet.received_s)
    assert arrivals <= MAX_QUIET_ARRIVALS * len(GATEWAYS)
    quiet.mode = "stream" if service == "model" else "ok"
    after = len(quiet.received)
    await send_load(harness, service, 4.0, 2000)
    assert len(quiet.received) > after


# Guards against callers that are held, or told nothing, while all endpoints want quiet.
async def test_a_request_is_refused_while_all_endpoints_want_quiet(
    harness: GatewayHarness,
) -> None:
    for endpoint in harness.endpoints.values():
        endpoint.mode, endpoint.retry_after = "full", "5"
    await send_load(harness, "shop", 1.0, 0)
    before = [len(endpoint.received) for endpoint in harness.endpoints.values()]
    responses = await send_load(harness, "shop", 1.0, 1000)
    assert {response.status for response in responses} == {503}
    assert all(0 < float(r.headers["Retry-After"]) <= 5.0 for r in responses)
    assert [len(e.received) for e in harness.endpoints.values()] == before
