"""Slow responses that go on are not cut; stalled ones end, whatever bytes they send.

Operators of similar systems saw both: a limit between two events cut sound streams, and
one that any byte restarted let stalled ones run without end.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import RouteSpec
from devtools.gateway_harness import GatewayHarness

from tests.helpers import eventually


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

ROUTE_TIMEOUT_MS = 6_000
DEADLINE = {"X-Deadline-Ms": str(ROUTE_TIMEOUT_MS)}
# An attempt ends at most this long after its route's timeout.
MAX_OVERRUN_S = 0.5


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(
        1,
        [
            RouteSpec("/chat/", "streaming", "model", ROUTE_TIMEOUT_MS, 1),
            RouteSpec("/book/", "unsafe", "shop", 1_000, 1),
        ],
    )
    yield gateway_harness
    await gateway_harness.close()


async def test_a_slow_stream_reaches_its_caller_whole(harness: GatewayHarness) -> None:
    await harness.add_endpoint("m1", "model", "stream")
    harness.endpoints["m1"].event_count = 4
    harness.endpoints["m1"].event_gap_s = 1.2
    await harness.start()
    response = await harness.send_request(
        "/chat/1", "q1", body=b"x", extra_headers=DEADLINE
    )
    assert response.complete
    assert response.body.count(b"\n\n") == 4


async def test_a_stalled_stream_ends_with_its_route_and_not_as_complete(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("m1", "model", "stalled")
    await harness.start()
    async with asyncio.timeout(ROUTE_TIMEOUT_MS / 1000 + 2 * MAX_OVERRUN_S):
        response = await harness.send_request(
            "/chat/1", "q1", body=b"x", extra_headers=DEADLINE
        )
    assert not response.complete
    assert response.body == b"id: 1\ndata: q1-1\n\nid: 2\ndata: q1-2\n\n"
    sent_bytes = harness.endpoints["m1"].filler_bytes
    await asyncio.sleep(1.0)
    assert harness.endpoints["m1"].filler_bytes <= sent_bytes + 2


async def test_a_stalled_body_ends_with_its_route(harness: GatewayHarness) -> None:
    await harness.add_endpoint("s1", "shop", "stalled")
    await harness.start()
    async with asyncio.timeout(1.0 + 2 * MAX_OVERRUN_S):
        response = await harness.send_request("/book/1", "q1", body=b"x")
    assert response.status == 504
    assert len(harness.endpoints["s1"].executed_ids) == 1
    await eventually(
        lambda: harness.endpoints["s1"].filler_bytes > 0,
        what="the endpoint sends bytes",
    )
