"""Builders for tests of the HTTP server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from shallotroad.gateway.listener import open_listener
from shallotroad.http_server.connection import ResponseStream
from shallotroad.http_server.connection import ServerConnection
from shallotroad.http_server.exceptions import BodyTooLargeError
from shallotroad.http_server.message import Response
from shallotroad.http_server.server import HttpServer
from shallotroad.http_server.server import Timeouts
from shallotroad.platform.settings import Address


if TYPE_CHECKING:
    from shallotroad.http_server.connection import ServerRequest

SHORT_TIMEOUTS = Timeouts(head_s=0.3, idle_s=0.6)
REQUEST_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 100_000
READ_BYTES = 32_768


class Service:
    """A server on a free port whose handler records the targets of requests.

    Attributes
    ----------
    targets : list of str
        Targets of the requests that the handler was called for.
    cancelled : int
        Number of those that were cancelled.
    release : asyncio.Event
        The handler waits for it before it responds.
    closes : bool
        Whether each response asks for the end of the connection.
    unanswered : list of str
        Reason of the end of each connection that left requests without a response.
    """

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.release.set()
        self.closes = False
        self.unanswered: list[str] = []
        self.server = HttpServer(
            handler=self.handle,
            timeouts=lambda: SHORT_TIMEOUTS,
            on_unanswered=lambda count, reason: self.unanswered.append(reason),
        )
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        listener = open_listener(Address("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        await self.server.listen(listener, backlog=100)

    async def handle(self, request: ServerRequest) -> Response | None:
        """Respond with the target, below ``/stream`` in parts."""
        self.targets.append(request.target)
        try:
            await request.read_body(MAX_BODY_BYTES)
            if not request.interruption:
                await self.release.wait()
        except BodyTooLargeError:
            return Response(413)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if request.interruption:
            return Response(503)
        if request.path == "/stream":
            stream = ResponseStream(request=request)
            stream.start(200, (), closes=self.closes)
            for part in (b"one", b"two"):
                await stream.write(part)
            await stream.finish()
            return None
        headers = ((b"X-Path", request.target.encode()),)
        return Response(200, headers, closes=self.closes)

    async def wait_for_requests(self, count: int) -> None:
        """Wait until the handler was called for ``count`` requests.

        Raises
        ------
        TimeoutError
            When it was not within ``REQUEST_TIMEOUT_S``.
        """
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            while len(self.targets) < count:
                await asyncio.sleep(0.005)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes, and return all that arrives until the connection ends."""
        reader, writer = await self.connect()
        writer.write(data)
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            received = await reader.read()
        writer.close()
        return received


def encode_get(target: str, extra: str = "") -> bytes:
    """Return a request without a body; ``extra`` are further header lines."""
    return f"GET {target} HTTP/1.1\r\nHost: h\r\n{extra}\r\n".encode()


def encode_post(target: str, body: bytes) -> bytes:
    """Return a request with a body."""
    head = f"POST {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Transport(asyncio.Transport):
    """A transport that records what is written and whether reading is paused."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.written = b""
        self.paused = False
        self.closing = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self

    def fileno(self) -> int:
        return self._descriptor

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        self.written += data

    def write_eof(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def abort(self) -> None:
        self.closing = True

    def close(self) -> None:
        self.closing = True


class Caller:
    """A connection of a server whose handler reads the body and waits."""

    def __init__(self, server: HttpServer, descriptor: int) -> None:
        self.transport = Transport(descriptor)
        self.connection = ServerConnection(server=server)
        self.connection.connection_made(self.transport)

    async def send(self, data: bytes) -> None:
        """Let the connection read the data as far as it does not pause."""
        for start in range(0, len(data), READ_BYTES):
            for _ in range(1_000):
                if not self.transport.paused or self.transport.closing:
                    break
                await asyncio.sleep(0)
            if self.transport.paused or self.transport.closing:
                return
            self.connection.data_received(data[start : start + READ_BYTES])
        for _ in range(5):
            await asyncio.sleep(0)
