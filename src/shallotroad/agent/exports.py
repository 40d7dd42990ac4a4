"""What an agent shows operators: its dump and its metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aioprometheus import Gauge


if TYPE_CHECKING:
    from collections.abc import Callable

    from aioprometheus.collectors import Registry

    from shallotroad.agent.authority import Authority
    from shallotroad.agent.sessions import Sessions


def dump_agent(authority: Authority, sessions: Sessions) -> dict[str, Any]:
    """Return the state of an agent as plain data."""
    config = authority.config
    return {
        "role": "agent",
        "instance": authority.place.instance,
        "incarnation": authority.incarnation,
        "data_centre": authority.place.data_centre,
        "serves": list(authority.place.serves),
        "revision": config.revision,
        "refused_revisions": config.refused_revisions,
        "accepting": authority.accepting,
        "leaving": authority.leaving,
        "endpoint_up": authority.endpoint_up,
        "permits": authority.permits.state()._asdict(),
        "queued_by_tier": authority.queue.counts(),
        "service_s": authority.service.mean_s,
        "jobs": [
            {
                "attempt": job.attempt,
                "request": job.offer.request,
                "team": job.offer.team,
                "class": job.offer.request_class,
                "tier": job.offer.tier,
                "state": job.state.value,
                "chunks": len(job.answer.chunks),
                "turn": job.turn,
            }
            for job in authority.jobs
        ],
        "records": len(authority.keyed.records),
        "suspects": authority.suspects.count(),
        "counters": authority.counters._asdict(),
        "answers_bytes": authority.jobs.size_bytes(),
        "sessions": sessions.names(),
    }


def agent_metrics(registry: Registry, authority: Authority) -> Callable[[], None]:
    """Register an agent's metrics; return what brings them up to date."""
    gauge = Gauge("shallotroad_agent", "State of an agent, by name", registry=registry)
    totals = Gauge(
        "shallotroad_agent_total", "Totals since start, by name", registry=registry
    )

    def update_gauges() -> None:
        permits = authority.permits.state()
        gauge.set({"name": "running"}, permits.running)
        gauge.set({"name": "limit"}, permits.limit)
        gauge.set({"name": "revision"}, authority.config.revision)
        gauge.set({"name": "records"}, len(authority.keyed.records))
        gauge.set({"name": "answers_bytes"}, authority.jobs.size_bytes())
        for tier, count in enumerate(authority.queue.counts()):
            gauge.set({"name": f"queued_tier_{tier}"}, count)
        for name, value in authority.counters._asdict().items():
            totals.set({"name": name}, value)

    return update_gauges
