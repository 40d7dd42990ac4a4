"""Guards against requests without a response because something else was cancelled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.http_server_builders import Service
from tests.http_server_builders import encode_get


if TYPE_CHECKING:
    from shallotroad.http_server.connection import ServerRequest
    from shallotroad.http_server.message import Response


# Guards against a connection that stays open without a task and without a response.
async def test_a_handler_whose_awaitable_is_cancelled_is_answered() -> None:
    service = Service()
    await service.start()

    async def handle(request: ServerRequest) -> Response | None:
        shared = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(0.02, shared.cancel)
        await shared
        return None

    service.server.handler = handle
    reader, writer = await service.connect()
    writer.write(encode_get("/1"))
    try:
        async with asyncio.timeout(2):
            received = await reader.read(12)
    except TimeoutError:
        received = b"no response, connection open"
    writer.close()
    await service.server.stop(0)
    assert received == b"HTTP/1.1 500"
