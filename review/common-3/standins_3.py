"""Stand-ins of the store, of replicas and of clients for the scripts of this review.

They use the standard library only and speak what PROTOCOL.md of the users' pages says.
All addresses are loopback addresses; each gateway has one of its own, like a machine.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import ctypes
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CALLER_HOST = "clinic.example"
KEY = "k1"
TEAM = "clinic"
# Exit statuses of a script.
HELD = 0
BROKEN = 1
NOT_RUN = 2
START_TIMEOUT_S = 15.0
# From linux/prctl.h.
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)
READ_BYTES = 65_536


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port(host: str) -> int:
    """Return a port that nobody uses at a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class Store:
    """The platform's store: range reads and watches.

    While ``away``, it closes each channel on which it is called.
    """

    def __init__(self) -> None:
        self.port = 0
        self.away = False
        self.era = 1
        self._revision = 10
        self._items: dict[str, tuple[int, bytes]] = {}
        self._changes: list[dict[str, Any]] = []
        self._oldest_revision = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key: str, value: Any) -> None:
        """Write an item; None removes it."""
        self._revision += 1
        if value is None:
            self._items.pop(key, None)
            change = {"key": key, "revision": self._revision, "removed": True}
        else:
            self._items[key] = (self._revision, json.dumps(value).encode())
            change = self._item(key)
        self._changes.append(change)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def copy(self) -> tuple[int, dict[str, tuple[int, bytes]]]:
        """Return a copy, from which the store can come back."""
        return self._revision, dict(self._items)

    def come_back_from(self, copied: tuple[int, dict[str, tuple[int, bytes]]]) -> None:
        """Begin a new era with the items of a copy, and without any history."""
        self._revision, items = copied
        self._items = dict(items)
        self._changes = []
        self._oldest_revision = self._revision
        self.era += 1
        self.away = False

    def _item(self, key: str) -> dict[str, Any]:
        revision, value = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "create-revision": revision,
            "lease": 0,
        }

    async def _answer(self, target: str) -> dict[str, Any] | None:
        """Return the body of an answer; None where the history is gone (410)."""
        path, _, query_text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
        if path == "/api/kv-range":
            items = [self._item(key) for key in sorted(self._items)]
            return {
                "items": items,
                "truncated": False,
                "store-revision": self._revision,
            }
        after = int(query["after"])
        if not self._oldest_revision <= after <= self._revision:
            return None
        if after >= self._revision:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["wait-ms"]) / 1000):
                    await self._changed.wait()
        events = [change for change in self._changes if change["revision"] > after]
        return {"events": events, "store-revision": self._revision}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if self.away:
                    return
                era = self.era
                answer = await self._answer(head.split(" ")[1])
                if self.away or era != self.era:
                    return  # Calls that wait end with the store.
                body = json.dumps(answer or {}).encode()
                status = "200 OK" if answer is not None else "410 Gone"
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {era}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            return  # Cancelled only when the case ends.
        finally:
            writer.close()


class SilentProxy:
    """Forwards TCP connections to one address; ``cut`` drops all data, silently."""

    def __init__(self, *, target: tuple[str, int]) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self.cut = False
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_writer: asyncio.StreamWriter | None = None
        try:
            while self.cut:
                if not await reader.read(READ_BYTES):
                    return
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer))
                group.create_task(self._forward(target_reader, writer))
        except (asyncio.CancelledError, OSError, BaseExceptionGroup):
            return
        finally:
            writer.close()
            if target_writer is not None:
                target_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lost = False
        while data := await reader.read(READ_BYTES):
            # Bytes arrive in order or not at all.
            lost = lost or self.cut
            if not lost:
                writer.write(data)
                await writer.drain()
        raise ConnectionResetError


class ReplicaRequest(NamedTuple):
    """A request as a replica received it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Its ``X-Request-Id``."""
        return self.headers.get("x-request-id", "")


