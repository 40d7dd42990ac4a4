"""Idle connections to one endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from shallotroad.upstream.connection import connect


if TYPE_CHECKING:
    from shallotroad.upstream.connection import EndpointConnection

CONNECT_TIMEOUT_S = 0.4  # an accepted connection takes a few milliseconds
IDLE_SHARE = (
    0.5  # of the endpoint's idle timeout; the rest is for its clock and the way
)
MAX_IDLE_S = 4.0  # an older connection may have been dropped on the way
MAX_IDLE_CONNECTIONS = 16


class ConnectionPool:
    """Keeps idle connections, the most recently used one first."""

    def __init__(self, *, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[EndpointConnection] = []
        self.opened = 0

    async def acquire(self, *, max_idle_s: float) -> EndpointConnection:
        """Return an idle connection, or open one.

        Parameters
        ----------
        max_idle_s : float
            An idle connection older than this is not used.

        Raises
        ------
        ConnectError
            When no connection can be opened.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            limit_s = min(max_idle_s, MAX_IDLE_S)
            if connection.idle_timeout_s is not None:
                limit_s = min(limit_s, IDLE_SHARE * connection.idle_timeout_s)
            if connection.usable and now_s - connection.idle_since_s < limit_s:
                return connection
            connection.close()
        self.opened += 1
        return await connect(self._host, self._port, timeout_s=CONNECT_TIMEOUT_S)

    def release(self, connection: EndpointConnection) -> None:
        """Take a connection back after its answer."""
        now_s = asyncio.get_running_loop().time()
        if not connection.finish(now_s):
            return
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
