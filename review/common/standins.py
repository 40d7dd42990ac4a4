"""Stand-ins and process control for the scripted cases; standard library only.

The gateway is started with the command of deploy/system.toml, from the repository root
and with the packages of target/deps. Store, replicas and clients run in this process
and speak what the users' PROTOCOL.md says.
"""

from __future__ import annotations

import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path


ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
KEY = "n2ctnfzs989anu6wsjnb"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HISTORY_S = 20.0  # history-s of the store
METRICS_PORT = 9464  # deploy/system.toml
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
CLIENT_HOST = "clinic.example"


class Record:
    """Lines of record.txt: what was sent, answered and run, with seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def free_address() -> str:
    """Return a loopback address at which the fixed port of the metrics is free."""
    while True:
        address = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.1"
        with socket.socket() as probe:
            try:
                probe.bind((address, METRICS_PORT))
            except OSError:
                continue
        return address


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").strip()
    first, *lines = text.split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


class Store:
    """The platform's store: range reads and watches over HTTP/1.1."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[int, bytes]] = {}
        self.changes: list[tuple[int, str, bytes | None]] = []
        self._changed_s: list[float] = []
        self._changed = asyncio.Event()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: object | None) -> None:
        """Write an item as a new revision; None removes it."""
        self.revision += 1
        raw = None if value is None else json.dumps(value).encode()
        if raw is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (self.revision, raw)
        self.changes.append((self.revision, key, raw))
        self._changed_s.append(time.monotonic())
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @staticmethod
    def _item(key: str, revision: int, raw: bytes | None) -> dict[str, object]:
        if raw is None:
            return {"key": key, "revision": revision, "removed": True}
        value = base64.b64encode(raw).decode()
        return {
            "key": key,
            "value": value,
            "revision": revision,
            "create-revision": revision,
            "lease": 0,
        }

    def _is_dropped(self, after: int) -> bool:
        """Return whether a change after a revision is older than the history."""
        oldest_s = time.monotonic() - HISTORY_S
        return any(
            revision > after and changed_s < oldest_s
            for (revision, _, _), changed_s in zip(
                self.changes, self._changed_s, strict=True
            )
        )

    async def _answer(self, target: str) -> dict[str, object] | None:
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if path.endswith("kv-watch"):
            after = int(fields["after"])
            if self._is_dropped(after):
                return None
            if after >= self.revision:
                try:
                    wait_s = int(fields["wait-ms"]) / 1000
                    await asyncio.wait_for(self._changed.wait(), wait_s)
                except TimeoutError:
                    pass
            events = [self._item(k, r, v) for r, k, v in self.changes if r > after]
            return {"events": events, "store-revision": self.revision}
        items = [self._item(k, r, v) for k, (r, v) in sorted(self.items.items())]
        return {"items": items, "truncated": False, "store-revision": self.revision}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, _ = await read_head(reader)
                answer = await self._answer(first.split(" ")[1])
                status = "410 Gone" if answer is None else "200 OK"
                body = json.dumps(answer or {}).encode()
                head = (
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Replica:
    """A replica: it reads requests one by one on each channel and calls ``respond``.

    ``respond(request, writer, channel)`` writes the answer and returns whether the
    channel stays open. ``channel`` is a dictionary that lives as long as the channel.
    """

    def __init__(self, *, name: str, service: str, record: Record, respond) -> None:
        self.name = name
        self.service = service
        self.record = record
        self.respond = respond
        self.runs: list[str] = []
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port, or on the one that ``port`` names."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**23
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def registration(self, **changes: object) -> dict[str, object]:
        """Return the entry of the replica; ``changes`` replaces or adds fields."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "amman-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
            **changes,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel: dict[str, object] = {"number": id(writer) % 100_000, "answered": []}
        try:
            while True:
                first, headers = await read_head(reader)
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                target = first.split(" ")[1]
                if target.startswith("/api/"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                request = {"target": target, "headers": headers, "body": body}
                request["id"] = headers.get("x-request-id", "")
                if headers.get("x-expect-replica", self.name) != self.name:
                    writer.write(
                        f"HTTP/1.1 421 Misdirected\r\nX-Request-Id: {request['id']}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                self.runs.append(str(request["id"]))
                self.record.add(f"{self.name} runs {request['id']} ({target})")
                if not await self.respond(self, request, writer, channel):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def head(self, request: dict, status: str = "200 OK", extra: str = "") -> bytes:
        """Return the head of an answer; ``extra`` are further lines, each with CRLF."""
        return (
            f"HTTP/1.1 {status}\r\nX-Request-Id: {request['id']}\r\n"
            f"X-Replica-Signature: {self.name}.{request['id']}\r\n{extra}\r\n"
        ).encode()


def route(prefix: str, kind: str, service: str, **changes: object) -> dict[str, object]:
    """Return a route of the configuration; ``changes`` replaces or adds fields."""
    return {
        "name": f"route{prefix.strip('/')}",
        "host": CLIENT_HOST,
        "prefix": prefix,
        "route-type": kind,
        "timeout-ms": 10_000,
        "target-latency-ms": 2_500,
        "priority": 0,
        "service": service,
        "max-attempts": 1,
        "gap-aim-ms": 1_000,
        **changes,
    }


def configuration(
    version: int, routes: list[dict[str, object]], engines: tuple[str, ...] = ()
) -> dict[str, object]:
    """Return ``op/config``; ``engines`` names the services that run a model."""
    services = sorted({str(r["service"]) for r in routes})
    engine = {"slots": 64, "kv-tokens": 505_611, "stride": 4}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/healthz",
                "max-connections": 370,
                "engine": engine if name in engines else None,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "hule930", "api-keys": [KEY]}],
    }


def _end_with_parent() -> None:
    """Let the kernel kill this process when the script ends, also by SIGKILL."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gateway:
    """One gateway process, at an address of its own in 127.0.0.0/8."""

    def __init__(
        self,
        *,
        number: int,
        folder: Path,
        store_port: int,
        propagation_s: float = 2.0,
    ) -> None:
        self.name = f"front-amman-a-{number}"
        self.ip = free_address()
        self._folder = folder
        self._store_port = store_port
        self._propagation_ms = round(1000 * propagation_s)
        self.ports = {k: free_port() for k in ("front", "ready", "control", "udp")}
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, seeds: list[str]) -> Path:
        """Write the settings file as DEPLOY.md describes it, and return its path."""
        path = self._folder / f"{self.name}.toml"
        udp = self.ports["udp"]
        path.write_text(
            f'node-name = "{self.name}"\nrole = "gateway"\nmachine-class = "front"\n'
            f'serves = ["front", "control"]\nip = "{self.ip}"\n'
            'zone = "amman-a"\nregion = "amman"\nheartbeat-ms = 1200\n'
            f"internal-port-range = [{udp}, {udp}]\nseeds = {json.dumps(seeds)}\n"
            'bootstrap = true\ndiscovery = "platform"\nentry = "vip"\n'
            '[zones]\namman-a = "amman"\n[listen]\n'
            f'front = "{self.ip}:{self.ports["front"]}"\n'
            f'ready = "{self.ip}:{self.ports["ready"]}"\n'
            f'control = "{self.ip}:{self.ports["control"]}"\n'
            "[limits]\ncpu-share = 0.817\ncores = 1\nmemory-mb = 300\nmax-fds = 4100\n"
            "link-mbps = 1000.0\ndisk-mb = 0\n[bounds]\ncontact-ms = 3000\n"
            "drain-timeout-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\n"
            f"config-propagation-ms = {self._propagation_ms}\n"
            "retry-budget-ratio = 0.2\n"
            "budget-window-s = 10\nbudget-slack = 56\nagain-s = 10\n"
            f'[provider]\naddress = "{HOST}:{self._store_port}"\nform = "read"\n'
        )
        return path

    def start(self, seeds: list[str] | None = None) -> None:
        """Start the process with the command and environment of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        command = role["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            **role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SHALLOTROAD_CONFIG": str(self.write_settings(seeds or [])),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    async def wait_ready(self) -> None:
        """Wait until the readiness check gives status 200."""
        for _ in range(300):
            try:
                status, _, _ = await call(
                    self.ip, self.ports["ready"], b"GET /api/readyz HTTP/1.1\r\n\r\n"
                )
            except (OSError, asyncio.IncompleteReadError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready after 15 s")

    def rss_mb(self) -> float:
        """Return the resident memory of the process; 0 once it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        fields = dict(line.partition(":")[::2] for line in status.splitlines())
        return int(fields.get("VmRSS", "0 kB").split()[0]) / 1024

    def stop(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRunError(Exception):
    """The case could not be set up."""


async def call(ip: str, port: int, data: bytes) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new channel; return the status, headers and raw rest."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(data)
        first, headers = await read_head(reader)
        length = int(headers.get("content-length", 0))
        return int(first.split(" ")[1]), headers, await reader.readexactly(length)
    finally:
        writer.close()


async def read_chunked(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a chunked body and whether it was complete."""
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False


def request_bytes(
    method: str,
    path: str,
    request_id: str,
    *,
    body: bytes = b"",
    deadline_ms: int = 10_000,
    key: str = KEY,
) -> bytes:
    """Return a request as a client sends it."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {CLIENT_HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"Authorization: Token {key}\r\n{length}\r\n"
    ).encode() + body


def run_case(main, folder: Path) -> int:
    """Run ``main(record, folder)``; return 1 if it saw the rule broken, else 0."""
    # As with Ctrl-C, asyncio then cancels the case, which ends its processes.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: signal.raise_signal(signal.SIGINT))
    record = Record(folder / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        broken = asyncio.run(asyncio.wait_for(main(record, temporary), 110))
        record.add("result: the rule was broken" if broken else "result: the rule held")
        return 1 if broken else 0
    except KeyboardInterrupt:
        record.add("result: interrupted")
        return 2
    except Exception as error:  # the case could not be run
        record.add(f"result: could not run: {error!r}")
        return 2
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
