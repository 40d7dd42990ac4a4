"""The fault proxy of the soak plays only what a network can do."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import wait_until
from devtools.fault_proxy import Fault
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

EVENT_GAP_S = 0.2


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1)
    yield gateway_harness
    await gateway_harness.close()


# Guards against a hole in the bytes of a connection (soak seed 605): the last chunk of
# a stream arrived although its events were lost, so that its start looked complete.
async def test_a_connection_that_has_lost_bytes_brings_none_of_the_later_ones(
    harness: GatewayHarness,
) -> None:
    endpoint = await harness.add_endpoint("m1", "model", "stream", proxied=True)
    endpoint.event_gap_s = EVENT_GAP_S
    await harness.start()
    task = asyncio.create_task(harness.send_request("/chat/1", "q1"))
    await wait_until(lambda: bool(endpoint.executed_ids))
    await asyncio.sleep(EVENT_GAP_S / 2)
    harness.proxies["m1"].fault = Fault.LOSE_RESPONSES
    await asyncio.sleep((endpoint.event_count - 1) * EVENT_GAP_S)
    harness.proxies["m1"].clear_faults()
    response = await task
    assert response.body == b"id: 1\ndata: q1-1\n\n"
    assert not response.complete
