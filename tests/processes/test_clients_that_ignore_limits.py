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
from devtools.dependency_standins import HOST
from devtools.gateway_harness import GatewayHarness

from tests.clients_without_limits import BYTE_CHUNK
from tests.clients_without_limits import CHUNKED
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


async def send_body(harness: GatewayHarness, number: int, body: bytes) -> int:
    response = await harness.send_request("/book/1", f"b{number}", body=body, name="g2")
    return response.status


async def send_in_small_chunks(harness: GatewayHarness, body_bytes: int) -> bytes:
    """Send a body in chunks of one byte and return the first line of the response."""
    reader, writer = await asyncio.open_connection(HOST, harness.ports["g2"]["front"])
    writer.write(CHUNKED)
    for _ in range(body_bytes // 4_096):
        writer.write(BYTE_CHUNK * 4_096)
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return line


async def test_clients_within_the_limits_meet_no_new_one(
    harness: GatewayHarness,
) -> None:
    await harness.start("g2", limits={"memory-mb": 160, "max-fds": 4096})
    small = [send_body(harness, n, b"x" * 17_000) for n in range(300)]
    large = [send_body(harness, 300 + n, b"x" * MAX_BODY_BYTES) for n in range(8)]
    statuses = await asyncio.gather(*small, *large)
    assert set(statuses) == {200}
    assert b" 200 " in await send_in_small_chunks(harness, MAX_BODY_BYTES)
    limits = {"caller request shed", "caller connection closed"}
    assert not [e for e in harness.read_log("g2") if e.get("event") in limits]
