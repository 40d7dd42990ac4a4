from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from unittest.mock import Mock

from shallotroad.upstream.connection import EndpointConnection


if TYPE_CHECKING:
    from collections.abc import Iterable


class RecordingTransport(asyncio.Transport):
    """A transport without a socket that records what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.aborted = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a socket that accepts any option."""
        return Mock() if name == "socket" else default

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        """Record the data."""
        self.written += data

    def get_write_buffer_size(self) -> int:
        """Return 0: all data has been sent."""
        return 0

    def abort(self) -> None:
        """Record that the connection was aborted."""
        self.aborted = True


def make_connection() -> EndpointConnection:
    """Return an open connection whose received bytes the test feeds."""
    connection = EndpointConnection(opened_s=0.0)
    connection.connection_made(RecordingTransport())
    return connection


def make_response(
    request_id: str, *, status: str = "200 OK", body: bytes = b"", refused: bool = False
) -> bytes:
    """Return a response with a length; without an id header if the id is empty."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"X-Request-Id: {request_id}"] if request_id else []
    lines.append("X-Not-Executed: 1" if refused else "X-Replica-Signature: e1")
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_refusal(request_id: str) -> bytes:
    """Return a response that states that the request was not run."""
    return make_response(request_id, status="503 Unavailable", refused=True)


def feed_all(connection: EndpointConnection, parts: Iterable[bytes]) -> None:
    """Let a connection receive each part in one read."""
    for part in parts:
        connection.data_received(part)
