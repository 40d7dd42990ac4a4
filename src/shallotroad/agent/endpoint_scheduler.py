"""Admission, queueing and execution of the requests of one endpoint.

Every entry offers its requests to the agent beside an endpoint, and only the
scheduler in that agent decides what the endpoint runs. An offer becomes a job,
waits in a queue that is ordered by tier, and starts when one of a bounded number
of permits is free. At an engine, a running job of a lower tier can be paused for it.

A request that was running when an endpoint crashed is a suspect, known by its
fingerprint. It is admitted only as exclusive, and refused as poison after
``policy.suspects.POISON_CRASHES`` crashes, until its crash record expires or is
cleared.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from loguru import logger

from shallotroad.agent.exceptions import OfferRefusedError
from shallotroad.agent.job import Job
from shallotroad.agent.job import JobState
from shallotroad.agent.job_store import JobStore
from shallotroad.agent.offer_idempotency import OfferIdempotency
from shallotroad.agent.offer_validation import check_offer
from shallotroad.agent.permits import Permits
from shallotroad.agent.queue import QueuedRequest
from shallotroad.agent.queue import WorkQueue
from shallotroad.agent.response_buffer import Result
from shallotroad.agent.runner import run_job
from shallotroad.agent.scheduling_policy import ServiceTime
from shallotroad.agent.scheduling_policy import choose_next
from shallotroad.agent.scheduling_policy import choose_victim
from shallotroad.agent.scheduling_policy import expected_wait_s
from shallotroad.agent.scheduling_policy import first_not_bypassed
from shallotroad.agent.token_interval import EndpointTokenInterval
from shallotroad.policy.suspects import Suspects
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from shallotroad.agent.endpoint_client import EndpointClient
    from shallotroad.agent.offer_validation import AgentIdentity
    from shallotroad.config.fleet_config import FleetConfig
    from shallotroad.config.settings import EndpointSettings
    from shallotroad.config.versioned_config import VersionedConfig
    from shallotroad.protocol.idempotency_key import IdempotencyKey
    from shallotroad.protocol.peer_pb2 import Offer

SWEEP_INTERVAL_S = 0.25
PROBE_INTERVAL_S = 0.5


class Counters(NamedTuple):
    """Totals since the start of the process.

    Parameters
    ----------
    started : int
        Jobs started for the first time, including those that ended as refused
        because the endpoint could not be reached. A resume does not count.
    ended : int
        Started jobs that ended in any way but as refused: complete, failed,
        crashed or cancelled.
    refused : int
        Attempts refused at or after their offer. Repeating a recorded refusal does
        not count, nor does refusing an attempt that was cancelled before its offer
        arrived. An attempt that is shed on its own admission counts twice.
    paused, resumed : int
        Pauses and resumes of running jobs; a job paused twice counts twice.
    turns : int
        Starts and resumes in the aging slot.
    wasted_chunks : int
        Response chunks that were buffered when their job ended as failed, crashed
        or cancelled.
    """

    started: int = 0
    ended: int = 0
    refused: int = 0
    paused: int = 0
    resumed: int = 0
    turns: int = 0
    wasted_chunks: int = 0


class EndpointScheduler:
    """Admits, queues, runs, pauses and ends the requests of one endpoint.

    Parameters
    ----------
    identity : AgentIdentity
        Instance, data centre and served targets of the endpoint.
    incarnation : str
        Identifier of this run of the process. All jobs and idempotency records
        are lost when the process restarts under a new one.
    endpoint : EndpointSettings
        Settings of the endpoint.
    client : EndpointClient
        HTTP client of the endpoint.
    config : VersionedConfig
        The fleet configuration that this process has accepted.
    fleet_key : str
        Secret that signs idempotency keys.
    """

    def __init__(
        self,
        *,
        identity: AgentIdentity,
        incarnation: str,
        endpoint: EndpointSettings,
        client: EndpointClient,
        config: VersionedConfig,
        fleet_key: str,
    ) -> None:
        self.identity = identity
        self.incarnation = incarnation
        self.endpoint = endpoint
        self.client = client
        self.config = config
        self.draining = False
        self.endpoint_up = True
        self.permits = Permits(
            floor=endpoint.floor_running, maximum=endpoint.max_running
        )
        self.queue = WorkQueue(shared_capacity=endpoint.max_queued)
        self.idempotency = OfferIdempotency(
            owner=identity.instance, incarnation=incarnation, fleet_key=fleet_key
        )
        self.suspects = Suspects()
        self.service_time = ServiceTime()
        self.jobs = JobStore(limit_bytes=endpoint.answers_bytes)
        self.counters = Counters()
        self.state_changed = asyncio.Event()
        self._closed = False
        self._has_fleet = False
        self._token_interval = EndpointTokenInterval(permits=self.permits)
        config.add_listener(self._apply_fleet)

    def increment_counters(self, **increments: int) -> None:
        """Add to the counters of the given names."""
        old = self.counters._asdict()
        self.counters = Counters(
            **{name: old[name] + increments.get(name, 0) for name in old}
        )

    def running(self) -> list[Job]:
        """Return the running jobs, each of which uses one permit."""
        return [job for job in self.jobs.live() if job.state is JobState.RUNNING]

    @property
    def accepting(self) -> bool:
        """Whether the endpoint takes new requests.

        False while it is down, draining or closed, or without configuration.
        """
        serving = self.endpoint_up and not self.draining and not self._closed
        return serving and self.config.fleet is not None

    def _apply_fleet(self, fleet: FleetConfig) -> None:
        """Close or reopen the endpoint as a newly accepted configuration says.

        Closing refuses the queued requests that have not started; running and paused
        jobs continue. Reopening resets the permits to their floor.
        """
        closed = fleet.is_closed(
            instance=self.identity.instance, data_centre=self.identity.data_centre
        )
        first = not self._has_fleet
        if self._closed and not closed:
            self.permits.reset_to_floor(now_s=time.monotonic())
        if closed and not self._closed:
            self._refuse_all_unstarted(peer_pb2.CLOSED, "the endpoint is taken out")
        if first or closed != self._closed:
            self._has_fleet, self._closed = True, closed
            self.notify_state_changed()

    def notify_state_changed(self) -> None:
        """Wake the tasks that wait for ``state_changed``.

        To be called after every change of ``accepting``. Each call sets the current
        event and replaces it by a new one.
        """
        previous = self.state_changed
        self.state_changed = asyncio.Event()
        previous.set()

    def offer(self, offer: Offer) -> Job:
        """Admit an offer and return its job.

        Idempotent: an offer whose attempt or idempotency key was admitted before
        gets the job of that admission, and a refused attempt is refused again.

        Raises
        ------
        OfferRefusedError
            When the attempt is refused. It has not run and never will. A call
            with the same idempotency key may have run (``KEY_EXPIRED``).
        """
        known = self.jobs.get(offer.attempt)
        if known is not None:
            return known
        refusal = self.jobs.refusal(offer.attempt)
        if refusal is not None:
            raise refusal
        try:
            key = self.idempotency.verified_key(offer)
            job = None if key is None else self._find_admitted(offer, key)
            return job or self._admit(offer, key)
        except OfferRefusedError as error:
            self.jobs.record_refusal(offer.attempt, error)
            self.increment_counters(refused=1)
            raise

    def _admit(self, offer: Offer, key: IdempotencyKey | None) -> Job:
        """Check and enqueue an offer that was not admitted before.

        Raises OfferRefusedError when it is refused. The refusal is recorded here for
        the idempotency key, if the offer has one; ``offer`` records it for the attempt.
        """
        try:
            self._check_admission(offer)
            return self._enqueue(offer, key)
        except OfferRefusedError as error:
            if key is not None:
                self.idempotency.refuse(offer, key, error)
            raise

    def _check_admission(self, offer: Offer) -> None:
        """Raise OfferRefusedError if an offer may not be queued.

        Checks the configuration, the endpoint's state, earlier crashes and, once the
        mean service time is reliable, whether the expected wait is within the
        offer's wait budget.
        """
        check_offer(offer, fleet=self.config.fleet, identity=self.identity)
        self._check_endpoint_state()
        self._check_suspect(offer)
        wait_s = expected_wait_s(
            offer.tier, self.queue, self.permits, self.running(), self.service_time
        )
        if self.service_time.is_reliable and wait_s > offer.wait_budget_s:
            raise OfferRefusedError(
                reason=peer_pb2.DEADLINE,
                detail="it could not start in time",
                retry_after_s=wait_s - offer.wait_budget_s,
            )

    def _find_admitted(self, offer: Offer, key: IdempotencyKey) -> Job | None:
        """Return the job admitted under a key before; None if the key has no record.

        Raises OfferRefusedError when the key may not be used or was refused, and with
        ``KEY_EXPIRED`` when it was admitted but its job is no longer stored.
        """
        attempt = self.idempotency.find(offer, key)
        if attempt is None:
            return None
        job = self.jobs.get(attempt)
        if job is None:
            raise OfferRefusedError(
                reason=peer_pb2.KEY_EXPIRED,
                detail="the call was admitted before; its answer is no longer kept",
            )
        return job

    def _check_endpoint_state(self) -> None:
        """Refuse if the endpoint is draining or down.

        ``check_offer`` refuses if it is closed or has no configuration.
        """
        if self.draining:
            raise OfferRefusedError(
                reason=peer_pb2.LEAVING, detail="the endpoint is leaving"
            )
        if not self.endpoint_up:
            raise OfferRefusedError(
                reason=peer_pb2.BUSY, detail="the endpoint is down", retry_after_s=1.0
            )

    def _check_suspect(self, offer: Offer) -> None:
        """Refuse a poisonous request, and make any other suspect exclusive.

        The crash count is the higher one of the offer's and this agent's record. A
        suspect gets ``alone`` set in its offer, so that it runs with no other request
        beside it and a further crash has no other cause.
        """
        now_s = time.monotonic()
        known = self.suspects.crashes(offer.fingerprint, now_s=now_s)
        crashes = max(offer.crashes, known)
        self.suspects.raise_crash_count(offer.fingerprint, crashes, now_s=now_s)
        if self.suspects.poisonous(offer.fingerprint, now_s=now_s):
            raise OfferRefusedError(
                reason=peer_pb2.POISON,
                detail="this request has crashed endpoints; change it",
            )
        if crashes:
            offer.alone = True

    def _enqueue(self, offer: Offer, key: IdempotencyKey | None) -> Job:
        """Create the job of an offer, queue it and schedule.

        Raises OfferRefusedError when the offer itself is shed from the full queue, or
        no further idempotency record can be kept.
        """
        now_s = time.monotonic()
        job = Job(
            offer=offer,
            key=key,
            limit_bytes=self.endpoint.answer_bytes,
            now_s=now_s,
        )
        if key is not None:
            self.idempotency.admit(offer, key)
        self.jobs.add(job)
        shed = self.queue.push(
            QueuedRequest(
                attempt=job.attempt,
                tier=offer.tier,
                due_s=now_s + offer.first_token_s,
                start_deadline_s=now_s + offer.wait_budget_s,
                waiting_since_s=now_s,
                alone=offer.alone,
            )
        )
        if shed is not None:
            self.refuse_queued(shed, peer_pb2.SHED, "the queue is full")
        refusal = self.jobs.refusal(job.attempt)
        if refusal is not None:
            raise refusal
        self.schedule()
        return job

    def refuse_queued(
        self, queued: QueuedRequest, reason: peer_pb2.RefusalReason, detail: str
    ) -> None:
        """Refuse a request that was removed from the queue before it started.

        The refusal suggests a retry after the mean service time.

        Does nothing when its job is no longer stored.
        """
        job = self.jobs.get(queued.attempt)
        if job is None:
            return
        error = OfferRefusedError(
            reason=reason, detail=detail, retry_after_s=self.service_time.mean_s
        )
        self._refuse_job(job, error)

    def _refuse_job(self, job: Job, error: OfferRefusedError) -> None:
        """Replace a job of which nothing ran by a refusal, and count it.

        The refusal is recorded for the attempt and for the idempotency key, if any.
        """
        if job.key is not None:
            self.idempotency.refuse(job.offer, job.key, error)
        self.jobs.refuse(job, error)
        self.increment_counters(refused=1)

    def _refuse_all_unstarted(
        self, reason: peer_pb2.RefusalReason, detail: str
    ) -> None:
        """Refuse all queued requests but the paused ones, which stay queued."""
        for queued in list(self.queue):
            if not queued.paused:
                self.queue.dequeue(queued)
                self.refuse_queued(queued, reason, detail)

    def schedule(self) -> None:
        """Start and pause jobs until no further change is possible.

        Refuses queued requests whose latest useful start has passed, starts requests
        on free permits. At an engine, it also pauses running jobs for requests of
        higher tiers and when more run than the limit allows.
        """
        now_s = time.monotonic()
        for queued in self.queue.pop_expired(now_s):
            self.refuse_queued(queued, peer_pb2.DEADLINE, "it could not start in time")
        while True:
            decision = choose_next(
                self.queue, self.permits, self.running(), now_s=now_s
            )
            if decision is not None:
                self.queue.dequeue(decision.queued)
                self._start(decision.queued, aging_slot=decision.aging_slot)
            elif not self._preempt_for_head(now_s):
                break
        self._preempt_above_limit()

    def _preempt_for_head(self, now_s: float) -> bool:
        """Pause a running job of a lower tier if the next request needs its permit.

        Returns whether a job was paused. None is paused at an endpoint that is not an
        engine, while a permit is free, or for an exclusive request.
        """
        if self.permits.free or self.endpoint.kind != "engine":
            return False
        head = first_not_bypassed(self.queue, self.running(), now_s)
        if head is None or head.alone:
            return False
        victim = choose_victim(head, self.running())
        if victim is None:
            return False
        self._pause(victim)
        return True

    def _preempt_above_limit(self) -> None:
        """Pause jobs above the limit, which drops when the endpoint turns cold.

        Pauses the pausable jobs of the lowest tier first and, within a tier, the one
        started last. Those that can't be paused run on above the limit. Does nothing at
        an endpoint that is not an engine.
        """
        if self.endpoint.kind != "engine":
            return
        while self.permits.running > self.permits.limit:
            pausable = [job for job in self.running() if job.pausable]
            if not pausable:
                return
            self._pause(max(pausable, key=lambda j: (j.offer.tier, j.started_s)))

    def _pause(self, job: Job) -> None:
        job.state = JobState.PAUSED
        job.was_paused = True
        self.permits.release()
        self.increment_counters(paused=1)
        now_s = time.monotonic()
        self.queue.push(
            QueuedRequest(
                attempt=job.attempt,
                tier=job.offer.tier,
                due_s=now_s,
                start_deadline_s=now_s,
                waiting_since_s=job.admitted_s,
                paused=True,
            )
        )
        self._send_command(job, "pause")

    def _send_command(self, job: Job, command: str) -> None:
        """Send a command for a job in the background, after its earlier commands.

        A command that the endpoint does not confirm is logged and not retried; the
        job keeps its new state.
        """
        previous = job.command_task

        async def send() -> None:
            if previous is not None:
                await previous
            if not await self.client.send_command(job.attempt, command):
                logger.debug(
                    "endpoint did not confirm command {} for attempt {}",
                    command,
                    job.attempt,
                )

        job.command_task = asyncio.create_task(send())

    def _start(self, queued: QueuedRequest, *, aging_slot: bool) -> None:
        """Take a permit and start a job, or resume it if it was paused."""
        job = self.jobs.get(queued.attempt)
        if job is None:
            return
        job.aging_slot = aging_slot
        self.increment_counters(turns=int(aging_slot))
        self.permits.acquire()
        job.state = JobState.RUNNING
        if queued.paused:
            self.increment_counters(resumed=1)
            self._send_command(job, "resume")
            return
        job.started_s = time.monotonic()
        self.increment_counters(started=1)
        job.task = asyncio.create_task(run_job(self, job))

    def finish(self, job: Job, result: Result) -> None:
        """End a started job and schedule others; does nothing if it has ended already.

        A running job releases its permit; a paused one, which holds none, is removed
        from the queue.
        """
        if job.state is JobState.ENDED:
            return
        if job.state is JobState.RUNNING:
            self.permits.release()
        self.queue.remove(job.attempt)
        self.jobs.mark_ended(job)
        self.service_time.observe(job.ended_s - job.started_s)
        self.increment_counters(ended=1)
        if result.outcome != peer_pb2.DONE:
            self.increment_counters(wasted_chunks=len(job.response.chunks))
        job.response.finish(result)
        self.jobs.evict_ended()
        self.schedule()

    def revert_start(self, job: Job, detail: str) -> None:
        """Refuse a started job, as ``BUSY``, of which nothing was sent to the endpoint.

        ``detail`` is the cause in words.
        """
        if job.state is JobState.RUNNING:
            self.permits.release()
        self.queue.remove(job.attempt)
        error = OfferRefusedError(
            reason=peer_pb2.BUSY, detail=detail, retry_after_s=1.0
        )
        self._refuse_job(job, error)
        self.schedule()

    def mark_endpoint_down(self) -> None:
        """Mark the endpoint as down and refuse all requests that have not started.

        Also resets the permits to their floor. Does nothing if it is down already.
        ``probe_periodically`` marks it as up again.
        """
        if self.endpoint_up:
            logger.warning("endpoint {} is down", self.endpoint.url)
            self.endpoint_up = False
            self.permits.reset_to_floor(now_s=time.monotonic())
            self._refuse_all_unstarted(peer_pb2.BUSY, "the endpoint is down")
            self.notify_state_changed()

    def cancel(self, attempt: str, *, linger_s: float = 0.0) -> None:
        """Cancel an attempt.

        A job that has not started is refused as ``CANCELLED``; a running or paused one
        is cancelled at the endpoint and ends as ``GONE``.

        With ``linger_s``, only set ``abandon_at_s`` of the job to so many seconds from
        now: it is then cancelled unless a session reads its response. An attempt
        without a job is refused if its offer still arrives. A request that must not be
        repeated runs to its end once it has started.
        """
        job = self.jobs.get(attempt)
        if job is None:
            self._refuse_future_offer(attempt)
            return
        if job.state is JobState.ENDED:
            return
        if linger_s > 0:
            job.abandon_at_s = time.monotonic() + linger_s
            return
        if job.state is JobState.QUEUED:
            queued = self.queue.remove(attempt)
            if queued is not None:
                self.refuse_queued(queued, peer_pb2.CANCELLED, "it was cancelled")
            return
        if not job.offer.repeatable:
            return
        self._send_command(job, "cancel")
        if job.task is not None:
            job.task.cancel()
        self.finish(job, Result(peer_pb2.GONE, "cancelled"))

    def _refuse_future_offer(self, attempt: str) -> None:
        """Record a refusal for an offer that may arrive after its cancellation."""
        if self.jobs.refusal(attempt) is None:
            error = OfferRefusedError(
                reason=peer_pb2.CANCELLED, detail="it was cancelled"
            )
            self.jobs.record_refusal(attempt, error)

    def start_draining(self) -> None:
        """Take no new requests and refuse those that have not started."""
        self.draining = True
        self._refuse_all_unstarted(peer_pb2.LEAVING, "the endpoint is leaving")
        self.notify_state_changed()

    async def wait_until_drained(self) -> None:
        """Wait until all admitted jobs have ended."""
        while self.jobs.live():
            await asyncio.sleep(SWEEP_INTERVAL_S / 5)

    async def sweep_periodically(self) -> None:
        """Run periodic work on the jobs; never returns.

        Cancels abandoned jobs, measures the token interval, evicts ended jobs and
        expired idempotency records, and schedules.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            for job in self.jobs.live():
                abandoned = job.abandon_at_s is not None and job.abandon_at_s < now_s
                if abandoned and job.open_sender_count == 0:
                    self.cancel(job.attempt)
            self._token_interval.record(self.running(), now_s=now_s)
            self.jobs.evict_ended()
            self.idempotency.evict_expired()
            self.schedule()

    async def probe_periodically(self) -> None:
        """Check the health of the endpoint while it is down; never returns."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self.endpoint_up and await self.client.healthy():
                logger.info("endpoint {} is up again", self.endpoint.url)
                self.permits.reset_to_floor(now_s=time.monotonic())
                self.endpoint_up = True
                self.notify_state_changed()
