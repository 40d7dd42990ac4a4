"""A prompt part that crashes engines is kept from them, and sound requests are not.

Operators of similar systems saw requests with one part crash engine after engine.
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

GATEWAYS = ("g1", "g2", "g3")
ENGINES = 8
CONTACT_S = 3.0
# Requests with the part that may reach engines later than CONTACT_S after the fifth
# crash.
MAX_LATE_ARRIVALS = 3
INTERVAL_S = 0.3


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(
        1, [RouteSpec("/notes/", "streaming", "model", resumable=True)]
    )
    for number in range(ENGINES):
        endpoint = await gateway_harness.add_endpoint(f"m{number}", "model", "stream")
        endpoint.deadly_part = "deadly"
    for name in GATEWAYS:
        seeds = [ports["control"] for ports in gateway_harness.ports.values()]
        await gateway_harness.start(name, seeds)
    yield gateway_harness
    await gateway_harness.close()


def count_crashes(harness: GatewayHarness) -> int:
    return sum(len(e.crash_times_s) for e in harness.endpoints.values())


def count_arrivals(harness: GatewayHarness) -> int:
    return sum(
        "deadly" in request.prompt_parts
        for endpoint in harness.endpoints.values()
        for request in endpoint.received
    )


async def send(harness: GatewayHarness, number: int, parts: str) -> Response:
    return await harness.send_request(
        f"/notes/{number}",
        f"q{number}",
        body=str(number).encode(),
        name=GATEWAYS[number % len(GATEWAYS)],
        extra_headers={"X-Prompt-Prefix": parts},
    )


# Guards against a part whose requests, no two alike, crash engines without end.
async def test_a_part_that_crashes_engines_stops_reaching_them(
    harness: GatewayHarness,
) -> None:
    number = 0
    while count_crashes(harness) < 5 and number < 20:
        response = await send(harness, number, f"shared:300,deadly:50,own{number}:90")
        assert response.status in (502, 503)
        number += 1
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(CONTACT_S)
    before = count_arrivals(harness)
    sound: list[Response] = []
    refused: list[Response] = []
    for late in range(100, 124):
        response = await send(harness, late, f"shared:300,deadly:50,own{late}:90")
        if response.status == 503:
            refused.append(response)
        sound.append(await send(harness, late + 100, f"shared:300,own{late}:90"))
    assert count_arrivals(harness) - before <= MAX_LATE_ARRIVALS
    assert len(refused) >= 24 - MAX_LATE_ARRIVALS
    assert all(float(response.headers["Retry-After"]) > 0 for response in refused)
    assert [response.status for response in sound] == [200] * len(sound)
    assert all(response.complete for response in sound)


# Guards against a part that goes on crashing engines because others answer it with an
# error, which shows nothing of what an engine does when it begins to write.
async def test_an_error_response_does_not_clear_a_part(
    harness: GatewayHarness,
) -> None:
    for name in ("m5", "m6", "m7"):
        harness.endpoints[name].mode = "error"
        harness.endpoints[name].deadly_part = ""
    for number in range(45):
        await send(harness, number, f"shared:300,deadly:50,own{number}:90")
        await asyncio.sleep(INTERVAL_S)
    assert count_crashes(harness) <= ENGINES


# Guards against a request under which three engines had ended and that is sent to
# further ones when it comes again, at any gateway.
async def test_a_whole_request_that_crashes_engines_stops_reaching_them(
    harness: GatewayHarness,
) -> None:
    parts = "shared:300,own:90"
    for endpoint in harness.endpoints.values():
        endpoint.deadly_part = "own"
    for number in range(20):
        response = await harness.send_request(
            "/notes/1",
            f"q{number}",
            body=b"the same",
            name=GATEWAYS[number % len(GATEWAYS)],
            extra_headers={"X-Prompt-Prefix": parts},
        )
        assert response.status in (502, 503)
        if count_crashes(harness) >= 3:
            await asyncio.sleep(CONTACT_S)
            break
        await asyncio.sleep(INTERVAL_S)
    before = count_crashes(harness)
    for late in range(100, 124):
        response = await harness.send_request(
            "/notes/1",
            f"q{late}",
            body=b"the same",
            name=GATEWAYS[late % len(GATEWAYS)],
            extra_headers={"X-Prompt-Prefix": parts},
        )
        assert response.status == 503
        sound = await send(harness, late + 100, f"shared:300,own{late}:90")
        assert sound.status == 200
    assert count_crashes(harness) == before
