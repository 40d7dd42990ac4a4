"""Forwards a job to endpoints until one responds or no retry is permitted.

An attempt ends in one of three ways: with a response, not run (nothing was sent, or
the endpoint states so with the header ``NOT_RUN`` or status 421), or with an unknown
outcome. A job is repeatable if it may run again although it may have run already
(``Route.repeatable``: idempotent routes and resumable streams). Only a job that has not
run or that is repeatable is retried, at another endpoint.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from shallotroad.catalog.configuration import RouteKind
from shallotroad.gateway.admission import RETRY_AFTER_REMAINING_SHARE
from shallotroad.gateway.exceptions import BrokenStreamError
from shallotroad.gateway.exceptions import OutcomeUnknownError
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.gateway.stream_origins import STORE_NOT_CONFIRMED
from shallotroad.observability.event_log import log_event
from shallotroad.platform.headers import encode_request_head
from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.failing_endpoints import CONNECT_FAILURE_AVOIDANCE_S
from shallotroad.policy.failing_endpoints import Fault
from shallotroad.policy.windowed_retry_budget import WindowedRetryBudget
from shallotroad.upstream.exceptions import ConnectError
from shallotroad.upstream.exceptions import ConnectionLostError
from shallotroad.upstream.exceptions import MalformedResponseError
from shallotroad.upstream.response_body import read_body


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.endpoint import EndpointRecord
    from shallotroad.gateway.coordination.placement_client import PlacementClient
    from shallotroad.gateway.crash_monitor import AttemptWatch
    from shallotroad.gateway.crash_monitor import CrashMonitor
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.gateway.endpoint_statements import EndpointStatements
    from shallotroad.gateway.event_stream import EventStreamSplitter
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership
    from shallotroad.gateway.metrics import GatewayMetrics
    from shallotroad.gateway.stream_origins import StreamOrigins
    from shallotroad.platform.headers import ResponseHead
    from shallotroad.platform.settings import Bounds
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement import Placement
    from shallotroad.upstream.connection import EndpointConnection
    from shallotroad.upstream.pool import ConnectionPool

# An attempt may last until this long after the job's end time (Job.end_s), because a
# response that is slightly late is still worth sending.
RESPONSE_GRACE_S = 0.15
# After an attempt that did not run, a job is not retried once it has made this many
# attempts in all. After an unknown outcome, the route's max_attempts limits the
# attempts that may have run instead.
MAX_TOTAL_ATTEMPTS = 4
MIN_SERVER_ERROR_STATUS = 500
# A response with this status or a higher one does not show that an engine can begin to
# write an answer to the request.
MIN_FAILURE_STATUS = 400
# Limit of a response body that is not a stream; a larger one counts as malformed.
MAX_BODY_BYTES = 8_388_608
# Retry-After when the last attempt did not run and no retry is permitted: endpoints
# that are full have room again after a few responses. It also applies to failed
# connections.
NOT_RUN_RETRY_AFTER_S = 0.3
# Retry-After when no gateway tells in time which version began a stream.
UNKNOWN_ORIGIN_RETRY_AFTER_S = 0.5
# Retry-After when this gateway can't be sure which versions there are. Another one, at
# which the caller mostly returns, may be.
UNCONFIRMED_ORIGIN_RETRY_AFTER_S = 0.1
# A kept connection is reused only if it was idle for at most this long. The limit is
# lower for jobs that are not repeatable, which can't be retried if it is lost.
NON_REPEATABLE_MAX_IDLE_S = 1.0
REPEATABLE_MAX_IDLE_S = 3.0
# Engine priorities are 0 (most urgent) to 9: three times Job.tier (the team's tier, or
# the route's if the team has none) plus the route's tier, but at most 9. Tiers have no
# upper limit here: with both from 0 to 2, each pair has its own priority from 0 to 8;
# pairs with a higher tier share theirs with others.
ENGINE_PRIORITY_COUNT = 10
PRIORITIES_PER_TEAM_TIER = 3
# Share of the remaining time to wait for a first event before a repeatable job is
# retried at another endpoint.
FIRST_EVENT_TIMEOUT_SHARE = 0.45
MIN_FIRST_EVENT_TIMEOUT_S = 0.15
# Weight in the endpoint's failure share of an attempt that did not run, where a full
# failure counts 1, because a full endpoint is not a broken one. Failed connections also
# have this weight.
NOT_RUN_FAILURE_WEIGHT = 0.5


class BufferedResponse(NamedTuple):
    """A complete response that is not a stream."""

    head: ResponseHead
    body: bytes


class ResponseSink(Protocol):
    """Receives the response of a stream and sends it to the caller."""

    async def start(self, head: ResponseHead) -> None:
        """Send the status and headers; called once, before the first ``write``."""

    async def write(self, data: bytes) -> None:
        """Send complete events, or the end of the stream."""


class NotRunError(Exception):
    """An attempt did not run at the endpoint.

    ``sent`` is True if the endpoint received the request and stated that it did not run
    it, False if nothing was sent.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class AttemptOutcomeUnknownError(Exception):
    """An attempt may have run, without a complete response or with a server error.

    ``response`` is the endpoint's own error response, which the caller receives if
    no retry succeeds; None when the attempt brought no response.
    """

    def __init__(
        self, reason: str, *, response: BufferedResponse | None = None
    ) -> None:
        super().__init__(reason)
        self.response = response


