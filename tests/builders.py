from __future__ import annotations

from typing import Any

from shallotroad.agent.job import Job
from shallotroad.agent.job import JobState
from shallotroad.protocol.idempotency_key import IdempotencyKey
from shallotroad.protocol.peer_pb2 import Offer


def make_idempotency_key(**changes: Any) -> IdempotencyKey:
    key = IdempotencyKey(
        nonce="n1",
        team="clinic",
        target="shop",
        owner="agent-1",
        incarnation="i1",
        expires_at_s=1000.0,
    )
    return key._replace(**changes)


def make_offer(**changes: Any) -> Offer:
    values: dict[str, Any] = {
        "attempt": "a1",
        "request": "r1",
        "team": "clinic",
        "request_class": "chat",
        "tier": 0,
        "preemptible": False,
        "repeatable": True,
        "wait_budget_s": 10.0,
        "run_budget_s": 60.0,
        "target": "aftercare",
        "streamed": True,
        "revision": 1,
        "method": "POST",
        "path": "/v1/chat/completions",
        "first_token_s": 1.0,
    }
    return Offer(**{**values, **changes})


def make_job(**changes: Any) -> Job:
    job = Job(offer=make_offer(**changes), key=None, limit_bytes=1000, now_s=0.0)
    job.state = JobState.RUNNING
    return job
