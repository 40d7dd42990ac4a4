"""Stand-ins of the store and of endpoints, with faults that a test chooses.

They run inside the event loop of the test and implement only the part of the
platform's protocol that a gateway process needs.
"""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import struct
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from aiohttp import web


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

HOST = "127.0.0.1"
STALLED_BODY_BYTES = 100_000
STALLED_BYTE_INTERVAL_S = 0.1
EVENT_GAP_S = 0.05
# Time from receiving a deadly request to the crash, and from there to the restart.
CRASH_DELAY_S = 0.03
RESTART_DELAY_S = 0.6
# Between the bytes of a script and a reset, which would overtake them.
SCRIPT_LEAD_S = 0.05
# Between a refusal that is sent once more and the response that it precedes.
REFUSAL_LEAD_S = 0.05
FILLER = b"x" * 65_536
# The only service that the configuration describes as engines.
ENGINE_SERVICE = "model"
# Capacity of one engine: batch slots, KV cache in tokens, tokens in each event
# ("stride"), and "most", which gateways decode but do not use.
ENGINE_SETTINGS = {"slots": 8, "kv-tokens": 100_000, "stride": 1, "most": 4}
# Where gateways ask an engine for the prompt prefixes in its KV cache.
CACHE_PATH = "/api/kv-list"


