"""Settings of a process, read from TOML and checked as a whole."""

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
OVERRIDES = {
    "NAME": ("process", "name"),
    "DATA_CENTRE": ("process", "data_centre"),
    "PLATFORM_URL": ("platform", "url"),
    "FLEET_KEY": ("security", "fleet_key"),
    "LOG_LEVEL": ("log", "level"),
}


class Process(NamedTuple):
    """Who this process is."""

    name: str
    data_centre: str


class Address(NamedTuple):
    """A TCP address to listen on."""

    host: str
    port: int


class PlatformSettings(NamedTuple):
    """Where the platform's read-only services are."""

    url: str
    timeout_s: float = 2.0


class Security(NamedTuple):
    """Secrets that the processes of one fleet share."""

    fleet_key: str


class LogSettings(NamedTuple):
    """How the process logs."""

    level: str = "INFO"
    json: bool = False


class Seeds(NamedTuple):
    """Peers to ask when the platform's list can't be had."""

    agents: tuple[str, ...] = ()
    entries: tuple[str, ...] = ()


class EntryLimits(NamedTuple):
    """Bounds on what callers may send and hold."""

    body_bytes: int = 1_000_000
    open_requests: int = 2_000
    slow_caller_s: float = 60.0
    peers_per_target: int = 8


class EntrySettings(NamedTuple):
    """Settings of ``shallotroad-entry``."""

    process: Process
    callers: Address
    peers: Address
    platform: PlatformSettings
    security: Security
    limits: EntryLimits = EntryLimits()
    seeds: Seeds = Seeds()
    log: LogSettings = LogSettings()


class EndpointSettings(NamedTuple):
    """The endpoint that an agent stands beside."""

    url: str
    serves: tuple[str, ...]
    kind: str = "engine"
    max_running: int = 8
    max_queued: int = 64
    floor_running: int = 2
    answer_bytes: int = 4_000_000
    answers_bytes: int = 48_000_000


class AgentSettings(NamedTuple):
    """Settings of ``shallotroad-agent``."""

    process: Process
    listen: Address
    status: Address
    platform: PlatformSettings
    security: Security
    endpoint: EndpointSettings
    seeds: Seeds = Seeds()
    log: LogSettings = LogSettings()


SettingsT = TypeVar("SettingsT", EntrySettings, AgentSettings)


def _line_of(text: str, location: str) -> str:
    key = location.rsplit(".", 1)[-1].split("[", 1)[0]
    pattern = re.compile(rf"^\s*\[?{re.escape(key)}\b")
    for number, line in enumerate(text.splitlines(), start=1):
        if pattern.match(line):
            return f" (line {number})"
    return ""


def _override(data: dict[str, Any], environment: Mapping[str, str]) -> None:
    for name, (table, key) in OVERRIDES.items():
        value = environment.get(ENVIRONMENT_PREFIX + name)
        if value is not None:
            data.setdefault(table, {})[key] = value


def _read(path: Path) -> tuple[str, dict[str, Any]]:
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
    """Read the settings of a process.

    Values of the environment go before the file, the file before defaults.

    Parameters
    ----------
    path : Path
        TOML file.
    settings_type : type
        ``EntrySettings`` or ``AgentSettings``.
    environment : Mapping[str, str]
        Where overrides are looked up, by ``SHALLOTROAD_`` names.

    Raises
    ------
    ConfigInvalidError
        With every finding and its line where known.
    """
    text, data = _read(path)
    _override(data, environment)
    try:
        return structure(data, settings_type, source=str(path))
    except ConfigInvalidError as error:
        findings = [
            Finding(
                location=item.location + _line_of(text, item.location),
                message=item.message,
            )
            for item in error.exceptions
            if isinstance(item, Finding)
        ]
        raise ConfigInvalidError(f"{path} is not valid", findings) from None
