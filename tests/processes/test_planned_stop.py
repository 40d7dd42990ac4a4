"""Guards against requests without an answer around the stop of a real gateway."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

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


class LateRequest(NamedTuple):
    """A request that a stopping gateway receives, and the answer that it must get.

    ``statuses`` has the statuses that may answer it; a stream must be complete.
    ``reaches`` says whether the endpoint receives it.
    """

    path: str
    mode: str
    headers: dict[str, str]
    statuses: tuple[bytes, ...]
    reaches: bool


LATE_REQUESTS = {
    "booking-that-may-take-long": LateRequest("/book/1", "mute", {}, (b"503",), False),
    "short-booking": LateRequest("/short/1", "ok", {}, (b"200",), True),
    "look-up": LateRequest("/stock/1", "ok", {}, (b"200",), True),
    "long-look-up": LateRequest("/stock/1", "mute", {}, (b"502", b"504"), True),
    "short-stream": LateRequest(
        "/chat/1", "stream", {"X-Token-Usage": "100,60"}, (b"200",), True
    ),
    "long-stream": LateRequest(
        "/chat/1", "stream", {"X-Token-Usage": "100,4000"}, (b"503",), False
    ),
    "resumable-stream": LateRequest(
        "/notes/1", "stream", {"X-Token-Usage": "100,4000"}, (b"200",), True
    ),
}


# Guards against requests that come late in the grace period, are passed on, and are cut
# without an answer at its end, among them requests that must run once.
@pytest.mark.parametrize("kept", [True, False])
@pytest.mark.parametrize("late", LATE_REQUESTS.values(), ids=LATE_REQUESTS)
async def test_a_request_after_the_stop_signal_is_refused_if_it_can_not_end(
    harness: GatewayHarness, late: LateRequest, *, kept: bool
) -> None:
    service = "model" if late.mode == "stream" else "shop"
    endpoint = await harness.add_endpoint("e1", service, late.mode)
    endpoint.event_count, endpoint.event_gap_s = 4, 0.1
    harness.publish(
        2,
        [
            RouteSpec("/book/", "unsafe", "shop", LONG_TIMEOUT_MS, 1),
            RouteSpec("/short/", "unsafe", "shop", 2000, 1),
            RouteSpec("/stock/", "safe", "shop", LONG_TIMEOUT_MS, 1),
            RouteSpec("/chat/", "streaming", "model", LONG_TIMEOUT_MS, 1),
            RouteSpec("/notes/", "streaming", "model", LONG_TIMEOUT_MS, resumable=True),
        ],
    )
    await harness.start()
    reader, writer = await connect(harness)
    if kept:
        writer.write(encode_post("/none/1", "q0"))
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 404")
    harness.send_signal("g1", signal.SIGTERM)
    await asyncio.sleep(1.5)
    if not kept:
        writer.close()
        reader, writer = await connect(harness)
    extra = "".join(f"{name}: {value}\r\n" for name, value in late.headers.items())
    request = encode_post(late.path, "q1", LONG_TIMEOUT_MS)
    writer.write(request.replace(b"\r\n\r\n", f"\r\n{extra}\r\n".encode()))
    received = await read_to_end(reader)
    assert received[len(b"HTTP/1.1 ") :][:3] in late.statuses
    if late.statuses == (b"503",):
        assert b"Retry-After: 0.00" in received
    if late.mode == "stream" and late.reaches:
        assert received.endswith(b"0\r\n\r\n")
    assert bool(endpoint.received) == late.reaches
    assert await asyncio.wait_for(harness.processes["g1"].wait(), 8) == 0
    writer.close()
