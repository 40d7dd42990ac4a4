"""Guards against requests lost in the listener's backlog when the server stops."""

from __future__ import annotations

import socket

from tests.http_server_builders import Service
from tests.http_server_builders import encode_get


# Guards against the reset of connections that the kernel accepted before the stop.
async def test_a_request_in_the_backlog_is_answered_when_the_server_stops() -> None:
    service = Service()
    await service.start()
    callers = [socket.create_connection(("127.0.0.1", service.port)) for _ in range(5)]
    for caller in callers:
        caller.sendall(encode_get("/1"))
    await service.server.stop(0.5)
    received = []
    for caller in callers:
        caller.settimeout(1)
        try:
            received.append(caller.recv(8))
        except OSError as error:
            received.append(repr(error).encode())
        caller.close()
    assert received == [b"HTTP/1.1"] * 5
