"""Pool of idle connections to one endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from shallotroad.upstream.connection import connect


if TYPE_CHECKING:
    from shallotroad.upstream.connection import EndpointConnection

# A connection that the endpoint accepts is established within a few milliseconds.
CONNECT_TIMEOUT_S = 0.4
# Fraction of the endpoint's idle timeout within which a connection is used again. The
# rest allows for network delay and for a clock of the endpoint that runs fast.
IDLE_TIMEOUT_FRACTION = 0.5
# The network may have dropped a connection that was idle for longer, without notice.
MAX_IDLE_S = 4.0
# Maximum for each pool; a connection released beyond it is closed.
MAX_IDLE_CONNECTIONS = 16


class ConnectionPool:
    """Keeps idle connections to one endpoint and reuses the most recently used one."""

    def __init__(
        self, *, host: str, port: int, connect_timeout_s: float = CONNECT_TIMEOUT_S
    ) -> None:
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[EndpointConnection] = []
        self.opened_count = 0

    async def acquire(
        self, *, max_idle_s: float, request_id: str = ""
    ) -> EndpointConnection:
        """Return an idle connection, or open one.

        Parameters
        ----------
        max_idle_s : float
            A connection that was idle for longer is closed instead of used. The lowest
            of this, ``MAX_IDLE_S`` and ``IDLE_TIMEOUT_FRACTION`` of the endpoint's idle
            timeout applies. The caller passes less when a failed request must not be
            sent again.
        request_id : str
            Identifier of the request to send, if it has one. A connection that has
            carried it before is closed instead of used.

        Raises
        ------
        ConnectError
            When no connection can be opened within the timeout.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            limit_s = min(max_idle_s, MAX_IDLE_S)
            if connection.idle_timeout_s is not None:
                limit_s = min(
                    limit_s, IDLE_TIMEOUT_FRACTION * connection.idle_timeout_s
                )
            if (
                connection.usable
                and now_s - connection.idle_since_s < limit_s
                and not connection.carried_recently(request_id)
            ):
                return connection
            connection.close()
        self.opened_count += 1
        return await connect(self._host, self._port, timeout_s=self._connect_timeout_s)

    def release(self, connection: EndpointConnection) -> None:
        """Finish a connection and keep it as idle, or close it.

        It is closed when ``EndpointConnection.finish`` finds that it can't be used
        again, or when the pool is full.
        """
        now_s = asyncio.get_running_loop().time()
        if not connection.finish(now_s):
            return
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections.

        Those in use stay open, and ``release`` still keeps them as idle afterwards.
        """
        for connection in self._idle:
            connection.close()
        self._idle.clear()
