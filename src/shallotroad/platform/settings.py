"""Decodes the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any
from typing import NamedTuple

from shallotroad.platform.exceptions import SettingsError


ENVIRONMENT_VARIABLE = "SHALLOTROAD_CONFIG"
METRICS_PORT_VARIABLE = "SHALLOTROAD_METRICS_PORT"
MS_PER_S = 1000.0


class Address(NamedTuple):
    """An IPv4 address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Bounds(NamedTuple):
    """Promises of the deployment, as times and ratios."""

    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    prefix_reuse_s: float = 10.0


class MachineSettings(NamedTuple):
    """What a process learns of its machine at start.

    Parameters
    ----------
    callers : Address
        Where callers connect.
    readiness : Address
        Where the balancer asks for readiness.
    peers : Address or None
        Where other entries connect.
    store : Address
        The platform's store.
    metrics : Address or None
        Where metrics are read, besides the readiness address.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    name: str
    host: str
    data_centre: str
    region: str
    regions: dict[str, str]
    callers: Address
    readiness: Address
    peers: Address | None
    store: Address
    metrics: Address | None
    seeds: tuple[Address, ...]
    internal_ports: tuple[int, int]
    memory_mb: float
    descriptors: int
    cores: float
    link_mbps: float
    heartbeat_s: float
    first_start: bool
    bounds: Bounds


def parse_address(text: str) -> Address:
    """Return the address in ``IP:PORT``.

    Raises
    ------
    ValueError
        When the text is not an address.
    """
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    if len(octets) != 4 or not all(o.isdigit() and int(o) < 256 for o in octets):
        raise ValueError(f"not an address: {text!r}")
    if not 0 < int(port) < 65536:
        raise ValueError(f"not a port: {text!r}")
    return Address(host, int(port))


def _bounds(table: dict[str, Any]) -> Bounds:
    standard = Bounds()
    return Bounds(
        grace_s=float(table.get("grace-s", standard.grace_s)),
        retry_ratio=float(table.get("retry-budget-ratio", standard.retry_ratio)),
        retry_window_s=float(table.get("budget-window-s", standard.retry_window_s)),
        retry_slack=float(table.get("budget-slack", standard.retry_slack)),
        prefix_reuse_s=float(table.get("again-s", standard.prefix_reuse_s)),
    )


def _seeds(values: object) -> tuple[Address, ...]:
    found = []
    for value in values if isinstance(values, list) else []:
        try:
            found.append(parse_address(str(value)))
        except ValueError:
            continue
    return tuple(found)


def _metrics(table: dict[str, Any]) -> Address | None:
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    host = table.get("ip")
    if not port.isdigit() or not isinstance(host, str):
        return None
    return Address(host, int(port))


def decode_settings(table: dict[str, Any]) -> MachineSettings:
    """Decode the settings into the project's words.

    Raises
    ------
    SettingsError
        With every finding and its place.
    """
    findings: list[str] = []

    def required(location: str, *path: str) -> str:
        value: Any = table
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        if not isinstance(value, str) or not value:
            findings.append(f"{location}: a text is required")
            return ""
        return value

    def address(location: str, *path: str) -> Address:
        text = required(location, *path)
        try:
            return parse_address(text)
        except ValueError as error:
            if text:
                findings.append(f"{location}: {error}")
            return Address("", 0)

    listen = table.get("listen", {})
    limits = table.get("limits", {})
    ports = table.get("internal-port-range") or [0, 0]
    settings = MachineSettings(
        name=required("node-name", "node-name"),
        host=required("ip", "ip"),
        data_centre=required("zone", "zone"),
        region=required("region", "region"),
        regions=dict(table.get("zones", {})),
        callers=address("listen.front", "listen", "front"),
        readiness=address("listen.ready", "listen", "ready"),
        peers=(
            address("listen.control", "listen", "control")
            if "control" in listen
            else None
        ),
        store=address("provider.address", "provider", "address"),
        metrics=_metrics(table),
        seeds=_seeds(table.get("seeds")),
        internal_ports=(int(ports[0]), int(ports[1])),
        memory_mb=float(limits.get("memory-mb", 300)),
        descriptors=int(limits.get("max-fds", 4096)),
        cores=float(limits.get("cpu-share", 1.0)) * float(limits.get("cores", 1)),
        link_mbps=float(limits.get("link-mbps", 1000.0)),
        heartbeat_s=float(table.get("heartbeat-ms", 1200)) / MS_PER_S,
        first_start=bool(table.get("bootstrap", False)),
        bounds=_bounds(table.get("bounds", {})),
    )
    if findings:
        raise SettingsError("; ".join(findings))
    return settings


def read_settings(path: Path | None = None) -> MachineSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        When the file can't be read or a value is missing.
    """
    location = path or Path(os.environ.get(ENVIRONMENT_VARIABLE, ""))
    try:
        table = tomllib.loads(location.read_text())
        return decode_settings(table)
    except (OSError, tomllib.TOMLDecodeError, TypeError, ValueError) as error:
        raise SettingsError(f"{location}: {error}") from error
