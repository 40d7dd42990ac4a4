"""Callers of the soak that write their requests to a socket themselves.

Unlike an ordinary HTTP client, they pipeline requests, shut down their sending side
after a request, send bodies in two parts and use a connection until it ends.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from devtools.dependency_standins import HOST
from devtools.gateway_harness import HEADERS


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from devtools.soak_faults import SoakRun

PATHS = ("/book/1", "/stock/1", "/chat/1", "/notes/1")
DEADLINE_MS = 3000
RESPONSE_TIMEOUT_S = DEADLINE_MS / 1000 + 1.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.1
BODY = b"0123456789abcdef"
# A request sent less than this before its connection ended may have crossed the
# gateway's close unread; ``loss-slack-ms`` of the platform.
CROSSING_S = 0.2


class Call(NamedTuple):
    """One request as its caller saw it; ``status`` is 0 when no response came.

    ``signed`` tells whether the response has the header with an endpoint's signature,
    whose value is not verified. Times are of the monotonic clock. ``sent_s`` is when
    the last byte was written; None if it was not, or is not known. ``follows_answered``
    tells whether it was sent whole in one write with a request that got a response,
    and ``shut_down_sending`` whether its caller then shut down its sending side.
    ``fresh_at`` is the gateway of a request that was the first of its connection, if
    it was sent whole at once; empty otherwise. ``announced_close`` tells whether the
    response said that the connection is closed after it.
    """

    request_id: str
    path: str
    status: int
    body: bytes
    complete: bool
    signed: bool
    started_s: float
    ended_s: float
    sent_s: float | None = None
    follows_answered: bool = False
    shut_down_sending: bool = False
    fresh_at: str = ""
    announced_close: bool = False

    @property
    def unanswered(self) -> bool:
        """Whether the gateway received the whole request and answered it not at all.

        A request that may have crossed the gateway's close does not count; one with
        ``fresh_at`` can't unless that gateway was stopping.
        """
        if self.complete or self.sent_s is None:
            return False
        return self.follows_answered or self.ended_s - self.sent_s >= CROSSING_S


class Exchange(NamedTuple):
    """How a caller sends some requests on a connection.

    The requests are sent in one write, except for the second half of the last one's
    body if ``pause_s``, in seconds, is not 0.
    """

    request_count: int = 1
    pause_s: float = 0.0
    shuts_down_sending: bool = False


class IncomingResponse:
    """What has arrived of a response."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.complete = False
        self.signed = False
        self.closes = False

    async def receive(self, reader: asyncio.StreamReader) -> None:
        """Receive the response.

        Raises
        ------
        asyncio.IncompleteReadError, OSError
            When the connection ends within it.
        ValueError
            When it is malformed.
        """
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.strip().split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        self.status = int(status_line.split(" ")[1])
        self.signed = "x-replica-signature" in headers
        self.closes = headers.get("connection", "").lower() == "close"
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                self.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        elif "content-length" in headers:
            self.body = await reader.readexactly(int(headers["content-length"]))
        else:
            self.body = await reader.read()
        self.complete = True


def request_headers(name: str, *, deadline_ms: int = DEADLINE_MS) -> dict[str, str]:
    """Return the headers of the request with the id ``name``."""
    return {
        **HEADERS,
        "X-Request-Id": name,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Token-Usage": "900,50",
        "X-Prompt-Prefix": f"aa:800,{name}:100",
    }


def request_method(path: str) -> str:
    """Return the method of the requests to a path."""
    return "GET" if path.startswith("/stock/") else "POST"


def encode_request(name: str, path: str, *, deadline_ms: int = DEADLINE_MS) -> bytes:
    """Return a request with the id ``name`` and the body ``BODY``."""
    headers = request_headers(name, deadline_ms=deadline_ms)
    headers["Content-Length"] = str(len(BODY))
    lines = "".join(f"{field}: {value}\r\n" for field, value in headers.items())
    return f"{request_method(path)} {path} HTTP/1.1\r\n{lines}\r\n".encode() + BODY


