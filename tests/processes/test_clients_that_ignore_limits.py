"""Clients that nobody controls must not end a gateway or exhaust its memory.

Guards against buffers that are bounded each but not together. Nothing is checked of
times or of the share of requests that is served.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
from devtools.bench.usage import count_descriptors
from devtools.bench.usage import read_peak_memory_bytes
from devtools.gateway_harness import GatewayHarness

from tests.clients_without_limits import KINDS
from tests.clients_without_limits import MAX_BODY_BYTES
from tests.clients_without_limits import Crowd


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

pytestmark = pytest.mark.alone

MEMORY_MB = 120
MAX_FDS = 256
# The share of its memory that a gateway may use, as docs/hard-load.md states.
MAX_MEMORY_BYTES = 0.8 * MEMORY_MB * 1_000_000
CLIENTS = 60
# More than the descriptors, for clients that hold nothing but their connection.
CONNECTIONS = 300
CLIENTS_BY_KIND = {
    "heads that stop": CONNECTIONS,
    "connections without a request": CONNECTIONS,
}
PAIRS = [
    ("chunks of one byte", "many short header lines"),
    ("large chunks short of the end", "pipelining without reading"),
    ("announced body over the limit", "announced body less one byte"),
    ("empty lines without end", "chunked body over the limit"),
]
SETTLE_S = 0.5
ANSWER_TIMEOUT_S = 20.0


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1, limits={"max-body-bytes": MAX_BODY_BYTES})
    await gateway_harness.add_endpoint("s1", "shop", "ok")
    await gateway_harness.start(limits={"memory-mb": MEMORY_MB, "max-fds": MAX_FDS})
    yield gateway_harness
    await gateway_harness.close()


async def is_served(harness: GatewayHarness) -> bool:
    """Return whether an ordinary request is served, if need be on a further attempt."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while harness.processes["g1"].returncode is None:
            try:
                response = await harness.send_request("/stock/1", "ordinary")
            except aiohttp.ClientError:
                response = None
            if response is not None and response.status == 200:
                return True
            await asyncio.sleep(0.2)
    return False


@pytest.mark.parametrize(
    "kinds", [*((kind,) for kind in KINDS), *PAIRS], ids=" + ".join
)
async def test_a_crowd_leaves_the_process_within_its_limits_and_serving(
    harness: GatewayHarness, kinds: tuple[str, ...]
) -> None:
    process = harness.processes["g1"]
    clients = max(CLIENTS_BY_KIND.get(kind, CLIENTS) for kind in kinds)
    crowd = Crowd(harness.ports["g1"]["front"], kinds, clients)
    descriptors = 0

    async def count_periodically() -> None:
        nonlocal descriptors
        while True:
            descriptors = max(descriptors, count_descriptors(process.pid))
            await asyncio.sleep(0.05)

    counting = asyncio.create_task(count_periodically())
    try:
        await crowd.send()
        await asyncio.sleep(SETTLE_S)
    finally:
        counting.cancel()
        crowd.close()
    served = await is_served(harness)
    peak_bytes = read_peak_memory_bytes(process.pid)
    print(f"peak {peak_bytes / 1e6:.0f} MB, {descriptors} descriptors")
    assert process.returncode is None
    assert served
    assert peak_bytes <= MAX_MEMORY_BYTES
    assert descriptors <= MAX_FDS
