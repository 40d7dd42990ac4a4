"""Detection of a process that was paused and woke up late."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

TICK_S = 0.25
STALL_THRESHOLD_S = 1.5


async def detect_stalls(on_stall: Callable[[float], None]) -> None:
    """Call ``on_stall`` with the length in seconds of each pause.

    The clock counts time in which the machine was suspended.
    """
    last_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    while True:
        await asyncio.sleep(TICK_S)
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        stall_s = now_s - last_s - TICK_S
        last_s = now_s
        if stall_s > STALL_THRESHOLD_S:
            on_stall(stall_s)