async def _send(
    writer: asyncio.StreamWriter,
    requests: list[bytes],
    exchange: Exchange,
    sent_s: list[float | None],
) -> None:
    """Write the requests, and set in ``sent_s`` when each was written."""
    data = b"".join(requests)
    held_back = data[-len(BODY) // 2 :] if exchange.pause_s else b""
    writer.write(data[: len(data) - len(held_back)])
    sent_s[:] = [time.monotonic()] * len(requests)
    if held_back:
        sent_s[-1] = None
        await asyncio.sleep(exchange.pause_s)
        writer.write(held_back)
        sent_s[-1] = time.monotonic()
    if exchange.shuts_down_sending:
        writer.write_eof()


async def send_exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    exchange: Exchange,
    requests: dict[str, str],
    *,
    fresh_at: str = "",
) -> list[Call]:
    """Send requests, whose paths are given by their ids, and receive the responses.

    ``fresh_at`` is the gateway, if the connection has not been used yet.
    """
    started_s = time.monotonic()
    sent_s: list[float | None] = [None] * len(requests)
    data = [encode_request(name, path) for name, path in requests.items()]
    sending = asyncio.create_task(_send(writer, data, exchange, sent_s))
    calls: list[Call] = []
    connected = True
    for number, (name, path) in enumerate(requests.items()):
        response = IncomingResponse()
        try:
            if connected:
                async with asyncio.timeout(RESPONSE_TIMEOUT_S + exchange.pause_s):
                    await response.receive(reader)
        except (asyncio.IncompleteReadError, TimeoutError, OSError):
            connected = False
        is_split = exchange.pause_s > 0 and number == len(requests) - 1
        calls.append(
            Call(
                name,
                path,
                response.status,
                response.body,
                response.complete,
                response.signed,
                started_s,
                time.monotonic(),
                sent_s[number],
                follows_answered=number > 0 and calls[-1].complete and not is_split,
                shut_down_sending=exchange.shuts_down_sending,
                fresh_at=fresh_at if number == 0 and not is_split else "",
                announced_close=response.closes,
            )
        )
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    return calls


def pipelined(rng: Random) -> Exchange:
    """Send two or three requests at once, the last body sometimes in two parts."""
    pause_s = rng.choice((0.0, 0.0, rng.uniform(0.05, 0.6)))
    return Exchange(request_count=rng.choice((2, 2, 3)), pause_s=pause_s)


def half_closed(rng: Random) -> Exchange:
    """Send one or two requests, and shut down the sending side after them."""
    return Exchange(request_count=rng.choice((1, 1, 2)), shuts_down_sending=True)


def persistent(rng: Random) -> Exchange:
    """Send one request, half of the time with its body in two parts."""
    return Exchange(pause_s=rng.choice((0.0, rng.uniform(0.05, 1.0))))


EXCHANGES: tuple[Callable[[Random], Exchange], ...] = (
    pipelined,
    half_closed,
    persistent,
)


async def run_socket_caller(
    run: SoakRun,
    rng: Random,
    label: str,
    end_s: float,
    calls: list[Call],
    make_exchange: Callable[[Random], Exchange],
) -> None:
    """Use one connection after another, each until it ends, until ``end_s``.

    It ends with a response that announces that, as callers have to respect it.
    The caller stays with its gateway for as long as that accepts connections.
    """
    gateways = sorted(run.harness.ports)
    gateway = rng.choice(gateways)
    number = 0
    while time.monotonic() < end_s:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    HOST, run.harness.ports[gateway]["front"]
                )
        except (OSError, TimeoutError):
            gateway = rng.choice(gateways)
            await asyncio.sleep(RECONNECT_DELAY_S)
            continue
        connected = True
        fresh_at = gateway
        while connected and time.monotonic() < end_s:
            exchange = make_exchange(rng)
            requests = {}
            for _ in range(exchange.request_count):
                number += 1
                requests[f"{label}x{number}"] = rng.choice(PATHS)
            calls += await send_exchange(
                reader, writer, exchange, requests, fresh_at=fresh_at
            )
            fresh_at = ""
            connected = (
                calls[-1].complete
                and not calls[-1].announced_close
                and not exchange.shuts_down_sending
            )
            # Most requests follow at once; some meet the end of an idle connection.
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.0, rng.uniform(0.0, 2.0))))
            connected = connected and not reader.at_eof()
        writer.transport.abort()
