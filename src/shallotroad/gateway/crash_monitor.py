"""Watches for crashes of endpoints and suspends the requests that cause them.

A crash and the reset of a connection both end an attempt with ``ConnectionLostError``.
After a crash, the endpoint's address accepts no connection until the endpoint has
started again; after a reset it does. An endpoint that loses power ends no connection:
its attempts stay silent until they time out or their callers leave.
``CrashCorrelation`` finds what the requests lost in crashes have in common.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from loguru import logger

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.event_log import log_event
from shallotroad.policy.crash_correlation import FINGERPRINT_PREFIX
from shallotroad.policy.crash_correlation import MAX_KEYS
from shallotroad.policy.crash_correlation import Incarnation
from shallotroad.policy.crash_correlation import is_fingerprint
from shallotroad.policy.request_losses import LossOrder
from shallotroad.upstream.connection import connect
from shallotroad.upstream.exceptions import ConnectError


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from shallotroad.catalog.endpoint import EndpointRecord
    from shallotroad.gateway.crash_exchange import CrashExchange
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership
    from shallotroad.gateway.metrics import GatewayMetrics
    from shallotroad.policy.crash_correlation import CrashCorrelation
    from shallotroad.policy.crash_correlation import Verdict

# The prompt parts of an attempt are proven once its stream has gone on for this long
# after the first event: the endpoint has read them and did not crash. The whole request
# is proven only by its complete response.
PROOF_S = 0.5
# The connections that a crash ends are lost within this time of each other.
CONFIRMATION_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 0.4
# An attempt without any event for this long may be at an endpoint without power.
SILENCE_S = 1.0
# An endpoint is asked at most once in this time whether it accepts connections.
MIN_ASKING_INTERVAL_S = 1.0
# Requests that one log line names.
MAX_LOGGED_REQUESTS = 8
# Lost requests of one crash whose parts are kept, and all whose fingerprint is.
MAX_LOST_PROMPTS = 40
MAX_LOST_REQUESTS = 256
# Longer names of prompt parts are replaced by a digest.
MAX_KEY_LENGTH = 40
# Time from a verdict to its effect, in which losses at other gateways become known that
# may explain the same crashes by another key.
SETTLE_S = 0.2
# Retry-After of a suspended request: the time to the next trial within these limits.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# A request that runs alone may be sent by one gateway at a time, in the first half of
# its turn, so that the others know of the loss in theirs.
TURN_S = 0.5
TURN_POLL_S = 0.02


class LostAttempt(NamedTuple):
    """An attempt that ended with its connection, or without any event.

    ``begun_s`` and ``lost_s`` are monotonic times. ``parts_proven`` says whether its
    prompt parts were proven before, ``silent`` whether its connection had not ended,
    ``alone`` whether it ran alone.
    """

    job: Job
    begun_s: float
    lost_s: float
    parts_proven: bool
    silent: bool
    alone: bool


class AskedEndpoint(NamedTuple):
    """Whether an endpoint accepted a connection, and when it was asked."""

    at_s: float
    accepts: bool


def prompt_keys(job: Job) -> tuple[str, ...]:
    """Return the keys of the shared parts of a job's prompt.

    The last part is the request's own, so the fingerprint stands for it.
    """
    identifiers = (part.identifier for part in job.profile.parts[:-1][: MAX_KEYS - 1])
    return tuple(
        text
        if len(text) <= MAX_KEY_LENGTH and text.isascii() and not is_fingerprint(text)
        else _digest(text.encode())
        for text in identifiers
        if text
    )


def fingerprint(job: Job) -> str:
    """Return the key of a job's path, team and body."""
    if job.request_key:
        return job.request_key
    team = job.team.name if job.team is not None else ""
    caller = f"{team}\n{job.request.host}\n{job.request.target}\n"
    job.request_key = FINGERPRINT_PREFIX + _digest(caller.encode() + job.body)
    return job.request_key


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=12).hexdigest()


def _cause(lost: list[LostAttempt], *, accepts: bool, leaving: bool) -> str:
    """Return why attempts at an endpoint were lost; empty if they were only slow."""
    silent = all(attempt.silent for attempt in lost)
    if accepts:
        return "" if silent else "reset"
    if leaving:
        return "leaving"
    return "silent" if silent else "crash"


def _requests_for_log(jobs: list[Job]) -> list[dict[str, object]]:
    return [
        {
            "request": job.request.request_id,
            "parts": [part.identifier for part in job.profile.parts[:-1]],
            "key": fingerprint(job),
        }
        for job in jobs[:MAX_LOGGED_REQUESTS]
    ]


