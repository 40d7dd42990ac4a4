"""What the server does with requests, good and bad, as a caller sees it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.listener import open_listener
from shallotroad.http_server import connection as connection_module
from shallotroad.http_server.connection import MAX_UNPARSED_BYTES
from shallotroad.http_server.connection import ResponseStream
from shallotroad.http_server.exceptions import BodyTooLargeError
from shallotroad.http_server.message import Response
from shallotroad.http_server.server import HttpServer
from shallotroad.http_server.server import Timeouts
from shallotroad.platform.settings import Address


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from shallotroad.http_server.connection import ServerRequest

MAX_BODY_BYTES = 100_000
SHORT_TIMEOUTS = Timeouts(head_s=0.2, idle_s=0.4)


class Service:
    """A server on a free port whose handler records requests and echoes bodies."""

    def __init__(self, timeouts: Timeouts) -> None:
        self.bodies: list[bytes] = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.release.set()
        self.server = HttpServer(handler=self.handle, timeouts=lambda: timeouts)
        self.port = 0

    async def start(self) -> None:
        listener = open_listener(Address("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        await self.server.listen(listener, backlog=100)

    async def handle(self, request: ServerRequest) -> Response | None:
        try:
            body = await request.read_body(MAX_BODY_BYTES)
            self.bodies.append(body)
            await self.release.wait()
        except BodyTooLargeError:
            return Response(413)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if request.path == "/fail":
            raise ValueError("planted")
        if request.path == "/stream":
            stream = ResponseStream(request=request)
            stream.start(200, (), closes=False)
            for part in (b"one", b"two"):
                await stream.write(part)
            await stream.finish()
            return None
        return Response(200, ((b"X-Path", request.target.encode()),), body)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes, and return all that arrives until the connection ends."""
        reader, writer = await self.connect()
        writer.write(data)
        async with asyncio.timeout(5):
            received = await reader.read()
        writer.close()
        return received


@pytest.fixture
async def service() -> AsyncIterator[Service]:
    started = Service(SHORT_TIMEOUTS)
    await started.start()
    yield started
    await started.server.stop(0.0)


def encode_post(body: bytes, path: str = "/p", extra: str = "") -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\n{extra}Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def test_requests_on_one_connection_are_answered_in_order(
    service: Service,
) -> None:
    received = await service.exchange(
        encode_post(b"a", "/1") + encode_post(b"b", "/2") + encode_post(b"c", "/3")
    )
    assert [service.bodies, received.count(b"HTTP/1.1 200 OK")] == [
        [b"a", b"b", b"c"],
        3,
    ]
    assert received.index(b"/1") < received.index(b"/2") < received.index(b"/3")


async def test_a_body_in_many_parts_arrives_whole(service: Service) -> None:
    reader, writer = await service.connect()
    data = b"POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    for index in range(len(data)):
        writer.write(data[index : index + 1])
        await asyncio.sleep(0)
    async with asyncio.timeout(5):
        await reader.readuntil(b"abcde")
    assert service.bodies == [b"abcde"]
    writer.close()


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"POST /p HTTP/1.1\r\nHost: h\r\n"
        b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
        b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        b"GET / HTTP/1.1\r\nBad\x00Name: h\r\n\r\n",
    ],
)
async def test_what_is_ambiguous_or_no_request_is_refused_and_not_run(
    service: Service, data: bytes
) -> None:
    received = await service.exchange(data + encode_post(b"smuggled"))
    assert received.startswith(b"HTTP/1.1 400")
    assert received.count(b"HTTP/1.1") == 1
    assert service.bodies == []


async def test_a_head_without_end_is_refused(service: Service) -> None:
    head = b"GET / HTTP/1.1\r\nX-Filler: " + b"x" * (2 * MAX_UNPARSED_BYTES)
    received = await service.exchange(head)
    assert received.startswith(b"HTTP/1.1 431")


async def test_a_head_sent_byte_by_byte_is_refused_after_the_timeout(
    service: Service,
) -> None:
    reader, writer = await service.connect()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not reader.at_eof() and loop.time() - started_s < 5:
        writer.write(b"G" if loop.time() == started_s else b"E")
        await asyncio.sleep(0.05)
        if len(reader._buffer):  # type: ignore[attr-defined]
            break
    assert (await reader.read(12)) in (b"HTTP/1.1 408", b"HTTP/1.1 400")
    writer.close()


async def test_an_idle_connection_is_closed_after_the_timeout(
    service: Service,
) -> None:
    assert await service.exchange(b"") == b""
    received = await service.exchange(encode_post(b"a"))
    assert received.startswith(b"HTTP/1.1 200 OK")


async def test_the_response_to_a_body_that_is_too_large_arrives(
    service: Service, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_module, "LINGER_S", 0.3)
    received = await service.exchange(encode_post(b"x" * (20 * MAX_BODY_BYTES)))
    assert received.startswith(b"HTTP/1.1 413")
    assert b"Connection: close" in received


async def test_a_stream_is_sent_in_chunks_and_the_connection_kept(
    service: Service,
) -> None:
    received = await service.exchange(
        encode_post(b"", "/stream") + encode_post(b"", "/next")
    )
    assert b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\nHTTP/1.1 200 OK" in received


async def test_a_caller_of_http_1_0_gets_a_stream_without_chunks(
    service: Service,
) -> None:
    received = await service.exchange(b"GET /stream HTTP/1.0\r\nHost: h\r\n\r\n")
    assert received.endswith(b"Connection: close\r\n\r\nonetwo")


async def test_an_unexpected_error_ends_only_its_own_request(service: Service) -> None:
    assert b"HTTP/1.1 500" in await service.exchange(encode_post(b"", "/fail"))
    assert b"HTTP/1.1 200" in await service.exchange(encode_post(b"a"))


async def test_an_upgrade_is_not_followed(service: Service) -> None:
    extra = "Connection: Upgrade\r\nUpgrade: h2c\r\n"
    received = await service.exchange(encode_post(b"", extra=extra) + b"\x00\x01")
    assert received.startswith(b"HTTP/1.1 200 OK")
    assert b"Connection: close" in received


async def test_a_caller_who_leaves_cancels_the_request(service: Service) -> None:
    service.release.clear()
    _, writer = await service.connect()
    writer.write(encode_post(b"a"))
    while not service.bodies:
        await asyncio.sleep(0.01)
    writer.close()
    async with asyncio.timeout(5):
        while not service.cancelled:
            await asyncio.sleep(0.01)


async def test_a_stop_closes_idle_connections_and_lets_others_finish(
    service: Service,
) -> None:
    idle_reader, idle_writer = await service.connect()
    idle_writer.write(encode_post(b"a"))
    await idle_reader.readuntil(b"\r\n\r\n")
    service.release.clear()
    busy_reader, busy_writer = await service.connect()
    busy_writer.write(encode_post(b"b"))
    while len(service.bodies) < 2:
        await asyncio.sleep(0.01)
    service.server.close_idle_connections()
    async with asyncio.timeout(5):
        assert await idle_reader.read() == b"a"
    service.release.set()
    async with asyncio.timeout(5):
        received = await busy_reader.read()
    assert b"Connection: close" in received
    assert received.endswith(b"\r\n\r\nb")
    for writer in (idle_writer, busy_writer):
        writer.close()
