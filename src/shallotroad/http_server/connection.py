"""One connection of a caller: reads its requests one by one and sends the responses.

The protocol's callbacks collect parsed requests; one task per connection serves them in
their order. A request counts as read when its head is complete; its body is read by the
handler.
"""

from __future__ import annotations

import asyncio
import fcntl
import io
import sys
import termios
from collections import deque
from functools import cached_property
from typing import TYPE_CHECKING
from typing import cast

import httptools
from loguru import logger

from shallotroad.http_server.exceptions import BodyTooLargeError
from shallotroad.http_server.exceptions import IncompleteBodyError
from shallotroad.http_server.exceptions import RequestShedError
from shallotroad.http_server.memory_account import BODY_TOO_LARGE
from shallotroad.http_server.memory_account import EMPTY_LINES
from shallotroad.http_server.memory_account import HEAD_TOO_LARGE
from shallotroad.http_server.memory_account import MIN_PROGRESS_BYTES
from shallotroad.http_server.memory_account import RETRY_AFTER_S
from shallotroad.http_server.memory_account import SMALL_BODY_BYTES
from shallotroad.http_server.memory_account import STALL_S
from shallotroad.http_server.memory_account import Usage
from shallotroad.http_server.message import Response
from shallotroad.http_server.message import encode_head
from shallotroad.http_server.message import encode_response


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.http_server.message import HeaderPairs
    from shallotroad.http_server.server import HttpServer

