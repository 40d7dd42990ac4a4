"""Requests that offer to go on in another protocol, which is not taken.

Common client libraries offer HTTP/2 with the first request of a connection. Such a
request is like any other (RFC 9110, section 7.8).
"""

from __future__ import annotations

import asyncio
import os
from itertools import pairwise
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from shallotroad.http_server.message import Response
from shallotroad.http_server.server import HttpServer
from tests.http_server_builders import SHORT_TIMEOUTS
from tests.http_server_builders import Caller


if TYPE_CHECKING:
    from shallotroad.http_server.connection import ServerRequest

H2C = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
OFFERS = {
    "none": b"",
    "h2c": H2C,
    "websocket": b"Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key:\r\n",
    "tls": b"Upgrade: TLS/1.2\r\nConnection: upgrade\r\n",
    "unknown": b"Connection: keep-alive, Upgrade\r\nUpgrade: shout/9\r\n",
    "several": b"Connection: upgrade\r\nUpgrade: h2c, websocket\r\nUpgrade: TLS/1\r\n",
}
BODY = b"book a place, " * 3
CHUNKED = b"5\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % (BODY[:5], len(BODY) - 5, BODY[5:])
BODIES = {
    "none": (b"", b"", b""),
    "length": (b"Content-Length: %d\r\n" % len(BODY), BODY, BODY),
    "chunks": (b"Transfer-Encoding: chunked\r\n", CHUNKED, BODY),
    "trailers": (
        b"Transfer-Encoding: chunked\r\n",
        CHUNKED[:-2] + b"X-Sum: 1\r\n\r\n",
        BODY,
    ),
}
BEHIND = b"POST /behind HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"


def encode(method: bytes, offer: str, body: str) -> bytes:
    framing, data, _ = BODIES[body]
    head = method + b" /first HTTP/1.1\r\nHost: h\r\n" + OFFERS[offer] + framing
    return head + b"\r\n" + data


class Recorder:
    """The requests that a server handles on one connection, with their bodies."""

    def __init__(self) -> None:
        self._descriptor = os.open(os.devnull, os.O_RDWR)
        self.requests: list[tuple[str, str, bytes]] = []
        self.server = HttpServer(handler=self.handle, timeouts=lambda: SHORT_TIMEOUTS)

    async def handle(self, request: ServerRequest) -> Response:
        body = await request.read_body(100_000)
        self.requests.append((request.method, request.target, body))
        return Response(200)

    async def receive(self, *parts: bytes) -> bytes:
        """Give input to a connection; return what it wrote."""
        caller = Caller(self.server, self._descriptor)
        for part in parts:
            await caller.send(part)
        for _ in range(50):
            await asyncio.sleep(0)
        caller.connection.connection_lost(None)
        os.close(self._descriptor)
        return caller.transport.written


# Guards against UNASKED: a request that offers HTTP/2 is run without its body.
@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("method", [b"POST", b"GET"])
async def test_a_request_with_an_offer_is_read_like_any_other(
    method: bytes, offer: str, body: str
) -> None:
    data = encode(method, offer, body) + encode(method, offer, body) + BEHIND
    expected = (method.decode(), "/first", BODIES[body][2])
    for position in range(len(data)):
        recorder = Recorder()
        written = await recorder.receive(data[:position], data[position:])
        assert recorder.requests == [expected, expected, ("POST", "/behind", b"ok")]
        assert written.count(b"HTTP/1.1 200 ") == 3
        assert b" 101 " not in written
        assert b"onnection: close" not in written


@given(
    requests=st.lists(
        st.tuples(
            st.sampled_from([b"POST", b"GET", b"PUT", b"DELETE"]),
            st.sampled_from(sorted(OFFERS)),
            st.sampled_from(sorted(BODIES)),
        ),
        min_size=1,
        max_size=6,
    ),
    cuts=st.lists(st.integers(0, 2_000), max_size=12),
)
@settings(deadline=None)
def test_pipelined_requests_arrive_whole_however_they_are_split(
    requests: list[tuple[bytes, str, str]], cuts: list[int]
) -> None:
    data = b"".join(encode(*request) for request in requests) + BEHIND
    bounds = [0, *sorted(cut % len(data) for cut in cuts), len(data)]
    parts = [data[a:b] for a, b in pairwise(bounds)]
    recorder = Recorder()
    asyncio.run(recorder.receive(*parts))
    assert recorder.requests == [
        *((m.decode(), "/first", BODIES[body][2]) for m, _, body in requests),
        ("POST", "/behind", b"ok"),
    ]


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"CONNECT other:80 HTTP/1.1\r\nHost: other\r\n", b"501"),
        (b"CONNECT other:80 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n", b"501"),
        (b"CONNECT other:80 HTTP/1.1\r\nHost: h\r\n" + OFFERS["h2c"], b"501"),
        (b"PRI * HTTP/2.0\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n" + OFFERS["h2c"],
            b"400",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Content-Length: 3\r\n" + OFFERS["h2c"],
            b"400",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n"
            + OFFERS["h2c"],
            b"400",
        ),
    ],
)
async def test_what_has_no_clear_end_is_refused(head: bytes, status: bytes) -> None:
    recorder = Recorder()
    written = await recorder.receive(BEHIND + head + b"\r\nok" + BEHIND)
    assert recorder.requests == [("POST", "/behind", b"ok")]
    first, _, last = written.partition(b"HTTP/1.1 " + status)
    assert first.startswith(b"HTTP/1.1 200 ")
    assert b"onnection: close" in last


async def test_an_offer_with_a_close_ends_the_connection() -> None:
    recorder = Recorder()
    offer = b"Connection: Upgrade, close\r\nUpgrade: h2c\r\n"
    head = b"POST /first HTTP/1.1\r\nHost: h\r\n" + offer + b"Content-Length: 2\r\n"
    written = await recorder.receive(head + b"\r\nok" + BEHIND)
    assert recorder.requests == [("POST", "/first", b"ok")]
    assert b"onnection: close" in written


async def test_an_offer_of_http_1_0_is_read_like_any_other() -> None:
    recorder = Recorder()
    head = b"POST /first HTTP/1.0\r\n" + H2C + b"Content-Length: 2\r\n"
    await recorder.receive(head + b"\r\n", b"o", b"k")
    assert recorder.requests == [("POST", "/first", b"ok")]
