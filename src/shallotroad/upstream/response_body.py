"""Reads whole response bodies into a bounded amount of memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.upstream.exceptions import MalformedResponseError
from shallotroad.upstream.unfinished_bytes import UnfinishedPart


if TYPE_CHECKING:
    from shallotroad.upstream.connection import EndpointConnection


async def read_body(connection: EndpointConnection, *, max_bytes: int) -> bytes:
    """Return the rest of the body of the response that a connection receives.

    Raises
    ------
    ConnectionLostError
        When the connection ends before the body does.
    MalformedResponseError
        When the body is not valid, is larger than ``max_bytes``, or the process holds
        too many bytes of unfinished responses.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    held = UnfinishedPart()
    try:
        while chunk := await connection.read():
            size_bytes += len(chunk)
            if size_bytes > max_bytes:
                raise MalformedResponseError(f"the body exceeds {max_bytes} bytes")
            held.resize(size_bytes)
            chunks.append(chunk)
        return b"".join(chunks)
    finally:
        held.resize(0)
