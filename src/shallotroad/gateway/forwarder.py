"""Carries a job to endpoints until it has an answer or a truthful end.

An attempt ends in one of three ways: answered, not run (stated by the
endpoint, or nothing was sent), or unknown. Only what has not run, or may run
again, is sent to another endpoint.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from shallotroad.catalog.configuration import RouteKind
from shallotroad.gateway.exceptions import BrokenStreamError
from shallotroad.gateway.exceptions import OutcomeUnknownError
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.event_log import log_event
from shallotroad.platform.headers import encode_request_head
from shallotroad.policy.endpoint_load import FIRST_EVENT_MS
from shallotroad.policy.windowed_retry_budget import WindowedRetryBudget
from shallotroad.upstream.exceptions import ConnectError
from shallotroad.upstream.exceptions import ConnectionLostError
from shallotroad.upstream.exceptions import MalformedResponseError


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.coordination.placement_client import PlacementClient
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.gateway.event_stream import EventStreamSplitter
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership
    from shallotroad.gateway.metrics import GatewayMetrics
    from shallotroad.platform.headers import ResponseHead
    from shallotroad.platform.settings import Bounds
    from shallotroad.policy.placement import Placement
    from shallotroad.upstream.connection import EndpointConnection

FINAL_SLACK_S = 0.15  # an answer due now is still worth sending this much later
MAX_SENDS = 4
SERVER_FAILURE = 500  # first status that blames the endpoint
FULL_RETRY_AFTER_S = 0.3  # endpoints that refuse have room again after a few answers
AVOID_S = 1.0  # an endpoint without a connection is left alone for this long
# a request that runs once goes on recently used connections only
NON_REPEATABLE_MAX_IDLE_S = 1.0
REPEATABLE_MAX_IDLE_S = 3.0
ENGINE_PRIORITIES = 10
ROUTE_TIERS = 3  # engine priorities for each tier of teams
# of the time left; then a repeatable request goes elsewhere
FIRST_EVENT_TIMEOUT_SHARE = 0.45
MIN_FIRST_EVENT_TIMEOUT_S = 0.15
NOT_RUN_WEIGHT = 0.5  # of a failure; a full endpoint is not a broken one


class BufferedResponse(NamedTuple):
    """A whole answer that is not a stream."""

    head: ResponseHead
    body: bytes


class Caller(Protocol):
    """Where a stream's answer goes."""

    async def start(self, head: ResponseHead) -> None:
        """Send the head."""

    async def write(self, data: bytes) -> None:
        """Send a piece."""


class NotRunError(Exception):
    """An attempt was refused before it ran."""

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class AttemptOutcomeUnknownError(Exception):
    """An attempt may have run, and brought no whole answer or a failure.

    ``response`` is the endpoint's own failure, to be told if nothing better comes.
    """

    def __init__(
        self, reason: str, *, response: BufferedResponse | None = None
    ) -> None:
        super().__init__(reason)
        self.response = response


