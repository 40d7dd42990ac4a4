"""Guards against connections that line breaks keep open at the stop."""

from __future__ import annotations

import asyncio

from tests.http_server_builders import Service


# Guards against bytes that begin no request but set a longer timer at each arrival.
async def test_line_breaks_do_not_keep_an_idle_connection_open() -> None:
    service = Service()
    await service.start()
    _, writer = await service.connect()
    await asyncio.sleep(0.02)
    service.server.close_idle_connections()
    for _ in range(12):
        writer.write(b"\r\n")
        await asyncio.sleep(0.1)
    still_open = len(service.server.connections)
    writer.close()
    await service.server.stop(0)
    assert still_open == 0
