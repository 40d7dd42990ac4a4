"""Guards against the reset of unread requests under uvloop, which the product uses."""

from __future__ import annotations

import asyncio
import os
import socket
import time

import uvloop

from tests.http_server_builders import Service
from tests.http_server_builders import encode_get


class _Blocker(asyncio.Protocol):
    """Sends a request and blocks the event loop, as a long callback would."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def data_received(self, data: bytes) -> None:
        os.write(self._descriptor, encode_get("/2"))
        time.sleep(0.05)


async def _receive_after_stall() -> bytes:
    service = Service()
    await service.start()
    reader, writer = await service.connect()
    writer.write(encode_get("/1"))
    await reader.readuntil(b"\r\n\r\n")
    near, far = socket.socketpair()
    near.setblocking(False)
    descriptor = writer.get_extra_info("socket").fileno()
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: _Blocker(descriptor), sock=near)
    service.server.close_idle_connections()
    far.send(b"x")
    try:
        async with asyncio.timeout(2):
            return await reader.read()
    except ConnectionError as error:
        return repr(error).encode()
    finally:
        far.close()
        await service.server.stop(0)


# Guards against an idle close whose timer runs before input that has arrived is read:
# libuv runs timers that are due before it polls the sockets.
def test_a_request_that_arrives_during_a_stall_is_answered_under_uvloop() -> None:
    assert uvloop.run(_receive_after_stall()).startswith(b"HTTP/1.1 200")
