"""Cuts an event stream into whole events, so that a break can be resumed."""

from __future__ import annotations


SEPARATOR = b"\n\n"
IDENTIFIER = b"id:"


class EventStreamSplitter:
    """Hands on whole events and remembers the last event's identifier."""

    def __init__(self) -> None:
        self._partial = b""
        self.last_event_id = ""
        self.started = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events among them."""
        data = self._partial + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._partial = data
            return b""
        complete = data[: end + len(SEPARATOR)]
        self._partial = data[end + len(SEPARATOR) :]
        self._record_last_id(complete)
        return complete

    def _record_last_id(self, complete: bytes) -> None:
        start = complete.rfind(IDENTIFIER)
        while start > 0 and complete[start - 1 : start] != b"\n":
            start = complete.rfind(IDENTIFIER, 0, start)
        if start < 0:
            return
        line = complete[start + len(IDENTIFIER) :].split(b"\n", 1)[0]
        self.last_event_id = line.strip().decode("latin-1")

    def discard_partial(self) -> None:
        """Drop half an event before another endpoint resumes."""
        self._partial = b""

    def flush(self) -> bytes:
        """Return what follows the last whole event of a finished stream."""
        rest, self._partial = self._partial, b""
        return rest
