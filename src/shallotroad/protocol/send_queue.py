"""Queue of the frames to one peer, which are sent in batches.

A frame is one message of a session between an entry and an agent, such as an offer or a
chunk of a response. A batch is the gRPC message that carries the frames.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    from shallotroad.protocol.peer_pb2 import Frame

# Frames of the same millisecond share a batch.
MIN_BATCH_INTERVAL_S = 0.001
MIN_SOURCE_INTERVAL_S = 0.01


class FrameSource(Protocol):
    """Producer of frames that are created only when a batch is sent."""

    def collect(self, frames: list[Frame]) -> None:
        """Append the frames that are ready."""


class SendQueue:
    """Frames and frame sources that wait to be sent over one connection.

    A frame or an immediate source is sent at once, but at least
    ``MIN_BATCH_INTERVAL_S`` after the last batch. Other sources wait until
    ``MIN_SOURCE_INTERVAL_S`` after it, so that a busy peer receives few messages,
    or until an earlier batch is sent.
    """

    def __init__(self) -> None:
        self._frames: list[Frame] = []
        self._sources: dict[FrameSource, None] = {}
        self._ready = asyncio.Event()
        self._immediate = asyncio.Event()
        self._last_sent_s = 0.0

    def put(self, frame: Frame) -> None:
        """Append a frame, to be sent without waiting for other sources."""
        self._frames.append(frame)
        self._ready.set()
        self._immediate.set()

    def mark_ready(self, source: FrameSource, *, immediate: bool = False) -> None:
        """Collect from a source for the next batch; ``immediate`` does not delay it."""
        self._sources[source] = None
        self._ready.set()
        if immediate:
            self._immediate.set()

    def discard_source(self, source: FrameSource) -> None:
        """Remove a source; its ready frames are not collected."""
        self._sources.pop(source, None)

    async def next_frames(self, timeout_s: float) -> list[Frame]:
        """Return the frames of the next batch.

        The list is empty when nothing was ready within ``timeout_s``, or when the
        sources had no frames.
        """
        if not await _wait_until_set(self._ready, timeout_s):
            return []
        remaining_s = self._last_sent_s + MIN_SOURCE_INTERVAL_S - time.monotonic()
        if remaining_s > 0:
            await _wait_until_set(self._immediate, remaining_s)
        remaining_s = self._last_sent_s + MIN_BATCH_INTERVAL_S - time.monotonic()
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


async def _wait_until_set(event: asyncio.Event, timeout_s: float) -> bool:
    if event.is_set():
        return True
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
