"""Decodes the TOML settings file that the platform writes for each instance.

Only ``shallotroad-gateway`` uses it. The settings of entries and agents, with an
``Address`` of their own, are in ``config.settings``.
"""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any
from typing import NamedTuple

from shallotroad.platform.exceptions import SettingsError


SETTINGS_PATH_VARIABLE = "SHALLOTROAD_CONFIG"
# The only source of the metrics port; without it there is no separate listener.
METRICS_PORT_VARIABLE = "SHALLOTROAD_METRICS_PORT"
MS_PER_S = 1000.0


class Address(NamedTuple):
    """An IPv4 address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Bounds(NamedTuple):
    """Limits that the deployment guarantees or demands.

    Parameters
    ----------
    grace_s : float
        Time between the signal to stop and the end of the process.
    retry_ratio : float
        Retries that all gateways may send to a service, as a fraction of its requests.
    retry_window_s : float
        Length of the sliding window in which requests and retries are counted.
    retry_slack : float
        Retries that all gateways together may send to a service in a window beyond
        the ratio.
    prefix_reuse_s : float
        Prefix reuse window: for this long after a prompt part was placed on any engine,
        the choice of an engine for another prompt counts it as cached by some engine.
        An engine that does not have the part cached then costs more.
    propagation_s : float
        Time after a change of the store within which every gateway must act on it.
    """

    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    prefix_reuse_s: float = 10.0
    propagation_s: float = 2.0


class InstanceSettings(NamedTuple):
    """Settings of the instance, which is a machine, that the process runs on.

    ``link_mbps`` and ``heartbeat_s`` are decoded but not used.

    Parameters
    ----------
    name, host : str
        Name and IPv4 address of the instance.
    data_centre, region : str
        Where the instance is.
    regions : dict of str to str
        Region of each data centre.
    callers : Address
        Where callers connect.
    readiness : Address
        Where the load balancer checks readiness.
    peers : Address or None
        Where other gateways connect over HTTP for gossip; None when this process does
        not listen for them.
    store : Address
        Address of the platform's store.
    metrics : Address or None
        Where metrics are served in addition to the readiness address; None for no
        such listener.
    seeds : tuple of Address
        Addresses, like ``peers``, of gateways through which this one joins the others
        by gossip over HTTP. Malformed ones are left out.
    internal_ports : tuple of int
        First and last port for the datagrams with which gateways exchange placement
        requests and grants, apart from ``peers``. The first is the UDP port of this
        process on ``host``, and the last is not used. Both are 0 when the file states
        none; then no such socket is opened.
    memory_mb : float
        Memory that the process may use, in MB.
    descriptors : int
        Maximum number of open file descriptors.
    cores : float
        Processor cores that the process may use; may be a fraction.
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
    """Parse an address of the form ``IP:PORT``.

    Raises
    ------
    ValueError
        When the text is not an IPv4 address with a port.
    """
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    digits = [*octets, port]
    if len(octets) != 4 or not all(d.isascii() and d.isdecimal() for d in digits):
        raise ValueError(f"not an address of the form IP:PORT: {text[:40]!r}")
    if any(int(octet) > 255 for octet in octets):
        raise ValueError(f"not an IPv4 address: {text[:40]!r}")
    if len(port) > 5 or not 0 < int(port) < 65536:
        raise ValueError(f"port not between 1 and 65535: {text!r}")
    return Address(host, int(port))


def _decode_bounds(table: dict[str, Any]) -> Bounds:
    """Return the bounds of the file, with the defaults for those that are missing."""
    defaults = Bounds()
    return Bounds(
        grace_s=float(table.get("grace-s", defaults.grace_s)),
        retry_ratio=float(table.get("retry-budget-ratio", defaults.retry_ratio)),
        retry_window_s=float(table.get("budget-window-s", defaults.retry_window_s)),
        retry_slack=float(table.get("budget-slack", defaults.retry_slack)),
        # "again-s" is the prefix reuse window.
        prefix_reuse_s=float(table.get("again-s", defaults.prefix_reuse_s)),
        propagation_s=float(
            table.get("config-propagation-ms", 1000 * defaults.propagation_s)
        )
        / 1000,
    )


def _decode_seeds(values: object) -> tuple[Address, ...]:
    seeds = []
    for value in values if isinstance(values, list) else []:
        try:
            seeds.append(parse_address(str(value)))
        except ValueError:
            continue
    return tuple(seeds)


def _decode_metrics_address(table: dict[str, Any]) -> Address | None:
    """Return the instance's address with the port of the environment.

    None when the port is unset or not a number, or the instance has no address.
    """
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    host = table.get("ip")
    if not port.isdigit() or not isinstance(host, str):
        return None
    return Address(host, int(port))


def decode_settings(table: dict[str, Any]) -> InstanceSettings:
    """Decode the content of the settings file.

    Raises
    ------
    SettingsError
        When a required text or address is missing or malformed; the text lists every
        finding with its location.
    TypeError, ValueError
        When another value, such as a number, is malformed. ``read_settings`` turns
        them into ``SettingsError``.
    """
    findings: list[str] = []

    def require_text(location: str, *path: str) -> str:
        value: Any = table
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        if not isinstance(value, str) or not value:
            findings.append(f"{location}: a non-empty string is required")
            return ""
        return value

    def address(location: str, *path: str) -> Address:
        text = require_text(location, *path)
        try:
            return parse_address(text)
        except ValueError as error:
            if text:
                findings.append(f"{location}: {error}")
            return Address("", 0)

    listen = table.get("listen", {})
    limits = table.get("limits", {})
    ports = table.get("internal-port-range") or [0, 0]
    settings = InstanceSettings(
        name=require_text("node-name", "node-name"),
        host=require_text("ip", "ip"),
        # The platform calls a data centre a zone.
        data_centre=require_text("zone", "zone"),
        region=require_text("region", "region"),
        regions=dict(table.get("zones", {})),
        callers=address("listen.front", "listen", "front"),
        readiness=address("listen.ready", "listen", "ready"),
        peers=(
            address("listen.control", "listen", "control")
            if "control" in listen
            else None
        ),
        # The platform calls its store a provider.
        store=address("provider.address", "provider", "address"),
        metrics=_decode_metrics_address(table),
        seeds=_decode_seeds(table.get("seeds")),
        internal_ports=(int(ports[0]), int(ports[1])),
        memory_mb=float(limits.get("memory-mb", 300)),
        descriptors=int(limits.get("max-fds", 4096)),
        cores=float(limits.get("cpu-share", 1.0)) * float(limits.get("cores", 1)),
        link_mbps=float(limits.get("link-mbps", 1000.0)),
        heartbeat_s=float(table.get("heartbeat-ms", 1200)) / MS_PER_S,
        first_start=bool(table.get("bootstrap", False)),
        bounds=_decode_bounds(table.get("bounds", {})),
    )
    if findings:
        raise SettingsError("; ".join(findings))
    return settings


def read_settings(path: Path | None = None) -> InstanceSettings:
    """Read and check the settings file.

    Parameters
    ----------
    path : Path or None
        The file; None reads the file that SHALLOTROAD_CONFIG names.

    Raises
    ------
    SettingsError
        When the file can't be read, or a required value is missing or malformed.
    """
    file_path = path or Path(os.environ.get(SETTINGS_PATH_VARIABLE, ""))
    try:
        table = tomllib.loads(file_path.read_text())
        return decode_settings(table)
    except (OSError, tomllib.TOMLDecodeError, TypeError, ValueError) as error:
        raise SettingsError(f"{file_path}: {error}") from error
