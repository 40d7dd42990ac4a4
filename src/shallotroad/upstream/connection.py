"""HTTP/1.1 connection to an endpoint that carries one request at a time."""

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
from shallotroad.upstream.exceptions import MalformedResponseError
from shallotroad.upstream.unfinished_bytes import UnfinishedPart


if TYPE_CHECKING:
    from shallotroad.platform.headers import ResponseHead

# Reading from the endpoint pauses while more bytes than this wait for a slow caller.
MAX_BUFFERED_BYTES = 262_144
# A response of which more bytes than this arrive without a complete head, a part of the
# body or its end is malformed. Also bounds a late response to an earlier request.
MAX_UNPARSED_BYTES = 262_144
STATUSES = range(100, 600)
MAX_HEADERS = 256
SWITCHING_PROTOCOLS = 101  # No request asks for it.
# The kernel closes the connection when sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 2_000
# The socket module has no such name on some platforms; 18 is the number on Linux.
TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Identifiers of earlier requests that a connection remembers; bounds the memory of the
# many kept connections, 1.8 KB each with identifiers of 16 characters.
MAX_EARLIER_IDS = 16
# A body up to this size is sent in one write with its head. Joined with the head, a
# larger one would be in memory twice.
MAX_JOINED_BODY_BYTES = 131_072


