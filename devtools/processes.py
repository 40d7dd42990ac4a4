"""Starts stand-ins, entries and agents as real processes on loopback."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request
from pathlib import Path
from typing import IO
from typing import Any
from typing import NamedTuple


HOST = "127.0.0.1"
# Secret that entries and agents share: they present it in every gRPC call to each
# other and sign idempotency keys with it.
FLEET_KEY = "development-fleet-key"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
# Ports below the ephemeral range, which the kernel gives to client sockets. The end
# is exclusive.
PORT_RANGE_START = 12_000
PORT_RANGE_END = 32_000
READY_PATHS = {
    "platform": "/admin/stats",
    "engine": "/health",
    "service": "/health",
    "agent": "/healthz",
    "entry": "/readyz",
}


class ProcessFailedError(RuntimeError):
    """A process did not become ready, or no port was free for it."""


class ProcessHandle(NamedTuple):
    """A started process and where it listens.

    ``port`` serves callers, or entries in the case of an agent. ``status_port`` serves
    the readiness check and the debug dump; it differs from ``port`` only for agents.
    """

    name: str
    role: str
    process: subprocess.Popen[bytes]
    port: int
    status_port: int


_port_locks: list[IO[str]] = []


def _reserve_port(port: int) -> bool:
    """Lock a port against other test processes; return False if it is in use.

    The lock is on a file and lasts as long as this process.
    """
    folder = Path(tempfile.gettempdir()) / "shallotroad-ports"
    folder.mkdir(exist_ok=True)
    lock = (folder / str(port)).open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        with socket.socket() as probe:
            probe.bind((HOST, port))
    except OSError:
        lock.close()
        return False
    _port_locks.append(lock)
    return True


def free_port() -> int:
    """Return a port that no other test uses, outside of the ephemeral range.

    Raises
    ------
    ProcessFailedError
        When every port of the range is in use.
    """
    first = PORT_RANGE_START + len(_port_locks)
    for port in range(first, PORT_RANGE_END):
        if _reserve_port(port):
            return port
    raise ProcessFailedError("no free port")


def http_json(url: str, data: Any = None, timeout_s: float = 5.0) -> Any:
    """Send one request and return the JSON of its response.

    The method is POST with ``data`` as JSON, or GET when ``data`` is None.

    Raises
    ------
    OSError
        When the connection fails or the status is an error.
    ValueError
        When the response is not JSON.
    """
    body = None if data is None else json.dumps(data).encode()
    request = urllib.request.Request(url, data=body)
    if body is not None:
        request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        return json.loads(response.read())


def _format_toml(tables: dict[str, dict[str, Any]]) -> str:
    lines = []
    for table, values in tables.items():
        lines.append(f"[{table}]")
        for key, value in values.items():
            lines.append(f"{key} = {json.dumps(value)}")
    return "\n".join(lines) + "\n"


class LocalFleet:
    """The processes of a small fleet on this machine.

    Parameters
    ----------
    log_level : str
        Level at which entries and agents log.
    list_lag_s : float
        Time in seconds after which the platform's instance list shows a change.
    disabled : str
        Mechanisms that entries and agents run without, joined by commas; the names
        are in ``devtools.disabled``.
    """

    def __init__(
        self, *, log_level: str = "INFO", list_lag_s: float = 0.3, disabled: str = ""
    ) -> None:
        self._disabled = disabled
        self._folder = tempfile.TemporaryDirectory(prefix="shallotroad-")
        self.folder = Path(self._folder.name)
        self.handles: dict[str, ProcessHandle] = {}
        self._log_level = log_level
        self._list_lag_s = list_lag_s
        self.platform_port = free_port()

    @property
    def platform_url(self) -> str:
        """The base URL of the platform stand-in."""
        return f"http://{HOST}:{self.platform_port}"

    def _spawn(
        self, name: str, role: str, command: list[str], port: int, status_port: int
    ) -> ProcessHandle:
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, *command],
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        log.close()
        handle = ProcessHandle(name, role, process, port, status_port)
        self.handles[name] = handle
        return handle

    def spawn(
        self, name: str, role: str, command: list[str], port: int
    ) -> ProcessHandle:
        """Start another process by its command line and wait until it is ready."""
        handle = self._spawn(name, role, command, port, port)
        self._wait_ready(handle, wait=True)
        return handle

    def read_log(self, name: str) -> str:
        """Return the log of a process, of all its runs."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def wait_http(
        self, handle: ProcessHandle, path: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until a process responds to GET with status 200.

        Raises
        ------
        ProcessFailedError
            When it has ended or is not ready within ``timeout_s``.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if handle.process.poll() is not None:
                break
            try:
                http_json(f"http://{HOST}:{handle.status_port}{path}")
            except (OSError, ValueError):
                time.sleep(0.05)
            else:
                return
        message = f"{handle.name} is not ready: {self.read_log(handle.name)[-2000:]}"
        raise ProcessFailedError(message)

    def _wait_ready(self, handle: ProcessHandle, *, wait: bool) -> None:
        if wait:
            self.wait_http(handle, READY_PATHS[handle.role])

    def wait_all_ready(self) -> None:
        """Wait until every process is ready."""
        for handle in self.handles.values():
            self._wait_ready(handle, wait=True)

    def start_platform(self) -> ProcessHandle:
        """Start the platform stand-in."""
        port = self.platform_port
        command = ["-m", "devtools.platform_standin", "--port", str(port)]
        command += ["--list-lag-s", str(self._list_lag_s)]
        handle = self._spawn("platform", "platform", command, port, port)
        self.wait_http(handle, "/admin/stats")
        return handle

    def start_engine(
        self, name: str, *options: str, port: int = 0, wait: bool = True
    ) -> ProcessHandle:
        """Start an engine stand-in."""
        port = port or free_port()
        command = ["-m", "devtools.engine_standin", "--port", str(port), *options]
        handle = self._spawn(name, "engine", command, port, port)
        self._wait_ready(handle, wait=wait)
        return handle

    def start_service(
        self, name: str, port: int = 0, *, wait: bool = True
    ) -> ProcessHandle:
        """Start a plain service stand-in."""
        port = port or free_port()
        command = ["-m", "devtools.shop_standin", "--port", str(port)]
        handle = self._spawn(name, "service", command, port, port)
        self._wait_ready(handle, wait=wait)
        return handle

    def _common_settings(
        self, name: str, data_centre: str
    ) -> dict[str, dict[str, Any]]:
        return {
            "process": {"name": name, "data_centre": data_centre},
            "platform": {"url": self.platform_url},
            "security": {"fleet_key": FLEET_KEY},
            "log": {"level": self._log_level},
        }

    def start_agent(
        self,
        name: str,
        data_centre: str,
        endpoint: ProcessHandle,
        serves: list[str],
        *,
        registered_port: int = 0,
        port: int = 0,
        register: bool = True,
        wait: bool = True,
        **endpoint_settings: Any,
    ) -> ProcessHandle:
        """Start an agent beside an endpoint and add it to the instance list.

        ``serves`` are the names of the models or services of the endpoint. It is listed
        with ``registered_port`` if that is given, for example the port
        of a fault proxy, and not listed if ``register`` is false. Further arguments
        are settings of the endpoint.
        """
        port = port or free_port()
        status_port = free_port()
        kind = "engine" if endpoint.role == "engine" else "service"
        settings = self._common_settings(name, data_centre)
        settings["listen"] = {"host": HOST, "port": port}
        settings["status"] = {"host": HOST, "port": status_port}
        settings["endpoint"] = {
            "url": f"http://{HOST}:{endpoint.port}",
            "serves": serves,
            "kind": kind,
            **endpoint_settings,
        }
        handle = self._start_process(
            name, "agent", "shallotroad.agent.main", settings, port, status_port
        )
        self._wait_ready(handle, wait=wait)
        if register:
            self.register_instance(
                name, "agent", data_centre, registered_port or port, serves=serves
            )
        return handle

    def start_entry(
        self,
        name: str,
        data_centre: str,
        *,
        port: int = 0,
        wait: bool = True,
        seeds: dict[str, list[str]] | None = None,
        **limits: Any,
    ) -> ProcessHandle:
        """Start an entry, add it to the instance list and optionally await readiness.

        ``seeds`` has the addresses (``host:port``) of ``agents`` and ``entries`` that
        the entry asks for the configuration when it starts. ``limits`` are settings of
        the section of that name; see ``EntryLimits``.
        """
        port = port or free_port()
        peers_port = free_port()
        settings = self._common_settings(name, data_centre)
        settings["callers"] = {"host": HOST, "port": port}
        settings["peers"] = {"host": HOST, "port": peers_port}
        if limits:
            settings["limits"] = limits
        if seeds:
            settings["seeds"] = dict(seeds)
        handle = self._start_process(
            name, "entry", "shallotroad.entry.main", settings, port, port
        )
        self.register_instance(name, "entry", data_centre, peers_port)
        self._wait_ready(handle, wait=wait)
        return handle

    def _start_process(
        self,
        name: str,
        role: str,
        module: str,
        settings: dict[str, dict[str, Any]],
        port: int,
        status_port: int,
    ) -> ProcessHandle:
        return self._spawn_settings(
            name, role, module, _format_toml(settings), port, status_port
        )

    def start_from_text(self, name: str, role: str, settings: str) -> ProcessHandle:
        """Start an entry or agent with settings in TOML, without waiting for it.

        ``role`` is ``entry`` or ``agent``. The ports are those of the settings.
        """
        tables = tomllib.loads(settings)
        if role == "entry":
            port = status_port = tables["callers"]["port"]
        else:
            port = tables["listen"]["port"]
            status_port = tables["status"]["port"]
        module = f"shallotroad.{role}.main"
        return self._spawn_settings(name, role, module, settings, port, status_port)

    def _spawn_settings(
        self,
        name: str,
        role: str,
        module: str,
        settings: str,
        port: int,
        status_port: int,
    ) -> ProcessHandle:
        path = self.folder / f"{name}.toml"
        path.write_text(settings)
        command = ["-c", f"from {module} import main; main()", str(path)]
        if self._disabled:
            command = ["-m", "devtools.disabled", self._disabled, module, str(path)]
        return self._spawn(name, role, command, port, status_port)

    def register_instance(
        self,
        name: str,
        role: str,
        data_centre: str,
        port: int,
        *,
        serves: list[str] | None = None,
        state: str = "live",
    ) -> None:
        """Add an instance to the platform's list, or replace it.

        A platform that is unavailable is ignored. Other processes connect only to
        instances whose ``state`` is ``live``.
        """
        row = {
            "name": name,
            "role": role,
            "data_centre": data_centre,
            "address": f"{HOST}:{port}",
            "state": state,
            "serves": serves or [],
        }
        try:
            http_json(f"{self.platform_url}/admin/instances", {"rows": [row]})
        except OSError:
            return

    def deregister_instance(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        http_json(f"{self.platform_url}/admin/instances", {"removed": [name]})

    def publish(self, changed: dict[str, str], removed: list[str] | None = None) -> int:
        """Publish changed and removed configuration values; return the new revision."""
        data = {"changed": changed, "removed": removed or []}
        response = http_json(f"{self.platform_url}/admin/publish", data)
        return int(response["revision"])

    def set_platform_faults(self, **fault: Any) -> None:
        """Set the platform's faults ``down`` and ``stale_revision``.

        A fault that is not given is cleared.
        """
        http_json(f"{self.platform_url}/admin/fault", fault)

    def dump(self, name: str) -> Any:
        """Return the debug dump of an entry or agent."""
        handle = self.handles[name]
        return http_json(f"http://{HOST}:{handle.status_port}/debug/dump")

    def stats(self, name: str) -> Any:
        """Return the counters of an engine or service."""
        return http_json(f"http://{HOST}:{self.handles[name].port}/stats")

    def platform_stats(self) -> Any:
        """Return the counters of the platform stand-in."""
        return http_json(f"{self.platform_url}/admin/stats")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.handles[name].process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        handle = self.handles.pop(name)
        handle.process.kill()
        handle.process.wait()

    def stop(self, name: str) -> int:
        """Stop a process by SIGTERM and return its exit code.

        Raises
        ------
        TimeoutExpired
            When it still runs after ``STOP_TIMEOUT_S``.
        """
        handle = self.handles.pop(name)
        handle.process.terminate()
        return handle.process.wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill every process and remove the folder of their settings and logs."""
        for handle in self.handles.values():
            if handle.process.poll() is None:
                os.kill(handle.process.pid, signal.SIGCONT)
                handle.process.kill()
        for handle in self.handles.values():
            handle.process.wait()
        self.handles.clear()
        self._folder.cleanup()
