"""Splits an event stream into complete events, so that it can be resumed.

An interrupted stream resumes at another endpoint after the last complete event. Lines
end with LF or with CRLF, as those of the first event do.
"""

from __future__ import annotations

from shallotroad.upstream.exceptions import MalformedResponseError
from shallotroad.upstream.unfinished_bytes import UnfinishedPart


EVENT_SEPARATOR = b"\n\n"
CRLF_EVENT_SEPARATOR = b"\r\n\r\n"
# A line that no event has, and with which an endpoint may begin an error in the middle
# of a stream, or a second response after one without a length.
HEAD_LINE = b"\nHTTP/1."
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1_048_576


class EventStreamSplitter:
    """Returns complete events and records the identifier of the last one.

    ``started`` is set by the forwarder just before it sends the response head to
    the caller. ``last_event_id`` is empty before the first event with an identifier; a
    stream that has started can't be resumed then. Call ``close`` when the job ends.
    """

    def __init__(self) -> None:
        self._partial = b""
        self._held = UnfinishedPart()
        self.last_event_id = ""
        self.started = False
        self._awaits_continuation = False
        self._separator = b""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are complete now.

        Raises
        ------
        MalformedResponseError
            When an event exceeds ``MAX_EVENT_BYTES``, the unfinished parts of all
            responses are too large together, the first event of a resumed stream does
            not follow the last one, or the head of a response is among the events.
        """
        data = self._partial + data
        separator = self._separator = self._separator or _first_separator(data)
        end = data.rfind(separator) if separator else -1
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise MalformedResponseError(
                    f"an event exceeds {MAX_EVENT_BYTES} bytes"
                )
            self._held.resize(len(data))
            self._partial = data
            return b""
        complete = data[: end + len(separator)]
        if HEAD_LINE in b"\n" + complete:
            raise MalformedResponseError("the head of a response within a stream")
        self._partial = data[end + len(separator) :]
        self._held.resize(len(self._partial))
        if self._awaits_continuation:
            self._check_continuation(complete)
        self._record_last_event_id(complete)
        return complete

    def count_events(self, complete: bytes) -> int:
        """Return the number of events in what ``feed`` has returned."""
        return complete.count(self._separator)

    def _check_continuation(self, complete: bytes) -> None:
        """Compare the first event of a resumed stream with the last one before it.

        Numbers must increase; they may leave some out, as other identifiers may be
        anything but equal. Comments may precede the event.

        Raises
        ------
        MalformedResponseError
            When the event has no identifier, or not one that may follow.
        """
        for event in complete.split(self._separator):
            if all(line[:1] in (b"", b":") for line in event.splitlines()):
                continue
            event_id = _last_id(event)
            if event_id.isdecimal() and self.last_event_id.isdecimal():
                follows = int(event_id) > int(self.last_event_id)
            else:
                follows = event_id not in ("", self.last_event_id)
            if not follows:
                raise MalformedResponseError(
                    f"the stream goes on at event {event_id!r} after "
                    f"{self.last_event_id!r}"
                )
            self._awaits_continuation = False
            return

    def _record_last_event_id(self, complete: bytes) -> None:
        self.last_event_id = _last_id(complete) or self.last_event_id

    @property
    def within_event(self) -> bool:
        """Whether the bytes received so far end within an event.

        They do as well if only the empty line after it is missing.
        """
        return bool(self._partial.strip(b"\r\n"))

    def discard_partial(self) -> None:
        """Drop an incomplete event before another endpoint resumes the stream."""
        self.close()
        self._awaits_continuation = bool(self.last_event_id)
        self._separator = b""

    def flush(self) -> bytes:
        """Return the line ends after the last event of a finished stream."""
        rest = self._partial
        self.close()
        return rest

    def close(self) -> None:
        """Drop an incomplete event, so that it takes no memory."""
        self._partial = b""
        self._held.resize(0)


def _first_separator(data: bytes) -> bytes:
    """Return the separator after the first event; empty if it is not complete."""
    crlf, lf = data.find(CRLF_EVENT_SEPARATOR), data.find(EVENT_SEPARATOR)
    if crlf >= 0 and not 0 <= lf < crlf:
        return CRLF_EVENT_SEPARATOR
    return EVENT_SEPARATOR if lf >= 0 else b""


def _last_id(events: bytes) -> str:
    """Return the last identifier in complete events; empty if they have none."""
    start = events.rfind(ID_FIELD)
    while start > 0 and events[start - 1 : start] != b"\n":
        start = events.rfind(ID_FIELD, 0, start)
    if start < 0:
        return ""
    line = events[start + len(ID_FIELD) :].split(b"\n", 1)[0]
    return line.strip().decode("latin-1")
