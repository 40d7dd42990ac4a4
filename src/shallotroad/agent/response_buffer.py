"""The numbered chunks of answers, kept for a bounded time and memory."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.exceptions import ShallotroadError
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from collections.abc import Callable


class ResponseTooLargeError(ShallotroadError):
    """The answer is larger than the endpoint's settings allow."""


class Result(NamedTuple):
    """How an answer ended."""

    outcome: peer_pb2.Outcome
    detail: str = ""


class ResponseBuffer:
    """The chunks of one answer, readable from any number."""

    def __init__(self, *, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._watchers: dict[Callable[[], None], None] = {}
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.status = 0
        self.content_type = ""
        self.result: Result | None = None

    def begin(self, status: int, content_type: str) -> None:
        """Note the HTTP status and type, before the first chunk."""
        self.status = status
        self.content_type = content_type

    def append(self, data: bytes) -> None:
        """Add the next chunk.

        Raises
        ------
        ResponseTooLargeError
            When the answer would outgrow its limit.
        """
        if self.size_bytes + len(data) > self._limit_bytes:
            message = f"answer is larger than {self._limit_bytes} bytes"
            raise ResponseTooLargeError(message)
        self.chunks.append(data)
        self.size_bytes += len(data)
        self._notify()

    def finish(self, result: Result) -> None:
        """Set the ending once; later calls change nothing."""
        if self.result is None:
            self.result = result
            self._notify()

    def drop(self) -> None:
        """Forget the chunks of an ended answer; that it was run stays known."""
        if self.result is None or not self.chunks:
            return
        self.chunks = []
        self.size_bytes = 0
        detail = "it was run; its answer is no longer kept"
        self.result = Result(peer_pb2.GONE, detail)

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call ``watcher`` at each new chunk and at the ending."""
        self._watchers[watcher] = None

    def unwatch(self, watcher: Callable[[], None]) -> None:
        """Call ``watcher`` no more."""
        self._watchers.pop(watcher, None)

    def _notify(self) -> None:
        for watcher in tuple(self._watchers):
            watcher()