class Forwarder:
    """Sends jobs to endpoints and retries within the retry budget of the service.

    Parameters
    ----------
    endpoint_registry : EndpointRegistry
        Has the connection pools of the endpoints.
    placement_client : PlacementClient
        Chooses the endpoint of each attempt.
    crash_monitor : CrashMonitor
        Refuses jobs that would crash endpoints, and is told how the attempts fare.
    statements : EndpointStatements
        Is told what the endpoints say of themselves in their answers.
    membership : Membership
        Gives the number of gateways that share the slack of the retry budgets.
    stream_origins : StreamOrigins
        Knows which software version began a stream that a caller resumes.
    registration_inputs : callable
        Returns log fields on what is known of the registration of an endpoint.
    restarted : bool
        Whether another process of this instance may have made retries just before.
    bounds : Bounds
        Ratio, window and slack of the retry budgets. A reload of the settings replaces
        ``bounds``, but only budgets that are created later use the new values.
    clock : callable
        Returns the monotonic time in seconds.
    make_splitter : callable
        Returns a new splitter; called once for each job that streams.
    """

    def __init__(
        self,
        *,
        endpoint_registry: EndpointRegistry,
        placement_client: PlacementClient,
        crash_monitor: CrashMonitor,
        statements: EndpointStatements,
        membership: Membership,
        bounds: Bounds,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        make_splitter: Callable[[], EventStreamSplitter],
        stream_origins: StreamOrigins,
        registration_inputs: Callable[[str], dict[str, object]] = lambda _: {},
        restarted: bool = False,
    ) -> None:
        self._restarted_s = clock() if restarted else -math.inf
        self._endpoint_registry = endpoint_registry
        self._placement_client = placement_client
        self._crash_monitor = crash_monitor
        self._statements = statements
        self._membership = membership
        self.bounds = bounds
        self._metrics = metrics
        self._clock = clock
        self._make_splitter = make_splitter
        self._stream_origins = stream_origins
        self._registration_inputs = registration_inputs
        self._retry_budgets: dict[str, WindowedRetryBudget] = {}

    def _retry_budget(self, service: str) -> WindowedRetryBudget:
        """Return this gateway's retry budget for a service.

        It is created at the first request for the service, from ``retry_ratio``,
        ``retry_window_s`` and ``retry_slack`` of ``bounds``, and then kept.
        """
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = WindowedRetryBudget(
                ratio=self.bounds.retry_ratio,
                window_s=self.bounds.retry_window_s,
                slack=self.bounds.retry_slack,
                restarted_s=self._restarted_s,
            )
        return budget

    async def run(self, job: Job, sink: ResponseSink) -> BufferedResponse | None:
        """Return the response of a job, or None when it was streamed to ``sink``.

        Raises
        ------
        RefusedError
            When the job has not run and will not.
        OutcomeUnknownError
            When the job may have run and no response is available.
        BrokenStreamError
            When a stream that has started can't be completed.
        """
        self._retry_budget(job.service.name).record_request(self._clock())
        await self._recall_origin(job)
        splitter = self._make_splitter() if job.streams else None
        failure: BufferedResponse | None = None
        try:
            while True:
                placement = await self._place(job, splitter)
                try:
                    return await self._attempt(job, placement, sink, splitter)
                except NotRunError as error:
                    self._handle_not_run(job, placement, error, splitter)
                except AttemptOutcomeUnknownError as error:
                    failure = error.response or failure
                    self._handle_outcome_unknown(job, placement, error, splitter)
        except OutcomeUnknownError:
            if failure is None:
                raise
            return failure
        finally:
            if job.retry_reserved:
                self._retry_budget(job.service.name).release()
            if splitter is not None:
                splitter.close()

    async def _recall_origin(self, job: Job) -> None:
        """Set the software version at which a stream that a caller resumes goes on.

        Raises
        ------
        RefusedError
            When it is not known and may be one of several.
        """
        if not (job.route.resumable and job.request.last_event_id):
            return
        origin = await self._stream_origins.recall(job)
        self._metrics.resumptions.inc({"source": origin.source})
        if origin.software_version is None:
            retry_after_s = UNKNOWN_ORIGIN_RETRY_AFTER_S
            if origin.source == STORE_NOT_CONFIRMED:
                retry_after_s = UNCONFIRMED_ORIGIN_RETRY_AFTER_S
            remaining_s = max(0.0, job.deadline_s - self._clock())
            raise RefusedError(
                f"the version that began the stream is not known: {origin.source}",
                retry_after_s=min(
                    retry_after_s, RETRY_AFTER_REMAINING_SHARE * remaining_s
                ),
            )
        job.software_version = origin.software_version

    async def _place(self, job: Job, splitter: EventStreamSplitter | None) -> Placement:
        """Place a job; a refusal is passed on only if no attempt may have run.

        It is refused if requests like it crash endpoints, also where that became known
        while it waited for its placement.

        Otherwise the refusal would wrongly state that the request has not run, so
        another error replaces it.

        Raises
        ------
        RefusedError
            When no endpoint is available and no attempt may have run.
        BrokenStreamError
            When no endpoint is available and the stream has started.
        OutcomeUnknownError
            When no endpoint is available and an attempt may have run; status 502.

        A suspended job counts as one without an available endpoint.
        """
        if splitter is not None and splitter.started:
            job.interrupted_s = self._clock()
        try:
            await self._crash_monitor.wait_for_turn(job)
            self._crash_monitor.check(job, placed=False)
            placement = await self._placement_client.place(job)
            try:
                self._crash_monitor.check(job)
            except RefusedError:
                self._release(placement)
                raise
            return placement
        except RefusedError:
            if splitter is not None and splitter.started:
                raise BrokenStreamError("no endpoint to resume the stream at") from None
            if job.possible_runs:
                raise OutcomeUnknownError(
                    "no endpoint left for a retry", status=502
                ) from None
            raise

    def _release(self, placement: Placement) -> None:
        """Give back a placement that is not used."""
        now_s = self._clock()
        placement.load.record_end(placement.due_s, started=False, now_s=now_s)
        self._placement_client.record_end(placement, success=False)

    def _record_attempt_failure(
        self, job: Job, placement: Placement, outcome: str, cause: object
    ) -> None:
        """Count a failed attempt in the metrics, and log it with the text of ``cause``.

        ``outcome`` is "not run" or "unknown", ``cause`` the error of the attempt. The
        endpoint's load is not updated here.
        """
        self._metrics.attempts.inc({"end": outcome})
        log_event(
            "attempt failed",
            request=job.request.request_id,
            endpoint=placement.load.record.identifier,
            outcome=outcome,
            why=str(cause),
            attempt=len(job.attempts),
        )

    def _handle_not_run(
        self,
        job: Job,
        placement: Placement,
        error: NotRunError,
        splitter: EventStreamSplitter | None,
    ) -> None:
        """Exclude the endpoint, and return if a retry is permitted.

        Only a retry of a request that the endpoint received spends retry budget. If it
        received nothing, all jobs avoid it for ``CONNECT_FAILURE_AVOIDANCE_S``.

        Raises
        ------
        BrokenStreamError
            When the stream has started and no retry is permitted.
        OutcomeUnknownError
            When an earlier attempt may have run and no retry is permitted; status 502.
        RefusedError
            When the job has not run and no retry is permitted.
        """
        self._record_attempt_failure(job, placement, "not run", error)
        job.excluded.add(placement.load.record.identifier)
        now_s = self._clock()
        if not error.sent:
            placement.load.avoided_until_s = now_s + CONNECT_FAILURE_AVOIDANCE_S
        may_retry = len(job.attempts) < MAX_TOTAL_ATTEMPTS and now_s < job.end_s
        if may_retry and error.sent:
            may_retry = self._reserve_retry(job, now_s)
        if may_retry:
            return
        if splitter is not None and splitter.started:
            raise BrokenStreamError("no retry permitted to resume the stream")
        if job.possible_runs:
            raise OutcomeUnknownError(
                "no retry permitted after an attempt that may have run", status=502
            )
        raise RefusedError("endpoints are full", retry_after_s=NOT_RUN_RETRY_AFTER_S)

    def _handle_outcome_unknown(
        self,
        job: Job,
        placement: Placement,
        error: AttemptOutcomeUnknownError,
        splitter: EventStreamSplitter | None,
    ) -> None:
        """Count a possible run, exclude the endpoint, and return if a retry may follow.

        The job must be repeatable, and the route's ``max_attempts``, the time and the
        retry budget must allow another attempt. A stream that has started must have an
        event identifier after which it can be resumed.

        Raises
        ------
        BrokenStreamError
            When the stream has started and no retry is permitted.
        OutcomeUnknownError
            When no retry is permitted; status 504 after the job's end time, else 502.
            ``run`` then returns the endpoint's own error response if there is one.
        """
        self._record_attempt_failure(job, placement, "unknown", error)
        job.excluded.add(placement.load.record.identifier)
        job.possible_runs += 1
        now_s = self._clock()
        resumable = (
            splitter is None or not splitter.started or bool(splitter.last_event_id)
        )
        may_retry = (
            job.route.repeatable
            and resumable
            and job.possible_runs < job.route.max_attempts
            and now_s < job.end_s
            and self._reserve_retry(job, now_s)
        )
        if may_retry:
            if splitter is not None:
                splitter.discard_partial()
            return
        if splitter is not None and splitter.started:
            raise BrokenStreamError(str(error))
        past_end = now_s >= job.end_s
        raise OutcomeUnknownError(str(error), status=504 if past_end else 502)

    def _reserve_retry(self, job: Job, now_s: float) -> bool:
        """Reserve a retry of a job in the budget; return whether that is allowed."""
        budget = self._retry_budget(job.service.name)
        gateways = self._membership.budget_sharers(now_s)
        job.retry_reserved = budget.try_reserve(gateways=gateways, now_s=now_s)
        return job.retry_reserved

    async def _attempt(
        self,
        job: Job,
        placement: Placement,
        sink: ResponseSink,
        splitter: EventStreamSplitter | None,
    ) -> BufferedResponse | None:
        """Make one attempt; return its response, or None if it went to ``sink``.

        Raises
        ------
        NotRunError
            When the endpoint is no longer registered, takes no requests of this gateway
            any more, accepts no connection, or states that it did not run the request.
        AttemptOutcomeUnknownError
            When the connection is lost, the response is malformed or late, or
            ``_receive`` raises it.
        """
        load = placement.load
        identifier = load.record.identifier
        job.attempts.append(identifier)
        job.placement_inputs.append(
            placement.inputs() | self._registration_inputs(identifier)
        )
        pool = self._endpoint_registry.pool(identifier)
        progress = AttemptProgress(
            placement=placement,
            placement_client=self._placement_client,
            watch=self._crash_monitor.watch(job, load.record),
            clock=self._clock,
        )
        connection: EndpointConnection | None = None
        may_have_run = False
        try:
            if pool is None:
                raise NotRunError("endpoint is no longer registered", sent=False)
            self._check_takes_requests(identifier, pool)
            max_idle_s = (
                REPEATABLE_MAX_IDLE_S
                if job.route.repeatable
                else NON_REPEATABLE_MAX_IDLE_S
            )
            try:
                connection = await pool.acquire(
                    max_idle_s=max_idle_s, request_id=job.request.request_id
                )
                self._check_takes_requests(identifier, pool)
                self._check_same_software(job, load, progress.record)
                await connection.send(
                    job.request.request_id,
                    self._encode_head(job, identifier, splitter),
                    job.body,
                )
            except ConnectError as error:
                # Other errors may be due to this gateway's own link.
                if isinstance(error.__cause__, ConnectionRefusedError):
                    progress.fault = Fault.UNREACHABLE
                raise NotRunError(str(error), sent=False) from error
            progress.sent_s = self._clock()
            may_have_run = True
            if job.retry_reserved:
                job.retry_reserved = False
                self._retry_budget(job.service.name).record_sent(progress.sent_s)
            async with asyncio.timeout(
                self._attempt_timeout_s(job, placement)
            ) as timeout:
                response = await self._receive(
                    job, connection, sink, splitter, progress, timeout
                )
            if response is not None and response.head.status >= MIN_SERVER_ERROR_STATUS:
                progress.record_failure(Fault.ERROR)
            else:
                progress.success = True
            self._metrics.attempts.inc({"end": "answered"})
            failed = response is not None and response.head.status >= MIN_FAILURE_STATUS
            if connection.usable and not failed:
                progress.watch.record_complete()
            pool.release(connection)
            connection = None
            return response
        except (ConnectionLostError, MalformedResponseError) as error:
            progress.record_failure(Fault.LOST)
            if isinstance(error, ConnectionLostError):
                progress.watch.record_connection_lost()
            raise AttemptOutcomeUnknownError(str(error)) from error
        except TimeoutError:
            if not progress.started_s:
                progress.record_failure(Fault.LOST)
                progress.watch.record_silence(self._clock() - progress.sent_s)
            raise AttemptOutcomeUnknownError("no answer in time") from None
        except NotRunError:
            progress.failure = NOT_RUN_FAILURE_WEIGHT
            raise
        except asyncio.CancelledError:
            job.possible_runs += int(may_have_run)
            if may_have_run and not progress.started_s:
                progress.watch.record_silence(self._clock() - progress.sent_s)
            raise
        finally:
            if connection is not None:
                if connection.usable and progress.ended:
                    assert pool is not None
                    pool.release(connection)
                else:
                    connection.close()
            first_attempt = len(job.attempts) == 1
            progress.record_end(
                update_slowness=first_attempt and job.service.engine is not None
            )

    def _check_takes_requests(self, identifier: str, pool: ConnectionPool) -> None:
        """Check that an endpoint still takes requests, over connections of a pool.

        That may change while a connection is opened.

        Raises
        ------
        NotRunError
            When it does not, or has registered at another address.
        """
        if self._endpoint_registry.pool(identifier) is not pool:
            raise NotRunError("endpoint is no longer registered", sent=False)
        if not self._endpoint_registry.takes_requests(identifier):
            raise NotRunError("endpoint leaves or wants no requests", sent=False)

    def _check_same_software(
        self, job: Job, load: EndpointLoad, record: EndpointRecord
    ) -> None:
        """Check that the endpoint did not restart while the connection was opened.

        Raises
        ------
        NotRunError
            When it did, or its software may not resume the stream of the job.
        """
        current = load.record
        if (current.started_at_ms, current.software_version) != (
            record.started_at_ms,
            record.software_version,
        ) or job.software_version not in (None, current.software_version):
            raise NotRunError("endpoint has restarted", sent=False)

    def _record_origin(self, job: Job, record: EndpointRecord) -> None:
        """Record at which software version the stream of a job begins or goes on."""
        job.software_version = record.software_version
        if job.route.resumable:
            self._stream_origins.record(job)

    def _attempt_timeout_s(self, job: Job, placement: Placement) -> float:
        """Return the time in which a response must be complete, in seconds.

        It is the time until ``RESPONSE_GRACE_S`` after the job's end. While a retry is
        possible, it is at most the largest of ``MIN_FIRST_EVENT_TIMEOUT_S``,
        ``FIRST_EVENT_TIMEOUT_SHARE`` of that time and three times the expected time to
        the first event; the first event of a stream lifts this limit.
        """
        remaining_s = job.end_s + RESPONSE_GRACE_S - self._clock()
        may_retry = (
            job.route.repeatable and job.possible_runs + 1 < job.route.max_attempts
        )
        if not may_retry:
            return remaining_s
        expected_s = (placement.backlog_ms + placement.prefill_ms) / 1000
        first_event_timeout_s = max(
            MIN_FIRST_EVENT_TIMEOUT_S,
            FIRST_EVENT_TIMEOUT_SHARE * remaining_s,
            3 * expected_s,
        )
        return min(remaining_s, first_event_timeout_s)

    def _encode_head(
        self, job: Job, endpoint: str, splitter: EventStreamSplitter | None
    ) -> bytes:
        """Return the request head for an attempt, as sent to the endpoint.

        ``endpoint`` is its identifier. ``encode_request_head`` says which headers are
        added to the caller's. The last event identifier is that of the interrupted
        stream, or else the caller's if the route is resumable.
        """
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
                min(
                    ENGINE_PRIORITY_COUNT - 1,
                    PRIORITIES_PER_TEAM_TIER * job.tier + job.route.tier,
                )
                if job.service.engine is not None
                else None
            ),
            last_event_id=last_event_id,
        )

    async def _receive(
        self,
        job: Job,
        connection: EndpointConnection,
        sink: ResponseSink,
        splitter: EventStreamSplitter | None,
        progress: AttemptProgress,
        timeout: asyncio.Timeout,
    ) -> BufferedResponse | None:
        """Receive a response; return None if it was a stream that went to ``sink``.

        A response is a stream only if its content type says so. Any other is returned
        whole, and is no response to a stream that has started. The first event of a
        stream extends ``timeout``.

        Raises
        ------
        NotRunError
            When the endpoint states, by the header ``NOT_RUN`` or status 421, that it
            did not run the request.
        MalformedResponseError
            When the response has a content encoding, or lacks the header ``SIGNATURE``,
            which marks a response of the endpoint itself.
        ConnectionLostError
            When the response is not complete.
        AttemptOutcomeUnknownError
            When a 5xx response may be retried, the status wrongly promises that the
            request has not run, or the response to a stream that has started is not its
            continuation.
        """
        head = await connection.head()
        self._statements.record_answer(progress.watch.record, head, progress.sent_s)
        if head.not_run:
            await read_body(connection, max_bytes=MAX_BODY_BYTES)
            progress.ended = True
            raise NotRunError(f"status {head.status}", sent=True)
        if head.encoded or not head.signed:
            raise MalformedResponseError(f"status {head.status} without a signature")
        if not (job.streams and head.status < 300 and head.event_stream):
            body = await read_body(connection, max_bytes=MAX_BODY_BYTES)
            progress.ended = True
            if head.length is not None and head.length != len(body):
                raise ConnectionLostError(
                    "response body does not have the announced length"
                )
            progress.record_first_event()
            if head.reads_as_not_run:
                raise AttemptOutcomeUnknownError(
                    f"status {head.status} without a statement that it has not run"
                )
            response = BufferedResponse(head, body)
            if splitter is not None and splitter.started:
                raise AttemptOutcomeUnknownError(
                    f"status {head.status} instead of the resumed stream"
                )
            if head.status >= MIN_SERVER_ERROR_STATUS and self._may_retry_server_error(
                job
            ):
                self._endpoint_registry.record_server_error(job.attempts[-1])
                # The coordinator's ranking by failures does not count it.
                progress.fault = Fault.ERROR
                raise AttemptOutcomeUnknownError(
                    f"status {head.status}", response=response
                )
            return response
        assert splitter is not None
        await self._forward_stream(
            job, connection, sink, splitter, progress, timeout, head
        )
        return None

    def _may_retry_server_error(self, job: Job) -> bool:
        """Return whether a 5xx response counts as an unknown outcome.

        It does for repeatable jobs other than streams, with attempts and time left. The
        retry budget is checked later.
        """
        return (
            job.route.kind is RouteKind.IDEMPOTENT
            and job.possible_runs + 1 < job.route.max_attempts
            and self._clock() < job.end_s
        )

    async def _forward_stream(
        self,
        job: Job,
        connection: EndpointConnection,
        sink: ResponseSink,
        splitter: EventStreamSplitter,
        progress: AttemptProgress,
        timeout: asyncio.Timeout,
        head: ResponseHead,
    ) -> None:
        """Write the events of a response stream to ``sink`` as they become complete.

        The first of them extends ``timeout`` until ``RESPONSE_GRACE_S`` after the job's
        end. ``sink`` gets the head before the first event of the job, or at the end of
        a stream without events, and none when another endpoint resumes the stream.
        Line ends after the last event are written only at the end.

        Raises
        ------
        ConnectionLostError
            When the response does not have the announced length, ends within an event,
            or ends with its connection before the first one, and so may have been cut
            off. One that was resumed may have no more events.
        ConnectionLostError, MalformedResponseError
            When the connection fails before the response is complete, an event is too
            large, or the events don't follow those of the stream that is resumed.
        """
        received_bytes = 0
        while chunk := await connection.read():
            received_bytes += len(chunk)
            events = splitter.feed(chunk)
            if not events:
                continue
            progress.record_events(splitter.count_events(events))
            if not progress.started_s:
                progress.record_first_event(streamed=True)
                remaining_s = job.end_s + RESPONSE_GRACE_S - self._clock()
                timeout.reschedule(asyncio.get_running_loop().time() + remaining_s)
                if not splitter.started:
                    splitter.started = True
                    self._record_origin(job, progress.record)
                    await sink.start(head)
            await sink.write(events)
        if head.length is not None and head.length != received_bytes:
            raise ConnectionLostError(
                "response stream does not have the announced length"
            )
        if splitter.within_event:
            raise ConnectionLostError("the stream ended within an event")
        ends_with_connection = head.length is None and not head.chunked
        resumed = splitter.started or (
            job.route.resumable and job.request.last_event_id
        )
        if ends_with_connection and not resumed:
            raise ConnectionLostError("the connection ended before the first event")
        rest = splitter.flush()
        if not splitter.started:
            splitter.started = True
            await sink.start(head)
        if rest:
            await sink.write(rest)
        progress.ended = True


