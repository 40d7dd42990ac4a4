"""The state dump and the metrics of an agent, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aioprometheus import Gauge


if TYPE_CHECKING:
    from collections.abc import Callable

    from aioprometheus.collectors import Registry

    from shallotroad.agent.endpoint_scheduler import EndpointScheduler
    from shallotroad.agent.session_registry import SessionRegistry


def dump_agent(
    scheduler: EndpointScheduler, sessions: SessionRegistry
) -> dict[str, Any]:
    """Return the state of an agent as a JSON-compatible object.

    It holds the agent's identity, configuration revision, permits, queue lengths,
    stored jobs, counters and connected entries, but no request or response bodies.
    """
    config = scheduler.config
    return {
        "role": "agent",
        "instance": scheduler.identity.instance,
        "incarnation": scheduler.incarnation,
        "data_centre": scheduler.identity.data_centre,
        "serves": list(scheduler.identity.serves),
        "revision": config.revision,
        "refused_revisions": config.rejected_revisions,
        "accepting": scheduler.accepting,
        "leaving": scheduler.draining,
        "endpoint_up": scheduler.endpoint_up,
        "permits": scheduler.permits.state()._asdict(),
        "queued_by_tier": scheduler.queue.counts_by_tier(),
        "service_s": scheduler.service_time.mean_s,
        "jobs": [
            {
                "attempt": job.attempt,
                "request": job.offer.request,
                "team": job.offer.team,
                "class": job.offer.request_class,
                "tier": job.offer.tier,
                "state": job.state.value,
                "chunks": len(job.response.chunks),
                "turn": job.aging_slot,
            }
            for job in scheduler.jobs
        ],
        "records": len(scheduler.idempotency.records),
        "suspects": scheduler.suspects.count(),
        "counters": scheduler.counters._asdict(),
        "answers_bytes": scheduler.jobs.size_bytes(),
        "sessions": sessions.connected_entries(),
    }


def agent_metrics(
    registry: Registry, scheduler: EndpointScheduler
) -> Callable[[], None]:
    """Register an agent's gauges; return the function that updates their values.

    The function must be called before the registry is read.
    """
    gauge = Gauge("shallotroad_agent", "State of an agent, by name", registry=registry)
    totals = Gauge(
        "shallotroad_agent_total", "Totals since start, by name", registry=registry
    )

    def update_gauges() -> None:
        permits = scheduler.permits.state()
        gauge.set({"name": "running"}, permits.running)
        gauge.set({"name": "limit"}, permits.limit)
        gauge.set({"name": "revision"}, scheduler.config.revision)
        gauge.set({"name": "records"}, len(scheduler.idempotency.records))
        gauge.set({"name": "answers_bytes"}, scheduler.jobs.size_bytes())
        for tier, count in enumerate(scheduler.queue.counts_by_tier()):
            gauge.set({"name": f"queued_tier_{tier}"}, count)
        for name, value in scheduler.counters._asdict().items():
            totals.set({"name": name}, value)

    return update_gauges
