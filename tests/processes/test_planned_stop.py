"""Guards against requests without an answer around the stop of a real gateway."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import HOST
from devtools.dependency_standins import EndpointStandin
from devtools.dependency_standins import RouteSpec
from devtools.dependency_standins import wait_until
from devtools.gateway_harness import HEADERS
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

ANSWER_TIMEOUT_S = 12.0
LONG_TIMEOUT_MS = 20_000
SLOTS = 8  # Slots of a stand-in, all of which requests in flight take.


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1)
    yield gateway_harness
    await gateway_harness.close()


def encode_post(path: str, request_id: str, deadline_ms: int = 3000) -> bytes:
    fields = {
        **HEADERS,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Content-Length": "0",
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode()


async def connect(
    harness: GatewayHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(HOST, harness.ports["g1"]["front"])


def has_received(endpoint: EndpointStandin, count: int) -> bool:
    return len(endpoint.received) == count


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


# Guards against requests that the end of the grace period leaves without an answer.
async def test_unfinished_requests_are_answered_at_the_end_of_the_grace_period(
    harness: GatewayHarness,
) -> None:
    endpoint = await harness.add_endpoint("s1", "shop", "mute")
    harness.publish(2, [RouteSpec("/book/", "unsafe", "shop", LONG_TIMEOUT_MS, 1)])
    await harness.start()
    connections = [await connect(harness) for _ in range(SLOTS + 1)]
    for number, (_, writer) in enumerate(connections):
        writer.write(encode_post("/book/1", f"q{number}", LONG_TIMEOUT_MS))
        in_flight = min(number + 1, SLOTS)
        await wait_until(partial(has_received, endpoint, in_flight))
    harness.send_signal("g1", signal.SIGTERM)
    heads = [await read_to_end(reader) for reader, _ in connections]
    statuses = [head[len(b"HTTP/1.1 ") :][:3] for head in heads]
    assert statuses == [b"502"] * SLOTS + [b"503"]
    assert b"Retry-After" in heads[-1]
    assert len(endpoint.received) == SLOTS
    assert await asyncio.wait_for(harness.processes["g1"].wait(), 8) == 0
    for _, writer in connections:
        writer.close()


# Guards against a caller without any answer because it stopped sending after a request.
@pytest.mark.parametrize(("mode", "status"), [("mute", b"502"), ("ok", b"200")])
async def test_a_caller_that_stops_sending_after_a_request_gets_an_answer(
    harness: GatewayHarness, mode: str, status: bytes
) -> None:
    endpoint = await harness.add_endpoint("s1", "shop", mode)
    await harness.start()
    reader, writer = await connect(harness)
    writer.write(encode_post("/book/1", "q1"))
    await wait_until(lambda: bool(endpoint.received))
    if mode == "ok":
        assert (await reader.readexactly(12))[9:] == status
    writer.write_eof()
    if mode == "mute":
        assert (await reader.readexactly(12))[9:] == status
        await wait_until(
            lambda: (
                [
                    line["outcome"]
                    for line in harness.read_log()
                    if line["event"] == "request finished"
                ]
                == ["left"]
            )
        )
    await read_to_end(reader)
    writer.close()
