"""Tells crashes of endpoints from resets of single connections.

Both end an attempt with ``ConnectionLostError``. After a crash, the endpoint's address
accepts no connection until the endpoint has started again; after a reset it does.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.observability.event_log import log_event
from shallotroad.upstream.connection import connect
from shallotroad.upstream.exceptions import ConnectError


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from shallotroad.catalog.endpoint import EndpointRecord
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.metrics import GatewayMetrics

# An attempt is proven once its stream has gone on for this long after the first event,
# or its response is complete: what it sent did not crash the endpoint.
PROOF_S = 0.5
# The connections that a crash ends are lost within this time of each other.
CONFIRMATION_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 0.4
# Requests that one log line names.
MAX_LOGGED_REQUESTS = 8


class Incarnation(NamedTuple):
    """One run of an endpoint's process.

    ``started_at_ms`` is the Unix time of its start; 0 when it is not stated.
    """

    endpoint: str
    started_at_ms: int


class LostAttempt(NamedTuple):
    """An attempt that ended with its connection."""

    job: Job
    lost_s: float
    proven: bool


async def accepts_connections(host: str, port: int) -> bool:
    """Return whether a connection to an address can be established."""
    try:
        connection = await connect(host, port, timeout_s=CONNECT_TIMEOUT_S)
    except ConnectError:
        return False
    connection.close()
    return True


class AttemptWatch:
    """What the crash monitor knows of one attempt."""

    def __init__(
        self, *, monitor: CrashMonitor, job: Job, record: EndpointRecord
    ) -> None:
        self._monitor = monitor
        self.job = job
        self.record = record
        self.proven = False

    @property
    def incarnation(self) -> Incarnation:
        """The run of the endpoint at which the attempt was made."""
        return Incarnation(self.record.identifier, self.record.started_at_ms)

    def record_events(self, since_first_event_s: float) -> None:
        """Record events that arrived so long after the first one."""
        if since_first_event_s >= PROOF_S:
            self.proven = True

    def record_complete(self) -> None:
        """Record a complete response whose end the connection has outlived."""
        self.proven = True

    def record_connection_lost(self) -> None:
        """Record that the connection ended before the response."""
        self._monitor.record_connection_lost(self)


class CrashMonitor:
    """Classifies lost connections and logs crashes of endpoints.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time in seconds.
    accepts : callable
        Returns whether an address, host and port, accepts connections.
    """

    def __init__(
        self,
        *,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        accepts: Callable[[str, int], Awaitable[bool]] = accepts_connections,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._accepts = accepts
        self._lost: dict[Incarnation, list[LostAttempt]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def watch(self, job: Job, record: EndpointRecord) -> AttemptWatch:
        """Return the watch of a new attempt of a job at an endpoint."""
        return AttemptWatch(monitor=self, job=job, record=record)

    def record_connection_lost(self, watch: AttemptWatch) -> None:
        """Note a lost attempt; the first of an endpoint starts the classification."""
        lost = self._lost.get(watch.incarnation)
        if lost is None:
            lost = self._lost[watch.incarnation] = []
            task = asyncio.create_task(self._classify(watch.record))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        lost.append(LostAttempt(watch.job, self._clock(), watch.proven))

    async def _classify(self, record: EndpointRecord) -> None:
        """Find out why the connections to an endpoint were lost, and log it."""
        incarnation = Incarnation(record.identifier, record.started_at_ms)
        await asyncio.sleep(CONFIRMATION_DELAY_S)
        accepts = await self._accepts(record.host, record.port)
        lost = self._lost.pop(incarnation)
        cause = "reset" if accepts else "leaving" if record.draining else "crash"
        self._metrics.endpoint_losses.inc({"cause": cause})
        unproven = [attempt.job for attempt in lost if not attempt.proven]
        log_event(
            "endpoint crashed" if cause == "crash" else "endpoint connections lost",
            endpoint=record.identifier,
            started_at_ms=record.started_at_ms,
            cause=cause,
            proven=len(lost) - len(unproven),
            unproven=[
                {
                    "request": job.request.request_id,
                    "parts": [part.identifier for part in job.profile.parts[:-1]],
                }
                for job in unproven[:MAX_LOGGED_REQUESTS]
            ],
        )
