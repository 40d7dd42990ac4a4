"""What the log does while its reader stalls, leaves or comes back."""

from __future__ import annotations

import fcntl
import os
import select
import threading
from typing import TYPE_CHECKING

import orjson
import pytest

from shallotroad.observability.background_writer import BackgroundWriter
from shallotroad.observability.event_log import MAX_BUFFERED_LINES
from shallotroad.observability.event_log import LineBuffer


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

PIPE_BYTES = 4_096
LINE = b"x" * 200
JOIN_TIMEOUT_S = 10.0
MAX_READS = 10_000


class Pipe:
    """A small pipe, and a buffer that writes to it."""

    def __init__(self) -> None:
        self.reader, self._descriptor = os.pipe()
        fcntl.fcntl(self._descriptor, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.writer = BackgroundWriter(descriptor=self._descriptor)
        self.buffer = LineBuffer(writer=self.writer)

    def read_until(self, text: bytes, *, flush: bool = False) -> bytes:
        """Read until a text has come, and ask for more to be written meanwhile."""
        received = b""
        while text not in received:
            if select.select([self.reader], [], [], 0.01)[0]:
                received += os.read(self.reader, PIPE_BYTES)
            elif flush:
                self.buffer.flush()
        return received

    def read_dropped(self, count: int) -> int:
        """Read until so many lines are reported as dropped; return how many are."""
        received = b""
        reported = 0
        for _ in range(MAX_READS):
            if select.select([self.reader], [], [], 0.01)[0]:
                received += os.read(self.reader, PIPE_BYTES)
            else:
                self.buffer.flush()
            lines = received.split(b"\n")[:-1]
            reports = [orjson.loads(ln) for ln in lines if b"lines dropped" in ln]
            reported = sum(report["n"] for report in reports)
            if reported >= count:
                break
        return reported

    def close_reader(self) -> None:
        os.close(self.reader)
        self.reader = -1

    def close(self) -> None:
        if self.reader >= 0:
            self.close_reader()
        self.writer.wait_until_idle(JOIN_TIMEOUT_S)
        os.close(self._descriptor)


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    opened = Pipe()
    yield opened
    opened.close()


def run_to_end(work: Callable[[], None]) -> None:
    """Run work in a thread that must end though nobody reads."""
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    thread.join(JOIN_TIMEOUT_S)
    assert not thread.is_alive()


# Guards against CONFIG: a process stops while the reader of its log stalls.
@pytest.mark.parametrize("unflushed", [0, 3 * MAX_BUFFERED_LINES // 2])
def test_a_stalled_reader_costs_lines_and_holds_up_nothing(
    pipe: Pipe, unflushed: int
) -> None:
    """The writer gets its first turn before or after lines have been dropped."""

    def work() -> None:
        for number in range(3 * MAX_BUFFERED_LINES):
            pipe.buffer.add(LINE)
            if number >= unflushed:
                pipe.buffer.flush()

    run_to_end(work)
    dropped = pipe.buffer.dropped_total
    assert dropped >= MAX_BUFFERED_LINES
    assert pipe.read_dropped(dropped) == dropped


def test_the_exit_does_not_wait_for_a_stalled_reader(pipe: Pipe) -> None:
    for _ in range(1_000):
        pipe.buffer.add(LINE)
    run_to_end(pipe.buffer.flush_at_exit)
    assert not pipe.writer.idle


def test_all_lines_are_written_at_the_exit(pipe: Pipe) -> None:
    for number in range(20):
        pipe.buffer.add(b"line %d" % number)
    pipe.buffer.flush(5)
    pipe.buffer.flush_at_exit()
    received = pipe.read_until(b"line 19\n")
    assert received.split() == b" ".join(b"line %d" % n for n in range(20)).split()


def test_lines_of_a_failed_write_count_as_dropped(pipe: Pipe) -> None:
    pipe.close_reader()
    for _ in range(3):
        pipe.buffer.add(LINE)
    pipe.buffer.flush()
    assert pipe.writer.wait_until_idle(JOIN_TIMEOUT_S)
    pipe.buffer.flush()
    assert pipe.buffer.dropped_total == 3