class AttemptProgress:
    """Progress of one attempt; reports it to the load and the placement client.

    Attributes
    ----------
    watch : AttemptWatch
        Reports it to the crash monitor.
    record : EndpointRecord
        The endpoint as it was when the attempt began.
    sent_s : float
        When the request was written to the connection, monotonic time in seconds;
        until then, when the attempt began.
    started_s : float
        When the first event or the complete body arrived; 0 before that.
    ended : bool
        Whether the whole response was read, so that the connection can be reused.
    success : bool
        Whether a complete response below status 500 arrived.
    failure : float
        Weight of the attempt in the endpoint's failure share; 0 for none.
    fault : Fault
        What the circuit breaker of the endpoint counts.
    """

    def __init__(
        self,
        *,
        placement: Placement,
        placement_client: PlacementClient,
        watch: AttemptWatch,
        clock: Callable[[], float],
    ) -> None:
        self.watch = watch
        self.record = placement.load.record
        self._placement = placement
        self._placement_client = placement_client
        self._clock = clock
        self.sent_s = clock()
        self.started_s = 0.0
        self.ended = False
        self.success = False
        self.failure = 0.0
        self._streamed = False
        self.fault = Fault.NONE

    @property
    def _first_event_ms(self) -> float:
        """Time from sending to the first event; valid once ``started_s`` is set."""
        return (self.started_s - self.sent_s) * 1000

    def record_first_event(self, *, streamed: bool = False) -> None:
        """Record that the response has started; repeated calls have no effect.

        ``streamed`` is whether it is a stream; the time of another response contains
        the decode.
        """
        if not self.started_s:
            self.started_s = self._clock()
            self._streamed = streamed
            self._placement.load.record_first_event(
                self._placement.due_s, self.started_s
            )
            self._placement_client.record_first_event(
                self._placement, self._first_event_ms, streamed=streamed
            )

    def record_failure(self, fault: Fault) -> None:
        """Record that the endpoint itself failed the attempt."""
        self.failure = 1.0
        self.fault = fault

    def record_events(self, count: int) -> None:
        """Record complete events that have arrived together."""
        self._placement_client.record_events(self._placement, count)
        if self.started_s:
            self.watch.record_events(self._clock() - self.started_s)

    def record_end(self, *, update_slowness: bool) -> None:
        """Record the outcome and the end of the attempt.

        With ``update_slowness``, a first event that arrived also updates
        ``EndpointLoad.slowness``, the factor by which the engine is slower than the
        model of its service. With a learned model, only that of a stream does.
        """
        placement, load = self._placement, self._placement.load
        now_s = self._clock()
        if self.success:
            load.record_success(now_s)
        elif self.failure:
            load.record_failure(now_s, self.failure)
        model = placement.model
        shows_speed = self._streamed or model == NOMINAL_MODEL
        if self.started_s and update_slowness and shows_speed:
            load.record_failure(now_s, self.failure, self.fault)
        if self.started_s and update_slowness:
            expected_ms = placement.backlog_ms + placement.prefill_ms
            load.update_slowness(
                expected_ms,
                self._first_event_ms - model.first_event_overhead_ms,
                placement.slowness,
                model,
            )
        load.record_end(placement.due_s, started=bool(self.started_s), now_s=now_s)
        self._placement_client.record_end(
            placement,
            success=self.success,
            failure_weight=self.failure,
            fault=self.fault,
        )
