"""Writes an answer to a caller, numbered so that it can go on elsewhere."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from shallotroad.entry.api_errors import DONE
from shallotroad.entry.api_errors import OUTCOME_HEADER
from shallotroad.entry.api_errors import REQUEST_HEADER
from shallotroad.entry.exceptions import BadRequestError


if TYPE_CHECKING:
    from shallotroad.entry.dispatcher import ResponseChunk

EVENT_STREAM = "text/event-stream"
UNWATCHED_BYTES = 32_768


class SlowCallerError(ConnectionError):
    """The caller did not take its answer in time."""


def numbered(response_chunk: ResponseChunk) -> bytes:
    """Return the events of a part, each with its place as its ``id``."""
    if not response_chunk.event_id_prefix:
        return b"".join(chunk.data for chunk in response_chunk.chunks)
    event_id_prefix = response_chunk.event_id_prefix.encode()
    pieces = []
    for chunk in response_chunk.chunks:
        pieces.append(b"id: %b:%d\n%b" % (event_id_prefix, chunk.seq, chunk.data))
    return b"".join(pieces)


class ResumePosition:
    """Where an answer may go on: attempt, instance and last number."""

    def __init__(self, *, attempt: str, instance: str, seq: int) -> None:
        self.attempt = attempt
        self.instance = instance
        self.seq = seq


def parse_last_event_id(last_event_id: str) -> ResumePosition:
    """Read the ``Last-Event-ID`` of a caller.

    Raises
    ------
    BadRequestError
        When it is not one that an entry has sent.
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
    """A streamed HTTP answer that is prepared with its first part."""

    def __init__(
        self, *, request: web.Request, request_id: str, slow_caller_s: float
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._slow_caller_s = slow_caller_s
        self.response: web.StreamResponse | None = None

    async def _open(self, status: int, content_type: str) -> web.StreamResponse:
        headers = {
            "Content-Type": content_type or EVENT_STREAM,
            "Cache-Control": "no-store",
            OUTCOME_HEADER: DONE,
            REQUEST_HEADER: self._request_id,
        }
        response = web.StreamResponse(status=status, headers=headers)
        await response.prepare(self._request)
        return response

    async def write_chunk(self, response_chunk: ResponseChunk) -> None:
        """Write a part.

        Raises
        ------
        SlowCallerError
            When the caller took nothing for too long.
        ConnectionError
            When the caller has gone.
        """
        if self.response is None:
            self.response = await self._open(
                response_chunk.status or 200, response_chunk.content_type
            )
        events = EVENT_STREAM in self.response.headers["Content-Type"]
        data = (
            numbered(response_chunk)
            if events
            else b"".join(c.data for c in response_chunk.chunks)
        )
        await self.write(data)

    async def write(self, data: bytes) -> None:
        """Write bytes; see ``write_chunk`` for the errors."""
        if self.response is None:
            return
        if self._fits(data):
            await self.response.write(data)
            return
        try:
            async with asyncio.timeout(self._slow_caller_s):
                await self.response.write(data)
        except TimeoutError:
            raise SlowCallerError("the caller reads too slowly") from None

    def _fits(self, data: bytes) -> bool:
        """Tell whether a write can't wait for the caller."""
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError("the caller has gone")
        waiting_bytes = transport.get_write_buffer_size() + len(data)
        return waiting_bytes < UNWATCHED_BYTES

    async def close(self) -> None:
        """End the answer."""
        if self.response is not None:
            await self.response.write_eof()
