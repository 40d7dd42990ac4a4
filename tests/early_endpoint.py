"""An endpoint that answers before it has read the request, and then ends."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

from devtools.dependency_standins import HOST


NAME = "early"
# Time for the answer to arrive before the reset, which would overtake it.
LEAD_S = 0.2


class EarlyEndpoint:
    """Answers each request as soon as it has its head, and never reads the body.

    ``end`` is "reset" or "close".
    """

    def __init__(self, *, answer: bytes, end: str) -> None:
        self._answer = answer
        self._end = end
        self._server: asyncio.Server | None = None
        self.port = 0
        self.requests = 0

    async def start(self) -> None:
        """Listen on a free port, with a small buffer for what is not read."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        listener.bind((HOST, 0))
        self.port = listener.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=512)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.requests += 1
        lines = head.decode("latin-1").split("\r\n")
        request_id = next(
            line.partition(": ")[2]
            for line in lines
            if line.lower().startswith("x-request-id")
        )
        writer.write(self._answer.replace(b"REQUEST_ID", request_id.encode()))
        await writer.drain()
        await asyncio.sleep(LEAD_S)
        if self._end == "reset":
            raw_socket = writer.get_extra_info("socket")
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        else:
            writer.write_eof()
            await asyncio.sleep(LEAD_S)
            writer.close()

    def registration(self, service: str) -> dict[str, Any]:
        """Return the document by which the endpoint registers in the store."""
        return {
            "service": service,
            "address": f"{HOST}:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
        }

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
