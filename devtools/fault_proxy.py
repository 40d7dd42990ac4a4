"""A small TCP proxy that injects faults between two processes."""

from __future__ import annotations

import asyncio
import enum


READ_BYTES = 65_536


class Fault(enum.Enum):
    """What the proxy does to traffic."""

    NONE = "none"
    CUT = "cut"
    SILENT = "silent"
    LOSE_REQUESTS = "lose_requests"
    LOSE_RESPONSES = "lose_answers"


class FaultProxy:
    """Forwards connections to one address.

    ``SILENT`` keeps open connections but passes nothing on, for connections
    that were open when it was set; with ``only_old`` new ones work.
    """

    def __init__(self, *, target_host: str, target_port: int) -> None:
        self._target = (target_host, target_port)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections = 0
        self._silent_up_to = 0
        self.fault = Fault.NONE
        self.delay_s = 0.0
        self.port = 0

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence_open_connections(self) -> None:
        """Let every connection that is open now go silent for good."""
        self._silent_up_to = self._connections

    def disconnect(self) -> None:
        """Cut every open connection and refuse new ones."""
        self.fault = Fault.CUT
        for task in self._tasks:
            task.cancel()

    def clear_faults(self) -> None:
        """Pass traffic on again, for connections that are not silenced."""
        self.fault = Fault.NONE
        self.delay_s = 0.0

    async def close(self) -> None:
        """Stop listening and cut every connection."""
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
        number = self._connections
        try:
            up, down = await asyncio.open_connection(*self._target)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._pass(reader, down, number, Fault.LOSE_REQUESTS)
                    )
                    group.create_task(
                        self._pass(up, writer, number, Fault.LOSE_RESPONSES)
                    )
            finally:
                down.close()
        except (OSError, asyncio.CancelledError, BaseExceptionGroup):
            pass
        finally:
            writer.close()
            self._tasks.discard(task)

    def _loses(self, number: int, direction: Fault) -> bool:
        silent = number <= self._silent_up_to or self.fault is Fault.SILENT
        return silent or self.fault is direction

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
        direction: Fault,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self._loses(number, direction):
                continue
            writer.write(data)
            await writer.drain()
        if not self._loses(number, direction):
            raise ConnectionResetError
