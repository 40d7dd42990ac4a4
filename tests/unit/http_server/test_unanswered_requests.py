"""Guards against requests that were received whole and got no response."""

from __future__ import annotations

import asyncio
import os
import random
from typing import TYPE_CHECKING
from typing import Any

import pytest

from tests.http_server_builders import MAX_BODY_BYTES
from tests.http_server_builders import Service
from tests.http_server_builders import encode_get
from tests.http_server_builders import encode_post


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

END_TIMEOUT_S = 5.0


@pytest.fixture
async def service() -> AsyncIterator[Service]:
    started = Service()
    await started.start()
    errors: list[dict[str, Any]] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    yield started
    await started.server.stop(0.0)
    assert (started.unanswered, errors) == ([], [])


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(END_TIMEOUT_S):
        return await reader.read()


# Guards against requests that are dropped because a response before them closes.
async def test_requests_sent_at_once_are_all_answered_when_the_server_stops(
    service: Service,
) -> None:
    service.release.clear()
    reader, writer = await service.connect()
    writer.write(encode_get("/1") + encode_get("/2") + encode_get("/3"))
    await service.wait_for_requests(1)
    service.server.close_idle_connections()
    service.release.set()
    received = await read_to_end(reader)
    assert received.count(b"HTTP/1.1 200 OK") == 3
    assert received.count(b"Connection: close") == 1
    assert received.index(b"Connection: close") > received.index(b"/3")
    writer.close()


# Guards against requests that are dropped while each response asks for the close.
async def test_requests_sent_at_once_are_all_answered_by_a_draining_handler(
    service: Service,
) -> None:
    service.closes = True
    received = await service.exchange(encode_get("/1") + encode_get("/stream"))
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert received.count(b"Connection: close") == 1
    received = await service.exchange(encode_get("/stream") + encode_get("/2"))
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert received.endswith(b"\r\n\r\n")


# Guards against a request that is dropped because it arrived in two parts.
async def test_a_request_that_has_begun_to_arrive_is_answered_when_the_server_stops(
    service: Service,
) -> None:
    service.release.clear()
    reader, writer = await service.connect()
    second = encode_get("/2")
    writer.write(encode_get("/1") + second[:9])
    await service.wait_for_requests(1)
    service.server.close_idle_connections()
    service.release.set()
    await reader.readuntil(b"\r\n\r\n")
    writer.write(second[9:])
    received = await read_to_end(reader)
    assert received.count(b"HTTP/1.1 200 OK") == 1
    assert b"Connection: close" in received
    writer.close()


# Guards against whole requests that are dropped for what follows them.
async def test_requests_before_bytes_that_are_no_request_are_answered(
    service: Service,
) -> None:
    received = await service.exchange(
        encode_get("/1") + encode_get("/2") + b"nonsense\r\n\r\n"
    )
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert received.count(b"HTTP/1.1 400") == 1
    received = await service.exchange(
        encode_get("/1")
        + encode_get("/2", "Connection: Upgrade\r\nUpgrade: h2c\r\n")
        + b"\x00"
    )
    assert received.count(b"HTTP/1.1 200 OK") == 2


# Guards against a connection that stays open with half a head after a response.
async def test_half_a_head_behind_a_request_is_refused_after_the_timeout(
    service: Service,
) -> None:
    received = await service.exchange(encode_get("/1") + b"GET /2 HT")
    assert received.count(b"HTTP/1.1 200 OK") == 1
    assert received.count(b"HTTP/1.1 408") == 1


# Guards against a dropped request for any split of the bytes and moment of the stop.
@pytest.mark.parametrize("seed", range(12))
async def test_each_request_that_was_sent_whole_before_the_stop_is_answered(
    service: Service, seed: int
) -> None:
    rng = random.Random(seed)
    requests = [
        encode_post(f"/{number}", b"x" * rng.choice((0, 1, 40)))
        if rng.random() < 0.5
        else encode_get(rng.choice((f"/{number}", "/stream")))
        for number in range(rng.randint(2, 5))
    ]
    data = b"".join(requests)
    stop_at = rng.randint(1, len(data))
    whole = sum(
        len(b"".join(requests[: number + 1])) <= stop_at
        for number in range(len(requests))
    )
    service.release.clear()
    reader, writer = await service.connect()
    sent = 0
    while sent < stop_at:
        size = min(rng.randint(1, 60), stop_at - sent)
        writer.write(data[sent : sent + size])
        sent += size
        await asyncio.sleep(0)
    await asyncio.sleep(0.02)
    service.server.close_idle_connections()
    service.release.set()
    received = await read_to_end(reader)
    assert received.count(b"HTTP/1.1 200 OK") >= whole
    writer.close()


