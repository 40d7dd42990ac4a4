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
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.gateway.exceptions import UnknownOutcomeError
from shallotroad.observability.decisions import decided
from shallotroad.platform.headers import encode_request_head
from shallotroad.policy.endpoint_load import FIRST_EVENT_MS
from shallotroad.policy.retry_window import RetryWindow
from shallotroad.upstream.exceptions import ConnectError
from shallotroad.upstream.exceptions import ConnectionLostError
from shallotroad.upstream.exceptions import GarbledAnswerError


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.coordination.placer import Placer
    from shallotroad.gateway.events import EventCutter
    from shallotroad.gateway.fleet import Fleet
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership
    from shallotroad.gateway.metrics import GatewayMetrics
    from shallotroad.platform.headers import ResponseHead
    from shallotroad.platform.settings import Bounds
    from shallotroad.policy.placement import Candidate
    from shallotroad.upstream.connection import EndpointConnection

FINAL_SLACK_S = 0.15  # an answer due now is still worth sending this much later
MOST_SENDS = 4
SERVER_FAILURE = 500  # first status that blames the endpoint
FULL_RETRY_S = 0.3  # endpoints that refuse have room again after a few answers
AVOID_S = 1.0  # an endpoint without a connection is left alone for this long
ONCE_IDLE_S = 1.0  # a request that runs once goes on recently used connections only
REPEATABLE_IDLE_S = 3.0
ENGINE_PRIORITIES = 10
ROUTE_TIERS = 3  # engine priorities for each tier of teams
SILENT_SHARE = 0.45  # of the time left; then a repeatable request goes elsewhere
SHORTEST_SILENCE_S = 0.15
NOT_RUN_WEIGHT = 0.5  # of a failure; a full endpoint is not a broken one


class Answer(NamedTuple):
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


class UnknownError(Exception):
    """An attempt may have run, and brought no whole answer or a failure.

    ``answer`` is the endpoint's own failure, to be told if nothing better comes.
    """

    def __init__(self, reason: str, *, answer: Answer | None = None) -> None:
        super().__init__(reason)
        self.answer = answer


