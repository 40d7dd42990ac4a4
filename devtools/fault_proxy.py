"""TCP proxy that injects faults into the connections between two processes."""

from __future__ import annotations

import asyncio
import enum


READ_CHUNK_BYTES = 65_536


class Fault(enum.Enum):
    """A fault that applies to all connections of a proxy.

    ``CUT`` closes new connections at once and leaves open ones as they are; use
    ``FaultProxy.disconnect`` to close these too. ``SILENT`` keeps connections open but
    drops the data of both directions; the other two drop the data of one direction. A
    connection that has lost data brings nothing more in that direction, as the bytes of
    a connection arrive in order or not at all.
    """

    NONE = "none"
    CUT = "cut"
    SILENT = "silent"
    LOSE_REQUESTS = "lose_requests"
    LOSE_RESPONSES = "lose_answers"


class FaultProxy:
    """Forwards TCP connections to one address.

    ``fault`` and ``delay_s`` apply to the data of open connections at once.
    """

    def __init__(self, *, target_host: str, target_port: int) -> None:
        self._target = (target_host, target_port)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections = 0
        self._last_silenced_connection = 0
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.port = 0

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence_open_connections(self) -> None:
        """Drop all data of the connections that are open now, until they close.

        Connections that are opened later work.
        """
        self._last_silenced_connection = self._connections

    def disconnect(self) -> None:
        """Close every open connection and refuse new ones until faults are cleared."""
        self.fault = Fault.CUT
        for task in self._tasks:
            task.cancel()

    def clear_faults(self) -> None:
        """Forward data again, except on connections that were silenced."""
        self.fault = Fault.NONE
        self.delay_s = 0.0

    async def close(self) -> None:
        """Stop listening and close every connection."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is None or self.fault is Fault.CUT:
            writer.close()
            return
        self._tasks.add(task)
        self._connections += 1
        connection_number = self._connections
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._forward(
                            reader,
                            target_writer,
                            connection_number,
                            Fault.LOSE_REQUESTS,
                        )
                    )
                    group.create_task(
                        self._forward(
                            target_reader,
                            writer,
                            connection_number,
                            Fault.LOSE_RESPONSES,
                        )
                    )
            finally:
                target_writer.close()
        except (OSError, asyncio.CancelledError, BaseExceptionGroup):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    def _drops(self, connection_number: int, direction: Fault) -> bool:
        silent = (
            connection_number <= self._last_silenced_connection
            or self.fault is Fault.SILENT
        )
        return silent or self.fault is direction

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection_number: int,
        direction: Fault,
    ) -> None:
        lost = False
        while data := await reader.read(READ_CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if lost or self._drops(connection_number, direction):
                lost = True
                continue
            writer.write(data)
            await writer.drain()
        if not (lost or self._drops(connection_number, direction)):
            raise ConnectionResetError
