"""Clients that ignore the limits of a gateway: what they send, and a crowd of them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from devtools.dependency_standins import HOST
from devtools.gateway_harness import HEADERS


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

MAX_BODY_BYTES = 4_194_304
# Most that a client without an end sends, so that a run stays short.
MAX_SENT_BYTES = 16_777_216
BLOCK_BYTES = 65_536
SEND_TIMEOUT_S = 5.0


class ClientKind(NamedTuple):
    """What a client sends: a beginning, then a block again and again, then nothing.

    The client never reads, and leaves its connection open until the crowd ends.
    """

    start: bytes
    block: bytes = b""
    blocks: int = 0

    def parts(self) -> Iterator[bytes]:
        """Return the parts in their order."""
        if self.start:
            yield self.start
        for _ in range(self.blocks):
            yield self.block


def encode_start(method: str, path: str, *lines: str) -> bytes:
    """Return the beginning of a head with the given further lines, without its end."""
    fields = [f"{name}: {value}" for name, value in HEADERS.items()]
    text = [f"{method} {path} HTTP/1.1", *fields, "X-Request-Id: w1", *lines]
    return "\r\n".join(text).encode() + b"\r\n"


def _repeat(data: bytes) -> bytes:
    return data * (BLOCK_BYTES // len(data))


def _endless(start: bytes, block: bytes) -> ClientKind:
    return ClientKind(start, block, MAX_SENT_BYTES // len(block))


def _announced(length: int, sent: int) -> ClientKind:
    start = encode_start("POST", "/book/1", f"Content-Length: {length}", "")
    block = b"x" * BLOCK_BYTES
    rest = b"x" * (sent % BLOCK_BYTES)
    return ClientKind(start + rest, block, sent // BLOCK_BYTES)


CHUNKED = encode_start("POST", "/book/1", "Transfer-Encoding: chunked", "")
CHUNK = b"%x\r\n" % BLOCK_BYTES + b"x" * BLOCK_BYTES + b"\r\n"
BYTE_CHUNK = b"1\r\nx\r\n"
GET = encode_start("GET", "/stock/1")
KINDS = {
    "one header line without end": _endless(GET + b"X-Filler: ", b"x" * BLOCK_BYTES),
    "short header lines without end": _endless(GET, _repeat(b"a:b\r\n")),
    "many short header lines": ClientKind(GET + b"a:b\r\n" * 24_000),
    "empty lines without end": _endless(b"", _repeat(b"\r\n")),
    "large chunks short of the end": ClientKind(
        CHUNKED, CHUNK, MAX_BODY_BYTES // BLOCK_BYTES
    ),
    "chunks of one byte": ClientKind(CHUNKED, BYTE_CHUNK * 6_000, 100),
    "announced body less one byte": _announced(MAX_BODY_BYTES, MAX_BODY_BYTES - 1),
    "announced body over the limit": _announced(1 << 30, MAX_SENT_BYTES),
    "chunked body over the limit": _endless(CHUNKED, CHUNK),
    "whole bodies at the limit": _announced(MAX_BODY_BYTES, MAX_BODY_BYTES),
    "trailers without end": _endless(CHUNKED + b"0\r\n", _repeat(b"a:b\r\n")),
    "chunk extensions without end": _endless(CHUNKED + b"1;a=", b"x" * BLOCK_BYTES),
    "pipelining without reading": ClientKind(b"", (GET + b"\r\n") * 200, 20),
    "heads that stop": ClientKind(GET),
    "connections without a request": ClientKind(b""),
}


class Crowd:
    """Clients of one or more kinds that are connected to a port at the same time."""

    def __init__(self, port: int, kinds: Sequence[str], clients: int) -> None:
        self._port = port
        self._kinds = [KINDS[kinds[n % len(kinds)]] for n in range(clients)]
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self) -> None:
        """Let all clients send until they are done, cut off, or the time is up."""
        clients = [asyncio.create_task(self._send(kind)) for kind in self._kinds]
        _, unfinished = await asyncio.wait(clients, timeout=SEND_TIMEOUT_S)
        for client in unfinished:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)

    async def _send(self, kind: ClientKind) -> None:
        try:
            _, writer = await asyncio.open_connection(HOST, self._port)
            self._writers.append(writer)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            for part in kind.parts():
                writer.write(part)
                await writer.drain()
        except ConnectionError:
            return  # The gateway may cut such a client off.

    def close(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()