class Replica:
    """A replica; ``run`` answers a request that it runs.

    It answers 421 to a request that expects another replica, and the questions for
    its state and its cache.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        run: Callable[[Replica, ReplicaRequest, asyncio.StreamWriter], Awaitable[None]],
        version: str = "v1",
        slots: int = 64,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.port = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._run = run
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=1_048_576
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """Return its entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def register(self, store: Store) -> None:
        """Write its entry."""
        store.put(f"servers/{self.name}", self.entry())

    def head(self, request: ReplicaRequest, status: str, extra: str) -> bytes:
        """Return the head of an answer; ``extra`` are lines that end with CRLF."""
        return (
            f"HTTP/1.1 {status}\r\nX-Request-Id: {request.request_id}\r\n"
            f"X-Replica-Id: {self.name}\r\n{extra}\r\n"
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.strip().split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ", 2)
                await self._respond(
                    ReplicaRequest(method, target, headers, body), writer
                )
                await writer.drain()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _respond(
        self, request: ReplicaRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.target.startswith(("/api/kv-list", "/api/report")):
            body = json.dumps({"epoch": 1, "next": 1, "held": []}).encode()
            length = f"Content-Length: {len(body)}\r\n"
            writer.write(self.head(request, "200 OK", length) + body)
        elif request.headers.get("x-expect-replica", self.name) != self.name:
            writer.write(
                self.head(request, "421 Misdirected Request", "Content-Length: 0\r\n")
            )
        else:
            await self._run(self, request, writer)


class RouteSpec(NamedTuple):
    """A route of the configuration, by the fields of the users' pages."""

    prefix: str
    kind: str
    service: str
    timeout_ms: int
    objective_ms: int
    priority: int
    max_attempts: int = 1
    resumable: bool = False
    gap_ms: int = 0


def make_configuration(
    version: int,
    routes: list[RouteSpec],
    engines: dict[str, dict[str, int]],
) -> dict[str, Any]:
    """Return a configuration; ``engines`` has the engine of each model service."""
    services = sorted({route.service for route in routes})
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "host": CALLER_HOST,
                "prefix": route.prefix,
                "route-type": route.kind,
                "timeout-ms": route.timeout_ms,
                "target-latency-ms": route.objective_ms,
                "priority": route.priority,
                "service": route.service,
                "max-attempts": route.max_attempts,
                "public": False,
                "session-affinity": route.service in engines,
                "stream-resume": route.resumable,
                **({"gap-aim-ms": route.gap_ms} if route.gap_ms else {}),
            }
            for number, route in enumerate(routes)
        ],
        "services": [
            {
                "name": service,
                "health-path": "/healthz",
                "max-connections": 370,
                "cold-start-s": 0,
                "cold-per-s": 0,
                **({"engine": engines[service]} if service in engines else {}),
            }
            for service in services
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": TEAM, "api-keys": [KEY]}],
    }


def end_with_parent() -> None:
    """Let the kernel kill this process when the script is killed."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gateway:
    """One process of the deploy file, at a loopback address of its own."""

    def __init__(self, *, name: str, host: str, folder: Path) -> None:
        self.name = name
        self.host = host
        self._folder = folder
        ports = ("front", "ready", "control", "metrics", "udp")
        self.ports = {port: free_port(host) for port in ports}
        self.process: asyncio.subprocess.Process | None = None

    def _write_settings(self, store: tuple[str, int], seeds: list[str]) -> Path:
        path = self._folder / f"{self.name}.toml"
        udp = self.ports["udp"]
        # Only the first start of a process is that of the whole system.
        bootstrap = "true" if self.process is None else "false"
        path.write_text(
            f'node-name = "{self.name}"\nrole = "gateway"\nmachine-class = "front"\n'
            f'serves = ["front", "control"]\nip = "{self.host}"\nzone = "a"\n'
            f'region = "r"\ninternal-port-range = [{udp}, {udp}]\n'
            f"seeds = {json.dumps(seeds)}\nbootstrap = {bootstrap}\n"
            "heartbeat-ms = 1200\n"
            '[zones]\na = "r"\n[listen]\n'
            f'front = "{self.host}:{self.ports["front"]}"\n'
            f'ready = "{self.host}:{self.ports["ready"]}"\n'
            f'control = "{self.host}:{self.ports["control"]}"\n'
            "[limits]\ncpu-share = 0.817\ncores = 1\nlink-mbps = 1000.0\n"
            "max-fds = 4100\ndisk-mb = 0\nmemory-mb = 300\n"
            "[bounds]\ncontact-ms = 3000\ndrain-timeout-ms = 2000\ngrace-s = 8\n"
            "config-propagation-ms = 2000\nretry-budget-ratio = 0.2\n"
            "budget-window-s = 10\nbudget-slack = 56\nagain-s = 10\n"
            f'[provider]\naddress = "{store[0]}:{store[1]}"\nform = "read"\n',
            encoding="utf-8",
        )
        return path

    async def start(
        self, store: tuple[str, int], seeds: list[str], *, output: int | None = None
    ) -> None:
        """Start the process with the command of the deploy file; wait until ready.

        Its log goes to ``output``, or else to a file.
        """
        path = self._write_settings(store, seeds)
        deps = REPOSITORY / "target" / "deps"
        if not (deps / "shallotroad").is_dir():
            raise CaseError("the build of the deploy file has not run")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "shallotroad.gateway.main",
                cwd=REPOSITORY,
                preexec_fn=end_with_parent,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(deps),
                    "SSL_CERT_FILE": "/dev/null",
                    "SSL_CERT_DIR": "/dev/null",
                    "SHALLOTROAD_METRICS_PORT": str(self.ports["metrics"]),
                    "SHALLOTROAD_CONFIG": str(path),
                },
                stdout=log if output is None else output,
                stderr=log if output is None else output,
            )
        await self.wait_ready()

    async def is_ready(self) -> bool:
        """Return whether the readiness check gives status 200."""
        try:
            answer = await call(
                self.host, self.ports["ready"], "GET", "/api/readyz", {}
            )
        except OSError:
            return False
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > deadline_s or not self.lives:
                raise CaseError(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)

    @property
    def lives(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def terminate(self, grace_s: float) -> None:
        """Stop the process as the platform does: SIGTERM, then SIGKILL if needed."""
        if self.process is None:
            raise CaseError(f"{self.name} was not started")
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self.process.wait()
        except TimeoutError:
            await self.stop()

    async def stop(self) -> None:
        """Kill the process."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Answer(NamedTuple):
    """An answer as its client received it; ``complete`` unless it was cut."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class ClientChannel:
    """A kept channel of a client."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, host: str, port: int) -> ClientChannel:
        """Connect to a gateway."""
        return cls(*await asyncio.open_connection(host, port))

    def reset(self) -> None:
        """Reset the channel."""
        raw_socket = self.writer.get_extra_info("socket")
        if raw_socket is not None:
            option = (1).to_bytes(4, sys.byteorder) + (0).to_bytes(4, sys.byteorder)
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        self.writer.transport.abort()

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send one request."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def head(self) -> tuple[int, dict[str, str]]:
        """Return status and headers of the next answer."""
        text = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.strip().split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        return int(first.split(" ")[1]), headers

    async def chunk(self) -> bytes:
        """Return the next chunk of a chunked body; empty at its end."""
        size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
        data = await self.reader.readexactly(size + 2)
        return data[:size]

    async def answer(self) -> Answer:
        """Return the next answer."""
        status, headers = await self.head()
        body = b""
        try:
            if "chunked" in headers.get("transfer-encoding", ""):
                while data := await self.chunk():
                    body += data
            elif "content-length" in headers:
                body = await self.reader.readexactly(int(headers["content-length"]))
            else:
                body = await self.reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status, headers, body, complete=False)
        return Answer(status, headers, body, complete=True)