# Guards against the loss of responses by bytes that the server has not read.
async def test_responses_arrive_although_unread_requests_follow(
    service: Service,
) -> None:
    service.release.clear()
    reader, writer = await service.connect()
    writer.write(encode_get("/1") + encode_get("/2"))
    await service.wait_for_requests(1)
    service.server.close_idle_connections()
    writer.write(encode_get("/3"))
    await asyncio.sleep(0.02)
    for number in range(4, 400):
        writer.write(encode_get(f"/{number}"))
    await asyncio.sleep(0.02)
    service.release.set()
    received = await read_to_end(reader)
    assert received.count(b"HTTP/1.1 200 OK") == len(service.targets)
    assert b"Connection: close" in received
    writer.close()


# Guards against a caller without any response because it stopped sending.
async def test_each_request_of_a_caller_that_stops_sending_has_a_last_response(
    service: Service,
) -> None:
    service.release.clear()
    reader, writer = await service.connect()
    writer.write(encode_get("/1") + encode_get("/2") + b"GET /3 HT")
    await service.wait_for_requests(1)
    writer.write_eof()
    received = await read_to_end(reader)
    assert received.count(b"HTTP/1.1 503") == 2
    assert service.cancelled == 1
    writer.close()


# Guards against work that goes on for a caller that has left.
async def test_a_request_whose_body_is_cut_by_the_end_of_input_has_no_response(
    service: Service,
) -> None:
    reader, writer = await service.connect()
    writer.write(encode_get("/1") + encode_post("/2", b"12345")[:-2])
    await service.wait_for_requests(2)
    writer.write_eof()
    received = await read_to_end(reader)
    assert received.count(b"HTTP/1.1 200 OK") == 1
    assert received.count(b"HTTP/1.1") == 1
    service.unanswered.clear()
    writer.close()


# Guards against the reset of a request that lies unread in the socket of an idle
# connection when the server closes it.
async def test_a_request_that_has_arrived_unread_is_answered_when_the_server_stops(
    service: Service,
) -> None:
    reader, writer = await service.connect()
    writer.write(encode_get("/1"))
    await reader.readuntil(b"\r\n\r\n")
    raw_socket = writer.get_extra_info("socket")
    os.write(raw_socket.fileno(), encode_get("/2"))
    service.server.close_idle_connections()
    received = await read_to_end(reader)
    assert received.startswith(b"HTTP/1.1 200 OK")
    assert b"Connection: close" in received
    writer.close()


# Guards against an error at the end of input behind a request that was answered before
# its body was complete.
async def test_a_caller_may_stop_sending_after_an_early_response(
    service: Service,
) -> None:
    reader, writer = await service.connect()
    writer.write(encode_post("/large", b"x" * 2 * MAX_BODY_BYTES)[:-1])
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 413")
    writer.write_eof()
    assert await read_to_end(reader) == b""
    writer.close()


# Guards against requests that the end of a grace period leaves without a response.
async def test_each_request_has_a_last_response_when_requests_are_interrupted(
    service: Service,
) -> None:
    service.release.clear()
    reader, writer = await service.connect()
    writer.write(encode_get("/1") + encode_get("/2"))
    await service.wait_for_requests(1)
    for _ in range(2):
        service.server.interrupt_requests("the grace period ended")
    received = await read_to_end(reader)
    assert received.count(b"HTTP/1.1 503") == 2
    assert received.count(b"Connection: close") == 1
    assert (service.cancelled, service.server.open_requests) == (1, 0)
    writer.close()
