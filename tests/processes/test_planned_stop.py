"""Guards against requests without an answer around the stop of a real gateway."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import HOST
from devtools.dependency_standins import wait_until
from devtools.gateway_harness import HEADERS
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

ANSWER_TIMEOUT_S = 12.0


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1)
    yield gateway_harness
    await gateway_harness.close()


def encode_post(path: str, request_id: str) -> bytes:
    fields = {
        **HEADERS,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "3000",
        "Content-Length": "0",
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode()


async def connect(
    harness: GatewayHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(HOST, harness.ports["g1"]["front"])


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        return await reader.read()


# Guards against requests that a stop drops because an earlier response closes.
async def test_requests_sent_at_once_are_all_answered_by_a_stopping_gateway(
    harness: GatewayHarness,
) -> None:
    endpoint = await harness.add_endpoint("m1", "model", "stream")
    endpoint.event_count = 20
    await harness.start()
    reader, writer = await connect(harness)
    writer.write(b"".join(encode_post("/chat/1", f"q{n}") for n in range(3)))
    await wait_until(lambda: bool(endpoint.received))
    harness.send_signal("g1", signal.SIGTERM)
    received = await read_to_end(reader)
    assert received.count(b"HTTP/1.1 200 OK") == 3
    assert received.count(b"-20\n\n") == 3
    assert received.count(b"Connection: close") == 1
    assert await asyncio.wait_for(harness.processes["g1"].wait(), 8) == 0
    writer.close()
