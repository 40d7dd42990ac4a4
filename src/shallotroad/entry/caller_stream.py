"""Streams a response to a caller.

Each server-sent event of an attempt carries an id that names the attempt, its
instance and the chunk number. After a lost connection the caller can send the last
id to any entry, which resumes the response there.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from shallotroad.entry.api_errors import DONE
from shallotroad.entry.api_errors import OUTCOME_HEADER
from shallotroad.entry.api_errors import REQUEST_ID_HEADER
from shallotroad.entry.exceptions import BadRequestError


if TYPE_CHECKING:
    from shallotroad.entry.dispatcher import ResponseChunk

EVENT_STREAM = "text/event-stream"
# A write that leaves less than this in the send buffer does not wait for the
# caller, so it needs no timeout.
MAX_UNTIMED_SEND_BUFFER_BYTES = 32_768


class SlowCallerError(ConnectionError):
    """The caller did not read its response within the timeout."""


def with_event_ids(response_chunk: ResponseChunk) -> bytes:
    """Return the events of a response chunk, each with its ``id`` line.

    Events without an id prefix can't be resumed and are returned as they are.
    """
    if not response_chunk.event_id_prefix:
        return b"".join(chunk.data for chunk in response_chunk.chunks)
    event_id_prefix = response_chunk.event_id_prefix.encode()
    events = []
    for chunk in response_chunk.chunks:
        events.append(b"id: %b:%d\n%b" % (event_id_prefix, chunk.seq, chunk.data))
    return b"".join(events)


class ResumePosition:
    """Position in a response: attempt, its instance and the last chunk's number."""

    def __init__(self, *, attempt: str, instance: str, seq: int) -> None:
        self.attempt = attempt
        self.instance = instance
        self.seq = seq


def parse_last_event_id(last_event_id: str) -> ResumePosition:
    """Parse the ``Last-Event-ID`` header of a caller.

    Raises
    ------
    BadRequestError
        When it does not have the form of an id that entries send.
    """
    event_id_prefix, _, number = last_event_id.rpartition(":")
    attempt, _, instance = event_id_prefix.partition("@")
    if not attempt or not instance or not number.isdecimal():
        raise BadRequestError(
            status=400,
            code="invalid_last_event_id",
            detail="Last-Event-ID must be the id of the last event you received",
        )
    return ResumePosition(attempt=attempt, instance=instance, seq=int(number))


class CallerStream:
    """Response stream to a caller; its head is sent with the first chunk.

    ``response`` is None until then.
    """

    def __init__(
        self, *, request: web.Request, request_id: str, slow_caller_s: float
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._slow_caller_s = slow_caller_s
        self.response: web.StreamResponse | None = None

    async def _send_head(self, status: int, content_type: str) -> web.StreamResponse:
        headers = {
            "Content-Type": content_type or EVENT_STREAM,
            "Cache-Control": "no-store",
            OUTCOME_HEADER: DONE,
            REQUEST_ID_HEADER: self._request_id,
        }
        response = web.StreamResponse(status=status, headers=headers)
        await response.prepare(self._request)
        return response

    async def write_chunk(self, response_chunk: ResponseChunk) -> None:
        """Send a response chunk.

        In a response of type ``text/event-stream`` each event gets its id line, see
        ``with_event_ids``; other bodies are sent unchanged.

        Raises
        ------
        SlowCallerError
            When the caller did not read it within the timeout.
        ConnectionError
            When the caller has disconnected.
        """
        if self.response is None:
            self.response = await self._send_head(
                response_chunk.status or 200, response_chunk.content_type
            )
        is_event_stream = EVENT_STREAM in self.response.headers["Content-Type"]
        data = (
            with_event_ids(response_chunk)
            if is_event_stream
            else b"".join(c.data for c in response_chunk.chunks)
        )
        await self.write(data)

    async def write(self, data: bytes) -> None:
        """Send bytes, or nothing if the head has not been sent.

        Raises the same errors as ``write_chunk``.
        """
        if self.response is None:
            return
        if self._fits_send_buffer(data):
            await self.response.write(data)
            return
        try:
            async with asyncio.timeout(self._slow_caller_s):
                await self.response.write(data)
        except TimeoutError:
            raise SlowCallerError("caller did not read the response in time") from None

    def _fits_send_buffer(self, data: bytes) -> bool:
        """Return whether the data can be written without waiting for the caller."""
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError("caller has disconnected")
        buffered_bytes = transport.get_write_buffer_size() + len(data)
        return buffered_bytes < MAX_UNTIMED_SEND_BUFFER_BYTES

    async def close(self) -> None:
        """End the response, if its head has been sent."""
        if self.response is not None:
            await self.response.write_eof()