class StoreStandin:
    """A store with range reads and watches.

    While ``down`` is set, every request gets status 503. A watch from before
    ``compacted_revision``, or from a revision that it does not have, gets 410, as its
    history is gone. ``era`` counts how often it was restored from a copy.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[int, Any]] = {}
        self.changes: list[tuple[int, str, Any]] = []
        self.down = False
        self.era = 0
        self.compacted_revision = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get("/api/kv-range", self._range)
        app.router.add_get("/api/kv-watch", self._watch)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, HOST, 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: Any) -> None:
        """Write a document as a new revision; None removes it.

        A value of type bytes is stored as it is, any other as JSON.
        """
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (self.revision, value)
        self.changes.append((self.revision, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def compact(self) -> None:
        """Drop the history up to the current revision."""
        self.compacted_revision = self.revision

    def restore(self, lost_changes: int) -> dict[str, Any]:
        """Lose the last changes, whose revisions are given out again in a new era.

        Returns the lost values by key, None for a removal; the operator and the
        endpoints write them again.
        """
        kept = self.changes[: len(self.changes) - lost_changes]
        lost = {key: value for _, key, value in self.changes[len(kept) :]}
        self.era += 1
        self.changes, self.items, self.revision = [], {}, 1
        for _, key, value in kept:
            self.put(key, value)
        return lost

    @staticmethod
    def _encode_item(key: str, revision: int, value: Any) -> dict[str, Any]:
        if value is None:
            return {"key": key, "revision": revision, "removed": True}
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        encoded = base64.b64encode(raw).decode()
        return {"key": key, "revision": revision, "value": encoded, "lease": 0}

    async def _range(self, _: web.Request) -> web.Response:
        """Return all current items, whatever range was asked for."""
        if self.down:
            return web.Response(status=503)
        items = [self._encode_item(k, r, v) for k, (r, v) in sorted(self.items.items())]
        body = {"items": items, "truncated": False, "store-revision": self.revision}
        return web.json_response(body, headers=self._era_header())

    def _era_header(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    async def _watch(self, request: web.Request) -> web.Response:
        """Return the changes after the revision ``after`` as one response.

        Without any, waits for the next change for at most ``wait-ms`` milliseconds and
        then returns an empty list.
        """
        after = int(request.query["after"])
        if self.down:
            return web.Response(status=503, headers=self._era_header())
        if after < self.compacted_revision or after > self.revision:
            return web.Response(status=410, headers=self._era_header())
        if after >= self.revision:
            try:
                async with asyncio.timeout(int(request.query["wait-ms"]) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        events = [self._encode_item(k, r, v) for r, k, v in self.changes if r > after]
        body = {"events": events, "store-revision": self.revision}
        return web.json_response(body, headers=self._era_header())


class ReceivedRequest(NamedTuple):
    """One request as an endpoint received it; header names are in lower case."""

    request_id: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def prompt_parts(self) -> list[str]:
        """Identifiers of the parts of the prompt, in their order."""
        prefix = self.headers.get("x-prompt-prefix", "")
        return [part.partition(":")[0] for part in prefix.split(",")]


class EndpointStandin:
    """An endpoint that responds as its ``mode`` says.

    ``ok``
        A complete response.
    ``stream``
        A stream of ``event_count`` events.
    ``cut``
        A stream that ends with a reset within its third event.
    ``reset``
        A reset instead of a response.
    ``mute``
        No response for 60 s.
    ``full``
        Status 503 with the statement that the request was not run.
    ``late``
        A response that is sent a second time 50 ms later.
    ``refusal-again``, ``refusal-again-without-id``
        The first request is refused. A later one on its connection runs and is
        answered, but the refusal is sent once more before the response. It states the
        id of the first request, or none.
    ``unsigned``
        A response without the signature of the endpoint.
    ``error``
        Status 500.
    ``torn``
        A stream without a length that ends, without a reset, within its third event.
    ``scripted``
        The bytes of ``script``, with the id of the request for ``REQUEST_ID``, and then
        the end of the connection, or none of it, that ``script_end`` names: "keep",
        "close" or "reset".
    ``stalled``
        A stream that sends a byte of its third event now and then, without end; for
        a service without streams, a body that does so.
    ``endless-head``, ``endless-body``, ``endless-chunk-header``, ``endless-event``
        A response whose head, body, chunk framing or event goes on, as fast as it is
        read, until the connection is closed.

    ``executed_ids`` has one item for each time that a request was run, and
    ``received_s`` the times of the event loop at which requests arrived.

    Its responses state ``limit_per_s``, the requests a second that it takes from all
    gateways together, unless it is empty, and that it leaves if ``leaving`` is set. In
    the mode ``full`` they state ``retry_after``, unless it is empty. It registers with
    ``software_version``.

    A request whose prompt has the part ``deadly_part`` crashes the endpoint in any
    mode: all its connections end, and it starts again after ``RESTART_DELAY_S``.
    ``crash_times_s`` has the time of the event loop of each crash, and ``on_restart``
    is called after each restart.
    """

    def __init__(
        self, *, name: str, service: str, mode: str = "ok", zone: str = "a"
    ) -> None:
        self.name = name
        self.service = service
        self.mode = mode
        self.zone = zone
        self.script = b""
        self.script_end = "keep"
        self.event_count = 6
        self.event_gap_s = EVENT_GAP_S
        self.received: list[ReceivedRequest] = []
        self.received_s: list[float] = []
        self.limit_per_s = ""
        self.leaving = False
        self.software_version = "v1"
        self.retry_after = ""
        self.executed_ids: list[str] = []
        self._cached_prefixes: list[tuple[str, int]] = []
        self._cache_list = self._encode_cache_list()
        self._refusals: dict[asyncio.StreamWriter, bytes] = {}
        self.repeated_refusals = 0
        self.aborted_connections = 0
        self.filler_bytes = 0
        self.registered_port = 0
        self.port = 0
        self.deadly_part = ""
        self.crash_times_s: list[float] = []
        self.on_restart: Callable[[], None] = lambda: None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, after a crash on the one from before."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening."""
        if self._restart is not None:
            self._restart.cancel()
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """End all connections, and start again later."""
        if self._restart is not None and not self._restart.done():
            return
        self.crash_times_s.append(asyncio.get_running_loop().time())
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()
        self.on_restart()

    def registration(self, **changes: Any) -> dict[str, Any]:
        """Return the document by which the endpoint registers in the store.

        ``changes`` replaces or adds fields.
        """
        return {
            "service": self.service,
            "address": f"{HOST}:{self.registered_port or self.port}",
            "zone": self.zone,
            "version": self.software_version,
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": 1 + len(self.crash_times_s),
            **changes,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *header_lines = head.strip().split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in header_lines)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if first.split(" ")[1] == CACHE_PATH:
                    writer.write(self._cache_list)
                    continue
                request_id = headers.get("x-request-id", "")
                request = ReceivedRequest(
                    request_id, first.split(" ")[1], headers, body
                )
                self.received.append(request)
                self.received_s.append(asyncio.get_running_loop().time())
                if self.deadly_part and self.deadly_part in request.prompt_parts:
                    await asyncio.sleep(CRASH_DELAY_S)
                    self.crash()
                    return
                if not await self._respond(request, writer):
                    writer.transport.abort()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.aborted_connections += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    @property
    def cached_prefixes(self) -> list[tuple[str, int]]:
        """Prompt parts that it lists as cached, with their tokens.

        Their response is encoded when they are set, because that takes long for many of
        them, and would stop all stand-ins of the process in the middle of a request.
        """
        return self._cached_prefixes

    @cached_prefixes.setter
    def cached_prefixes(self, prefixes: list[tuple[str, int]]) -> None:
        self._cached_prefixes = prefixes
        self._cache_list = self._encode_cache_list()

    def _encode_cache_list(self) -> bytes:
        """Return the HTTP response, with its head, that lists ``cached_prefixes``."""
        cached = [["", name, tokens, "m"] for name, tokens in self.cached_prefixes]
        body = json.dumps({"epoch": 1, "next": 1, "held": cached}).encode()
        return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body

    def _response_head(
        self, request: ReceivedRequest, status: str, extra: str
    ) -> bytes:
        """Return the status line and headers with the request's id.

        ``extra`` are further header lines, each ended by CRLF.
        """
        if self.leaving:
            extra += "Server-Leaving: 1\r\n"
        if self.limit_per_s:
            extra += f"Server-Limit: {self.limit_per_s}\r\n"
        text = f"HTTP/1.1 {status}\r\nX-Request-Id: {request.request_id}\r\n{extra}\r\n"
        return text.encode()

    async def _respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Respond to a request as ``mode`` says; return False to reset the connection.

        A request that expects another endpoint gets status 421 and is not run.
        """
        signature_header = f"X-Replica-Signature: {self.name}\r\n"
        expected = request.headers.get("x-expect-replica", self.name)
        if expected != self.name:
            extra = "Content-Length: 0\r\n"
            writer.write(self._response_head(request, "421 Misdirected", extra))
            return True
        if self.mode == "full":
            extra = "X-Not-Executed: 1\r\nContent-Length: 0\r\n"
            if self.retry_after:
                extra += f"Retry-After: {self.retry_after}\r\n"
            writer.write(self._response_head(request, "503 Unavailable", extra))
            return True
        if self.mode.startswith("refusal-again") and not self._refusals:
            extra = "X-Not-Executed: 1\r\nContent-Length: 0\r\n"
            refusal = self._response_head(request, "503 Unavailable", extra)
            if self.mode.endswith("without-id"):
                refusal = f"HTTP/1.1 503 Unavailable\r\n{extra}\r\n".encode()
            self._refusals[writer] = refusal
            writer.write(refusal)
            return True
        self.executed_ids.append(request.request_id)
        if writer in self._refusals:
            writer.write(self._refusals[writer])
            self.repeated_refusals += 1
            await asyncio.sleep(REFUSAL_LEAD_S)
        if self.mode == "reset":
            return False
        if self.mode == "mute":
            await asyncio.sleep(60)
            return False
        if self.mode == "scripted":
            return await self._send_script(request, writer)
        if self.mode.startswith("endless-"):
            await self._send_without_end(request, writer, signature_header)
            return False
        if self.mode == "stalled":
            await self._send_stalled(request, writer, signature_header)
            return False
        if self.mode == "torn":
            await self._send_torn_stream(request, writer, signature_header)
            return True
        if self.mode in ("stream", "cut"):
            return await self._stream(request, writer, signature_header)
        if self.mode == "unsigned":
            signature_header = ""
        body = f"{self.name} {request.request_id}".encode()
        status = "500 Error" if self.mode == "error" else "200 OK"
        extra = f"{signature_header}Content-Length: {len(body)}\r\n"
        response = self._response_head(request, status, extra) + body
        writer.write(response)
        if self.mode == "late":
            await asyncio.sleep(0.05)
            writer.write(response)
        return True

    async def _send_script(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Send ``script``; return False so that the connection is reset."""
        writer.write(self.script.replace(b"REQUEST_ID", request.request_id.encode()))
        await writer.drain()
        if self.script_end == "close":
            writer.close()
            await writer.wait_closed()
        elif self.script_end == "reset":
            await asyncio.sleep(SCRIPT_LEAD_S)
            raw_socket = writer.get_extra_info("socket")
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        return self.script_end != "reset"

    async def _send_without_end(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        signature_header: str,
    ) -> None:
        """Send filler in the part that ``mode`` names until the connection ends."""
        extra = {
            "endless-head": f"{signature_header}X-Filler: ",
            "endless-body": signature_header,
            "endless-chunk-header": (
                f"{signature_header}Transfer-Encoding: chunked\r\n\r\n5;filler="
            ),
            "endless-event": (f"{signature_header}Content-Type: text/event-stream\r\n"),
        }[self.mode]
        head = self._response_head(request, "200 OK", extra)
        writer.write(head[: len(head) - 2] if extra.endswith((" ", "=")) else head)
        while not writer.transport.is_closing():
            writer.write(FILLER)
            self.filler_bytes += len(FILLER)
            await writer.drain()

    async def _send_stalled(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        signature_header: str,
    ) -> None:
        """Send two events or nothing, then a byte at a time until the connection ends.

        The bytes never complete an event or a body.
        """
        extra = f"{signature_header}Content-Length: {STALLED_BODY_BYTES}\r\n"
        if self.service == "model":
            extra = f"{signature_header}Content-Type: text/event-stream\r\n"
        writer.write(self._response_head(request, "200 OK", extra))
        if self.service == "model":
            for number in (1, 2):
                event = f"id: {number}\ndata: {request.request_id}-{number}\n\n"
                writer.write(event.encode())
        while not writer.transport.is_closing():
            writer.write(b"x")
            self.filler_bytes += 1
            await writer.drain()
            await asyncio.sleep(STALLED_BYTE_INTERVAL_S)

    async def _send_torn_stream(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        signature_header: str,
    ) -> None:
        """Send two events and half of a third, then end the connection in order."""
        extra = f"{signature_header}Content-Type: text/event-stream\r\n"
        writer.write(self._response_head(request, "200 OK", extra))
        for number in (1, 2, 3):
            event = f"id: {number}\ndata: {request.request_id}-{number}\n\n".encode()
            writer.write(event if number < 3 else event[: len(event) // 2])
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    async def _stream(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        signature_header: str,
    ) -> bool:
        """Send the events after the request's ``Last-Event-ID``, or all.

        Returns False, so that the connection is reset, after a stream that was cut.
        """
        extra = (
            f"{signature_header}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n"
        )
        writer.write(self._response_head(request, "200 OK", extra))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.event_count + 1):
            event = f"id: {number}\ndata: {request.request_id}-{number}\n\n".encode()
            if self.mode == "cut" and number == first + 2:
                partial_event = event[: len(event) // 2]
                writer.write(
                    f"{len(partial_event):x}\r\n".encode() + partial_event + b"\r\n"
                )
                await writer.drain()
                await asyncio.sleep(self.event_gap_s)
                return False
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
            if writer.transport.is_closing():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")
        return True


class RouteSpec(NamedTuple):
    """A route of the configuration that the stand-ins publish.

    ``kind`` is ``unsafe`` (must run at most once), ``safe`` (may run again) or
    ``streaming`` (responds with a stream of events; may run again only if it is
    ``resumable``). ``timeout_ms`` covers all attempts and counts from the arrival at
    the gateway; it is also the deadline of a request that states none.
    """

    prefix: str
    kind: str
    service: str
    timeout_ms: int = 3000
    max_attempts: int = 2
    resumable: bool = False


def make_configuration_document(
    version: int,
    routes: list[RouteSpec],
    keys: Mapping[str, str],
    limits: Mapping[str, int] | None = None,
) -> dict[str, Any]:
    """Return a configuration document; ``keys`` maps API keys to teams.

    ``limits`` replaces or adds limits, by the names of the platform.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{number}",
                "host": "clinic.example",
                "prefix": route.prefix,
                "route-type": route.kind,
                "timeout-ms": route.timeout_ms,
                "target-latency-ms": 500,
                "priority": 0,
                "service": route.service,
                "max-attempts": route.max_attempts,
                "public": False,
                "stream-resume": route.resumable,
                "gap-aim-ms": 500,
            }
            for number, route in enumerate(routes)
        ],
        "services": [
            {
                "name": name,
                "health-path": "/healthz",
                "max-connections": 50,
                "engine": ENGINE_SETTINGS if name == ENGINE_SERVICE else None,
            }
            for name in sorted({route.service for route in routes})
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 65536,
            **(limits or {}),
        },
        "tenants": [{"name": team, "api-keys": [key]} for key, team in keys.items()],
    }


async def wait_until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    """Poll every 20 ms until a condition is true.

    Raises
    ------
    TimeoutError
        When the condition is not true within ``timeout_s``.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)
