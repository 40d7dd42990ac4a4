"""One HTTP/1.1 connection to an endpoint, one request at a time."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING
from typing import cast

import httptools

from shallotroad.platform.headers import decode_response
from shallotroad.upstream.exceptions import ConnectError
from shallotroad.upstream.exceptions import ConnectionLostError
from shallotroad.upstream.exceptions import GarbledAnswerError


if TYPE_CHECKING:
    from shallotroad.platform.headers import ResponseHead

PAUSE_BYTES = 262_144  # bytes that wait for a slow caller before reading pauses
UNACKNOWLEDGED_MS = 2_000  # the kernel gives up on a peer that acknowledges nothing
TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


class EndpointConnection(asyncio.Protocol):
    """Sends requests and yields the head and the pieces of their answers.

    Answers are matched by request id: a late second answer to an earlier
    request is skipped. Bytes that arrive while nothing is asked make the
    connection unusable.
    """

    def __init__(self, *, opened_s: float) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._expected_id = ""
        self._asked = False
        self._skipping = False
        self._raw: list[tuple[bytes, bytes]] = []
        self._head: ResponseHead | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._until_closed = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._dirty = False
        self.idle_since_s = opened_s
        self.idle_timeout_s: float | None = None
        self.requests = 0

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options that reveal a silent peer."""
        self._transport = cast("asyncio.Transport", transport)
        raw = transport.get_extra_info("socket")
        options = (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        )
        for level, option, value in options:
            raw.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if not self._asked:
            self._fail(GarbledAnswerError("bytes without a request"))
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, ValueError) as error:
            if self._ended:
                self._dirty = True
            else:
                self._fail(GarbledAnswerError(f"not an answer: {error!r}"))

    def eof_received(self) -> None:
        """End an answer that has no length with its connection."""
        if self._asked and self._until_closed and not self._ended:
            self._ended = True
            self._dirty = True
            self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is still waited for."""
        self._transport = None
        self._writable.set()
        if self._error is None:
            self._error = ConnectionLostError(f"connection lost: {exc!r}")
        self._wake()

    def pause_writing(self) -> None:
        """Note that the peer does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Note that the peer reads again."""
        self._writable.set()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Begin an answer, or find one too many."""
        if self._ended:
            self._dirty = True
        self._raw = []
        self._skipping = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._raw.append((name, value))

    def on_headers_complete(self) -> None:
        """Decode the head, or skip an answer to another request."""
        if self._ended:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._skipping = True
            return
        head = decode_response(status, self._raw)
        if head.request_id and head.request_id != self._expected_id:
            self._skipping = True
            return
        bodiless = status in (204, 304)
        self._until_closed = head.length is None and not head.chunked and not bodiless
        self._head = head
        self._wake()

    def on_body(self, body: bytes) -> None:
        """Hold a piece until it is read."""
        if self._skipping or self._ended:
            return
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > PAUSE_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._skipping:
            self._skipping = False
            return
        if self._head is not None:
            self._ended = True
            self._wake()

    # Use

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return self._transport is not None and not self._dirty and self._error is None

    async def send(self, request_id: str, head: bytes, body: bytes) -> None:
        """Write a request."""
        if self._transport is None:
            raise ConnectError("the connection is closed")
        self._expected_id = request_id
        self._asked = True
        self._head = None
        self._ended = False
        self._until_closed = False
        self._chunks.clear()
        self._buffered_bytes = 0
        self.requests += 1
        self._transport.write(head + body if body else head)

    async def head(self) -> ResponseHead:
        """Wait for the head of the answer.

        Raises
        ------
        ConnectionLostError, GarbledAnswerError
            When none comes.
        """
        while self._head is None:
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Wait for the next piece of the body; empty at its end.

        Raises
        ------
        ConnectionLostError, GarbledAnswerError
            When the body ends early.
        """
        while not self._chunks:
            if self._ended:
                return b""
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered_bytes > PAUSE_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._buffered_bytes = 0
        return data

    def finish(self, now_s: float) -> bool:
        """Make the connection idle; tell whether it can be used again."""
        head = self._head
        clean = (
            self._ended
            and not self._dirty
            and self._error is None
            and head is not None
            and not head.closes
            and self._writable.is_set()
            and self._transport is not None
            and self._transport.get_write_buffer_size() == 0
        )
        if not clean:
            self.close()
            return False
        self._asked = False
        self.idle_since_s = now_s
        if head is not None and head.idle_timeout_s is not None:
            self.idle_timeout_s = head.idle_timeout_s
        return True

    def close(self) -> None:
        """Close the connection, which also cancels what runs on it."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self.close()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


async def connect(host: str, port: int, *, timeout_s: float) -> EndpointConnection:
    """Open a connection.

    Raises
    ------
    ConnectError
        When there is none within the timeout.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: EndpointConnection(opened_s=loop.time()), host, port
            )
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"{host}:{port}: {error!r}") from error
    return protocol
