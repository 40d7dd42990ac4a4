"""Endpoints send bytes without end that are no response, until they are cut off.

The gateway must end each such request with a truthful status, close the connection,
keep its memory bounded, and serve other requests meanwhile.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from devtools.bench.usage import read_usage
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

# A gateway's whole memory target is 64 MB; this is what a burst of such responses adds.
MAX_ADDED_BYTES = 48_000_000
CONCURRENT_REQUESTS = 8
ENDLESS_MODES = (
    "endless-head",
    "endless-body",
    "endless-chunk-header",
    "endless-event",
)


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1)
    yield gateway_harness
    await gateway_harness.close()


@pytest.mark.parametrize("mode", ENDLESS_MODES)
@pytest.mark.parametrize("path", ["/book/1", "/chat/1"])
async def test_an_endless_response_is_cut_off_and_harms_no_other_request(
    harness: GatewayHarness, mode: str, path: str
) -> None:
    service = "shop" if path == "/book/1" else "model"
    endpoint = await harness.add_endpoint("e1", service, mode)
    await harness.add_endpoint("s2", "shop" if service == "model" else "model", "ok")
    await harness.start()
    memory_before = read_usage(harness.processes["g1"].pid).memory_bytes
    endless = [
        asyncio.create_task(harness.send_request(path, f"q{n}", body=b"x"))
        for n in range(CONCURRENT_REQUESTS)
    ]
    await asyncio.sleep(0.2)
    other_path = "/stock/1" if service == "model" else "/chat/1"
    other = await harness.send_request(other_path, "other", body=b"x")
    responses = await asyncio.gather(*endless)
    memory_after = read_usage(harness.processes["g1"].pid).memory_bytes
    assert other.status == 200
    # The endpoint may have run the requests, so no status may state otherwise.
    assert all(r.status in (502, 504) or not r.complete for r in responses)
    assert len(endpoint.executed_ids) == CONCURRENT_REQUESTS
    assert memory_after - memory_before < MAX_ADDED_BYTES
    sent_bytes = endpoint.filler_bytes
    await asyncio.sleep(0.3)
    assert endpoint.filler_bytes == sent_bytes


async def test_an_endless_cache_list_does_not_delay_requests(
    harness: GatewayHarness,
) -> None:
    endpoint = await harness.add_endpoint("m1", "model", "stream")
    endpoint.cached_prefixes = [(f"{n:032x}", 1) for n in range(200_000)]
    await harness.start()
    response = await harness.send_request("/chat/1", "q1", body=b"x")
    assert (response.status, response.complete) == (200, True)


async def test_a_stream_that_ends_within_an_event_does_not_look_complete(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("m1", "model", "torn")
    await harness.start()
    response = await harness.send_request("/chat/1", "q1", body=b"x")
    assert not response.complete
    assert response.body == b"id: 1\ndata: q1-1\n\nid: 2\ndata: q1-2\n\n"