def _keys_for_log(verdict: Verdict) -> list[str]:
    return sorted(verdict.keys)


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
        self.begun_s = monitor.now_s()
        self.alone = job.alone_attempt == len(job.attempts) - 1
        self.parts_proven = False

    @property
    def incarnation(self) -> Incarnation:
        """The run of the endpoint at which the attempt was made."""
        return Incarnation(self.record.identifier, self.record.started_at_ms)

    def record_events(self, since_first_event_s: float) -> None:
        """Record events that arrived so long after the first one."""
        if since_first_event_s >= PROOF_S and not self.parts_proven:
            self.parts_proven = True
            self._monitor.record_proof(prompt_keys(self.job))

    def record_complete(self) -> None:
        """Record a complete response whose end the connection has outlived."""
        self.parts_proven = True
        self._monitor.record_answer(self.job)

    def record_connection_lost(self) -> None:
        """Record that the connection ended before the response."""
        self._monitor.record_lost(self, silent=False)

    def record_silence(self, since_sent_s: float) -> None:
        """Record that the attempt was given up so long after it was sent, no event."""
        if since_sent_s >= SILENCE_S:
            self._monitor.record_lost(self, silent=True)


class CrashMonitor:
    """Classifies lost connections, and suspends the requests that crash endpoints.

    Parameters
    ----------
    correlation : CrashCorrelation
        Keeps the facts and finds the keys that explain the crashes.
    exchange : CrashExchange
        Sends new facts to the other gateways.
    membership : Membership
        Decides which gateway makes the next trial of a suspended key.
    clock : callable
        Returns the monotonic time in seconds.
    accepts : callable
        Returns whether an address, host and port, accepts connections.
    is_leaving : callable
        Returns whether the endpoint of an identifier takes no more requests.
    """

    def __init__(
        self,
        *,
        correlation: CrashCorrelation,
        exchange: CrashExchange,
        membership: Membership,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        accepts: Callable[[str, int], Awaitable[bool]] = accepts_connections,
        is_leaving: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._correlation = correlation
        self._exchange = exchange
        self._membership = membership
        self._metrics = metrics
        self._clock = clock
        self._accepts = accepts
        self._is_leaving = is_leaving
        self._lost: dict[Incarnation, list[LostAttempt]] = {}
        self._asked: dict[str, AskedEndpoint] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._suspended: dict[frozenset[str], Verdict] = {}
        self._suspended_since_s: dict[frozenset[str], float] = {}
        self._last_turns_s: dict[str, float] = {}
        exchange.on_changed = self._update_verdicts

    @property
    def suspended(self) -> list[Verdict]:
        """The verdicts as of the latest change."""
        return list(self._suspended.values())

    def now_s(self) -> float:
        """Return the monotonic time."""
        return self._clock()

    def watch(self, job: Job, record: EndpointRecord) -> AttemptWatch:
        """Return the watch of the latest attempt of a job, at an endpoint."""
        return AttemptWatch(monitor=self, job=job, record=record)

    def record_answer(self, job: Job) -> None:
        """Record that an endpoint answered a job and went on running."""
        self.record_proof((*prompt_keys(job), fingerprint(job)))

    def record_proof(self, keys: tuple[str, ...]) -> None:
        """Record that an endpoint ran what has these keys and went on running."""
        facts = self._correlation.record_answer(keys, self._clock())
        if facts:
            self._exchange.publish(facts)
            self._update_verdicts()

    def record_lost(self, watch: AttemptWatch, *, silent: bool) -> None:
        """Note a lost attempt; the first of an endpoint starts the classification."""
        now_s = self._clock()
        lost = self._lost.get(watch.incarnation)
        if lost is None:
            lost = self._lost[watch.incarnation] = []
            task = asyncio.create_task(self._classify(watch.record))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        lost.append(
            LostAttempt(
                job=watch.job,
                begun_s=watch.begun_s,
                lost_s=now_s,
                parts_proven=watch.parts_proven,
                silent=silent,
                alone=watch.alone,
            )
        )

    async def _accepts_connections(
        self, record: EndpointRecord, lost: list[LostAttempt]
    ) -> bool:
        """Return whether an endpoint accepts connections.

        A recent answer is enough for silent attempts, which end one by one.
        """
        now_s = self._clock()
        asked = self._asked.get(record.identifier)
        recent = asked is not None and now_s - asked.at_s <= MIN_ASKING_INTERVAL_S
        if asked is not None and recent and all(attempt.silent for attempt in lost):
            return asked.accepts
        accepts = await self._accepts(record.host, record.port)
        self._asked = {
            name: answer
            for name, answer in self._asked.items()
            if now_s - answer.at_s <= MIN_ASKING_INTERVAL_S
        }
        self._asked[record.identifier] = AskedEndpoint(now_s, accepts)
        return accepts

    async def _classify(self, record: EndpointRecord) -> None:
        """Find out why attempts at an endpoint were lost, and record it."""
        incarnation = Incarnation(record.identifier, record.started_at_ms)
        try:
            await asyncio.sleep(CONFIRMATION_DELAY_S)
            accepts = await self._accepts_connections(record, self._lost[incarnation])
        except Exception:
            logger.exception("lost connections are not classified")
            accepts = True
        finally:
            lost = self._lost.pop(incarnation)
        leaving = record.draining or self._is_leaving(record.identifier)
        cause = _cause(lost, accepts=accepts, leaving=leaving)
        if not cause:
            return
        self._metrics.endpoint_losses.inc({"cause": cause})
        unproven = [attempt.job for attempt in lost if not attempt.parts_proven]
        started = [attempt.job for attempt in lost if attempt.parts_proven]
        log_event(
            "endpoint crashed" if cause == "crash" else "endpoint connections lost",
            endpoint=record.identifier,
            started_at_ms=record.started_at_ms,
            cause=cause,
            proven=len(started),
            unproven=_requests_for_log(unproven),
            started=_requests_for_log(started),
        )
        if cause == "reset":
            return
        # Whatever runs at an endpoint that leaves or can't be reached may be lost
        # there, so its parts are not suspected, but a whole request that is lost again
        # and again is.
        prompts = unproven[:MAX_LOST_PROMPTS] if cause == "crash" else []
        requests = [(*prompt_keys(job), fingerprint(job)) for job in prompts]
        requests += [
            (fingerprint(job),)
            for job in [*unproven[len(prompts) :], *started][:MAX_LOST_REQUESTS]
        ]
        facts = self._correlation.record_crash(
            incarnation,
            requests,
            lost[0].lost_s,
            orders=self._orders(lost),
        )
        self._log_repeated_losses([*unproven, *started])
        self._exchange.publish(facts)
        self._update_verdicts()

    def _orders(self, lost: list[LostAttempt]) -> dict[str, LossOrder]:
        """Return how losses at one endpoint follow earlier ones, by fingerprint."""
        orders: dict[str, LossOrder] = {}
        for loss in lost:
            key = fingerprint(loss.job)
            if loss.alone:
                orders[key] = LossOrder.ALONE
            elif self._correlation.is_retry(key, loss.begun_s):
                orders.setdefault(key, LossOrder.RETRIED)
        return orders

    def _log_repeated_losses(self, jobs: list[Job]) -> None:
        """Log the evidence against requests that were lost before."""
        for job in jobs[:MAX_LOGGED_REQUESTS]:
            key = fingerprint(job)
            evidence = self._correlation.loss_evidence(key)
            if evidence.crashes > 1:
                log_event(
                    "request lost again",
                    request=job.request.request_id,
                    key=key,
                    suspended=evidence.suspended,
                    runs_alone=evidence.runs_alone,
                    crashes=evidence.crashes,
                    moments=evidence.moments,
                    order=evidence.order.name.lower(),
                    answered_before=evidence.answered_before,
                )

    def check(self, job: Job, *, placed: bool = True) -> None:
        """Raise ``RefusedError`` if a job is suspended and this is not its trial.

        The same holds for a job that must run alone while it is not its turn. Called
        before each attempt is placed and again before it is sent, with ``placed``: a
        trial begins only then, as there may be no room for it.
        """
        if job.trial_attempt == len(job.attempts):
            return
        now_s = self._clock()
        verdicts = self._verdicts_on(job)
        for verdict in verdicts:
            if verdict.alone and job.alone_attempt == len(job.attempts):
                continue
            if verdict.alone:
                self._metrics.suspensions.inc({"event": "refused"})
                raise RefusedError(
                    "requests like this one run alone after crashes",
                    retry_after_s=MIN_RETRY_AFTER_S,
                )
            trial_s = self._correlation.next_trial_s(verdict)
            if now_s < trial_s or not self._makes_trial(verdict, now_s):
                self._metrics.suspensions.inc({"event": "refused"})
                raise RefusedError(
                    "requests like this one crash endpoints",
                    retry_after_s=max(
                        MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, trial_s - now_s)
                    ),
                )
        if not placed:
            return
        for verdict in verdicts:
            if verdict.alone:
                continue
            job.trial_attempt = len(job.attempts)
            log_event(
                "suspension trial",
                request=job.request.request_id,
                keys=_keys_for_log(verdict),
            )
            self._metrics.suspensions.inc({"event": "trial"})
            self._exchange.publish(self._correlation.begin_trial(verdict, now_s))

    async def wait_for_turn(self, job: Job) -> None:
        """Wait until a job may be sent, if requests like it must run alone.

        Returns also when the job can't wait any longer; ``check`` refuses it then.
        """
        waits = False
        while verdicts := [x for x in self._verdicts_on(job) if x.alone]:
            now_s = self._clock()
            if now_s >= job.last_start_s(now_s):
                return
            if self._take_turn(job, verdicts[0], now_s):
                return
            if not waits:
                waits = True
                self._metrics.suspensions.inc({"event": "waited"})
            await asyncio.sleep(TURN_POLL_S)

    def _take_turn(self, job: Job, verdict: Verdict, now_s: float) -> bool:
        """Take this gateway's turn to send a request alone; return whether it has it.

        The gateways have turns one after the other from the last crash on.
        """
        own = verdict.lead
        turn, into_turn_s = divmod(now_s - verdict.last_crash_s, TURN_S)
        names = sorted(
            self._membership.live_names(now_s),
            key=lambda name: _digest(f"{own} {name}".encode()),
        )
        if (
            turn < 1
            or into_turn_s > TURN_S / 2
            or names[int(turn) % len(names)] != self._membership.name
            or now_s - self._last_turns_s.get(own, -math.inf) <= TURN_S / 2
        ):
            return False
        self._last_turns_s[own] = now_s
        job.alone_attempt = len(job.attempts)
        self._metrics.suspensions.inc({"event": "alone"})
        log_event("request runs alone", request=job.request.request_id, key=own)
        return True

    def _verdicts_on(self, job: Job) -> list[Verdict]:
        """Return the verdicts in effect that apply to a job."""
        if not self._suspended and not self._correlation.has_losses:
            return []
        self._update_verdicts()
        now_s = self._clock()
        return [
            verdict
            for verdict in self._suspended.values()
            if now_s >= self._suspended_since_s[verdict.keys] + SETTLE_S
            and self._applies(verdict, job)
        ]

    def _applies(self, verdict: Verdict, job: Job) -> bool:
        parts = prompt_keys(job)
        own = None
        for key in verdict.keys:
            if not is_fingerprint(key):
                if key not in parts:
                    return False
                continue
            own = own or fingerprint(job)
            if key != own:
                return False
        return True

    def _makes_trial(self, verdict: Verdict, now_s: float) -> bool:
        """Return whether the next trial is this gateway's, by rendezvous hashing."""
        names = self._membership.live_names(now_s)
        chosen = max(names, key=lambda name: _digest(f"{verdict.lead} {name}".encode()))
        return chosen == self._membership.name

    def _update_verdicts(self) -> None:
        """Take over the verdicts that hold now, and log those that began or ended."""
        now_s = self._clock()
        current = {
            verdict.keys: verdict for verdict in self._correlation.verdicts(now_s)
        }
        previous, self._suspended = self._suspended, current
        self._suspended_since_s = {keys: self._since_s(keys, now_s) for keys in current}
        for verdict in current.values():
            known = previous.get(verdict.keys)
            if known is None or known.alone != verdict.alone:
                self._metrics.suspensions.inc({"event": "begun"})
                log_event(
                    "requests suspended",
                    keys=_keys_for_log(verdict),
                    alone=verdict.alone,
                    crashes=verdict.crashes,
                    last_crash_ms=round((now_s - verdict.last_crash_s) * 1000),
                )
        self._last_turns_s = {
            verdict.lead: self._last_turns_s[verdict.lead]
            for verdict in current.values()
            if verdict.lead in self._last_turns_s
        }
        for verdict in previous.values():
            if verdict.keys not in current:
                self._metrics.suspensions.inc({"event": "lifted"})
                log_event("suspension lifted", keys=_keys_for_log(verdict))

    def _since_s(self, keys: frozenset[str], now_s: float) -> float:
        """Return since when a verdict holds; one with a common key was the same."""
        times_s = (s for known, s in self._suspended_since_s.items() if known & keys)
        return min(times_s, default=now_s)
