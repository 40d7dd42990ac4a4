"""Cuts an event stream into whole events, so that a break can be resumed."""

from __future__ import annotations


SEPARATOR = b"\n\n"
IDENTIFIER = b"id:"


class EventCutter:
    """Hands on whole events and remembers the last event's identifier."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_event = ""
        self.begun = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events among them."""
        data = self._rest + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._rest = data
            return b""
        whole = data[: end + len(SEPARATOR)]
        self._rest = data[end + len(SEPARATOR) :]
        self._note_last(whole)
        return whole

    def _note_last(self, whole: bytes) -> None:
        start = whole.rfind(IDENTIFIER)
        while start > 0 and whole[start - 1 : start] != b"\n":
            start = whole.rfind(IDENTIFIER, 0, start)
        if start < 0:
            return
        line = whole[start + len(IDENTIFIER) :].split(b"\n", 1)[0]
        self.last_event = line.strip().decode("latin-1")

    def restart(self) -> None:
        """Drop half an event before another endpoint resumes."""
        self._rest = b""

    def finish(self) -> bytes:
        """Return what follows the last whole event of a finished stream."""
        rest, self._rest = self._rest, b""
        return rest
