"""Structured event log of the gateway: JSON lines on standard output.

Lines are collected in a bounded buffer and handed periodically to a thread that writes
them, so that logging does not delay requests. When the reader of standard output falls
behind or lines come too fast, lines are dropped and counted; the next write reports how
many.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from typing import TYPE_CHECKING

import orjson
from loguru import logger

from shallotroad.observability.background_writer import BackgroundWriter


if TYPE_CHECKING:
    from loguru import Message

STDOUT_FD = 1
FLUSH_INTERVAL_S = 0.2
MAX_BUFFERED_LINES = 4_000  # About 1 MB of memory.
MAX_LINES_PER_FLUSH = 400  # Allows 2,000 lines per second.
# Within the part of the grace period that is kept for the exit.
EXIT_FLUSH_S = 0.2


class LineBuffer:
    """Lines to be written to standard output, at most ``MAX_BUFFERED_LINES``.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last report in the log.
    dropped_total : int
        Lines dropped since the start of the process.
    """

    def __init__(self, *, writer: BackgroundWriter) -> None:
        self._writer = writer
        self._lines: deque[bytes] = deque()
        self._written_lines = 0
        self.dropped = 0
        self.dropped_total = 0

    def add(self, line: bytes) -> None:
        """Add a line, or drop and count it when the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            self.dropped_total += 1
            return
        self._lines.append(line)

    def flush(self, max_lines: int = MAX_LINES_PER_FLUSH) -> None:
        """Begin to write up to ``max_lines`` lines, unless others are being written.

        When a write fails, its lines count as dropped.
        """
        if not self._writer.idle:
            return
        if self._writer.failed:
            self.dropped += self._written_lines
            self.dropped_total += self._written_lines
        count = self._written_lines = min(max_lines, len(self._lines))
        if count == 0:
            return
        lines = [self._lines.popleft() for _ in range(count)]
        if self.dropped:
            lines.append(orjson.dumps({"event": "lines dropped", "n": self.dropped}))
            self.dropped = 0
        self._writer.write(b"\n".join(lines) + b"\n")

    def flush_at_exit(self) -> None:
        """Write all lines, as far as that ends within ``EXIT_FLUSH_S``."""
        ends_s = time.monotonic() + EXIT_FLUSH_S
        while self._writer.wait_until_idle(ends_s - time.monotonic()) and self._lines:
            self.flush(MAX_BUFFERED_LINES)


LOG_BUFFER = LineBuffer(writer=BackgroundWriter(descriptor=STDOUT_FD))


def _buffer_record(message: Message) -> None:
    record = message.record
    line = {
        "time": round(time.time(), 3),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
    LOG_BUFFER.add(orjson.dumps(line, default=str))


class _LoguruHandler(logging.Handler):
    """Forwards records of the ``logging`` module to loguru, without tracebacks."""

    def emit(self, record: logging.LogRecord) -> None:
        error = repr(record.exc_info[1]) if record.exc_info else ""
        logger.bind(source=record.name, why=error).log(
            record.levelname, record.getMessage()
        )


def configure_event_log(*, process: str) -> None:
    """Send events of level INFO and higher to standard output as JSON lines.

    Records of libraries are included from level WARNING. Every line carries the name
    of the process.
    """
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(_buffer_record, level="INFO", format="{message}")
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)


def log_event(event: str, /, **inputs: object) -> None:
    """Log an event or decision with the values on which it is based."""
    logger.bind(**inputs).info(event)


async def flush_periodically() -> None:
    """Write the buffered lines periodically until cancelled."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        LOG_BUFFER.flush()
