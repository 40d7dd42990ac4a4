"""Which response a connection takes for the one to the current request."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotroad.upstream.connection import MAX_HEADERS
from shallotroad.upstream.exceptions import MalformedResponseError
from shallotroad.upstream.pool import ConnectionPool
from shallotroad.upstream.unfinished_bytes import MAX_UNFINISHED_BYTES
from shallotroad.upstream.unfinished_bytes import UNCOUNTED_BYTES
from shallotroad.upstream.unfinished_bytes import UNFINISHED_PARTS
from tests.connection_builders import feed_all
from tests.connection_builders import make_connection
from tests.connection_builders import make_refusal
from tests.connection_builders import make_response


if TYPE_CHECKING:
    from shallotroad.upstream.connection import EndpointConnection

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
ANSWER = make_response("q2", body=b"answer to q2")


async def refuse_first_request(
    connection: EndpointConnection, *, echoed_id: str
) -> None:
    """Send q1, let it be refused, and make the connection idle."""
    await connection.send("q1", b"GET / HTTP/1.1\r\n\r\n", b"")
    connection.data_received(make_refusal(echoed_id))
    assert (await connection.head()).not_run
    assert await connection.read() == b""
    assert connection.finish(now_s=0.0)


@pytest.mark.parametrize(
    "copy", [make_refusal(""), make_response("", body=b"other")], ids=["503", "200"]
)
async def test_an_earlier_response_without_an_id_does_not_answer_a_later_request(
    copy: bytes,
) -> None:
    """Guards against a repeated refusal that calls a running request not run."""
    connection = make_connection()
    await refuse_first_request(connection, echoed_id="")
    await connection.send("q2", b"GET / HTTP/1.1\r\n\r\n", b"")
    connection.data_received(copy)
    with pytest.raises(MalformedResponseError):
        await connection.head()
    assert not connection.usable


async def test_a_first_request_may_be_answered_without_an_id() -> None:
    connection = make_connection()
    await refuse_first_request(connection, echoed_id="")


@given(
    copies=st.lists(
        st.sampled_from([make_refusal("q1"), make_response("q1", body=b"x"), INTERIM]),
        max_size=4,
    ),
    positions=st.lists(st.integers(0, 500), max_size=6),
)
def test_copies_with_an_earlier_id_and_interim_responses_are_skipped(
    copies: list[bytes], positions: list[int]
) -> None:
    """Guards against a repeated refusal that answers a later request."""
    received = b"".join(copies) + ANSWER
    ends = sorted({0, len(received), *(p for p in positions if p < len(received))})
    parts = [received[start:end] for start, end in itertools.pairwise(ends)]

    async def play() -> None:
        connection = make_connection()
        await refuse_first_request(connection, echoed_id="q1")
        await connection.send("q2", b"GET / HTTP/1.1\r\n\r\n", b"")
        feed_all(connection, parts)
        assert (await connection.head()).request_id == "q2"
        assert await connection.read() == b"answer to q2"
        assert await connection.read() == b""

    asyncio.run(play())


@pytest.mark.parametrize("copied_bytes", [1, 20, 500])
async def test_a_second_refusal_in_the_same_read_ends_the_connection(
    copied_bytes: int,
) -> None:
    connection = make_connection()
    await connection.send("q1", b"GET / HTTP/1.1\r\n\r\n", b"")
    connection.data_received(make_refusal("q1") + make_refusal("q1")[:copied_bytes])
    assert (await connection.head()).not_run
    assert await connection.read() == b""
    assert not connection.finish(now_s=0.0)


async def test_a_copy_on_an_idle_connection_makes_it_unusable() -> None:
    connection = make_connection()
    await refuse_first_request(connection, echoed_id="q1")
    connection.data_received(make_refusal("q1"))
    assert not connection.usable


async def test_a_request_id_that_comes_again_is_sent_on_another_connection() -> None:
    """Guards against a copy of the first refusal that answers the second request."""
    writers: list[asyncio.StreamWriter] = []
    server = await asyncio.start_server(
        lambda _reader, writer: writers.append(writer), "127.0.0.1", 0
    )
    pool = ConnectionPool(host="127.0.0.1", port=server.sockets[0].getsockname()[1])
    for request_id, opened_count in (("q1", 1), ("q2", 1), ("q1", 2)):
        connection = await pool.acquire(max_idle_s=1.0, request_id=request_id)
        await connection.send(request_id, b"GET / HTTP/1.1\r\n\r\n", b"")
        connection.data_received(make_refusal(request_id))
        assert (await connection.head()).not_run
        pool.release(connection)
        assert pool.opened_count == opened_count
    pool.close()
    for writer in writers:
        writer.close()
    server.close()


# Guards against heads without end of many responses, which each keep within their own
# limit and together fill the memory of the gateway.
async def test_unfinished_heads_of_many_responses_take_bounded_memory() -> None:
    connections = [make_connection() for _ in range(400)]
    for connection in connections:
        await connection.send("q1", b"GET / HTTP/1.1\r\n\r\n", b"")
        connection.data_received(b"HTTP/1.1 200 OK\r\nX-Filler: ")
    for _ in range(3):
        for connection in connections:
            if connection.usable:
                connection.data_received(b"x" * UNCOUNTED_BYTES)
    open_connections = [c for c in connections if c.usable]
    kept_bytes = len(open_connections) * 3 * UNCOUNTED_BYTES
    for connection in connections:
        connection.close()
    assert UNFINISHED_PARTS.held_bytes == 0
    assert kept_bytes <= MAX_UNFINISHED_BYTES + len(connections) * UNCOUNTED_BYTES
    assert open_connections


# Guards against short header lines, which take many times their length (review/6).
@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
    ],
    ids=["head", "trailer"],
)
async def test_header_lines_without_end_are_malformed(start: bytes) -> None:
    connection = make_connection()
    await connection.send("q1", b"GET / HTTP/1.1\r\n\r\n", b"")
    connection.data_received(start)
    connection.data_received(b"x:\r\n" * (MAX_HEADERS - 1))
    assert connection.usable
    connection.data_received(b"x:\r\n" * 10_000)
    assert not connection.usable
    assert len(connection._raw_headers) <= MAX_HEADERS
    assert UNFINISHED_PARTS.held_bytes == 0


async def test_a_head_that_becomes_complete_takes_nothing_of_the_limit() -> None:
    connection = make_connection()
    await connection.send("q1", b"GET / HTTP/1.1\r\n\r\n", b"")
    connection.data_received(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 2 * UNCOUNTED_BYTES)
    assert UNFINISHED_PARTS.held_bytes > 0
    connection.data_received(b"\r\nContent-Length: 2\r\n\r\n")
    assert (await connection.head()).status == 200
    assert UNFINISHED_PARTS.held_bytes == 0


# Guards against MIXED: an answer that offers another protocol passes without its body.
async def test_an_offer_in_a_response_is_not_taken() -> None:
    connection = make_connection()
    await connection.send("q2", b"GET / HTTP/1.1\r\n\r\n", b"")
    offer = b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
    connection.data_received(ANSWER.replace(b"\r\n\r\n", b"\r\n" + offer, 1))
    await connection.head()
    assert await connection.read() == b"answer to q2"
    assert await connection.read() == b""
    assert connection.finish(now_s=0.0)


# Guards against MIXED: a switch of protocols that nobody asked for passes as an answer.
async def test_a_switch_of_protocols_is_no_response() -> None:
    connection = make_connection()
    await connection.send("q2", b"GET / HTTP/1.1\r\n\r\n", b"")
    switch = b"HTTP/1.1 101 Switching Protocols\r\n"
    connection.data_received(
        switch + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n" + ANSWER
    )
    with pytest.raises(MalformedResponseError):
        await connection.head()
    assert not connection.usable
