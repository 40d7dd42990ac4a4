"""One connection of a caller: reads its requests one by one and sends the responses.

The protocol's callbacks collect parsed requests; one task per connection serves them in
their order. A request counts as read when its head is complete; its body is read by the
handler.
"""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
from collections import deque
from typing import TYPE_CHECKING
from typing import cast

import httptools
from loguru import logger

from shallotroad.http_server.exceptions import BodyTooLargeError
from shallotroad.http_server.exceptions import IncompleteBodyError
from shallotroad.http_server.message import Response
from shallotroad.http_server.message import encode_head
from shallotroad.http_server.message import encode_response


if TYPE_CHECKING:
    from shallotroad.http_server.message import HeaderPairs
    from shallotroad.http_server.server import HttpServer

# Reading from the caller pauses while more bytes than this wait to be read.
MAX_BUFFERED_BYTES = 262_144
# Reading also pauses while more requests than this wait behind the one that is served.
# The end of a connection goes unnoticed meanwhile.
MAX_WAITING_REQUESTS = 8
# A head, or chunk framing without body bytes, that is longer ends the connection.
MAX_UNPARSED_BYTES = 131_072
# After an early response, the rest of a body is read and dropped for this long. Closing
# with unread bytes would reset the connection and could destroy the response.
LINGER_S = 1.0
# Before an idle connection is closed, input that has arrived is read for this long.
IDLE_CLOSE_DELAY_S = 0.01
HTTP_1_0 = "1.0"
# Interruption for a caller that left, or only shut down its sending side.
CALLER_STOPPED_SENDING = "the caller stopped sending"


class ServerRequest:
    """A request of a caller: its head, its body and the way to respond.

    Attributes
    ----------
    method, target : str
        Method, and path with query, as sent.
    headers : tuple of pairs of bytes
        Headers in their order, as sent.
    interruption : str
        Why the handler is cancelled, or called at all, only to give a last response;
        empty otherwise. The caller can still receive that response.
    """

    def __init__(
        self,
        *,
        connection: ServerConnection,
        method: str,
        target: str,
        headers: HeaderPairs,
        keeps_alive: bool,
        chunked_allowed: bool,
    ) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.keeps_alive = keeps_alive
        self.chunked_allowed = chunked_allowed
        self.body_complete = False
        self.interruption = ""
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._arrived = asyncio.Event()

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]

    @property
    def connected(self) -> bool:
        """Whether the caller is still connected, as far as is known."""
        return self.connection.connected

    def send_continue(self) -> None:
        """Tell a caller that waits for it to send the body."""
        self.connection.write_now(b"HTTP/1.1 100 Continue\r\n\r\n")

    def add_body(self, data: bytes) -> None:
        """Add received bytes of the body."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self._arrived.set()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the body that have not been read."""
        return self._buffered_bytes

    def wake(self) -> None:
        """Let the reader of the body see that it is complete or the caller has left."""
        self._arrived.set()

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        BodyTooLargeError
            When it is larger than ``max_bytes``; the rest is not read.
        IncompleteBodyError
            When the connection ends before the body does.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._buffered_bytes -= len(chunk)
                size_bytes += len(chunk)
                if size_bytes > max_bytes:
                    raise BodyTooLargeError(f"the body exceeds {max_bytes} bytes")
                parts.append(chunk)
            if self.body_complete:
                return b"".join(parts)
            if not self.connected:
                raise IncompleteBodyError("the connection ended within the body")
            self._arrived.clear()
            self.connection.resume_reading()
            await self._arrived.wait()


class ResponseStream:
    """Sends a response in parts whose number is not known when it starts.

    The head is sent together with the first part.
    """

    def __init__(self, *, request: ServerRequest) -> None:
        self._request = request
        self._pending_head = b""

    def start(self, status: int, headers: HeaderPairs, *, closes: bool) -> None:
        """Set the head of the response; it is sent with the first part or the end.

        ``closes`` is that of ``Response``.
        """
        connection = self._request.connection
        connection.response_started = True
        framing: tuple[bytes, ...] = ()
        if self._request.chunked_allowed:
            framing = (b"Transfer-Encoding: chunked",)
        if connection.choose_last_response(
            self._request, closes=closes, framed=self._request.chunked_allowed
        ):
            framing = (*framing, b"Connection: close")
        self._pending_head = encode_head(status, headers, framing)

    def _frame(self, data: bytes) -> bytes:
        if not self._request.chunked_allowed:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    async def write(self, data: bytes) -> None:
        """Send bytes of the body, and wait while the caller reads too slowly.

        Raises
        ------
        ConnectionResetError
            When the caller has closed the connection.
        """
        head, self._pending_head = self._pending_head, b""
        await self._request.connection.write(head + self._frame(data) if data else head)

    async def finish(self) -> None:
        """Mark the response as complete.

        Raises
        ------
        ConnectionResetError
            When the caller has closed the connection.
        """
        head, self._pending_head = self._pending_head, b""
        end = b"0\r\n\r\n" if self._request.chunked_allowed else b""
        await self._request.connection.write(head + end)

    def break_off(self) -> None:
        """Close the connection, so that the response does not look complete.

        What was written before is still sent, unless only the end of the connection
        marks the end of the response.
        """
        if self._request.chunked_allowed:
            self._request.connection.close()
        else:
            self._request.connection.abort()


