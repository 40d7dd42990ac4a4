"""Configurations as the operator writes them to the store."""

from __future__ import annotations

from typing import Any


def configuration_fields(version: int, *, routes: int = 0) -> dict[str, Any]:
    """Return the fields of a configuration; ``routes`` make it large."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number:06}",
                "host": "ficu95.example",
                "prefix": f"/added{number}/",
                "route-type": "safe",
                "timeout-ms": 1_500,
                "target-latency-ms": 223,
                "priority": 2,
                "service": "wuno96b",
                "max-attempts": 2,
                "public": False,
                "session-affinity": False,
                "stream-resume": False,
            }
            for number in range(routes)
        ],
        "services": [{"name": "wuno96b", "health-path": "/healthz"}],
        "limits": {},
        "tenants": [],
    }