# Reading from the caller pauses while more bytes than this wait to be read.
MAX_BUFFERED_BYTES = 262_144
# Reading also pauses while more requests than this wait behind the one that is served.
# The end of a connection goes unnoticed meanwhile.
MAX_WAITING_REQUESTS = 8
# A head, or chunk framing without body bytes, that is longer ends the connection.
MAX_UNPARSED_BYTES = 131_072
# Input is read in parts of at most this size, so that held-back input stays small.
READ_BYTES = 32_768
# Input is parsed in parts of at most this size, between which the limits are checked.
PARSED_BYTES = 4_096
# Callbacks of the parser after which other connections get their turn; a body in chunks
# of one byte causes one for every six bytes. About 0.3 ms.
MAX_TURN_CALLBACKS = 512
# Empty lines before a request, which the parser skips; clients send one at most.
MAX_EMPTY_LINE_BYTES = 1_024
# Input that is read and dropped after the last response is decided. Reading stops then,
# and the caller receives the response once it stops sending.
MAX_DROPPED_BYTES = 262_144
# Memory of an open connection: transport, parser, task, timer.
CONNECTION_BYTES = 16_384
# Memory of a request besides its headers and body: objects here and in the handler.
REQUEST_BYTES = 4_096
# Further memory of the request that is served: its job, tasks, log line and connection
# to an endpoint.
SERVED_REQUEST_BYTES = 16_384
# Memory of a header line besides its text: a pair, two byte strings, their references.
HEADER_LINE_BYTES = 176
# A head that is being served is held twice, as it arrived and decoded.
HEAD_COPIES = 2
# What the handler holds of a response that the caller reads too slowly.
UNREAD_RESPONSE_BYTES = 327_680
# After an early response, the rest of a body is read and dropped for this long. Closing
# with unread bytes would reset the connection and could destroy the response.
LINGER_S = 1.0
# Input of all connections is read into this buffer and parsed or copied at once.
READ_BUFFER = memoryview(bytearray(READ_BYTES))
# Before an idle connection is closed, input that has arrived is read for this long.
IDLE_CLOSE_DELAY_S = 0.01
HTTP_1_0 = "1.0"
# Headers that say where the body of a request ends.
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
TUNNEL_METHOD = "CONNECT"
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
    shed_reason : str
        Why the request has to give way before it is read whole; empty otherwise.
    can_refuse : callable
        Returns whether the request, though whole, may still be refused as not run. The
        handler sets it.
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
        head_bytes: int,
    ) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.keeps_alive = keeps_alive
        self.chunked_allowed = chunked_allowed
        self.body_complete = False
        self.interruption = ""
        self.shed_reason = ""
        self.can_refuse: Callable[[], bool] = lambda: False
        self.head_bytes = head_bytes
        self.body_bytes = 0
        self.tier: int | None = None
        self._body: io.BytesIO | None = None
        self._read_bytes = 0
        self._drops_body = False
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

    @cached_property
    def announced_bytes(self) -> int | None:
        """Announced length of the body; None if there is none."""
        for name, value in self.headers:
            if name.lower() == b"content-length" and value.strip().isdigit():
                return int(value)
        return None

    def add_body(self, data: bytes) -> None:
        """Add received bytes of the body."""
        if self._drops_body:
            return
        # A buffer, as many small chunks would each be an object of their own.
        if self._body is None:
            self._body = io.BytesIO()
        self._body.write(data)
        self.body_bytes += len(data)
        self._arrived.set()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the body that have not been read."""
        return self.body_bytes - self._read_bytes

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes."""
        return REQUEST_BYTES + HEAD_COPIES * self.head_bytes + self.body_bytes

    def drop_body(self) -> None:
        """Drop the body, and all of it that still arrives."""
        self._drops_body = True
        self._body = None
        self.body_bytes = self._read_bytes = 0

    def release_body(self) -> None:
        """Count the body, which has been read whole, no longer as held."""
        self.drop_body()
        self.connection.report_usage()

    def shed(self, reason: str) -> None:
        """Drop the body and let its reader give up."""
        self.shed_reason = reason
        self.drop_body()
        self._arrived.set()

    def wake(self) -> None:
        """Let the reader of the body see that it is complete or the caller has left."""
        self._arrived.set()

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        BodyTooLargeError
            When it is, or is announced to be, larger than ``max_bytes``; the rest is
            not read.
        IncompleteBodyError
            When the connection ends before the body does.
        RequestShedError
            When the request has to give way.
        """
        while True:
            if self.shed_reason:
                raise RequestShedError(self.shed_reason)
            self._read_bytes = self.body_bytes
            announced_bytes = 0 if self.body_complete else self.announced_bytes or 0
            if max(self.body_bytes, announced_bytes) > max_bytes:
                self.drop_body()
                if not self.body_complete:
                    self.connection.drop_rest_of_body()
                raise BodyTooLargeError(f"the body exceeds {max_bytes} bytes")
            if self.body_complete:
                body, self._body = self._body, None
                # The value is that of the buffer, not a copy.
                return body.getvalue() if body is not None else b""
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


class ServerConnection(asyncio.BufferedProtocol):
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
    served_requests : int
        Number of requests that were served.
    unused_since_s : float
        Time of the event loop since which no request was served.
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
        self._transport_paused = False
        # Input that is read but not parsed yet.
        self._held_input = b""
        self._parse_queued = False
        self._callbacks = 0
        # Bytes that were parsed since the last callback, and the cost of the headers.
        self._silent_bytes = 0
        self._header_text_bytes = 0
        self._header_lines = 0
        # Body size up to which there is room for the body that is being received.
        self._room_limit_bytes = SMALL_BODY_BYTES
        self._waits_for_room = False
        self._usage = Usage(0, 0)
        self._closed_for_limit = False
        self._dropped_bytes = 0
        self._received_bytes = 0
        self._progress_mark = 0
        self._progress_s: float | None = None
        self._pending_headers: HeaderPairs = ()
        self.served_requests = 0
        self.unused_since_s = self._loop.time()
        self._written_bytes = 0
        self._discards_input = False
        self._in_message = False
        # Whether the parser is given the head of a request again, which has been read.
        self._repeats_head = False
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
        if not self._server.account.add(self):
            self._closed_for_limit = True
            self.abort("too many connections")
            return
        self._server.connections.add(self)
        self._set_timer(self._server.timeouts().idle_s)
        self._task = self._loop.create_task(self._serve_requests())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is being served, if any."""
        self._transport = None
        self._held_input = b""
        self._server.account.remove(self)
        self._server.connections.discard(self)
        self._cancel_timer()
        self._writable.set()
        if self._receiving is not None:
            self._receiving.wake()
        if self._task is not None:
            self._task.cancel()
        if self.unanswered_requests:
            self._server.on_unanswered(self.unanswered_requests, self._end_reason)
        if self._receiving is not None:
            self._receiving.drop_body()
        # Both refer to this connection. Without the cycles, it is freed at once and not
        # by the garbage collector.
        del self._parser
        self._requests.clear()

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

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which input is read."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take the input that was read."""
        self.data_received(READ_BUFFER[:nbytes])

    def data_received(self, data: memoryview | bytes) -> None:
        """Parse received bytes; respond with an error to what is not a request.

        What is not parsed at once is kept, and nothing is read meanwhile.
        """
        self._received_bytes += len(data)
        if self._discards_input:
            self._dropped_bytes += len(data)
            self._update_reading()
            return
        self._parse(memoryview(data))
        self._settle()

    def parse_held_input(self) -> None:
        """Continue with input that was kept, when it is the turn of this connection."""
        self._parse_queued = False
        if self._transport is None or self._reading_paused or self._waits_for_room:
            return
        held_input, self._held_input = self._held_input, b""
        if held_input and not self._discards_input:
            self._parse(memoryview(held_input))
        self._settle()

    def _parse(self, data: memoryview) -> None:
        """Parse input until other connections get their turn, or reading pauses."""
        was_idle = self.idle
        self._callbacks = 0
        position = 0
        while position < len(data):
            part = data[position : position + self._part_bytes]
            position += len(part)
            self._feed(part)
            if self._discards_input:
                return
            self._pause_for_limits()
            if (
                self._reading_paused
                or self._waits_for_room
                or self._callbacks > MAX_TURN_CALLBACKS
            ):
                break
        if was_idle and self._in_message and not self._requests:
            self._set_timer(self._server.timeouts().head_s)
        self._held_input = bytes(data[position:])

    @property
    def _part_bytes(self) -> int:
        """Size of the next part to parse; the rest of an announced body is one part."""
        receiving = self._receiving
        if receiving is None or receiving.announced_bytes is None:
            return PARSED_BYTES
        return max(PARSED_BYTES, receiving.announced_bytes - receiving.body_bytes)

    def _feed(self, data: memoryview) -> None:
        """Let the parser have a part of the input, and check the limits of framing."""
        self._unparsed_bytes += len(data)
        self._silent_bytes += len(data)
        try:
            while data and not self._discards_input:
                data = self._feed_until_upgrade(data)
        except httptools.HttpParserError:
            self._reject(400)
            return
        if self._discards_input:
            return
        if self._unparsed_bytes > MAX_UNPARSED_BYTES or self._head_too_large:
            self._server.account.on_closed(HEAD_TOO_LARGE)
            self._reject(431)
        elif not self._in_message and self._silent_bytes > MAX_EMPTY_LINE_BYTES:
            self._server.account.on_closed(EMPTY_LINES)
            self._reject(400)

    def _feed_until_upgrade(self, data: memoryview) -> memoryview:
        """Let the parser have input; return what follows a head that ends its work.

        The parser stops after a head that offers another protocol, as if the request
        were complete and that protocol followed. The offer is not taken, so the request
        goes on with its body.

        Raises
        ------
        httptools.HttpParserError
            When the input is not a request.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            if self._receiving is None:
                self._reject(501)  # The method asks for a tunnel.
            else:
                self._continue_after_head(self._receiving)
            return data[error.args[0] :]
        return data[:0]

    def _continue_after_head(self, request: ServerRequest) -> None:
        """Begin a parser behind the head of a request, without its other headers."""
        version = b"1.1" if request.chunked_allowed else b"1.0"
        lines = [b"POST / HTTP/" + version]
        lines += [
            name + b": " + value
            for name, value in request.headers
            if name.lower() in FRAMING_HEADERS
        ]
        persistence = b"keep-alive" if request.keeps_alive else b"close"
        lines += [b"Connection: " + persistence, b"", b""]
        self._parser = httptools.HttpRequestParser(self)
        self._repeats_head = True
        try:
            self._parser.feed_data(b"\r\n".join(lines))
        finally:
            self._repeats_head = False

    @property
    def _head_too_large(self) -> bool:
        """Whether the head that arrives is over the limit, its last line included."""
        if not self._in_message or self._receiving is not None:
            return False
        arrived_bytes = self._header_text_bytes + self._silent_bytes
        return arrived_bytes > self._server.limits().head_bytes + PARSED_BYTES

    def _pause_for_limits(self) -> None:
        """Pause reading while too much waits to be served or read."""
        receiving = self._receiving
        buffered_bytes = receiving.buffered_bytes if receiving else 0
        # Each request that is read has to be served before the connection is closed.
        max_waiting = 0 if self.closes_when_served else MAX_WAITING_REQUESTS
        waiting = len(self._requests) - int(self._current is None)
        if waiting > max_waiting or buffered_bytes > MAX_BUFFERED_BYTES:
            self._pause_reading()
        if receiving is not None and receiving.body_bytes > self._room_limit_bytes:
            self._request_room(receiving)

    def _request_room(self, receiving: ServerRequest) -> None:
        """Ask for room for the rest of a large body, and wait if there is none.

        One that waits behind other requests is not read on until it is served: it would
        take room that others could use meanwhile.
        """
        behind_others = self._current is not None or len(self._requests) > 1
        if receiving is not self._current and behind_others:
            self._pause_reading()
            return
        limit_bytes = self._server.limits().body_bytes
        announced_bytes = receiving.announced_bytes
        expected_bytes = min(
            limit_bytes if announced_bytes is None else announced_bytes, limit_bytes
        )
        needed_bytes = expected_bytes - receiving.body_bytes
        if needed_bytes <= 0:
            return  # Its handler refuses a body that is larger than expected.
        self._settle()
        if self._receiving is not receiving or self._discards_input:
            return
        self._waits_for_room = True
        if self._server.account.request_room(self, needed_bytes):
            self._waits_for_room = False
            self._room_limit_bytes = expected_bytes

    def _give_up_room(self) -> None:
        """Wait for no room any more."""
        if self._waits_for_room:
            self._waits_for_room = False
            self._server.account.withdraw(self)

    def room_given(self, needed_bytes: int) -> None:
        """Continue to read a body that waited for room."""
        self._waits_for_room = False
        if self._receiving is not None:
            self._room_limit_bytes = self._receiving.body_bytes + needed_bytes
        self._settle()

    def _settle(self) -> None:
        """Report what the connection holds, and read on unless something forbids it."""
        if self._transport is None or self._closed_for_limit:
            return
        self._update_reading()
        held_bytes = CONNECTION_BYTES + len(self._held_input) + self._unsent_bytes
        if self._in_message and self._receiving is None:
            held_bytes += self._arriving_head_bytes + self._silent_bytes
        if not self._writable.is_set():
            held_bytes += UNREAD_RESPONSE_BYTES
        for request in self._requests:
            held_bytes += request.held_bytes
        if self._current is not None:
            held_bytes += self._current.held_bytes + SERVED_REQUEST_BYTES
        room_bytes = 0
        if self._receiving is not None and self._room_limit_bytes > SMALL_BODY_BYTES:
            room_bytes = max(0, self._room_limit_bytes - self._receiving.body_bytes)
        if self._discards_input:
            room_bytes = 0
        usage = Usage(held_bytes, room_bytes)
        if usage != self._usage:
            self._usage = usage
            self._server.account.update(self, usage)

    @property
    def _arriving_head_bytes(self) -> int:
        """Memory of the head that is being received."""
        lines_bytes = HEADER_LINE_BYTES * self._header_lines
        return lines_bytes + self._header_text_bytes + len(self._target)

    def report_usage(self) -> None:
        """Report that the connection holds less than before."""
        self._settle()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._repeats_head:
            return
        self._callbacks += 1
        self._silent_bytes = 0
        self._header_text_bytes = 0
        self._header_lines = 0
        self._in_message = True
        self._target = b""
        self._headers = []

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        if self._repeats_head:
            return
        self._silent_bytes = 0
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; those after the body are ignored."""
        self._callbacks += 1
        if self._receiving is None:
            self._silent_bytes = 0
            self._header_text_bytes += len(name) + len(value)
            self._header_lines += 1
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the request, whose body may still follow."""
        if self._repeats_head:
            return
        self._callbacks += 1
        self._unparsed_bytes = 0
        self._silent_bytes = 0
        method = self._parser.get_method().decode("latin-1")
        if method == TUNNEL_METHOD:
            return
        self._room_limit_bytes = SMALL_BODY_BYTES
        request = ServerRequest(
            connection=self,
            method=method,
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            keeps_alive=self._parser.should_keep_alive(),
            chunked_allowed=self._parser.get_http_version() != HTTP_1_0,
            head_bytes=self._arriving_head_bytes,
        )
        self._headers = []
        self._receiving = request
        self._requests.append(request)
        self._cancel_timer()
        self._request_arrived.set()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._callbacks += 1
        self._unparsed_bytes = 0
        if self._receiving is not None:
            self._receiving.add_body(body)

    def on_message_complete(self) -> None:
        """Complete the body of the request, unless only its head was read."""
        if self._parser.should_upgrade():
            return
        self._unparsed_bytes = 0
        self._silent_bytes = 0
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
            and not self._held_input
        )

    @property
    def unused(self) -> bool:
        """Whether no request has arrived whole that is not served yet."""
        return self._current is None and not self._requests

    @property
    def tier(self) -> int:
        """Tier of the request that may have to give way; 0, the highest, if unknown."""
        request = self._receiving or self._current
        if request is None:
            return 0
        if request.tier is None:
            request.tier = self._server.tier_of(request)
        return request.tier

    @property
    def can_refuse(self) -> bool:
        """Whether a request that has not run can be refused to free memory."""
        if self._transport is None or self._discards_input:
            return False
        if self._in_message:
            return self._receiving is not self._current or not self.response_started
        if self._requests:
            return True
        current = self._current
        return (
            current is not None
            and self._handler_runs
            and not self.response_started
            and current.can_refuse()
        )

    def refuse(self, reason: str) -> None:
        """Refuse the request that arrives or has not run, and read no more.

        Called only if ``can_refuse``. The response states that it has not run.
        """
        receiving = self._receiving
        if receiving is not None and receiving is self._current:
            self._stop_reading_requests()
            receiving.shed(reason)
        elif self._in_message or self._requests:
            # The first that waits gets the response; for the others, the close does not
            # say whether they ran.
            if len(self._requests) > 1:
                self._server.on_unanswered(len(self._requests) - 1, reason)
            self._requests.clear()
            self._receiving = None
            self._pending_headers = ((b"Retry-After", b"%.2f" % RETRY_AFTER_S),)
            self._reject(503)
        else:
            self.interrupt(reason)
        self._settle()

    def drop_rest_of_body(self) -> None:
        """Read no more of a body that is too large."""
        self._server.account.on_closed(BODY_TOO_LARGE)
        self._stop_reading_requests()
        self._pause_reading()
        self._settle()

    # Progress

    def record_progress(self, now_s: float) -> None:
        """Note whether the caller has sent or received enough since the last note."""
        if self._awaits_caller:
            moved_bytes = self._received_bytes + self._server_sent_bytes
            if (
                self._progress_s is not None
                and moved_bytes - self._progress_mark < MIN_PROGRESS_BYTES
            ):
                return
            self._progress_mark = moved_bytes
        self._progress_s = now_s if self._awaits_caller else None

    def forget_progress(self) -> None:
        """Begin anew when progress is of interest again."""
        self._progress_s = None

    def stalled(self, now_s: float) -> bool:
        """Return whether the caller has made no progress for ``STALL_S``."""
        return (
            self._progress_s is not None
            and self._awaits_caller
            and now_s - self._progress_s >= STALL_S
        )

    @property
    def _awaits_caller(self) -> bool:
        """Whether the caller has to send or to receive for the connection to go on."""
        if self._transport is None:
            return False
        reads_request = self._in_message and not self._transport_paused
        return reads_request or not self._writable.is_set()

    @property
    def _server_sent_bytes(self) -> int:
        """Bytes that the caller's host has received, up to a constant."""
        return self._written_bytes - self._unsent_bytes

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
            or self._held_input
        )
        self._is_last_response = (
            not request.keeps_alive
            or not request.body_complete
            or not framed
            or (self.closes_when_served and not others)
        )
        if self._is_last_response and request.body_complete:
            self._discards_input = True
            self._held_input = b""
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
        if self._reading_paused or self._held_input:
            self._reading_paused = False
            self._update_reading()

    def _pause_reading(self) -> None:
        self._reading_paused = True
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume the transport as the state of the connection demands."""
        if self._transport is None or self._transport.is_closing():
            return
        pauses = (
            self._reading_paused
            or bool(self._held_input)
            or self._waits_for_room
            or self._dropped_bytes > MAX_DROPPED_BYTES
        )
        blocked = self._reading_paused or self._waits_for_room or self._parse_queued
        if self._held_input and not blocked:
            self._parse_queued = True
            self._server.account.parse_later(self)
        if pauses != self._transport_paused:
            self._transport_paused = pauses
            if pauses:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

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
        self._held_input = b""
        self._give_up_room()
        self.closes_when_served = True

    def _reject(self, status: int) -> None:
        """Refuse bytes that are not a request, and close the connection.

        The responses to earlier requests come first. If the body of the request that is
        being served has become invalid, no response can be matched to it.
        """
        self._stop_reading_requests()
        self._in_message = False
        self._headers = []
        self._target = b""
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
        response = Response(self._pending_rejection, self._pending_headers, closes=True)
        self._pending_rejection = None
        self.write_now(encode_response(response, closes=True, head_only=False))
        self._close_lingering(reads=True)

    def _close_lingering(self, *, reads: bool) -> None:
        """Close the sending side, and the connection a little later.

        It stays open while the caller receives what is left of the response.
        With ``reads``, what the caller still sends is read and dropped meanwhile.
        """
        self._discards_input = True
        self._give_up_room()
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
            self._written_bytes += len(data)
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
            self._written_bytes += len(data)
            self._transport.write(data)
        if not self._writable.is_set():
            self._settle()
            await self._writable.wait()
            self._settle()

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
                self.served_requests += 1
                self.unused_since_s = self._loop.time()
                self._settle()
                if self._is_last_response:
                    self._end(request)
                    return
                # It would keep its body in memory until the next request.
                del request
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
        finally:
            self._current = None

    def _end(self, request: ServerRequest) -> None:
        """Close the connection after its last response.

        Bytes that are unread or arrive later would reset a closed connection, with what
        the caller has not received of the response, so it is closed a little later.
        """
        reads = not self._transport_paused or not request.body_complete
        if (
            self._transport_paused
            or not request.body_complete
            or self._undelivered_bytes
        ):
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