class ServerConnection(asyncio.Protocol):
    """Parses the requests of one connection and serves them one by one.

    A connection ends in three steps: ``closes_when_served`` asks for it, the response
    to the last request that has arrived announces it, and input after that is dropped.
    A connection without a request to announce it with is closed as an idle one.

    Attributes
    ----------
    response_started : bool
        Whether a part of the current response was written.
    closes_when_served : bool
        Whether the connection is closed once all requests are served that have
        arrived, or begun to arrive.
    """

    def __init__(self, *, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._requests: deque[ServerRequest] = deque()
        self._receiving: ServerRequest | None = None
        self._current: ServerRequest | None = None
        self._request_arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._unparsed_bytes = 0
        self._reading_paused = False
        self._discards_input = False
        self._in_message = False
        self._handler_runs = False
        self._end_reason = "the caller closed the connection"
        # Status of the response to bytes that are no request, which has to wait for
        # the responses to the requests before them.
        self._pending_rejection: int | None = None
        self._is_last_response = False
        self.response_started = False
        self.closes_when_served = False

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection."""
        self._transport = cast("asyncio.Transport", transport)
        self._server.connections.add(self)
        self._set_timer(self._server.timeouts().idle_s)
        self._task = self._loop.create_task(self._serve_requests())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being served, if any."""
        self._transport = None
        self._server.connections.discard(self)
        self._cancel_timer()
        self._writable.set()
        if self._receiving is not None:
            self._receiving.wake()
        if self._task is not None:
            self._task.cancel()
        if self.unanswered_requests:
            self._server.on_unanswered(self.unanswered_requests, self._end_reason)

    def eof_received(self) -> bool:
        """Give a last response to the requests of a caller that stopped sending.

        A caller that left can't be told from one that only shut down its sending side,
        so no work goes on for it. Returns whether the connection stays open for that.
        """
        if self._receiving is not None and self._receiving is self._current:
            return False
        self._drop_incomplete_request()
        if not self.open_requests:
            return False
        self.interrupt(CALLER_STOPPED_SENDING)
        return True

    def pause_writing(self) -> None:
        """Hold back writes: the caller reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writes continue."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; respond with an error to what is not a request."""
        if self._discards_input:
            return
        was_idle = self.idle
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is complete. It is served as if it asked for no upgrade, and
            # what follows it is in a protocol that is not spoken here.
            self._stop_reading_requests()
            return
        except httptools.HttpParserError:
            self._reject(400)
            return
        if self._unparsed_bytes > MAX_UNPARSED_BYTES:
            self._reject(431)
            return
        if was_idle and self._in_message and not self._requests:
            self._set_timer(self._server.timeouts().head_s)
        buffered_bytes = self._receiving.buffered_bytes if self._receiving else 0
        # Each request that is read has to be served before the connection is closed.
        max_waiting = 0 if self.closes_when_served else MAX_WAITING_REQUESTS
        waiting = len(self._requests) - int(self._current is None)
        if waiting > max_waiting or buffered_bytes > MAX_BUFFERED_BYTES:
            self._pause_reading()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._in_message = True
        self._target = b""
        self._headers = []

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; those after the body are ignored."""
        if self._receiving is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the request, whose body may still follow."""
        self._unparsed_bytes = 0
        request = ServerRequest(
            connection=self,
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            keeps_alive=self._parser.should_keep_alive(),
            chunked_allowed=self._parser.get_http_version() != HTTP_1_0,
        )
        self._receiving = request
        self._requests.append(request)
        self._cancel_timer()
        self._request_arrived.set()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._unparsed_bytes = 0
        if self._receiving is not None:
            self._receiving.add_body(body)

    def on_message_complete(self) -> None:
        """Complete the body of the request."""
        self._unparsed_bytes = 0
        self._in_message = False
        if self._receiving is not None:
            self._receiving.body_complete = True
            self._receiving.wake()
            self._receiving = None

    # State

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def idle(self) -> bool:
        """Whether no request is being served, waits or has begun to arrive."""
        return (
            self._current is None
            and not self._requests
            and not self._in_message
            and self._pending_rejection is None
        )

    @property
    def open_requests(self) -> int:
        """Number of requests, with complete heads, whose response is not sent whole."""
        sending = self._current is not None or self._unsent_bytes > 0
        return len(self._requests) + int(sending)

    @property
    def _unsent_bytes(self) -> int:
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def _undelivered_bytes(self) -> int:
        """Bytes of responses that the caller's host has not acknowledged."""
        if self._transport is None:
            return 0
        descriptor = self._transport.get_extra_info("socket").fileno()
        try:
            queued = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
        except OSError as error:
            logger.bind(why=repr(error)).debug("no size of the send queue")
            return self._unsent_bytes
        return self._unsent_bytes + int.from_bytes(queued, sys.byteorder)

    @property
    def unanswered_requests(self) -> int:
        """Number of requests, with complete heads, that have no response yet.

        A response that has begun counts as one, also if it is then broken off.
        """
        serving = self._current is not None and not self.response_started
        return len(self._requests) + int(serving)

    def close_when_idle(self) -> None:
        """Close the connection once it has no request left.

        An idle one is closed after ``IDLE_CLOSE_DELAY_S``.
        """
        self.closes_when_served = True
        if self.idle:
            self._set_timer(IDLE_CLOSE_DELAY_S)

    def choose_last_response(
        self, request: ServerRequest, *, closes: bool, framed: bool = True
    ) -> bool:
        """Decide and return whether a response is the last one of the connection.

        It is when ``closes`` is set, or the close was asked for before, and no other
        request has arrived or begun to. What arrives later is dropped: the response
        tells the caller that the connection is closed. A response that is not
        ``framed``, so that only the close shows its end, is always the last.
        """
        self.closes_when_served = self.closes_when_served or closes
        others = (
            self._requests
            or (self._in_message and self._receiving is not request)
            or self._pending_rejection is not None
        )
        self._is_last_response = (
            not request.keeps_alive
            or not request.body_complete
            or not framed
            or (self.closes_when_served and not others)
        )
        if self._is_last_response and request.body_complete:
            self._discards_input = True
        return self._is_last_response

    def interrupt(self, reason: str) -> None:
        """Cancel the handler so that it gives its last response, and read no more.

        The requests that wait have ``interruption`` set before their handler is called.
        """
        self._stop_reading_requests()
        self._in_message = False
        self._receiving = None
        for request in self._requests:
            request.interruption = reason
        current = self._current
        if current is None or current.interruption or not self._handler_runs:
            return
        current.interruption = reason
        if self._task is not None:
            self._task.cancel()

    def close(self, reason: str = "closed after a response") -> None:
        """Close the connection once the written bytes are sent.

        ``reason`` is reported with requests that are left without a response.
        """
        if self._transport is not None:
            self._end_reason = reason
            self._transport.close()

    def abort(self, reason: str = "aborted") -> None:
        """Close the connection at once, so that no response looks complete.

        ``reason`` is reported with requests that are left without a response.
        """
        if self._transport is not None:
            self._end_reason = reason
            self._transport.abort()

    def resume_reading(self) -> None:
        """Continue to read after a pause."""
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()

    def _pause_reading(self) -> None:
        if not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def _set_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        """Close an idle connection, or refuse a head that takes too long."""
        self._timer = None
        if self._in_message:
            self._reject(408)
        elif self.closes_when_served:
            # Timers that are due run before the sockets are read. The second call comes
            # after that, also if the loop was held up until now.
            self._loop.call_soon(self._loop.call_soon, self._close_if_idle)
        else:
            self.close_when_idle()

    def _close_if_idle(self) -> None:
        if self.idle:
            self.close()

    def _stop_reading_requests(self) -> None:
        """Drop all further input, and close the connection after the responses."""
        self._discards_input = True
        self.closes_when_served = True

    def _reject(self, status: int) -> None:
        """Refuse bytes that are not a request, and close the connection.

        The responses to earlier requests come first. If the body of the request that is
        being served has become invalid, no response can be matched to it.
        """
        self._stop_reading_requests()
        self._in_message = False
        rejected = self._drop_incomplete_request()
        if rejected is not None and rejected is self._current:
            self.abort("the body is not valid")
            return
        self._pending_rejection = status
        if self._current is None and not self._requests:
            self._end_without_request()

    def _drop_incomplete_request(self) -> ServerRequest | None:
        """Return the request whose body will not be complete; it waits no longer.

        It may be the one that is being served, or have had its response already.
        """
        incomplete, self._receiving = self._receiving, None
        if incomplete is not None and incomplete in self._requests:
            self._requests.remove(incomplete)
        return incomplete

    def _end_without_request(self) -> None:
        """Close the connection, after the response to bytes that are no request."""
        if self._pending_rejection is None:
            self.close()
            return
        response = Response(self._pending_rejection, closes=True)
        self._pending_rejection = None
        self.write_now(encode_response(response, closes=True, head_only=False))
        self._close_lingering(reads=True)

    def _close_lingering(self, *, reads: bool) -> None:
        """Close the sending side, and the connection a little later.

        It stays open while the caller receives what is left of the response.
        With ``reads``, what the caller still sends is read and dropped meanwhile.
        """
        self._discards_input = True
        if self._transport is None:
            return
        if reads:
            self.resume_reading()
        self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._end_lingering, self._undelivered_bytes)

    def _end_lingering(self, previous_bytes: int) -> None:
        """Abort the connection unless its caller is still receiving a response."""
        undelivered_bytes = self._undelivered_bytes
        if 0 < undelivered_bytes < previous_bytes:
            self._loop.call_later(LINGER_S, self._end_lingering, undelivered_bytes)
        else:
            self.abort("the caller reads no more")

    # Sending

    def write_now(self, data: bytes) -> None:
        """Write bytes without waiting for a caller that reads too slowly."""
        if self._transport is not None:
            self._transport.write(data)

    async def write(self, data: bytes) -> None:
        """Write bytes, and wait while the caller reads too slowly.

        Raises
        ------
        ConnectionResetError
            When the connection is closed.
        """
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the caller closed the connection")
        if data:
            self._transport.write(data)
        if not self._writable.is_set():
            await self._writable.wait()

    # Serving

    async def _serve_requests(self) -> None:
        """Serve the requests one by one until the connection ends."""
        try:
            while self.connected:
                if not self._requests:
                    self._request_arrived.clear()
                    if self._discards_input:
                        self._end_without_request()
                        return
                    self.resume_reading()
                    await self._request_arrived.wait()
                    continue
                request = self._requests.popleft()
                self._current = request
                await self._serve(request)
                self._current = None
                if self._is_last_response:
                    self._end(request)
                    return
                if self.idle and self.closes_when_served:
                    self.close_when_idle()
                elif self.idle:
                    self._set_timer(self._server.timeouts().idle_s)
                elif not self._requests:
                    self._set_timer(self._server.timeouts().head_s)
        except ConnectionError:
            self.abort()
        except Exception:
            logger.exception("connection failed")
            self.abort("an unexpected error")

    def _end(self, request: ServerRequest) -> None:
        """Close the connection after its last response.

        Bytes that are unread or arrive later would reset a closed connection, with what
        the caller has not received of the response, so it is closed a little later.
        """
        reads = not self._reading_paused or not request.body_complete
        if self._reading_paused or not request.body_complete or self._undelivered_bytes:
            self._close_lingering(reads=reads)
        else:
            self.close()

    async def _serve(self, request: ServerRequest) -> None:
        """Call the handler and send the response that it returns, if any."""
        self.response_started = False
        self._is_last_response = False
        self._handler_runs = True
        try:
            response = await self._server.handler(request)
        except ConnectionError:
            raise
        except asyncio.CancelledError as error:
            ended = self._task is not None and self._task.cancelling()
            if self._transport is None or (ended and not request.interruption):
                raise
            if not request.interruption:
                logger.bind(why=repr(error)).error("request handler was cancelled")
            if self.response_started:
                self.abort(request.interruption or "the handler was cancelled")
                return
            response = Response(503 if request.interruption else 500, closes=True)
        except Exception:
            logger.exception("request handler failed")
            if self.response_started:
                self.abort()
                return
            response = Response(500, closes=True)
        finally:
            self._handler_runs = False
        if request.interruption and self._task is not None:
            self._task.uncancel()
        if response is None:
            return
        is_last = self.choose_last_response(request, closes=response.closes)
        self.response_started = True
        await self.write(
            encode_response(
                response, closes=is_last, head_only=request.method == "HEAD"
            )
        )
