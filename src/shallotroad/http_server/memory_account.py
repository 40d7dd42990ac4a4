"""Account of the memory and the descriptors that callers make a process use.

Each connection has bounded buffers; the account bounds their sum. Connections report
what they hold. Large bodies need room before they are read, and a connection has to
give up its request when the sum would exceed the limit.
"""

from __future__ import annotations

import asyncio
from collections import deque
from time import perf_counter
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.http_server.connection import ServerConnection

BYTES_PER_MB = 1_000_000
# Share of the memory of the settings that the process may use at its peak.
MAX_PROCESS_SHARE = 0.8
# What the process itself takes on a large fleet, without callers.
PROCESS_BYTES = 57 * BYTES_PER_MB
# What is not counted: connections to endpoints, gaps in the heap and bytes on their way
# between buffers. 300 clients that pipeline without reading make it about this large.
UNCOUNTED_BYTES = 33 * BYTES_PER_MB
# Lower bound of the limit, with which a body of the default size limit is still served.
MIN_LIMIT_BYTES = 16 * BYTES_PER_MB
# Descriptors of the listeners, the store, the other gateways, and the kept connections
# to endpoints.
RESERVED_DESCRIPTORS = 64
# Each caller's connection may need a connection to an endpoint as well.
DESCRIPTORS_PER_CALLER = 2
MIN_CONNECTIONS = 16

# A body that is larger needs room before more of it is read. Ordinary bodies are
# smaller, so that they never wait.
SMALL_BODY_BYTES = 32_768
# Large bodies get room while not more than this share of the limit is in use.
ROOM_SHARE = 0.92
# While more than this share is in use, connections without progress are closed.
CONTENTION_SHARE = 0.7
# Progress of a sender or reader: bytes that it sends or receives within a time.
STALL_S = 2.0
MIN_PROGRESS_BYTES = 16_384
# Connections that hold less are not closed for a lack of progress.
MIN_STALLED_BYTES = 32_768
# A body that waits longer for room is refused.
MAX_ROOM_WAIT_S = 5.0
CHECK_INTERVAL_S = 0.25
# While forwarded requests, which are kept, hold more than the limit, all connections
# are compared at most once in this time.
COMPARE_INTERVAL_S = 0.05
# Among requests that hold at least this share of the largest, the lowest tier goes.
SIMILAR_SIZE_SHARE = 0.5
# When a request that gave way may be sent again, in seconds.
RETRY_AFTER_S = 1.0
# Time in which the event loop parses held-back input before it polls its sockets again.
PARSE_SHARE_S = 0.005

NO_PROGRESS = "no progress"
NO_ROOM = "no room for the body"
LIMIT_REACHED = "memory limit reached"
# Reasons for which requests are refused that may be sent again.
SHED_REASONS = frozenset((NO_PROGRESS, NO_ROOM, LIMIT_REACHED))
CONNECTION_LIMIT = "too many connections"
HEAD_TOO_LARGE = "head too large"
BODY_TOO_LARGE = "body too large"
EMPTY_LINES = "empty lines"


class Usage(NamedTuple):
    """What a connection takes of the account.

    Parameters
    ----------
    held_bytes : int
        Bytes that it holds now.
    room_bytes : int
        Further bytes that its body may grow by, for which it has been given room.
    """

    held_bytes: int
    room_bytes: int


NO_USAGE = Usage(0, 0)


