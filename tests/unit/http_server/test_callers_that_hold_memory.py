"""What a connection holds, counts and refuses, on a transport without a socket."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

import pytest

from shallotroad.http_server import connection as connection_module
from shallotroad.http_server.connection import MAX_DROPPED_BYTES
from shallotroad.http_server.connection import MAX_TURN_CALLBACKS
from shallotroad.http_server.connection import MAX_WAITING_REQUESTS
from shallotroad.http_server.connection import PARSED_BYTES
from shallotroad.http_server.exceptions import BodyTooLargeError
from shallotroad.http_server.exceptions import RequestShedError
from shallotroad.http_server.memory_account import SMALL_BODY_BYTES
from shallotroad.http_server.memory_account import MemoryAccount
from shallotroad.http_server.message import Response
from shallotroad.http_server.server import HttpServer
from shallotroad.http_server.server import RequestLimits
from tests.http_server_builders import READ_BYTES
from tests.http_server_builders import Caller


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

    from shallotroad.http_server.connection import ServerRequest

LIMITS = RequestLimits(head_bytes=16_384, body_bytes=400_000)
CHUNKED = b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


class Service:
    """A server without a listener."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.account = MemoryAccount(max_bytes=2_200_000, max_connections=50)
        self.server = HttpServer(
            handler=self.handle, limits=lambda: LIMITS, account=self.account
        )
        self.bodies: list[bytes] = []
        self.release = asyncio.Event()
        self.callers: list[Caller] = []

    async def handle(self, request: ServerRequest) -> Response | None:
        try:
            self.bodies.append(await request.read_body(LIMITS.body_bytes))
        except BodyTooLargeError:
            return Response(413)
        except RequestShedError:
            return Response(503)
        request.can_refuse = lambda: True
        await self.release.wait()
        return Response(200)

    def connect(self) -> Caller:
        self.callers.append(Caller(self.server, self._descriptor))
        return self.callers[-1]


@pytest.fixture
def descriptor() -> Iterator[int]:
    descriptor = os.open(os.devnull, os.O_RDWR)
    yield descriptor
    os.close(descriptor)


@pytest.fixture
async def service(descriptor: int) -> AsyncIterator[Service]:
    started = Service(descriptor)
    yield started
    for caller in started.callers:
        caller.connection.connection_lost(None)
    await asyncio.sleep(0)
    assert started.account.held_bytes == started.account.room_bytes == 0


async def test_a_body_in_chunks_of_one_byte_is_held_once(service: Service) -> None:
    caller = service.connect()
    await caller.send(CHUNKED + b"1\r\nx\r\n" * 200_000)
    assert 200_000 < service.account.held_bytes < 320_000


async def test_a_body_in_chunks_of_one_byte_is_served(service: Service) -> None:
    caller = service.connect()
    await caller.send(CHUNKED + b"1\r\nx\r\n" * 200_000 + b"0\r\n\r\n")
    assert service.bodies == [b"x" * 200_000]


async def test_one_turn_ends_after_a_bounded_number_of_callbacks(
    service: Service,
) -> None:
    # 43,000 callbacks in one read held up all other callers.
    caller = service.connect()
    data = CHUNKED + b"1\r\nx\r\n" * 5_000
    caller.connection.data_received(data)
    request = caller.connection._requests[0]
    assert request.body_bytes <= MAX_TURN_CALLBACKS + PARSED_BYTES // 6
    assert caller.transport.paused
    for _ in range(100):
        await asyncio.sleep(0)
    assert request.body_bytes == 5_000
    assert not caller.transport.paused


async def test_pipelined_requests_wait_unparsed(service: Service) -> None:
    caller = service.connect()
    caller.connection.data_received(b"GET /a HTTP/1.1\r\n\r\n" * 1_500)
    requests = len(caller.connection._requests)
    assert MAX_WAITING_REQUESTS < requests < PARSED_BYTES // 19 + 2
    service.release.set()
    for _ in range(20_000):
        if caller.transport.written.count(b"200 OK") == 1_500:
            break
        await asyncio.sleep(0)
    assert caller.transport.written.count(b"200 OK") == 1_500