class Forwarder:
    """Makes attempts within the retry budget."""

    def __init__(
        self,
        *,
        endpoint_registry: EndpointRegistry,
        placement_client: PlacementClient,
        membership: Membership,
        bounds: Bounds,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        make_splitter: Callable[[], EventStreamSplitter],
    ) -> None:
        self._endpoint_registry = endpoint_registry
        self._placement_client = placement_client
        self._membership = membership
        self.bounds = bounds
        self._metrics = metrics
        self._clock = clock
        self._make_splitter = make_splitter
        self._budgets: dict[str, WindowedRetryBudget] = {}

    def _budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowedRetryBudget(
                ratio=self.bounds.retry_ratio,
                window_s=self.bounds.retry_window_s,
                slack=self.bounds.retry_slack,
            )
        return budget

    async def run(self, job: Job, caller: Caller) -> BufferedResponse | None:
        """Run a job; None when its stream was sent to the caller.

        Raises
        ------
        RefusedError
            When it has not run and will not.
        OutcomeUnknownError
            When it may have run.
        BrokenStreamError
            When a stream that has begun can't be finished.
        """
        self._budget(job.service.name).record_request(self._clock())
        splitter = self._make_splitter() if job.streams else None
        failure: BufferedResponse | None = None
        try:
            while True:
                placement = await self._place(job, splitter)
                try:
                    return await self._attempt(job, placement, caller, splitter)
                except NotRunError as error:
                    self._handle_not_run(job, placement, error, splitter)
                except AttemptOutcomeUnknownError as error:
                    failure = error.response or failure
                    self._handle_outcome_unknown(job, placement, error, splitter)
        except OutcomeUnknownError:
            if failure is None:
                raise
            return failure

    async def _place(self, job: Job, splitter: EventStreamSplitter | None) -> Placement:
        """Place a job; a refusal is told as such only if nothing has run."""
        try:
            return await self._placement_client.place(job)
        except RefusedError:
            if splitter is not None and splitter.started:
                raise BrokenStreamError("no endpoint to resume at") from None
            if job.runs:
                raise OutcomeUnknownError("no endpoint left", status=502) from None
            raise

    def _record_attempt_failure(
        self, job: Job, placement: Placement, outcome: str, why: object
    ) -> None:
        self._metrics.attempts.inc({"end": outcome})
        log_event(
            "attempt failed",
            request=job.request.request_id,
            endpoint=placement.load.record.identifier,
            outcome=outcome,
            why=str(why),
            attempt=len(job.attempts),
        )

    def _handle_not_run(
        self,
        job: Job,
        placement: Placement,
        error: NotRunError,
        splitter: EventStreamSplitter | None,
    ) -> None:
        self._record_attempt_failure(job, placement, "not run", error)
        job.excluded.add(placement.load.record.identifier)
        now_s = self._clock()
        if not error.sent:
            placement.load.avoided_until_s = now_s + AVOID_S
        may_retry = len(job.attempts) < MAX_SENDS and now_s < job.end_s
        if may_retry and error.sent:
            may_retry = self._budget(job.service.name).try_spend(
                gateways=self._membership.limit_divisor(now_s), now_s=now_s
            )
        if may_retry:
            return
        if splitter is not None and splitter.started:
            raise BrokenStreamError("not resumed")
        if job.runs:
            raise OutcomeUnknownError("not repeated", status=502)
        raise RefusedError("endpoints are full", retry_after_s=FULL_RETRY_AFTER_S)

    def _handle_outcome_unknown(
        self,
        job: Job,
        placement: Placement,
        error: AttemptOutcomeUnknownError,
        splitter: EventStreamSplitter | None,
    ) -> None:
        self._record_attempt_failure(job, placement, "unknown", error)
        job.excluded.add(placement.load.record.identifier)
        job.runs += 1
        now_s = self._clock()
        may_retry = (
            job.route.repeatable
            and job.runs < job.route.max_attempts
            and now_s < job.end_s
            and self._budget(job.service.name).try_spend(
                gateways=self._membership.limit_divisor(now_s), now_s=now_s
            )
        )
        if may_retry:
            if splitter is not None:
                splitter.discard_partial()
            return
        if splitter is not None and splitter.started:
            raise BrokenStreamError(str(error))
        late = now_s >= job.end_s
        raise OutcomeUnknownError(str(error), status=504 if late else 502)

    async def _attempt(
        self,
        job: Job,
        placement: Placement,
        caller: Caller,
        splitter: EventStreamSplitter | None,
    ) -> BufferedResponse | None:
        load = placement.load
        identifier = load.record.identifier
        job.attempts.append(identifier)
        job.choices.append(placement.inputs())
        pool = self._endpoint_registry.pool(identifier)
        progress = Progress(
            placement=placement,
            placement_client=self._placement_client,
            clock=self._clock,
        )
        connection: EndpointConnection | None = None
        try:
            if pool is None:
                raise NotRunError("the endpoint is gone", sent=False)
            idle_s = (
                REPEATABLE_MAX_IDLE_S
                if job.route.repeatable
                else NON_REPEATABLE_MAX_IDLE_S
            )
            try:
                connection = await pool.acquire(max_idle_s=idle_s)
                await connection.send(
                    job.request.request_id,
                    self._head(job, identifier, splitter),
                    job.body,
                )
            except ConnectError as error:
                raise NotRunError(str(error), sent=False) from error
            progress.sent_s = self._clock()
            async with asyncio.timeout(
                self._attempt_timeout_s(job, placement)
            ) as timeout:
                response = await self._receive(
                    job, connection, caller, splitter, progress, timeout
                )
            if response is not None and response.head.status >= SERVER_FAILURE:
                progress.failure = 1.0
            else:
                progress.success = True
            self._metrics.attempts.inc({"end": "answered"})
            pool.release(connection)
            connection = None
            return response
        except (ConnectionLostError, MalformedResponseError) as error:
            progress.failure = 1.0
            raise AttemptOutcomeUnknownError(str(error)) from error
        except TimeoutError:
            if not progress.started_s:
                progress.failure = 1.0
            raise AttemptOutcomeUnknownError("no answer in time") from None
        except NotRunError:
            progress.failure = NOT_RUN_WEIGHT
            raise
        finally:
            if connection is not None:
                if connection.usable and progress.ended:
                    assert pool is not None
                    pool.release(connection)
                else:
                    connection.close()
            first = len(job.attempts) == 1
            progress.record_end(learn=first and job.service.engine is not None)

    def _attempt_timeout_s(self, job: Job, placement: Placement) -> float:
        remaining_s = job.end_s + FINAL_SLACK_S - self._clock()
        may_retry = job.route.repeatable and job.runs + 1 < job.route.max_attempts
        if not may_retry:
            return remaining_s
        expected_s = (placement.backlog_ms + placement.prefill_ms) / 1000
        first_event_timeout_s = max(
            MIN_FIRST_EVENT_TIMEOUT_S,
            FIRST_EVENT_TIMEOUT_SHARE * remaining_s,
            3 * expected_s,
        )
        return min(remaining_s, first_event_timeout_s)

    def _head(
        self, job: Job, endpoint: str, splitter: EventStreamSplitter | None
    ) -> bytes:
        last_event_id = job.request.last_event_id if job.route.resumable else ""
        if splitter is not None and splitter.last_event_id:
            last_event_id = splitter.last_event_id
        return encode_request_head(
            job.request,
            body_bytes=len(job.body),
            endpoint=endpoint,
            team=job.team.name if job.team is not None else "",
            remaining_ms=(job.deadline_s - self._clock()) * 1000,
            engine_priority=(
                min(ENGINE_PRIORITIES - 1, ROUTE_TIERS * job.tier + job.route.tier)
                if job.service.engine is not None
                else None
            ),
            last_event_id=last_event_id,
        )

    async def _receive(
        self,
        job: Job,
        connection: EndpointConnection,
        caller: Caller,
        splitter: EventStreamSplitter | None,
        progress: Progress,
        timeout: asyncio.Timeout,
    ) -> BufferedResponse | None:
        head = await connection.head()
        if head.not_run:
            await self._read_body(connection)
            progress.ended = True
            raise NotRunError(f"status {head.status}", sent=True)
        if head.encoded or not head.signed:
            raise MalformedResponseError(f"status {head.status} without a signature")
        if not (job.streams and head.status < 300):
            body = await self._read_body(connection)
            progress.ended = True
            if head.length is not None and head.length != len(body):
                raise ConnectionLostError("the body ends early")
            progress.record_first_event()
            response = BufferedResponse(head, body)
            if splitter is not None and splitter.started:
                raise AttemptOutcomeUnknownError(
                    f"status {head.status} instead of the rest"
                )
            if head.status >= SERVER_FAILURE and self._worth_retrying(job):
                self._endpoint_registry.record_failure(job.attempts[-1])
                raise AttemptOutcomeUnknownError(
                    f"status {head.status}", response=response
                )
            return response
        assert splitter is not None
        await self._stream(job, connection, caller, splitter, progress, timeout, head)
        return None

    def _worth_retrying(self, job: Job) -> bool:
        return (
            job.route.kind is RouteKind.IDEMPOTENT
            and job.runs + 1 < job.route.max_attempts
            and self._clock() < job.end_s
        )

    async def _read_body(self, connection: EndpointConnection) -> bytes:
        chunks = []
        while chunk := await connection.read():
            chunks.append(chunk)
        return b"".join(chunks)

    async def _stream(
        self,
        job: Job,
        connection: EndpointConnection,
        caller: Caller,
        splitter: EventStreamSplitter,
        progress: Progress,
        timeout: asyncio.Timeout,
        head: ResponseHead,
    ) -> None:
        received = 0
        while chunk := await connection.read():
            received += len(chunk)
            events = splitter.feed(chunk)
            if not events:
                continue
            if not progress.started_s:
                progress.record_first_event()
                remaining_s = job.end_s + FINAL_SLACK_S - self._clock()
                timeout.reschedule(asyncio.get_running_loop().time() + remaining_s)
                if not splitter.started:
                    splitter.started = True
                    await caller.start(head)
            await caller.write(events)
        if head.length is not None and head.length != received:
            raise ConnectionLostError("the stream ends early")
        rest = splitter.flush()
        if not splitter.started:
            splitter.started = True
            await caller.start(head)
        if rest:
            await caller.write(rest)
        progress.ended = True


