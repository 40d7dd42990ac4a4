"""Sample fleet with two data centres for the demo, tests and experiments."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING
from typing import Any

from devtools.processes import LocalFleet


if TYPE_CHECKING:
    from collections.abc import Sequence

DATA_CENTRES = ("amman-1", "amman-2")
MODEL = "aftercare"
SERVICE = "shop"
TEAM = "clinic"
TEAM_KEY = "clinic-key"
OTHER_TEAM = "studio"
OTHER_KEY = "studio-key"


def hash_key(key: str) -> str:
    """Return the SHA-256 digest of an API key, as the configuration lists it."""
    return hashlib.sha256(key.encode()).hexdigest()


def fleet_value(
    *,
    closed_data_centres: Sequence[str] = (),
    closed_instances: Sequence[str] = (),
) -> str:
    """Return the configuration value ``fleet`` as JSON text."""
    value = {
        "data_centres": list(DATA_CENTRES),
        "models": [MODEL],
        "services": [SERVICE],
        "closed_data_centres": list(closed_data_centres),
        "closed_instances": list(closed_instances),
    }
    return json.dumps(value)


def team_values(
    name: str = TEAM, key: str = TEAM_KEY, **changes: Any
) -> dict[str, str]:
    """Return a team's configuration value under its configuration key.

    ``changes`` replaces or adds fields of the value.
    """

    def request_class(
        name: str, tier: int, first_ms: int, deadline_s: float, tokens: int
    ) -> dict[str, Any]:
        return {
            "name": name,
            "tier": tier,
            "models": [MODEL],
            "first_token_ms": first_ms,
            "between_tokens_ms": 100,
            "deadline_s": deadline_s,
            "max_tokens": tokens,
            "preemptible": tier > 0,
        }

    value: dict[str, Any] = {
        "name": name,
        "keys_sha256": [hash_key(key)],
        "data_centres": list(DATA_CENTRES),
        "limits": {"requests_per_s": 500, "burst_requests": 500},
        "classes": [
            request_class("chat", 0, 1800, 10, 128),
            request_class("summary", 1, 4000, 30, 512),
            request_class("draft", 3, 15000, 120, 4096),
        ],
        "services": [
            {
                "name": SERVICE,
                "tier": 1,
                "deadline_s": 10,
                "calls": [
                    {"method": "POST", "path": "/bookings", "repeatable": False},
                    {"method": "GET", "path": "/stock", "repeatable": True},
                ],
            }
        ],
    }
    value.update(changes)
    return {f"team/{name}": json.dumps(value)}


def initial_values() -> dict[str, str]:
    """Return the configuration values of the first revision."""
    values = {"fleet": fleet_value()}
    values.update(team_values())
    values.update(team_values(OTHER_TEAM, OTHER_KEY))
    return values


def start_fleet(
    *,
    engines: int = 3,
    services: int = 1,
    entries: int = 2,
    entry_ports: Sequence[int] = (),
    engine_options: Sequence[str] = (),
    **fleet_options: Any,
) -> LocalFleet:
    """Start all processes of a fleet and return it once all are ready."""
    fleet = LocalFleet(**fleet_options)
    try:
        fleet.start_platform()
        fleet.publish(initial_values())
        for number in range(1, engines + 1):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            engine = fleet.start_engine(f"engine-{number}", *engine_options, wait=False)
            fleet.start_agent(
                f"assistant-{number}", data_centre, engine, [MODEL], wait=False
            )
        for number in range(1, services + 1):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            service = fleet.start_service(f"shop-{number}", wait=False)
            fleet.start_agent(
                f"shop-agent-{number}", data_centre, service, [SERVICE], wait=False
            )
        for number in range(1, entries + 1):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            port = entry_ports[number - 1] if number <= len(entry_ports) else 0
            fleet.start_entry(f"entry-{number}", data_centre, port=port, wait=False)
        fleet.wait_all_ready()
    except BaseException:
        fleet.close()
        raise
    return fleet
