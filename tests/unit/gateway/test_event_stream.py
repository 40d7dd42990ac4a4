from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotroad.gateway.event_stream import EventStreamSplitter
from shallotroad.upstream.exceptions import MalformedResponseError
from shallotroad.upstream.unfinished_bytes import MAX_UNFINISHED_BYTES
from shallotroad.upstream.unfinished_bytes import UNCOUNTED_BYTES
from shallotroad.upstream.unfinished_bytes import UNFINISHED_PARTS


EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: id: 9\n\n", b"data: b\nid: 3\n\n"]


@given(st.lists(st.integers(0, 45), max_size=8))
def test_only_complete_events_are_returned_for_any_split_of_the_bytes(
    split_positions: list[int],
) -> None:
    stream = b"".join(EVENTS)
    positions = sorted(
        {
            0,
            len(stream),
            *(position for position in split_positions if position < len(stream)),
        }
    )
    splitter = EventStreamSplitter()
    received = b""
    for start, end in itertools.pairwise(positions):
        chunk = splitter.feed(stream[start:end])
        assert chunk == b"" or chunk.endswith(b"\n\n")
        received += chunk
    assert received == stream
    assert splitter.last_event_id == "3"
    assert splitter.flush() == b""


def test_an_incomplete_event_is_dropped_before_another_endpoint_resumes() -> None:
    splitter = EventStreamSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    splitter.discard_partial()
    assert splitter.last_event_id == "1"
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize(
    "events",
    [b"data: error\n\n", b"id: 7\ndata: a\n\n", b": x\n\nid: 2\n\n", b"no event\n\n"],
)
def test_a_resumed_stream_must_follow_its_last_event(events: bytes) -> None:
    """Guards against the text of an error, or events twice, in a resumed stream."""
    splitter = EventStreamSplitter()
    splitter.feed(b"id: 7\ndata: a\n\n")
    splitter.discard_partial()
    with pytest.raises(MalformedResponseError):
        splitter.feed(events)


@pytest.mark.parametrize("event_id", ["8", "10", "x"])
def test_a_resumed_stream_may_go_on_at_any_later_event(event_id: str) -> None:
    splitter = EventStreamSplitter()
    splitter.feed(b"id: 7\ndata: a\n\n")
    splitter.discard_partial()
    event = f"id: {event_id}\ndata: b\n\n".encode()
    assert splitter.feed(b": ping\n\n" + event) == b": ping\n\n" + event
    assert splitter.feed(b"data: [DONE]\n\n") == b"data: [DONE]\n\n"


@pytest.mark.parametrize("chunk_bytes", [1, 7, 200])
def test_events_may_end_with_crlf_in_any_split_of_the_bytes(chunk_bytes: int) -> None:
    stream = b"".join(EVENTS).replace(b"\n", b"\r\n")
    splitter = EventStreamSplitter()
    received = [
        splitter.feed(stream[start : start + chunk_bytes])
        for start in range(0, len(stream), chunk_bytes)
    ]
    assert b"".join(received) == stream
    assert sum(map(splitter.count_events, received)) == len(EVENTS)
    assert splitter.last_event_id == "3"
    assert not splitter.within_event


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_the_head_of_an_error_is_no_event(line_end: bytes) -> None:
    """Guards against the head of an error in the middle of a stream."""
    splitter = EventStreamSplitter()
    splitter.feed(EVENTS[0].replace(b"\n", line_end))
    head = b"HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nerror"
    if line_end == b"\r\n":
        with pytest.raises(MalformedResponseError):
            splitter.feed(head)
    else:
        assert splitter.feed(head) == b""
        assert splitter.within_event


# Guards against MIXED: a second answer reaches the caller of a stream without a length.
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("together", [True, False])
def test_a_second_response_after_the_last_event_is_no_event(
    line_end: bytes, *, together: bool
) -> None:
    splitter = EventStreamSplitter()
    first = EVENTS[0].replace(b"\n", line_end)
    second = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + first
    if together:
        second = first + second
    else:
        assert splitter.feed(first) == first
    with pytest.raises(MalformedResponseError):
        splitter.feed(second)


def test_a_line_end_after_the_last_event_is_not_within_an_event() -> None:
    splitter = EventStreamSplitter()
    assert splitter.feed(EVENTS[0]) == EVENTS[0]
    assert splitter.feed(b"\n") == b""
    assert not splitter.within_event
    assert splitter.flush() == b"\n"


# Guards against events without end of many streams, which each keep within their own
# limit and together fill the memory of the gateway.
def test_unfinished_events_of_many_streams_take_bounded_memory() -> None:
    splitters = [EventStreamSplitter() for _ in range(200)]
    kept_bytes = dict.fromkeys(splitters, 0)
    for _ in range(8):
        for splitter in list(kept_bytes):
            try:
                splitter.feed(b"x" * UNCOUNTED_BYTES)
                kept_bytes[splitter] += UNCOUNTED_BYTES
            except MalformedResponseError:
                splitter.close()
                del kept_bytes[splitter]
    for splitter in splitters:
        splitter.close()
    assert UNFINISHED_PARTS.held_bytes == 0
    assert (
        sum(kept_bytes.values())
        <= MAX_UNFINISHED_BYTES + len(splitters) * UNCOUNTED_BYTES
    )


def test_a_complete_large_event_takes_nothing_of_the_limit() -> None:
    splitter = EventStreamSplitter()
    assert splitter.feed(b"data: " + b"x" * 2 * UNCOUNTED_BYTES) == b""
    assert UNFINISHED_PARTS.held_bytes > 0
    assert splitter.feed(b"\n\nid: 2")
    assert UNFINISHED_PARTS.held_bytes == 0
