"""What an entry shows operators: its dump and its metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aioprometheus import Gauge


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.entry.factory import Parts


def dump_entry(parts: Parts) -> dict[str, Any]:
    """Return the state of an entry as plain data."""
    process = parts.settings.process
    return {
        "role": "entry",
        "instance": process.name,
        "data_centre": process.data_centre,
        "revision": parts.config.revision,
        "refused_revisions": parts.config.refused_revisions,
        "leaving": parts.gateway.leaving,
        "open_requests": parts.gateway.open_requests,
        "outcomes": parts.gateway.scoreboard.totals,
        "retries": parts.gateway.dispatcher.retries,
        "suspects": parts.suspects.count(),
        "platform_reads": parts.platform.reads,
        "listed_instances": len(parts.directory.instances),
        "peers": [
            {
                "instance": peer.name,
                "address": peer.address,
                "connected": peer.connected,
                "incarnation": peer.incarnation,
                "in_flight": len(peer.attempts),
                **peer.load._asdict(),
            }
            for peer in parts.peers
        ],
    }


def entry_metrics(parts: Parts) -> Callable[[], None]:
    """Register an entry's gauges; return what brings them up to date."""
    gauge = Gauge(
        "shallotroad_entry", "State of an entry, by name", registry=parts.registry
    )

    def update_gauges() -> None:
        gauge.set({"name": "revision"}, parts.config.revision)
        gauge.set({"name": "open_requests"}, parts.gateway.open_requests)
        gauge.set({"name": "connected_agents"}, len(parts.peers.connected()))
        gauge.set({"name": "retries"}, parts.gateway.dispatcher.retries)
        gauge.set({"name": "platform_reads"}, parts.platform.reads)

    return update_gauges
