"""Reads whole response bodies into a bounded amount of memory.

An endpoint in trouble may send a body that never ends. Each body has a limit, and the
large ones of a process together have one, so that they can't fill its memory.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.upstream.exceptions import MalformedResponseError


if TYPE_CHECKING:
    from shallotroad.upstream.connection import EndpointConnection

# Bytes of each body that do not count towards the limit of the process, so that large
# bodies never make an ordinary one fail.
UNCOUNTED_BYTES = 65_536
MAX_LARGE_BODIES_BYTES = 33_554_432


class ByteBudget:
    """Bytes that the large bodies of a process hold together."""

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0

    def take(self, size_bytes: int) -> bool:
        """Count further bytes; return False, and count none, if they are too many."""
        if self.held_bytes + size_bytes > self._max_bytes:
            return False
        self.held_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Stop counting bytes."""
        self.held_bytes -= size_bytes


LARGE_BODIES = ByteBudget(max_bytes=MAX_LARGE_BODIES_BYTES)


async def read_body(connection: EndpointConnection, *, max_bytes: int) -> bytes:
    """Return the rest of the body of the response that a connection receives.

    Raises
    ------
    ConnectionLostError
        When the connection ends before the body does.
    MalformedResponseError
        When the body is not valid, is larger than ``max_bytes``, or the process holds
        too many bytes of large bodies.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    counted_bytes = 0
    try:
        while chunk := await connection.read():
            size_bytes += len(chunk)
            if size_bytes > max_bytes:
                raise MalformedResponseError(f"the body exceeds {max_bytes} bytes")
            uncounted = max(0, size_bytes - UNCOUNTED_BYTES) - counted_bytes
            if not LARGE_BODIES.take(uncounted):
                raise MalformedResponseError(
                    f"large bodies hold {LARGE_BODIES.held_bytes} bytes already"
                )
            counted_bytes += uncounted
            chunks.append(chunk)
        return b"".join(chunks)
    finally:
        LARGE_BODIES.give_back(counted_bytes)
