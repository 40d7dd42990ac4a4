"""Settings of an entry or agent, read from a TOML file and the environment.

Fields of the records are the keys of the file. All faults of a file are reported
together, with line numbers where they can be found. The settings of the gateway, with
an ``Address`` of their own, are in ``platform.settings``.
"""

from __future__ import annotations

import os
import re
import tomllib
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.exceptions import Finding
from shallotroad.config.structure import structure


if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

ENVIRONMENT_PREFIX = "SHALLOTROAD_"
# Table and key that an environment variable overrides, by name without the prefix.
ENVIRONMENT_OVERRIDES = {
    "NAME": ("process", "name"),
    "DATA_CENTRE": ("process", "data_centre"),
    "PLATFORM_URL": ("platform", "url"),
    "FLEET_KEY": ("security", "fleet_key"),
    "LOG_LEVEL": ("log", "level"),
}


class Process(NamedTuple):
    """Name of the process in the instance list, and its data centre."""

    name: str
    data_centre: str


class Address(NamedTuple):
    """A TCP address to listen on."""

    host: str
    port: int


class PlatformSettings(NamedTuple):
    """Base URL of the platform's read-only services and their request timeout."""

    url: str
    timeout_s: float = 2.0


class Security(NamedTuple):
    """Secrets that the processes of one fleet share."""

    fleet_key: str


class LogSettings(NamedTuple):
    """Log level, and whether log lines are JSON objects."""

    level: str = "INFO"
    json: bool = False


class Seeds(NamedTuple):
    """Addresses of peers that are asked for the configuration at startup.

    Each is the ``host:port`` of a gRPC server. An entry asks all of them and the
    processes of the instance list, an agent asks only ``entries``.
    """

    agents: tuple[str, ...] = ()
    entries: tuple[str, ...] = ()


class EntryLimits(NamedTuple):
    """Limits of an entry towards callers, and on its connections to agents.

    Parameters
    ----------
    body_bytes : int
        Maximum size of a request body.
    open_requests : int
        Maximum number of requests that are open at a time.
    slow_caller_s : float
        Timeout of one write to a caller that does not read its response.
    peers_per_target : int
        Maximum number of agents to connect to for each model or service.
    """

    body_bytes: int = 1_000_000
    open_requests: int = 2_000
    slow_caller_s: float = 60.0
    peers_per_target: int = 8


class EntrySettings(NamedTuple):
    """Settings of ``shallotroad-entry``.

    ``callers`` is the address of its HTTP server for callers, and ``peers`` that of its
    gRPC server for other entries and agents.
    """

    process: Process
    callers: Address
    peers: Address
    platform: PlatformSettings
    security: Security
    limits: EntryLimits = EntryLimits()
    seeds: Seeds = Seeds()
    log: LogSettings = LogSettings()


class EndpointSettings(NamedTuple):
    """The endpoint that an agent serves, and the limits of its work.

    Parameters
    ----------
    url : str
        Base URL of the endpoint.
    serves : tuple of str
        Names of the models or services that it serves.
    kind : str
        ``engine`` for a model server, whose running requests may be preempted. Any
        other text is accepted, and such an endpoint's requests are not preempted.
    max_running, floor_running : int
        Upper and lower bound of the adaptive limit on concurrent requests.
    max_queued : int
        Queue capacity that all tiers share, beyond the
        ``RESERVED_CAPACITY_PER_TIER`` of ``agent.queue`` that each tier has.
    answer_bytes : int
        Maximum size of one buffered response; a larger one fails.
    answers_bytes : int
        Bound on all buffered responses together. Those of ended requests are kept
        for entries that reconnect or retry, and are evicted early beyond the bound.
    """

    url: str
    serves: tuple[str, ...]
    kind: str = "engine"
    max_running: int = 8
    max_queued: int = 64
    floor_running: int = 2
    answer_bytes: int = 4_000_000
    answers_bytes: int = 48_000_000


class AgentSettings(NamedTuple):
    """Settings of ``shallotroad-agent``.

    ``listen`` is the address of its gRPC server, and ``status`` that of the HTTP
    server for health, readiness, metrics and the debug dump.
    """

    process: Process
    listen: Address
    status: Address
    platform: PlatformSettings
    security: Security
    endpoint: EndpointSettings
    seeds: Seeds = Seeds()
    log: LogSettings = LogSettings()


SettingsT = TypeVar("SettingsT", EntrySettings, AgentSettings)


def _line_suffix(text: str, location: str) -> str:
    """Return the line of a location in the file as `` (line N)``, or an empty text."""
    key = location.rsplit(".", 1)[-1].split("[", 1)[0]
    pattern = re.compile(rf"^\s*\[?{re.escape(key)}\b")
    for number, line in enumerate(text.splitlines(), start=1):
        if pattern.match(line):
            return f" (line {number})"
    return ""


def _apply_environment(data: dict[str, Any], environment: Mapping[str, str]) -> None:
    for name, (table, key) in ENVIRONMENT_OVERRIDES.items():
        value = environment.get(ENVIRONMENT_PREFIX + name)
        if value is not None:
            data.setdefault(table, {})[key] = value


def _read(path: Path) -> tuple[str, dict[str, Any]]:
    """Return the text of a TOML file and its decoded content.

    Raises ``ConfigInvalidError`` when the file can't be read or is not TOML.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return text, tomllib.loads(text)
    except OSError as error:
        message = f"can't be read ({error.strerror}); check the path"
        finding = Finding(location=str(path), message=message)
    except tomllib.TOMLDecodeError as error:
        finding = Finding(location=str(path), message=f"not TOML: {error}")
    raise ConfigInvalidError(f"{path} is not valid", [finding])


def load_settings(
    path: Path,
    settings_type: type[SettingsT],
    *,
    environment: Mapping[str, str] = os.environ,
) -> SettingsT:
    """Read and validate the settings of a process.

    The environment takes precedence over the file, and the file over defaults.

    Parameters
    ----------
    path : Path
        TOML file.
    settings_type : type
        ``EntrySettings`` or ``AgentSettings``.
    environment : Mapping[str, str]
        Environment variables; those of ``ENVIRONMENT_OVERRIDES`` are used.

    Raises
    ------
    ConfigInvalidError
        With every finding, when the file can't be read or is invalid.
    """
    text, data = _read(path)
    _apply_environment(data, environment)
    try:
        return structure(data, settings_type, source=str(path))
    except ConfigInvalidError as error:
        findings = [
            Finding(
                location=item.location + _line_suffix(text, item.location),
                message=item.message,
            )
            for item in error.exceptions
            if isinstance(item, Finding)
        ]
        raise ConfigInvalidError(f"{path} is not valid", findings) from None
