"""State dump and gauges of an entry, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aioprometheus import Gauge


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.entry.factory import Components


def dump_entry(components: Components) -> dict[str, Any]:
    """Return the state of an entry as JSON-compatible data, for ``/debug/dump``.

    ``refused_revisions`` maps the latest rejected revision to its findings and is empty
    if none was rejected. ``leaving`` tells whether the entry drains, ``outcomes``
    counts finished requests by ``outcome:code`` and ``suspects`` the requests with a
    crash count. ``peers`` has a row for each agent that the entry connects to: its
    state, the attempts in flight and the fields of ``ReportedLoad``.
    """
    process = components.settings.process
    return {
        "role": "entry",
        "instance": process.name,
        "data_centre": process.data_centre,
        "revision": components.config.revision,
        "refused_revisions": components.config.rejected_revisions,
        "leaving": components.context.draining,
        "open_requests": components.context.open_requests,
        "outcomes": components.context.request_metrics.totals,
        "retries": components.context.dispatcher.retries,
        "suspects": components.suspects.count(),
        "platform_reads": components.platform.request_count,
        "listed_instances": len(components.directory.instances),
        "peers": [
            {
                "instance": peer.name,
                "address": peer.address,
                "connected": peer.connected,
                "incarnation": peer.incarnation,
                "in_flight": len(peer.attempts),
                **peer.load._asdict(),
            }
            for peer in components.peers
        ],
    }


def register_gauges(components: Components) -> Callable[[], None]:
    """Register the gauges of an entry and return a function that updates them.

    The function is called before each read of ``/metrics``. Gauge ``shallotroad_entry``
    has the label ``name`` with the values ``revision``, ``open_requests``,
    ``connected_agents``, ``retries`` and ``platform_reads``.
    """
    gauge = Gauge(
        "shallotroad_entry", "State of an entry, by name", registry=components.registry
    )

    def update_gauges() -> None:
        gauge.set({"name": "revision"}, components.config.revision)
        gauge.set({"name": "open_requests"}, components.context.open_requests)
        gauge.set({"name": "connected_agents"}, len(components.peers.connected()))
        gauge.set({"name": "retries"}, components.context.dispatcher.retries)
        gauge.set({"name": "platform_reads"}, components.platform.request_count)

    return update_gauges