class EndpointConnection(asyncio.Protocol):
    """Sends one request at a time and receives the head and body of its response.

    Call ``send``, ``head``, ``read`` until it returns nothing, then ``finish``, which
    ``ConnectionPool.release`` does for a connection of a pool.
    Responses are matched by request id, so a late second response to an earlier request
    is skipped. One without an id may be a late one too, so it is malformed unless the
    connection has carried no earlier request. Bytes that arrive while no request is in
    flight make the connection unusable.

    Parameters
    ----------
    opened_s : float
        Time of the event loop at which the connection is opened.
    """

    def __init__(self, *, opened_s: float) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._expected_id = ""
        self._earlier_ids: deque[str] = deque(maxlen=MAX_EARLIER_IDS)
        self._in_flight = False
        self._skipping_response = False
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._head: ResponseHead | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._unparsed_bytes = 0
        self._unparsed = UnfinishedPart()
        self._complete = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._body_ends_at_close = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._reuse_unsafe = False
        self.idle_since_s = opened_s
        self.idle_timeout_s: float | None = None
        self.request_count = 0

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options that detect an endpoint that stopped responding."""
        self._transport = cast("asyncio.Transport", transport)
        raw_socket = transport.get_extra_info("socket")
        options = (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        )
        for level, option, value in options:
            raw_socket.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; fail the connection if they are not a response."""
        if not self._in_flight:
            self._fail(
                MalformedResponseError("received bytes while no request was in flight")
            )
            return
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            ValueError,
        ) as error:
            if self._complete:
                self._reuse_unsafe = True
            else:
                self._fail(MalformedResponseError(f"not an answer: {error!r}"))
            return
        if self._unparsed_bytes > MAX_UNPARSED_BYTES:
            self._fail(
                MalformedResponseError(
                    f"{self._unparsed_bytes} bytes without an end of the head, of a "
                    "chunk or of the response"
                )
            )
            return
        try:
            self._unparsed.resize(
                0 if self._transport is None else self._unparsed_bytes
            )
        except MalformedResponseError as error:
            self._fail(error)

    def eof_received(self) -> None:
        """Complete a response whose body ends where the connection ends.

        It is not complete if the endpoint has not taken the whole request: an endpoint
        that breaks off while it still receives one looks the same.
        """
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            self._fail(ConnectionLostError("connection ended during the request"))
            return
        if self._in_flight and self._body_ends_at_close and not self._complete:
            self._complete = True
            self._reuse_unsafe = True
            self._wake_reader()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response that is still awaited."""
        self._transport = None
        # The parser refers to this connection. Without the cycle, a closed connection
        # is freed at once and not by the garbage collector some thousands later.
        del self._parser
        self._unparsed.resize(0)
        self._writable.set()
        if self._error is None:
            self._error = ConnectionLostError(f"connection lost: {exc!r}")
        self._wake_reader()

    def pause_writing(self) -> None:
        """Record that the write buffer is full: the endpoint reads too slowly.

        ``send`` does not wait for room, but ``finish`` closes such a connection.
        """
        self._writable.clear()

    def resume_writing(self) -> None:
        """Record that the write buffer has room, so that ``finish`` may reuse it."""
        self._writable.set()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start a response; one after the complete response makes reuse unsafe."""
        if self._complete:
            self._reuse_unsafe = True
        self._raw_headers = []
        self._skipping_response = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header or trailer of the current response.

        A response with more than ``MAX_HEADERS`` is malformed: short lines take many
        times their length in memory.
        """
        if len(self._raw_headers) < MAX_HEADERS:
            self._raw_headers.append((name, value))
        elif self._error is None:
            self._fail(MalformedResponseError(f"more than {MAX_HEADERS} headers"))

    def on_headers_complete(self) -> None:
        """Decode the head; skip interim responses and those to another request."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status == SWITCHING_PROTOCOLS or status not in STATUSES:
            self._fail(MalformedResponseError(f"status {status:03}"))
            return
        if status < 200:
            self._skipping_response = True
            return
        head = decode_response(status, self._raw_headers)
        if head.request_id and head.request_id != self._expected_id:
            self._skipping_response = True
            return
        if self._expected_id and not head.request_id and self.request_count > 1:
            self._fail(MalformedResponseError(f"status {status} without a request id"))
            return
        bodiless = status in (204, 304)
        self._body_ends_at_close = (
            head.length is None and not head.chunked and not bodiless
        )
        self._head = head
        self._unparsed_bytes = 0
        self._wake_reader()

    def on_body(self, body: bytes) -> None:
        """Buffer a chunk of the body until it is read."""
        if self._skipping_response or self._complete:
            return
        self._unparsed_bytes = 0
        self._chunks.append(body)
        self._buffered_bytes += len(body)
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake_reader()

    def on_message_complete(self) -> None:
        """Complete the response, or the one that is skipped."""
        if self._skipping_response:
            self._skipping_response = False
            return
        if self._head is not None:
            self._complete = True
            self._wake_reader()

    # Methods for the user of the connection

    @property
    def usable(self) -> bool:
        """Whether the connection is open and has no unexpected bytes or error."""
        return (
            self._transport is not None
            and not self._reuse_unsafe
            and self._error is None
        )

    @property
    def response_begun(self) -> bool:
        """Whether the head of the current response has arrived."""
        return self._head is not None

    def carried_recently(self, request_id: str) -> bool:
        """Return whether a request with this id was sent before on this connection.

        A late response to it could not be told from the one to a second request with
        the id. Only the last ``MAX_EARLIER_IDS`` requests are known; none without id.
        """
        return request_id in self._earlier_ids

    async def send(self, request_id: str, head: bytes, body: bytes) -> None:
        """Start sending a request; returns before the bytes are sent.

        Parameters
        ----------
        request_id : str
            Responses that state another request id are skipped.
        head, body : bytes
            Encoded request head and body.

        Raises
        ------
        ConnectError
            When the connection is closed. Nothing was sent then.
        """
        if self._transport is None:
            raise ConnectError("the connection was closed before the request was sent")
        self._expected_id = request_id
        if request_id:
            self._earlier_ids.append(request_id)
        self._in_flight = True
        self._head = None
        self._complete = False
        self._body_ends_at_close = False
        self._chunks.clear()
        self._buffered_bytes = 0
        self._unparsed_bytes = 0
        self.request_count += 1
        if len(body) <= MAX_JOINED_BODY_BYTES:
            self._transport.write(head + body if body else head)
            return
        self._transport.write(head)
        self._transport.write(body)

    async def head(self) -> ResponseHead:
        """Wait for the head of the response.

        Raises
        ------
        ConnectionLostError, MalformedResponseError
            When the connection fails before the head is complete.
        """
        while self._head is None:
            await self._wait_for_data()
        return self._head

    async def read(self) -> bytes:
        """Wait for the next bytes of the body; empty at its end.

        Raises
        ------
        ConnectionLostError, MalformedResponseError
            When the connection fails before the body is complete.
        """
        while not self._chunks:
            if self._complete:
                return b""
            await self._wait_for_data()
        data = b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._buffered_bytes = 0
        return data

    def finish(self, now_s: float) -> bool:
        """Make the connection idle after a response, or close it.

        Parameters
        ----------
        now_s : float
            Time of the event loop, from which the connection counts as idle.

        Returns
        -------
        bool
            Whether the connection is idle and can be used again. It is closed when the
            request or response is incomplete, the endpoint closes the connection after
            the response, or unexpected bytes arrived.
        """
        head = self._head
        clean = (
            self._complete
            and not self._reuse_unsafe
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
        self._in_flight = False
        self.idle_since_s = now_s
        if head is not None and head.idle_timeout_s is not None:
            self.idle_timeout_s = head.idle_timeout_s
        return True

    def close(self) -> None:
        """Abort the connection, which also cancels a request in flight."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        self._unparsed.resize(0)

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self.close()
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait_for_data(self) -> None:
        if self._error is not None:
            raise self._error
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


async def connect(host: str, port: int, *, timeout_s: float) -> EndpointConnection:
    """Open a connection to an endpoint.

    Raises
    ------
    ConnectError
        When the connection is not established within the timeout.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: EndpointConnection(opened_s=loop.time()), host, port
            )
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"cannot connect to {host}:{port}: {error!r}") from error
    return protocol
