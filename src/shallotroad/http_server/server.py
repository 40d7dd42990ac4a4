"""HTTP/1.1 server: accepts connections and stops them in an orderly way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.http_server.connection import ServerConnection
from shallotroad.http_server.memory_account import MemoryAccount


if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable
    from collections.abc import Callable

    from shallotroad.http_server.connection import ServerRequest
    from shallotroad.http_server.message import Response

    Handler = Callable[[ServerRequest], Awaitable[Response | None]]


class Timeouts(NamedTuple):
    """How long a caller may take.

    Parameters
    ----------
    head_s : float
        From the first byte of a request until its head is complete.
    idle_s : float
        Between requests, and before the first.
    """

    head_s: float
    idle_s: float


class RequestLimits(NamedTuple):
    """How large a request may be.

    Parameters
    ----------
    head_bytes : int
        Names and values of all headers together; a larger head is refused as soon as
        that is known.
    body_bytes : int
        The body. The handler refuses a larger one; the server gives a body of unknown
        length room for so many bytes.
    """

    head_bytes: int
    body_bytes: int


# Requests that arrive while the server stops are answered within this time.
LAST_RESPONSES_TIMEOUT_S = 0.25
# Callbacks, one after the other, in which an event loop polls its sockets and sets up a
# connection that waits.
ACCEPT_CALLBACKS = 8
# New connections hold up the stop for at most this many rounds of accepting.
MAX_ACCEPT_ROUNDS = 20
DEFAULT_TIMEOUTS = Timeouts(head_s=10.0, idle_s=75.0)
DEFAULT_LIMITS = RequestLimits(head_bytes=131_072, body_bytes=4_194_304)
# Limits of a process whose settings state none.
DEFAULT_MEMORY_MB = 300.0
DEFAULT_DESCRIPTORS = 4096


class HttpServer:
    """Serves one listening socket.

    Parameters
    ----------
    handler : callable
        Serves one request. It returns the response, or None when it has sent one
        through a ``ResponseStream``. It is cancelled when the caller disconnects, and
        when ``ServerRequest.interruption`` asks it for a last response.
    timeouts : callable
        Returns the timeouts in force.
    limits : callable
        Returns the limits of requests in force.
    tier_of : callable
        Returns the tier of a request, 0 the highest; called only when requests have to
        give way.
    account : MemoryAccount or None
        Account of what the connections hold; None for one of its own.
    on_unanswered : callable
        Called with the number of requests that a connection left without a response
        when it ended, and with the reason of its end.

    Attributes
    ----------
    connections : set of ServerConnection
        Open connections.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        timeouts: Callable[[], Timeouts] = lambda: DEFAULT_TIMEOUTS,
        limits: Callable[[], RequestLimits] = lambda: DEFAULT_LIMITS,
        tier_of: Callable[[ServerRequest], int] = lambda request: 0,
        account: MemoryAccount | None = None,
        on_unanswered: Callable[[int, str], None] = lambda count, reason: None,
    ) -> None:
        self.handler = handler
        self.timeouts = timeouts
        self.limits = limits
        self.tier_of = tier_of
        self.account = account or MemoryAccount.for_process(
            memory_mb=DEFAULT_MEMORY_MB, descriptors=DEFAULT_DESCRIPTORS
        )
        self.on_unanswered = on_unanswered
        self.connections: set[ServerConnection] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, listener: socket.socket, *, backlog: int) -> None:
        """Accept connections from a listening socket."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: ServerConnection(server=self), sock=listener, backlog=backlog
        )

    def close_idle_connections(self) -> None:
        """Close idle connections now, and the others after their next response."""
        for connection in list(self.connections):
            connection.close_when_idle()

    @property
    def open_requests(self) -> int:
        """Number of requests whose response is not complete, waiting ones included."""
        return sum(connection.open_requests for connection in self.connections)

    def interrupt_requests(self, reason: str) -> None:
        """Let all handlers give a last response now; see ``ServerRequest``."""
        for connection in list(self.connections):
            connection.interrupt(reason)

    async def _accept_pending_connections(self) -> None:
        """Accept connections that callers have opened, until no more of them wait.

        The kernel resets those that wait when the listener is closed.
        """
        for _ in range(MAX_ACCEPT_ROUNDS):
            count = len(self.connections)
            for _ in range(ACCEPT_CALLBACKS):
                await asyncio.sleep(0)
            if len(self.connections) == count:
                return

    def stop_listening(self) -> None:
        """Accept no further connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def stop(self, timeout_s: float) -> None:
        """Close all connections, those still in use after ``timeout_s``.

        Those with open requests have ``LAST_RESPONSES_TIMEOUT_S`` at least.
        """
        await self._accept_pending_connections()
        self.stop_listening()
        self.close_idle_connections()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        last_responses_s = max(deadline_s, loop.time() + LAST_RESPONSES_TIMEOUT_S)
        while self.connections:
            limit_s = last_responses_s if self.open_requests else deadline_s
            if loop.time() >= limit_s:
                break
            await asyncio.sleep(0.01)
        for connection in list(self.connections):
            connection.abort("the server stopped")
