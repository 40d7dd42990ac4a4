"""Starts real gateway processes between stand-ins of the store and endpoints."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import aiohttp

from devtools.dependency_standins import HOST
from devtools.dependency_standins import EndpointStandin
from devtools.dependency_standins import RouteSpec
from devtools.dependency_standins import StoreStandin
from devtools.dependency_standins import make_configuration_document
from devtools.fault_proxy import FaultProxy
from devtools.processes import free_port


if TYPE_CHECKING:
    from collections.abc import Mapping

KEY = "k1"
# Without a certificate bundle to read, a gateway starts about 0.15 s sooner. No
# connection here uses TLS.
NO_CERTIFICATES_ENV = {"SSL_CERT_FILE": "/dev/null", "SSL_CERT_DIR": "/dev/null"}
HEADERS = {"Host": "clinic.example", "Authorization": f"Token {KEY}"}
ROUTES = [
    RouteSpec("/book/", "unsafe", "shop", max_attempts=1),
    RouteSpec("/stock/", "safe", "shop"),
    RouteSpec("/chat/", "streaming", "model", max_attempts=1),
    RouteSpec("/notes/", "streaming", "model", resumable=True),
]


class Response(NamedTuple):
    """A response as its caller received it; ``complete`` unless it was interrupted."""

    status: int
    body: bytes
    complete: bool
    headers: dict[str, str]


class GatewayHarness:
    """The stand-ins, fault proxies and gateway processes of one run.

    Settings and logs of the gateways are written to ``folder``.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.store = StoreStandin()
        self.endpoints: dict[str, EndpointStandin] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self._pidfds: dict[str, int] = {}

    async def add_proxy(self, name: str, port: int) -> FaultProxy:
        """Start a fault proxy that forwards to a port.

        A gateway of the same name that starts later reaches the store through it.
        """
        proxy = FaultProxy(target_host=HOST, target_port=port)
        await proxy.start()
        self.proxies[name] = proxy
        return proxy

    async def add_endpoint(
        self,
        name: str,
        service: str,
        mode: str,
        *,
        proxied: bool = False,
        zone: str = "a",
        software_version: str = "v1",
    ) -> EndpointStandin:
        """Start an endpoint and register it in the store.

        With ``proxied``, it registers with the address of a fault proxy.
        """
        endpoint = EndpointStandin(name=name, service=service, mode=mode, zone=zone)
        endpoint.software_version = software_version
        await endpoint.start()
        self.endpoints[name] = endpoint
        if proxied:
            proxy = await self.add_proxy(name, endpoint.port)
            endpoint.registered_port = proxy.port
        self._register(endpoint)
        endpoint.on_restart = lambda: self._register(endpoint)
        return endpoint

    def _register(self, endpoint: EndpointStandin) -> None:
        self.store.put(f"servers/{endpoint.name}", endpoint.registration())

    def publish(
        self,
        version: int,
        routes: list[RouteSpec] | None = None,
        *,
        keys: Mapping[str, str] | None = None,
        limits: Mapping[str, int] | None = None,
    ) -> None:
        """Publish a configuration of this version, by default with ``ROUTES``.

        ``keys`` maps API keys to teams and has by default ``KEY`` alone. ``limits``
        replaces or adds limits.
        """
        document = make_configuration_document(
            version, routes or ROUTES, keys or {KEY: "clinic"}, limits
        )
        self.store.put("op/config", document)

    def _settings(
        self,
        name: str,
        ports: dict[str, int],
        seeds: list[int],
        limits: Mapping[str, int],
    ) -> Path:
        limit_lines = [f"{key} = {value}\n" for key, value in limits.items()]
        path = self._folder / f"{name}.toml"
        proxy = self.proxies.get(name)
        store_port = proxy.port if proxy is not None else self.store.port
        seed_texts = json.dumps([f"{HOST}:{port}" for port in seeds])
        path.write_text(
            f"bootstrap = {'false' if name in self.ports else 'true'}\n"
            f'node-name = "{name}"\nip = "{HOST}"\nzone = "a"\nregion = "r"\n'
            f"internal-port-range = [{ports['udp']}, {ports['udp']}]\n"
            f"seeds = {seed_texts}\n"
            f'[listen]\nfront = "{HOST}:{ports["front"]}"\n'
            f'ready = "{HOST}:{ports["ready"]}"\n'
            f'control = "{HOST}:{ports["control"]}"\n'
            f'[provider]\naddress = "{HOST}:{store_port}"\n'
            f"[limits]\n{''.join(limit_lines)}"
            "[bounds]\ngrace-s = 6\n"
        )
        return path

    def change_settings(self, name: str, *, budget_slack: int) -> None:
        """Change a bound in the settings file of a gateway, without any signal."""
        path = self._folder / f"{name}.toml"
        kept = [line for line in path.read_text().splitlines() if "slack" not in line]
        new_path = path.with_suffix(".new")
        new_path.write_text("\n".join([*kept, f"budget-slack = {budget_slack}", ""]))
        new_path.replace(path)

    async def start(
        self,
        name: str = "g1",
        seeds: list[int] | None = None,
        *,
        wait: bool = True,
        limits: Mapping[str, int] | None = None,
    ) -> None:
        """Start a gateway; one that ran before gets the same ports.

        ``seeds`` are the control ports of other gateways, ``limits`` those of the
        process by the names of the settings file.
        """
        ports = self.ports.get(name) or {
            kind: free_port() for kind in ("front", "ready", "control", "udp")
        }
        path = self._settings(name, ports, seeds or [], limits or {})
        log = (self._folder / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "shallotroad.gateway.main",
            env={**os.environ, "SHALLOTROAD_CONFIG": str(path), **NO_CERTIFICATES_ENV},
            stdout=log,
            stderr=log,
        )
        log.close()
        self._close_pidfd(name)
        self._pidfds[name] = os.pidfd_open(self.processes[name].pid)
        self.ports[name] = ports
        if wait:
            await self.wait_ready(name)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a gateway that may have ended.

        The signal goes through a pidfd because ``Process.send_signal`` would collect
        the exit code in place of the event loop, which would then report 255.
        """
        try:
            signal.pidfd_send_signal(self._pidfds[name], number)
        except ProcessLookupError:
            return  # The exit code of the process is checked elsewhere.

    def handles_signal(self, name: str, number: signal.Signals) -> bool:
        """Return whether a gateway runs and has installed a handler for a signal."""
        try:
            status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return False
        fields = dict(line.split(":\t", 1) for line in status.splitlines())
        return bool(int(fields["SigCgt"], 16) >> (number - 1) & 1)

    def _close_pidfd(self, name: str) -> None:
        pidfd = self._pidfds.pop(name, None)
        if pidfd is not None:
            os.close(pidfd)

    async def is_ready(self, name: str = "g1") -> bool:
        """Return whether the readiness check of a gateway gives status 200."""
        url = f"http://{HOST}:{self.ports[name]['ready']}/api/readyz"
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_ready(self, name: str) -> None:
        """Wait until a gateway is ready.

        Raises
        ------
        TimeoutError
            When it is not ready within 10 s.
        """
        async with asyncio.timeout(10):
            while not await self.is_ready(name):
                await asyncio.sleep(0.05)

    def read_log(self, name: str = "g1") -> list[dict[str, Any]]:
        """Return the JSON lines that a gateway has logged, of all its runs."""
        text = (self._folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line[:1] == "{"]

    async def dump(self, name: str = "g1") -> dict[str, Any]:
        """Return the debug dump of a gateway."""
        url = f"http://{HOST}:{self.ports[name]['ready']}/debug/dump"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            dump: dict[str, Any] = await response.json()
            return dump

    async def send_request(
        self,
        path: str,
        request_id: str,
        *,
        body: bytes = b"",
        name: str = "g1",
        extra_headers: Mapping[str, str] | None = None,
        **headers: str,
    ) -> Response:
        """Send one request with a deadline of 3 s and return the response.

        The method is GET below ``/stock/`` and POST elsewhere. ``name`` is that of the
        gateway. ``extra_headers`` and ``headers`` replace or add headers; the former
        are for names that are no Python identifiers.

        Raises
        ------
        aiohttp.ClientError
            When no response begins; one that is interrupted is returned as incomplete.
        """
        url = f"http://{HOST}:{self.ports[name]['front']}{path}"
        default_headers = {
            **HEADERS,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
        }
        method = "GET" if path.startswith("/stock/") else "POST"
        received = b""
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method,
                url,
                data=body,
                headers=default_headers | dict(extra_headers or {}) | headers,
            ) as response,
        ):
            try:
                async for chunk in response.content.iter_any():
                    received += chunk
                complete = True
            except aiohttp.ClientError:
                complete = False
            return Response(response.status, received, complete, dict(response.headers))

    async def close(self) -> None:
        """Kill all gateways and close the proxies and stand-ins."""
        for name, process in self.processes.items():
            self.send_signal(name, signal.SIGKILL)
            await process.wait()
            self._close_pidfd(name)
        for proxy in self.proxies.values():
            await proxy.close()
        for endpoint in self.endpoints.values():
            await endpoint.close()
        await self.store.close()
