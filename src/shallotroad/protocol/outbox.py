"""Frames that wait to be sent to one peer, joined into batches."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from shallotroad.protocol.peer_pb2 import Frame

BATCH_GAP_S = 0.004
BATCH_FRAMES = 512


class Outbox:
    """A queue of frames for one connection.

    A batch leaves at once when the last one left more than ``gap_s`` ago;
    otherwise frames gather until then, so that a busy peer costs few messages.
    """

    def __init__(self, *, gap_s: float = BATCH_GAP_S) -> None:
        self._gap_s = gap_s
        self._frames: list[Frame] = []
        self._ready = asyncio.Event()
        self._last_sent_s = 0.0

    def put(self, frame: Frame) -> None:
        """Add a frame behind the others."""
        self._frames.append(frame)
        self._ready.set()

    async def take(self, timeout_s: float) -> list[Frame]:
        """Return the next frames; none when ``timeout_s`` passed without any."""
        if not self._frames:
            try:
                await asyncio.wait_for(self._ready.wait(), timeout_s)
            except TimeoutError:
                return []
        rest_s = self._last_sent_s + self._gap_s - time.monotonic()
        if rest_s > 0:
            await asyncio.sleep(rest_s)
        frames = self._frames[:BATCH_FRAMES]
        del self._frames[:BATCH_FRAMES]
        if not self._frames:
            self._ready.clear()
        self._last_sent_s = time.monotonic()
        return frames