class Forwarder:
    """Makes attempts within the retry budget."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        placer: Placer,
        membership: Membership,
        bounds: Bounds,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        make_cutter: Callable[[], EventCutter],
    ) -> None:
        self._fleet = fleet
        self._placer = placer
        self._membership = membership
        self.bounds = bounds
        self._metrics = metrics
        self._clock = clock
        self._make_cutter = make_cutter
        self._budgets: dict[str, RetryWindow] = {}

    def _budget(self, service: str) -> RetryWindow:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryWindow(
                ratio=self.bounds.retry_ratio,
                window_s=self.bounds.retry_window_s,
                slack=self.bounds.retry_slack,
            )
        return budget

    async def run(self, job: Job, caller: Caller) -> Answer | None:
        """Run a job; None when its stream was sent to the caller.

        Raises
        ------
        RefusedError
            When it has not run and will not.
        UnknownOutcomeError
            When it may have run.
        BrokenStreamError
            When a stream that has begun can't be finished.
        """
        self._budget(job.service.name).note_request(self._clock())
        cutter = self._make_cutter() if job.streams else None
        failure: Answer | None = None
        try:
            while True:
                candidate = await self._place(job, cutter)
                try:
                    return await self._attempt(job, candidate, caller, cutter)
                except NotRunError as error:
                    self._go_on(job, candidate, error, cutter)
                except UnknownError as error:
                    failure = error.answer or failure
                    self._give_up_or_repeat(job, candidate, error, cutter)
        except UnknownOutcomeError:
            if failure is None:
                raise
            return failure

    async def _place(self, job: Job, cutter: EventCutter | None) -> Candidate:
        """Place a job; a refusal is told as such only if nothing has run."""
        try:
            return await self._placer.place(job)
        except RefusedError:
            if cutter is not None and cutter.begun:
                raise BrokenStreamError("no endpoint to resume at") from None
            if job.runs:
                raise UnknownOutcomeError("no endpoint left", status=502) from None
            raise

    def _note(self, job: Job, candidate: Candidate, outcome: str, why: object) -> None:
        self._metrics.attempts.inc({"end": outcome})
        decided(
            "attempt failed",
            request=job.request.request_id,
            endpoint=candidate.load.record.identifier,
            outcome=outcome,
            why=str(why),
            attempt=len(job.attempts),
        )

    def _go_on(
        self,
        job: Job,
        candidate: Candidate,
        error: NotRunError,
        cutter: EventCutter | None,
    ) -> None:
        self._note(job, candidate, "not run", error)
        job.excluded.add(candidate.load.record.identifier)
        now_s = self._clock()
        if not error.sent:
            candidate.load.avoided_until_s = now_s + AVOID_S
        may_go_on = len(job.attempts) < MOST_SENDS and now_s < job.end_s
        if may_go_on and error.sent:
            may_go_on = self._budget(job.service.name).spend(
                entries=self._membership.count(now_s), now_s=now_s
            )
        if may_go_on:
            return
        if cutter is not None and cutter.begun:
            raise BrokenStreamError("not resumed")
        if job.runs:
            raise UnknownOutcomeError("not repeated", status=502)
        raise RefusedError("endpoints are full", retry_after_s=FULL_RETRY_S)

    def _give_up_or_repeat(
        self,
        job: Job,
        candidate: Candidate,
        error: UnknownError,
        cutter: EventCutter | None,
    ) -> None:
        self._note(job, candidate, "unknown", error)
        job.excluded.add(candidate.load.record.identifier)
        job.runs += 1
        now_s = self._clock()
        may_repeat = (
            job.route.repeatable
            and job.runs < job.route.max_attempts
            and now_s < job.end_s
            and self._budget(job.service.name).spend(
                entries=self._membership.count(now_s), now_s=now_s
            )
        )
        if may_repeat:
            if cutter is not None:
                cutter.restart()
            return
        if cutter is not None and cutter.begun:
            raise BrokenStreamError(str(error))
        late = now_s >= job.end_s
        raise UnknownOutcomeError(str(error), status=504 if late else 502)

    async def _attempt(
        self,
        job: Job,
        candidate: Candidate,
        caller: Caller,
        cutter: EventCutter | None,
    ) -> Answer | None:
        load = candidate.load
        identifier = load.record.identifier
        job.attempts.append(identifier)
        job.choices.append(candidate.inputs())
        pool = self._fleet.pool(identifier)
        progress = Progress(candidate=candidate, placer=self._placer, clock=self._clock)
        connection: EndpointConnection | None = None
        try:
            if pool is None:
                raise NotRunError("the endpoint is gone", sent=False)
            idle_s = REPEATABLE_IDLE_S if job.route.repeatable else ONCE_IDLE_S
            try:
                connection = await pool.acquire(max_idle_s=idle_s)
                await connection.send(
                    job.request.request_id,
                    self._head(job, identifier, cutter),
                    job.body,
                )
            except ConnectError as error:
                raise NotRunError(str(error), sent=False) from error
            progress.sent_s = self._clock()
            async with asyncio.timeout(self._patience_s(job, candidate)) as patience:
                answer = await self._receive(
                    job, connection, caller, cutter, progress, patience
                )
            if answer is not None and answer.head.status >= SERVER_FAILURE:
                progress.failure = 1.0
            else:
                progress.success = True
            self._metrics.attempts.inc({"end": "answered"})
            pool.release(connection)
            connection = None
            return answer
        except (ConnectionLostError, GarbledAnswerError) as error:
            progress.failure = 1.0
            raise UnknownError(str(error)) from error
        except TimeoutError:
            if not progress.started_s:
                progress.failure = 1.0
            raise UnknownError("no answer in time") from None
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
            progress.finish(learn=first and job.service.engine is not None)

    def _patience_s(self, job: Job, candidate: Candidate) -> float:
        left_s = job.end_s + FINAL_SLACK_S - self._clock()
        may_repeat = job.route.repeatable and job.runs + 1 < job.route.max_attempts
        if not may_repeat:
            return left_s
        expected_s = (candidate.backlog_ms + candidate.prefill_ms) / 1000
        silence_s = max(SHORTEST_SILENCE_S, SILENT_SHARE * left_s, 3 * expected_s)
        return min(left_s, silence_s)

    def _head(self, job: Job, endpoint: str, cutter: EventCutter | None) -> bytes:
        last_event_id = job.request.last_event_id if job.route.resumable else ""
        if cutter is not None and cutter.last_event:
            last_event_id = cutter.last_event
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
        cutter: EventCutter | None,
        progress: Progress,
        patience: asyncio.Timeout,
    ) -> Answer | None:
        head = await connection.head()
        if head.not_run:
            await self._drain(connection)
            progress.ended = True
            raise NotRunError(f"status {head.status}", sent=True)
        if head.encoded or not head.signed:
            raise GarbledAnswerError(f"status {head.status} without a signature")
        if not (job.streams and head.status < 300):
            body = await self._drain(connection)
            progress.ended = True
            if head.length is not None and head.length != len(body):
                raise ConnectionLostError("the body ends early")
            progress.start()
            answer = Answer(head, body)
            if cutter is not None and cutter.begun:
                raise UnknownError(f"status {head.status} instead of the rest")
            if head.status >= SERVER_FAILURE and self._worth_repeating(job):
                self._fleet.note_failure(job.attempts[-1])
                raise UnknownError(f"status {head.status}", answer=answer)
            return answer
        assert cutter is not None
        await self._stream(job, connection, caller, cutter, progress, patience, head)
        return None

    def _worth_repeating(self, job: Job) -> bool:
        return (
            job.route.kind is RouteKind.IDEMPOTENT
            and job.runs + 1 < job.route.max_attempts
            and self._clock() < job.end_s
        )

    async def _drain(self, connection: EndpointConnection) -> bytes:
        pieces = []
        while piece := await connection.read():
            pieces.append(piece)
        return b"".join(pieces)

    async def _stream(
        self,
        job: Job,
        connection: EndpointConnection,
        caller: Caller,
        cutter: EventCutter,
        progress: Progress,
        patience: asyncio.Timeout,
        head: ResponseHead,
    ) -> None:
        received = 0
        while piece := await connection.read():
            received += len(piece)
            events = cutter.feed(piece)
            if not events:
                continue
            if not progress.started_s:
                progress.start()
                left_s = job.end_s + FINAL_SLACK_S - self._clock()
                patience.reschedule(asyncio.get_running_loop().time() + left_s)
                if not cutter.begun:
                    cutter.begun = True
                    await caller.start(head)
            await caller.write(events)
        if head.length is not None and head.length != received:
            raise ConnectionLostError("the stream ends early")
        rest = cutter.finish()
        if not cutter.begun:
            cutter.begun = True
            await caller.start(head)
        if rest:
            await caller.write(rest)
        progress.ended = True


class Progress:
    """How far an attempt came; tells the endpoint's account of it."""

    def __init__(
        self, *, candidate: Candidate, placer: Placer, clock: Callable[[], float]
    ) -> None:
        self._candidate = candidate
        self._placer = placer
        self._clock = clock
        self.sent_s = clock()
        self.started_s = 0.0
        self.ended = False
        self.success = False
        self.failure = 0.0

    @property
    def _first_event_ms(self) -> float:
        return (self.started_s - self.sent_s) * 1000

    def start(self) -> None:
        """Note that the endpoint has begun to answer."""
        if not self.started_s:
            self.started_s = self._clock()
            self._candidate.load.start(self._candidate.due_s, self.started_s)
            self._placer.started(self._candidate, self._first_event_ms)

    def finish(self, *, learn: bool) -> None:
        """Note the end; ``learn`` takes the pace of an engine from it."""
        candidate, load = self._candidate, self._candidate.load
        now_s = self._clock()
        if self.success:
            load.succeed(now_s)
        elif self.failure:
            load.fail(now_s, self.failure)
        if self.started_s and learn:
            expected_ms = candidate.backlog_ms + candidate.prefill_ms
            load.learn_pace(expected_ms, self._first_event_ms - FIRST_EVENT_MS)
        load.end(candidate.due_s, started=bool(self.started_s), now_s=now_s)
        self._placer.ended(candidate, success=self.success, failure=self.failure)
