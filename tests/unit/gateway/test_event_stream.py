from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from shallotroad.gateway.event_stream import EventCutter


EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: id: 9\n\n", b"data: b\nid: 3\n\n"]


@given(st.lists(st.integers(0, 45), max_size=8))
def test_only_whole_events_are_handed_on_however_the_bytes_come(
    cuts: list[int],
) -> None:
    whole = b"".join(EVENTS)
    places = sorted({0, len(whole), *(c for c in cuts if c < len(whole))})
    cutter = EventCutter()
    got = b""
    for start, end in itertools.pairwise(places):
        piece = cutter.feed(whole[start:end])
        assert piece == b"" or piece.endswith(b"\n\n")
        got += piece
    assert got == whole
    assert cutter.last_event == "3"
    assert cutter.finish() == b""


def test_half_an_event_is_dropped_before_another_endpoint_resumes() -> None:
    cutter = EventCutter()
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    cutter.restart()
    assert cutter.last_event == "1"
    assert cutter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
