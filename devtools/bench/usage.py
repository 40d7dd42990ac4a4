"""Reads resource usage from /proc: processor time, memory and loopback traffic."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple


TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(NamedTuple):
    """Processor time since a process started, and its resident memory."""

    cpu_s: float
    memory_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the user and system time and the resident memory of a process.

    Raises ``FileNotFoundError`` if there is no such process.
    """
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    statm = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()
    return Usage(ticks / TICKS_PER_S, int(statm[1]) * PAGE_BYTES)


def read_peak_memory_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had.

    Raises ``FileNotFoundError`` if there is no such process.
    """
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0]) * 1024


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process; 0 if there is none."""
    try:
        return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return 0


def read_loopback_bytes() -> int:
    """Return the bytes that the loopback interface has received since the boot.

    0 if there is no such interface.
    """
    for line in Path("/proc/net/dev").read_text(encoding="ascii").splitlines():
        name, _, counts = line.partition(":")
        if name.strip() == "lo":
            return int(counts.split()[0])
    return 0