async def call(
    host: str, port: int, method: str, target: str, headers: dict[str, str]
) -> Answer:
    """Send one request on a channel of its own and return the answer."""
    channel = await ClientChannel.open(host, port)
    try:
        await channel.send(method, target, {"Host": host, **headers})
        return await channel.answer()
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the channel ended without an answer") from error
    finally:
        channel.writer.close()


def client_headers(request_id: str, deadline_ms: int, **extra: str) -> dict[str, str]:
    """Return the headers of a client's request.

    Names in ``extra`` are written with underscores for hyphens.
    """
    return {
        "Host": CALLER_HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }


class Run:
    """What a case needs: a record, a temporary folder and the things to stop."""

    def __init__(self, *, record: Record, folder: Path, trouble: bool) -> None:
        self.record = record
        self.folder = folder
        self.trouble = trouble
        self.gateways: list[Gateway] = []

    def gateway(self, name: str, host: str) -> Gateway:
        """Return a gateway that is ended after the case."""
        gateway = Gateway(name=name, host=host, folder=self.folder)
        self.gateways.append(gateway)
        return gateway


def run_case(case: Callable[[Run], Awaitable[bool]], *, timeout_s: float) -> None:
    """Run a case and exit with the status that ``run.sh`` has to give.

    ``case`` returns whether the rule held. Without ``TROUBLE=0`` in the environment,
    the case includes its disruption.
    """
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"disruption: {'yes' if trouble else 'no'}; {os.uname().machine}")

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        interrupted = False

        def interrupt() -> None:
            # A second signal does not keep the gateways from being ended.
            nonlocal interrupted
            if not interrupted:
                interrupted = True
                task.cancel()

        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, interrupt)
        with tempfile.TemporaryDirectory() as temporary:
            run = Run(record=record, folder=Path(temporary), trouble=trouble)
            try:
                async with asyncio.timeout(timeout_s):
                    held = await case(run)
                return HELD if held else BROKEN
            except (Exception, asyncio.CancelledError) as error:
                record.add(f"the case could not run: {error!r}")
                return NOT_RUN
            finally:
                for gateway in run.gateways:
                    await gateway.stop()

    status = asyncio.run(main())
    record.add(f"exit {status}")
    record.close()
    sys.stdout.flush()
    os._exit(status)
