"""Keeps the chunks of a response so that readers can resume at any chunk."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.exceptions import ShallotroadError
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from collections.abc import Callable


class ResponseTooLargeError(ShallotroadError):
    """The response is larger than the endpoint's settings allow."""


class Result(NamedTuple):
    """How a response ended.

    ``outcome`` is ``DONE`` for a complete response, ``FAILED``, ``CRASHED`` when the
    endpoint crashed, or ``GONE`` when the response was cancelled, refused or
    discarded. ``detail`` is empty or states the cause; for ``GONE`` it tells these
    cases apart. A reader of a refused job gets the refusal instead of the result.
    """

    outcome: peer_pb2.Outcome
    detail: str = ""


class ResponseBuffer:
    """The numbered chunks of one response, up to ``limit_bytes`` in total.

    ``chunks`` is a list from chunk 0; ``status`` is 0 until the response begins
    and ``result`` is None until it ends. Watchers are callbacks that are called after
    each new chunk and at the end.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._watchers: dict[Callable[[], None], None] = {}
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.status = 0
        self.content_type = ""
        self.result: Result | None = None

    def begin(self, status: int, content_type: str) -> None:
        """Record the HTTP status and content type, before the first chunk."""
        self.status = status
        self.content_type = content_type

    def append(self, data: bytes) -> None:
        """Append the next chunk and notify the watchers.

        Raises
        ------
        ResponseTooLargeError
            When the response would exceed its limit; the chunk is not added.
        """
        if self.size_bytes + len(data) > self._limit_bytes:
            message = f"answer is larger than {self._limit_bytes} bytes"
            raise ResponseTooLargeError(message)
        self.chunks.append(data)
        self.size_bytes += len(data)
        self._notify()

    def finish(self, result: Result) -> None:
        """Set the result and notify the watchers; only the first call has an effect."""
        if self.result is None:
            self.result = result
            self._notify()

    def discard_chunks(self) -> None:
        """Free the chunks of an ended response and set its result to ``GONE``.

        The detail of the new result says that the call was run and that its response
        is no longer kept; the previous result is lost. Does nothing before the end or
        without chunks.
        """
        if self.result is None or not self.chunks:
            return
        self.chunks = []
        self.size_bytes = 0
        detail = "it was run; its answer is no longer kept"
        self.result = Result(peer_pb2.GONE, detail)

    def watch(self, watcher: Callable[[], None]) -> None:
        """Register a callback for each new chunk and the end of the response."""
        self._watchers[watcher] = None

    def unwatch(self, watcher: Callable[[], None]) -> None:
        """Stop calling ``watcher``; has no effect when it is not registered."""
        self._watchers.pop(watcher, None)

    def _notify(self) -> None:
        for watcher in tuple(self._watchers):
            watcher()
