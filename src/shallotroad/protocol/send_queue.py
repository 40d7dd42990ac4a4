"""Frames that wait to be sent to one peer, joined into batches."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from shallotroad.protocol.peer_pb2 import Frame

FRAME_INTERVAL_S = 0.001
SOURCE_INTERVAL_S = 0.01


class Source(Protocol):
    """Something that makes frames at the moment they are sent."""

    def collect(self, frames: list[Frame]) -> None:
        """Append what is ready now."""


class SendQueue:
    """What waits to be sent over one connection.

    Frames leave at once. Sources wait until ``SOURCE_INTERVAL_S`` after the last
    batch, so that a busy peer costs few messages; they leave with any frame
    before that.
    """

    def __init__(self) -> None:
        self._frames: list[Frame] = []
        self._sources: dict[Source, None] = {}
        self._ready = asyncio.Event()
        self._immediate = asyncio.Event()
        self._last_sent_s = 0.0

    def put(self, frame: Frame) -> None:
        """Add a frame behind the others."""
        self._frames.append(frame)
        self._ready.set()
        self._immediate.set()

    def mark_ready(self, source: Source, *, immediate: bool = False) -> None:
        """Note that a source has something to send."""
        self._sources[source] = None
        self._ready.set()
        if immediate:
            self._immediate.set()

    def discard_source(self, source: Source) -> None:
        """Send nothing more of a source."""
        self._sources.pop(source, None)

    async def next_frames(self, timeout_s: float) -> list[Frame]:
        """Return the next frames; none when ``timeout_s`` passed without any."""
        if not await _wait(self._ready, timeout_s):
            return []
        remaining_s = self._last_sent_s + SOURCE_INTERVAL_S - time.monotonic()
        if remaining_s > 0:
            await _wait(self._immediate, remaining_s)
        remaining_s = self._last_sent_s + FRAME_INTERVAL_S - time.monotonic()
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)
        frames, self._frames = self._frames, []
        sources, self._sources = self._sources, {}
        self._ready.clear()
        self._immediate.clear()
        for source in sources:
            source.collect(frames)
        self._last_sent_s = time.monotonic()
        return frames


async def _wait(event: asyncio.Event, timeout_s: float) -> bool:
    if event.is_set():
        return True
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
