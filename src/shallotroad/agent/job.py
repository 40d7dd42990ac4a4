"""State of one admitted attempt at an agent.

A request is what a caller asks of a model or service; its identifier stays the same
when it is retried. An attempt is one try to run a request at one agent, with an
identifier of its own. An offer is the entry's message that asks the agent to run an
attempt; after a reconnect it is sent again unless the agent has accepted it. A call is
a request to a service; all requests with the same idempotency key are the same call.
A fingerprint is a digest of a request's team, path and body, by which crashes of
endpoints are counted for all its attempts and repetitions.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from shallotroad.agent.response_buffer import ResponseBuffer


if TYPE_CHECKING:
    import asyncio

    from shallotroad.protocol.idempotency_key import IdempotencyKey
    from shallotroad.protocol.peer_pb2 import Offer


class JobState(enum.Enum):
    """Stage of a job; the values appear in the dump."""

    QUEUED = "queued"
    RUNNING = "running"
    PAUSED = "paused"
    ENDED = "ended"


class Job:
    """An attempt from its admission until the job store removes it.

    ``offer`` is the entry's offer, ``key`` its verified idempotency key or None, and
    ``response`` the buffer of its response. A job with a key may lose its response
    before it is removed: see ``JobStore``.

    ``open_sender_count`` is the number of open response senders, which send the
    response to entries. ``abandon_at_s`` is the monotonic time after which the job is
    cancelled while it has no open sender; None for never. A cancellation with
    ``linger_s`` and the end of the last session that reads the job set it, and opening
    a sender sets it to None. ``aging_slot`` is whether the job was started in the aging
    slot. ``started_s`` and ``ended_s`` are monotonic and 0 until the job has started or
    ended. ``limit_bytes`` bounds the size of the response.
    """

    def __init__(
        self,
        *,
        offer: Offer,
        key: IdempotencyKey | None,
        limit_bytes: int,
        now_s: float,
    ) -> None:
        self.offer = offer
        self.key = key
        self.response = ResponseBuffer(limit_bytes=limit_bytes)
        self.state = JobState.QUEUED
        self.admitted_s = now_s
        self.started_s = 0.0
        self.ended_s = 0.0
        self.aging_slot = False
        self.was_paused = False
        self.open_sender_count = 0
        self.abandon_at_s: float | None = None
        self.task: asyncio.Task[None] | None = None
        self.command_task: asyncio.Task[None] | None = None

    @property
    def attempt(self) -> str:
        """Identifier of the attempt."""
        return self.offer.attempt

    @property
    def pausable(self) -> bool:
        """Whether the job may be paused now.

        It must run. Its offer must be preemptible, which is a setting of the request
        class and never true for a service, and repeatable: not bound to run at most
        once. A job in the aging slot may not be paused, since it would starve again.
        """
        offer = self.offer
        running = self.state is JobState.RUNNING
        return (
            running and offer.preemptible and offer.repeatable and not self.aging_slot
        )