@pytest.mark.parametrize("line", [b"a:b\r\n", b"X-Filler: " + b"x" * 5_000 + b"\r\n"])
async def test_a_head_over_the_limit_is_refused_while_it_arrives(
    service: Service, line: bytes
) -> None:
    caller = service.connect()
    await caller.send(b"GET / HTTP/1.1\r\n" + line * (120_000 // len(line)))
    assert caller.transport.written.startswith(b"HTTP/1.1 431")


async def test_a_line_over_the_limit_is_refused_before_its_end(
    service: Service,
) -> None:
    caller = service.connect()
    await caller.send(b"GET / HTTP/1.1\r\nX-Filler: " + b"x" * 40_000)
    assert caller.transport.written.startswith(b"HTTP/1.1 431")


async def test_many_short_header_lines_count_as_the_objects_that_they_are(
    service: Service,
) -> None:
    caller = service.connect()
    await caller.send(b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 4_000)
    assert service.account.held_bytes > 4_000 * 150


async def test_empty_lines_without_end_close_the_connection(service: Service) -> None:
    caller = service.connect()
    await caller.send(b"\r\n" * 2_000)
    assert caller.transport.written.startswith(b"HTTP/1.1 400")


async def test_an_empty_line_before_a_request_is_accepted(service: Service) -> None:
    caller = service.connect()
    service.release.set()
    await caller.send(b"\r\nGET / HTTP/1.1\r\n\r\n")
    assert caller.transport.written.startswith(b"HTTP/1.1 200")


async def test_an_announced_body_over_the_limit_is_refused_unread(
    service: Service,
) -> None:
    caller = service.connect()
    head = b"POST / HTTP/1.1\r\nContent-Length: 1073741824\r\n\r\n"
    await caller.send(head)
    assert caller.transport.written.startswith(b"HTTP/1.1 413")
    # What is sent on is dropped for a while, so that the response reaches a caller
    # that stops, and then not read any more.
    await caller.send(b"x" * 4 * MAX_DROPPED_BYTES)
    assert caller.transport.paused
    assert service.account.held_bytes < 60_000


async def test_a_body_that_grows_over_the_limit_is_dropped(service: Service) -> None:
    caller = service.connect()
    await caller.send(CHUNKED + (b"4000\r\n" + b"x" * 16_384 + b"\r\n") * 40)
    assert caller.transport.written.startswith(b"HTTP/1.1 413")
    assert service.account.held_bytes < 60_000


async def test_large_bodies_wait_for_room_and_are_read_on(service: Service) -> None:
    size = LIMITS.body_bytes
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size
    callers = [service.connect() for _ in range(6)]
    for caller in callers:
        await caller.send(head + b"x" * 2 * SMALL_BODY_BYTES)
    waiting = [caller for caller in callers if caller.transport.paused]
    assert service.account.waiting_bodies == len(waiting) == 2
    reading = next(caller for caller in callers if caller not in waiting)
    reading.connection.connection_lost(None)
    assert service.account.waiting_bodies == 1
    service.callers.remove(reading)


async def test_a_large_body_behind_another_request_takes_no_room(
    service: Service,
) -> None:
    # It would keep room from others for as long as the request before it is served.
    caller = service.connect()
    size = LIMITS.body_bytes
    head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size
    await caller.send(b"GET / HTTP/1.1\r\n\r\n")
    await caller.send(head + b"x" * size)
    assert caller.transport.paused
    assert service.account.room_bytes == service.account.waiting_bodies == 0
    assert service.account.held_bytes < 150_000
    service.release.set()
    await caller.send(b"x" * size)
    assert service.bodies == [b"", b"x" * size]


async def test_a_small_body_never_waits_for_room(service: Service) -> None:
    big = service.connect()
    big.connection._held_input = b"x" * 2_100_000
    big.connection._reading_paused = True
    big.connection._settle()
    caller = service.connect()
    await caller.send(
        b"POST / HTTP/1.1\r\nContent-Length: 17000\r\n\r\n" + b"x" * 17_000
    )
    assert service.bodies == [b"x" * 17_000]


async def test_a_request_that_arrives_is_refused_as_not_run(service: Service) -> None:
    in_head, in_body = service.connect(), service.connect()
    await in_head.send(b"POST / HTTP/1.1\r\na:b\r\n")
    await in_body.send(b"POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\nx")
    for caller in (in_head, in_body):
        assert caller.connection.can_refuse
        caller.connection.refuse("test")
    await asyncio.sleep(0.01)
    assert in_head.transport.written.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1.00" in in_head.transport.written
    assert in_body.transport.written.startswith(b"HTTP/1.1 503")
    assert service.bodies == []


async def test_a_request_that_waits_for_an_endpoint_is_refused(
    service: Service,
) -> None:
    caller = service.connect()
    await caller.send(b"GET / HTTP/1.1\r\n\r\n")
    assert caller.connection.can_refuse
    caller.connection.refuse("test")
    await asyncio.sleep(0.01)
    assert caller.transport.written.startswith(b"HTTP/1.1 503")


async def test_a_sender_without_progress_is_stalled(service: Service) -> None:
    caller = service.connect()
    await caller.send(CHUNKED + b"4000\r\n" + b"x" * 16_384)
    connection = caller.connection
    connection.record_progress(10.0)
    connection.record_progress(11.0)
    assert not connection.stalled(11.0)
    connection.record_progress(13.0)
    assert connection.stalled(13.0)
    await caller.send(b"\r\n4000\r\n" + b"x" * 16_384)
    connection.record_progress(13.0)
    assert not connection.stalled(13.0)


async def test_a_sender_whose_input_is_not_read_is_not_stalled(
    service: Service,
) -> None:
    caller = service.connect()
    await caller.send(CHUNKED + b"4000\r\n" + b"x" * 16_384)
    caller.connection._pause_reading()
    for now_s in (10.0, 20.0):
        caller.connection.record_progress(now_s)
    assert not caller.connection.stalled(20.0)


async def test_a_read_buffer_is_not_kept(service: Service) -> None:
    caller = service.connect()
    view = caller.connection.get_buffer(-1)
    assert len(view) == READ_BYTES
    view[:6] = b"GET /a"
    caller.connection.buffer_updated(6)
    view[:6] = b"xxxxxx"
    service.release.set()
    await caller.send(b" HTTP/1.1\r\n\r\n")
    assert caller.transport.written.startswith(b"HTTP/1.1 200")
    assert connection_module.READ_BYTES == READ_BYTES
