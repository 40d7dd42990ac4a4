"""Splits an event stream into complete events, so that it can be resumed.

An interrupted stream resumes at another endpoint after the last complete event.
"""

from __future__ import annotations

from shallotroad.upstream.exceptions import MalformedResponseError


EVENT_SEPARATOR = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1_048_576


class EventStreamSplitter:
    """Returns complete events and records the identifier of the last one.

    ``started`` is set by the forwarder just before it sends the response head to
    the caller.
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_event_id = ""
        self.started = False

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are complete now.

        Raises
        ------
        MalformedResponseError
            When an event exceeds ``MAX_EVENT_BYTES``.
        """
        data = self._partial + data
        end = data.rfind(EVENT_SEPARATOR)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise MalformedResponseError(
                    f"an event exceeds {MAX_EVENT_BYTES} bytes"
                )
            self._partial = data
            return b""
        complete = data[: end + len(EVENT_SEPARATOR)]
        self._partial = data[end + len(EVENT_SEPARATOR) :]
        self._record_last_event_id(complete)
        return complete

    def _record_last_event_id(self, complete: bytes) -> None:
        start = complete.rfind(ID_FIELD)
        while start > 0 and complete[start - 1 : start] != b"\n":
            start = complete.rfind(ID_FIELD, 0, start)
        if start < 0:
            return
        line = complete[start + len(ID_FIELD) :].split(b"\n", 1)[0]
        self.last_event_id = line.strip().decode("latin-1")

    @property
    def within_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._partial)

    def discard_partial(self) -> None:
        """Drop an incomplete event before another endpoint resumes the stream."""
        self._partial = b""

    def flush(self) -> bytes:
        """Return the bytes after the last complete event of a finished stream."""
        rest, self._partial = self._partial, b""
        return rest
