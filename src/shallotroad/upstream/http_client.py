"""HTTP client for the store and for peers, on the connections to endpoints.

Whatever the server sends, a call ends by its timeout, or by the longer one for large
responses, and holds a bounded number of bytes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.upstream.exceptions import CallFailedError
from shallotroad.upstream.exceptions import ConnectError
from shallotroad.upstream.exceptions import ConnectionLostError
from shallotroad.upstream.exceptions import MalformedResponseError
from shallotroad.upstream.pool import ConnectionPool
from shallotroad.upstream.response_body import read_body


if TYPE_CHECKING:
    from shallotroad.upstream.connection import EndpointConnection

MAX_RESPONSE_BYTES = 16_777_216
MAX_IDLE_S = 4.0


class CallResult(NamedTuple):
    """Status, complete body and headers of a response."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def header(self, name: bytes) -> bytes:
        """Return the value of a header, whose name is in lower case; empty if none."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""


def encode_call(method: str, address: str, target: str, body: bytes) -> bytes:
    """Return the head of a request, including the empty line at its end."""
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n{length}\r\n".encode()


class HttpClient:
    """Calls one address, over kept connections.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` of the server.
    connect_timeout_s : float
        Time in which a connection must be established.
    """

    def __init__(self, *, address: str, connect_timeout_s: float) -> None:
        self._address = address
        host, _, port = address.rpartition(":")
        self._pool = ConnectionPool(
            host=host, port=int(port), connect_timeout_s=connect_timeout_s
        )

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        timeout_s: float,
        transfer_timeout_s: float = 0.0,
    ) -> CallResult:
        """Send a request that may be repeated, and return the complete response.

        It is sent once more if a kept connection is lost before a response begins,
        because the server may have closed that connection just before. After a timeout
        all kept connections are closed, because they may have gone silent together.

        Parameters
        ----------
        timeout_s : float
            Time in which the response must be complete.
        transfer_timeout_s : float
            Time that the rest of the response may take once its head has arrived, if
            that is longer.

        Raises
        ------
        CallFailedError
            When the server sent no complete and valid response in time.
        """
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                return await self._call_with_retry(
                    method, target, body, timeout, transfer_timeout_s
                )
        except TimeoutError:
            self.close()
            raise CallFailedError(
                f"{self._address}: no complete response in time ({timeout_s:.2f} s)"
            ) from None
        except (ConnectError, ConnectionLostError, MalformedResponseError) as error:
            self.close()
            raise CallFailedError(f"{self._address}: {error}") from error

    async def _call_with_retry(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout: asyncio.Timeout,
        transfer_timeout_s: float,
    ) -> CallResult:
        connection = await self._pool.acquire(max_idle_s=MAX_IDLE_S)
        reused = connection.request_count > 0
        try:
            return await self._call_on(
                connection, method, target, body, timeout, transfer_timeout_s
            )
        except (ConnectError, ConnectionLostError):
            if not reused or connection.response_begun:
                raise
        self.close()
        connection = await self._pool.acquire(max_idle_s=MAX_IDLE_S)
        return await self._call_on(
            connection, method, target, body, timeout, transfer_timeout_s
        )

    async def _call_on(
        self,
        connection: EndpointConnection,
        method: str,
        target: str,
        body: bytes,
        timeout: asyncio.Timeout,
        transfer_timeout_s: float,
    ) -> CallResult:
        try:
            head = encode_call(method, self._address, target, body)
            await connection.send("", head, body)
            response = await connection.head()
            ends_at = asyncio.get_running_loop().time() + transfer_timeout_s
            if transfer_timeout_s and ends_at > (timeout.when() or 0.0):
                timeout.reschedule(ends_at)
            content = await read_body(connection, max_bytes=MAX_RESPONSE_BYTES)
            if response.length is not None and response.length != len(content):
                raise ConnectionLostError("body does not have the announced length")
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection)
        return CallResult(response.status, content, response.forwarded)

    def close(self) -> None:
        """Close the idle connections; the next call opens a new one."""
        self._pool.close()