class MemoryAccount:
    """What the connections of callers hold together, and who has to give way.

    Parameters
    ----------
    max_bytes : int
        Limit of the bytes that the connections hold together.
    max_connections : int
        Limit of the open connections.
    on_closed, on_refused : callable
        Called with the reason when a connection is closed, or its request refused, for
        the sake of the limits.

    Attributes
    ----------
    held_bytes, room_bytes : int
        Sums of the fields of ``Usage``.
    """

    def __init__(
        self,
        *,
        max_bytes: int,
        max_connections: int,
        on_closed: Callable[[str], None] = lambda reason: None,
        on_refused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.on_closed = on_closed
        self.on_refused = on_refused
        self.held_bytes = 0
        self.room_bytes = 0
        self._usages: dict[ServerConnection, Usage] = {}
        self._waiting: dict[ServerConnection, WaitingBody] = {}
        self._parse_queue: deque[ServerConnection] = deque()
        self._parse_scheduled = False
        self._making_room = False
        self._next_compare_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @classmethod
    def for_process(cls, *, memory_mb: float, descriptors: int) -> MemoryAccount:
        """Return the account of a process with these limits in its settings."""
        usable_bytes = MAX_PROCESS_SHARE * memory_mb * BYTES_PER_MB
        limit_bytes = int(usable_bytes) - PROCESS_BYTES - UNCOUNTED_BYTES
        callers = (descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CALLER
        return cls(
            max_bytes=max(MIN_LIMIT_BYTES, limit_bytes),
            max_connections=max(MIN_CONNECTIONS, callers),
        )

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._usages)

    @property
    def waiting_bodies(self) -> int:
        """Number of bodies that are not read on because there is no room."""
        return len(self._waiting)

    # Connections

    def add(self, connection: ServerConnection) -> bool:
        """Count a new connection; return False if it must be closed at once.

        When there are too many, a connection without a request is closed instead: one
        that never sent a request, or else the one that has been without for longest.
        """
        if len(self._usages) >= self.max_connections:
            unused = [c for c in self._usages if c.unused]
            if not unused:
                self.on_closed(CONNECTION_LIMIT)
                return False
            oldest = min(
                unused, key=lambda c: (c.served_requests > 0, c.unused_since_s)
            )
            self.remove(oldest)
            oldest.abort(CONNECTION_LIMIT)
            self.on_closed(CONNECTION_LIMIT)
        self._usages[connection] = NO_USAGE
        return True

    def remove(self, connection: ServerConnection) -> None:
        """Count a connection no longer."""
        usage = self._usages.pop(connection, NO_USAGE)
        self.held_bytes -= usage.held_bytes
        self.room_bytes -= usage.room_bytes
        self._waiting.pop(connection, None)
        self._give_room()

    def update(self, connection: ServerConnection, usage: Usage) -> None:
        """Count what a connection takes now, and enforce the limit."""
        previous = self._usages.get(connection)
        if previous is None or previous == usage:
            return
        self._usages[connection] = usage
        self.held_bytes += usage.held_bytes - previous.held_bytes
        self.room_bytes += usage.room_bytes - previous.room_bytes
        grows = usage.held_bytes > previous.held_bytes
        if grows and self.held_bytes > self.max_bytes and not self._making_room:
            self._enforce_limit(connection)
        if self._contended:
            self._watch()
        if usage.held_bytes + usage.room_bytes < previous.held_bytes + (
            previous.room_bytes
        ):
            self._give_room()

    @property
    def _contended(self) -> bool:
        taken_bytes = self.held_bytes + self.room_bytes
        return bool(self._waiting) or taken_bytes > CONTENTION_SHARE * self.max_bytes

    # Room for large bodies

    def request_room(self, connection: ServerConnection, needed_bytes: int) -> bool:
        """Return whether a body may grow by so many bytes.

        If not, the connection waits and ``room_given`` of it is called later. The
        highest tier is served first, and within a tier the one that waits longest.
        """
        if self._has_room(needed_bytes) and not self._waiting:
            return True
        self._waiting[connection] = WaitingBody(
            needed_bytes, connection.tier, asyncio.get_running_loop().time()
        )
        self._watch()
        self._give_room()
        return False

    def withdraw(self, connection: ServerConnection) -> None:
        """Let a body wait for room no longer."""
        self._waiting.pop(connection, None)

    def _has_room(self, needed_bytes: int) -> bool:
        # A single body is always read, so that one over the limit is refused for its
        # size instead of waiting for ever.
        taken_bytes = self.held_bytes + self.room_bytes
        fits = taken_bytes + needed_bytes <= ROOM_SHARE * self.max_bytes
        return fits or (
            not self.room_bytes and (taken_bytes <= CONTENTION_SHARE * self.max_bytes)
        )

    def _give_room(self) -> None:
        """Let waiting bodies grow while there is room, in their order."""
        while self._waiting and not self._making_room:
            connection = min(
                self._waiting,
                key=lambda c: (self._waiting[c].tier, self._waiting[c].since_s),
            )
            needed_bytes = self._waiting[connection].needed_bytes
            if not self._has_room(needed_bytes):
                return
            del self._waiting[connection]
            connection.room_given(needed_bytes)

    # Limits

    def _enforce_limit(self, connection: ServerConnection) -> None:
        """Let connections give up their requests until the limit is kept.

        If no other can, the one that has grown has to.
        """
        now_s = asyncio.get_running_loop().time()
        self._making_room = True
        try:
            if now_s >= self._next_compare_s:
                stalled = [c for c in self._usages if c.stalled(now_s)]
                self._shed(self.max_bytes, stalled)
                self._shed(self.max_bytes, list(self._usages))
            if self.held_bytes > self.max_bytes:
                if now_s >= self._next_compare_s:
                    self._next_compare_s = now_s + COMPARE_INTERVAL_S
                self._shed(self.max_bytes, [connection])
        finally:
            self._making_room = False

    def _size(self, connection: ServerConnection) -> int:
        usage = self._usages.get(connection, NO_USAGE)
        return usage.held_bytes + usage.room_bytes

    def _shed(
        self,
        target_bytes: float,
        candidates: list[ServerConnection],
        reason: str = LIMIT_REACHED,
    ) -> None:
        """Refuse requests of candidates, the largest first, until the target is met."""
        candidates = sorted(
            (c for c in candidates if c.can_refuse), key=self._size, reverse=True
        )
        while candidates and self.held_bytes > target_bytes:
            least = SIMILAR_SIZE_SHARE * self._size(candidates[0])
            similar = [c for c in candidates if self._size(c) >= least]
            chosen = max(similar, key=lambda c: (c.tier, self._size(c)))
            candidates.remove(chosen)
            self.refuse(chosen, reason)

    def refuse(self, connection: ServerConnection, reason: str) -> None:
        """Let a connection give up its request."""
        self._waiting.pop(connection, None)
        self.on_refused(reason)
        connection.refuse(reason)

    def _watch(self) -> None:
        """Check the progress of connections periodically while there is contention."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self.check_progress)

    def check_progress(self) -> None:
        """Close connections without progress, and refuse what has waited too long."""
        self._timer = None
        if not self._contended:
            for connection in self._usages:
                connection.forget_progress()
            return
        now_s = asyncio.get_running_loop().time()
        stalled = []
        for connection in list(self._usages):
            connection.record_progress(now_s)
            large = self._size(connection) >= MIN_STALLED_BYTES
            if large and connection.stalled(now_s):
                stalled.append(connection)
        self._close_stalled(stalled)
        for connection, waiting in list(self._waiting.items()):
            waited_s = now_s - waiting.since_s
            if waited_s > MAX_ROOM_WAIT_S and connection.can_refuse:
                self.refuse(connection, NO_ROOM)
        self._give_room()
        self._watch()

    def _close_stalled(self, stalled: list[ServerConnection]) -> None:
        """End connections without progress, the largest first, during contention."""
        stalled.sort(key=self._size, reverse=True)
        for connection in stalled:
            if not self._contended:
                return
            if connection.can_refuse:
                self.refuse(connection, NO_PROGRESS)
            else:
                connection.abort(NO_PROGRESS)
                self.on_closed(NO_PROGRESS)

    # Shares of time

    def parse_later(self, connection: ServerConnection) -> None:
        """Let a connection parse its held-back input when it is its turn."""
        self._parse_queue.append(connection)
        if not self._parse_scheduled:
            self._parse_scheduled = True
            asyncio.get_running_loop().call_soon(self._parse)

    def _parse(self) -> None:
        """Let connections parse in turn for ``PARSE_SHARE_S``."""
        end_s = perf_counter() + PARSE_SHARE_S
        for _ in range(len(self._parse_queue)):
            self._parse_queue.popleft().parse_held_input()
            if perf_counter() >= end_s:
                break
        self._parse_scheduled = bool(self._parse_queue)
        if self._parse_scheduled:
            asyncio.get_running_loop().call_soon(self._parse)


class WaitingBody(NamedTuple):
    """A body that waits for room, since a time of the event loop in seconds."""

    needed_bytes: int
    tier: int
    since_s: float
