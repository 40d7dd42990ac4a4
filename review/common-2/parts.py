"""Stand-ins of the platform, the replicas and the clients, for the scripts of a case.

Only Python's own library is used. The gateways are started as separate processes with
the command of ``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path


REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CLIENT_HOST = "site.example"
KEY = "key-1"
TENANT = "tenant-1"


def _end(*_: object) -> None:
    """End the script, so that what it has started is closed."""
    raise SystemExit(2)


for ending_signal in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(ending_signal, _end)


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int, kind: int = socket.SOCK_STREAM) -> list[int]:
    """Return free ports of the loopback address."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for item in sockets:
        item.bind((HOST, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Record:
    """The file in which a case notes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")
        self._file.flush()


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, by lower-case name."""
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, headers and body of a message with a stated length."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, headers = parse_head(head)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line, headers, body


class Store:
    """The platform's metadata store: lists and watches of ``PROTOCOL.md``."""

    def __init__(self) -> None:
        self.revision = 10
        self._items: dict[str, tuple[bytes, int]] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key: str, value: object) -> None:
        """Write an item."""
        self.revision += 1
        data = json.dumps(value).encode()
        self._items[key] = (data, self.revision)
        self._events.append(self._row(key))
        self._wake()

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self._items[key]
        self._events.append({"key": key, "revision": self.revision, "removed": True})
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key: str) -> dict[str, object]:
        value, revision = self._items[key]
        text = base64.b64encode(value).decode()
        return {
            "key": key,
            "value": text,
            "revision": revision,
            "create-revision": revision,
            "lease": 0,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                line, _, _ = await read_message(reader)
                path, _, query = line.split(" ")[1].partition("?")
                fields = dict(item.split("=", 1) for item in query.split("&") if item)
                if path == "/api/kv-watch":
                    payload = await self._watch(fields)
                else:
                    items = [self._row(key) for key in sorted(self._items)]
                    payload = {"items": items, "truncated": False}
                body = json.dumps({**payload, "store-revision": self.revision}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                await writer.drain()
        writer.close()

    async def _watch(self, fields: dict[str, str]) -> dict[str, object]:
        after = int(fields["after"])
        end_s = time.monotonic() + int(fields["wait-ms"]) / 1000
        while self.revision <= after and (left_s := end_s - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return {"events": [e for e in self._events if int(str(e["revision"])) > after]}


class Gateway:
    """One process of the system, with settings as ``DEPLOY.md`` describes them."""

    def __init__(
        self,
        *,
        name: str,
        folder: Path,
        store_port: int,
        zone: str = "bole",
        zones: dict[str, str] | None = None,
        limits: dict[str, object] | None = None,
        bounds: dict[str, object] | None = None,
    ) -> None:
        self.name = name
        self._folder = folder
        self.front, self.ready, self.control, self.metrics = free_ports(4)
        (self.datagrams,) = free_ports(1, socket.SOCK_DGRAM)
        self.seeds: list[int] = []
        self._store_port = store_port
        self._zone = zone
        self._zones = zones or {"bole": "addis", "kality": "addis"}
        self.limits = {
            "cpu-share": 0.817,
            "cores": 1,
            "memory-mb": 300,
            "max-fds": 4100,
            "link-mbps": 1000.0,
            "disk-mb": 0,
        } | (limits or {})
        self.bounds = {
            "contact-ms": 3000,
            "ack-timeout-ms": 4000,
            "drain-timeout-ms": 2000,
            "grace-s": 8,
            "loss-slack-ms": 200,
            "config-propagation-ms": 2000,
            "retry-budget-ratio": 0.2,
            "budget-window-s": 10,
            "budget-slack": 56,
            "again-s": 10,
        } | (bounds or {})
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""

        def table(values: dict[str, object]) -> str:
            return "".join(f"{k} = {json.dumps(v)}\n" for k, v in values.items())

        seeds = [f"{HOST}:{port}" for port in self.seeds]
        text = table(
            {
                "node-name": self.name,
                "role": "gateway",
                "machine-class": "front",
                "serves": ["front", "control"],
                "ip": HOST,
                "zone": self._zone,
                "region": self._zones[self._zone],
                "internal-port-range": [self.datagrams, self.datagrams],
                "seeds": seeds,
                "bootstrap": True,
                "heartbeat-ms": 1200,
            }
        )
        text += "[zones]\n" + table(dict(self._zones))
        text += "[listen]\n" + table(
            {
                "front": f"{HOST}:{self.front}",
                "ready": f"{HOST}:{self.ready}",
                "control": f"{HOST}:{self.control}",
            }
        )
        text += "[limits]\n" + table(self.limits)
        text += "[bounds]\n" + table(self.bounds)
        text += "[provider]\n" + table({"address": f"{HOST}:{self._store_port}"})
        path = self._folder / f"{self.name}.toml"
        path.write_text(text)
        return path

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment |= {
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "SHALLOTROAD_CONFIG": str(self.write_settings()),
            "SHALLOTROAD_METRICS_PORT": str(self.metrics),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, timeout_s: float = 10.0) -> bool:
        """Return whether the process became ready in time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, TimeoutError
            ):
                reader, writer = await asyncio.open_connection(HOST, self.ready)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in line:
                    return True
            await asyncio.sleep(0.05)
        return False

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def resident_mb(self) -> float:
        """Return the memory of the process in units of a million bytes."""
        if not self.running:
            return 0.0
        with contextlib.suppress(OSError):
            for line in (
                Path(f"/proc/{self.process.pid}/status").read_text().split("\n")
            ):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process if it runs."""
        if self.running:
            self.process.send_signal(number)

    def close(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()


@contextlib.contextmanager
def scratch_folder():
    """Provide a temporary folder that is removed at the end."""
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def registration(
    *, service: str, port: int, zone: str = "bole", slots: int = 128, born: int
) -> dict[str, object]:
    """Return the entry of a replica in the store."""
    return {
        "service": service,
        "address": f"{HOST}:{port}",
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold-remaining-ms": 0,
        "sequence": 1,
        "born": born,
    }
