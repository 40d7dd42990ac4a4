"""Detects that the process was suspended and woke up late.

Entries and agents use it.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

CHECK_INTERVAL_S = 0.25
STALL_THRESHOLD_S = 1.5


async def detect_stalls(on_stall: Callable[[float], None]) -> None:
    """Call ``on_stall`` with the length in seconds of each stall, until cancelled.

    A stall is a delay of more than ``STALL_THRESHOLD_S`` beyond the check interval,
    which its length does not include. A blocked event loop counts as well. The clock
    also counts time in which the instance was suspended.
    """
    last_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        stall_s = now_s - last_s - CHECK_INTERVAL_S
        last_s = now_s
        if stall_s > STALL_THRESHOLD_S:
            on_stall(stall_s)
