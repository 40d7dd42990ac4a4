"""One structured line for each decision, bounded and never blocking.

Lines are collected in memory and written by the event loop. When the reader
of standard output falls behind or lines come too fast, lines are dropped and
counted; the next line that is written says how many.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import deque
from typing import TYPE_CHECKING

import orjson
from loguru import logger


if TYPE_CHECKING:
    from loguru import Message

STANDARD_OUTPUT = 1
FLUSH_INTERVAL_S = 0.2
MAX_BUFFERED_LINES = 4_000  # held in memory; about 1 MB
MAX_LINES_PER_FLUSH = 400  # 2,000 lines a second


class LineBuffer:
    """Lines that wait to be written, at most ``MAX_BUFFERED_LINES``."""

    def __init__(self) -> None:
        self._lines: deque[bytes] = deque()
        self.dropped = 0
        self.dropped_total = 0

    def add(self, line: bytes) -> None:
        """Hold a line, or drop it when there is no room."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            self.dropped_total += 1
            return
        self._lines.append(line)

    def flush(self, max_lines: int = MAX_LINES_PER_FLUSH) -> None:
        """Write up to ``max_lines`` lines without waiting for the reader."""
        count = min(max_lines, len(self._lines))
        if count == 0:
            return
        lines = [self._lines.popleft() for _ in range(count)]
        if self.dropped:
            lines.append(orjson.dumps({"event": "lines dropped", "n": self.dropped}))
            self.dropped = 0
        try:
            os.write(STANDARD_OUTPUT, b"\n".join(lines) + b"\n")
        except OSError:
            self.dropped += count
            self.dropped_total += count


LOG_BUFFER = LineBuffer()


def _sink(message: Message) -> None:
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


class _Forwarded(logging.Handler):
    """Hands the libraries' own records on, without tracebacks."""

    def emit(self, record: logging.LogRecord) -> None:
        error = repr(record.exc_info[1]) if record.exc_info else ""
        logger.bind(source=record.name, why=error).log(
            record.levelname, record.getMessage()
        )


def configure_event_log(*, process: str) -> None:
    """Send structured lines to standard output."""
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(_sink, level="INFO", format="{message}")
    logging.basicConfig(handlers=[_Forwarded()], level=logging.WARNING, force=True)


def log_event(event: str, /, **inputs: object) -> None:
    """Write one line on a decision with the inputs that made it."""
    logger.bind(**inputs).info(event)


async def flush_periodically() -> None:
    """Write collected lines until cancelled."""
    try:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            LOG_BUFFER.flush()
    finally:
        LOG_BUFFER.flush(MAX_BUFFERED_LINES)
