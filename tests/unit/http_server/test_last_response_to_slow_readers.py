"""Guards against last responses that the close destroys on their way to the caller."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from shallotroad.http_server.message import Response
from tests.http_server_builders import Service
from tests.http_server_builders import encode_get


if TYPE_CHECKING:
    from shallotroad.http_server.connection import ServerRequest

BODY = b"x" * 3_000_000


async def _read_slowly(caller: socket.socket, pause_s: float, late: bytes) -> int:
    """Return the number of received bytes; send ``late`` after half of the body."""
    loop = asyncio.get_running_loop()
    count = 0
    async with asyncio.timeout(15):
        while True:
            try:
                data = await loop.sock_recv(caller, 8192)
            except ConnectionError:
                return count
            if not data:
                return count
            count += len(data)
            if late and count > len(BODY) // 2:
                await loop.sock_sendall(caller, late)
                late = b""
            await asyncio.sleep(pause_s)


def _connect(service: Service) -> socket.socket:
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect(("127.0.0.1", service.port))
    caller.setblocking(False)
    return caller


# Guards against a reset by a request that arrives while the last response is sent.
async def test_a_last_response_is_whole_although_another_request_follows() -> None:
    service = Service()
    await service.start()

    async def handle(request: ServerRequest) -> Response:
        return Response(200, (), BODY, closes=True)

    service.server.handler = handle
    caller = _connect(service)
    caller.send(encode_get("/1"))
    await asyncio.sleep(0.1)
    count = await _read_slowly(caller, 0.0, encode_get("/2"))
    caller.close()
    await service.server.stop(0)
    assert count > len(BODY)


# Guards against the abort of a response that takes longer than the linger time.
async def test_a_last_response_is_whole_although_reading_is_paused() -> None:
    service = Service()
    await service.start()
    service.release.clear()

    async def handle(request: ServerRequest) -> Response:
        await service.release.wait()
        return Response(200, (), BODY if request.target == "/2" else b"")

    service.server.handler = handle
    caller = _connect(service)
    caller.send(encode_get("/1"))
    await asyncio.sleep(0.05)
    service.server.close_idle_connections()
    for target in ("/2", "/3"):
        caller.send(encode_get(target))
        await asyncio.sleep(0.05)
    service.release.set()
    count = await _read_slowly(caller, 0.01, b"")
    caller.close()
    await service.server.stop(0)
    assert count > len(BODY)