class Progress:
    """How far an attempt came; tells the endpoint's account of it."""

    def __init__(
        self,
        *,
        placement: Placement,
        placement_client: PlacementClient,
        clock: Callable[[], float],
    ) -> None:
        self._placement = placement
        self._placement_client = placement_client
        self._clock = clock
        self.sent_s = clock()
        self.started_s = 0.0
        self.ended = False
        self.success = False
        self.failure = 0.0

    @property
    def _first_event_ms(self) -> float:
        return (self.started_s - self.sent_s) * 1000

    def record_first_event(self) -> None:
        """Note that the endpoint has begun to answer."""
        if not self.started_s:
            self.started_s = self._clock()
            self._placement.load.record_first_event(
                self._placement.due_s, self.started_s
            )
            self._placement_client.started(self._placement, self._first_event_ms)

    def record_end(self, *, learn: bool) -> None:
        """Note the end; ``learn`` takes the pace of an engine from it."""
        placement, load = self._placement, self._placement.load
        now_s = self._clock()
        if self.success:
            load.record_success(now_s)
        elif self.failure:
            load.record_failure(now_s, self.failure)
        if self.started_s and learn:
            expected_ms = placement.backlog_ms + placement.prefill_ms
            load.update_slowness(expected_ms, self._first_event_ms - FIRST_EVENT_MS)
        load.record_end(placement.due_s, started=bool(self.started_s), now_s=now_s)
        self._placement_client.ended(
            placement, success=self.success, failure=self.failure
        )
