"""HTTP frontend of a gateway: validates callers' requests and sends the responses.

Without a response of an endpoint, the status tells the caller whether the
request may have run: 4xx if it was rejected, 503 if it was refused and has not
run, 502 or 504 if its outcome is unknown. Each request is logged once.
"""

from __future__ import annotations

import asyncio
import math
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.gateway.crash_monitor import fingerprint
from shallotroad.gateway.exceptions import BrokenStreamError
from shallotroad.gateway.exceptions import OutcomeUnknownError
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.gateway.exceptions import RejectedError
from shallotroad.gateway.job import Job
from shallotroad.http_server.connection import CALLER_STOPPED_SENDING
from shallotroad.http_server.connection import ResponseStream
from shallotroad.http_server.exceptions import BodyTooLargeError
from shallotroad.http_server.exceptions import RequestShedError
from shallotroad.http_server.memory_account import RETRY_AFTER_S
from shallotroad.http_server.memory_account import SHED_REASONS
from shallotroad.http_server.memory_account import SMALL_BODY_BYTES
from shallotroad.http_server.memory_account import MemoryAccount
from shallotroad.http_server.message import Response
from shallotroad.http_server.server import DEFAULT_DESCRIPTORS
from shallotroad.http_server.server import DEFAULT_LIMITS
from shallotroad.http_server.server import DEFAULT_MEMORY_MB
from shallotroad.http_server.server import DEFAULT_TIMEOUTS
from shallotroad.http_server.server import RequestLimits
from shallotroad.http_server.server import Timeouts
from shallotroad.observability.event_log import log_event
from shallotroad.platform.headers import decode_request


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.catalog import Catalog
    from shallotroad.catalog.configuration import Configuration
    from shallotroad.gateway.forwarder import Forwarder
    from shallotroad.gateway.metrics import GatewayMetrics
    from shallotroad.http_server.connection import ServerRequest
    from shallotroad.http_server.message import HeaderPairs
    from shallotroad.platform.headers import CallerRequest
    from shallotroad.platform.headers import ResponseHead
    from shallotroad.policy.engine_model import EngineModel

UNCONFIGURED_RETRY_AFTER_S = 0.5
# The store responds to a starting process well within this time.
CONFIGURATION_TIMEOUT_S = 0.3
# Retry-After of what only a newer configuration may allow. Another gateway may know it.
OUTDATED_RETRY_AFTER_S = 0.5
CONFIGURATION_POLL_INTERVAL_S = 0.02
RETRY_AFTER = b"Retry-After"
# Longest time to receive a body if the caller states no deadline.
BODY_TIMEOUT_S = 30.0
# Added to the configured timeouts of callers, because a lost packet that is sent again
# arrives late through no fault of the caller.
CALLER_TIMEOUT_SLACK_S = 1.0
# Tier of requests that give way first: they match no route or have no known key.
UNKNOWN_TIER = 9
# Each reason for which callers are limited is logged at most once in this time.
LIMIT_LOG_INTERVAL_S = 1.0


class CallerStream:
    """Sends a response stream to the caller as it arrives.

    ``started_s`` is the monotonic time in seconds at which the head was sent; 0 before
    that. ``observed_max_event_gap_s`` is the longest time between two writes, without
    the time to the first event; 0 before the second write. If ``is_draining`` returns
    True when the head is sent, the caller's connection is closed after the response.
    ``on_start`` is called when the head is set.
    """

    def __init__(
        self, *, request: ServerRequest, is_draining: Callable[[], bool]
    ) -> None:
        self._is_draining = is_draining
        self.on_start: Callable[[], None] = lambda: None
        self._response = ResponseStream(request=request)
        self.started_s = 0.0
        self.observed_max_event_gap_s = 0.0
        self._last_write_s = 0.0

    async def start(self, head: ResponseHead) -> None:
        """Set the head of the response, which is sent with the first events.

        Called once, with the head of the endpoint at which the stream began, and not
        again when another endpoint resumes the stream.
        """
        self.started_s = asyncio.get_running_loop().time()
        self._response.start(head.status, head.forwarded, closes=self._is_draining())
        self.on_start()

    async def write(self, data: bytes) -> None:
        """Send complete events and record the longest event gap."""
        now_s = asyncio.get_running_loop().time()
        if self._last_write_s:
            event_gap_s = now_s - self._last_write_s
            self.observed_max_event_gap_s = max(
                self.observed_max_event_gap_s, event_gap_s
            )
        self._last_write_s = now_s
        await self._response.write(data)

    async def finish(self) -> None:
        """Mark the stream as complete."""
        await self._response.finish()

    def break_off(self) -> None:
        """Close the connection so that the stream does not look complete."""
        self._response.break_off()


def _release_body(request: ServerRequest, job: Job) -> None:
    """Free the large body of a stream that has begun and can't be sent again."""
    may_retry = job.route.repeatable and job.possible_runs + 1 < job.route.max_attempts
    if may_retry or len(job.body) <= SMALL_BODY_BYTES:
        return
    fingerprint(job)  # It stays known without the body.
    job.body = b""
    request.release_body()


class HttpFrontend:
    """Receives requests from callers and gives each exactly one response.

    ``draining`` closes each connection after its response; ``refusing`` also
    refuses new requests. ``cut_off_s`` is the monotonic time at which unfinished
    requests are cut: infinity until the process stops. A request that arrives later,
    must run once and could still run then is refused.

    Parameters
    ----------
    is_outdated : callable
        Returns whether there may be a newer configuration than the one in force.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        forwarder: Forwarder,
        data_centre: str,
        engine_model: Callable[[str], EngineModel],
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        is_outdated: Callable[[], bool],
        account: MemoryAccount | None = None,
    ) -> None:
        self._is_outdated = is_outdated
        self._engine_model = engine_model
        self.account = account or MemoryAccount.for_process(
            memory_mb=DEFAULT_MEMORY_MB, descriptors=DEFAULT_DESCRIPTORS
        )
        self.account.on_closed = self._record_closed
        self.account.on_refused = self._record_refused
        self._limit_log_s: dict[str, float] = {}
        self._catalog = catalog
        self._forwarder = forwarder
        self._data_centre = data_centre
        self._clock = clock
        self.draining = False
        self.refusing = False
        self.cut_off_s = math.inf
        self.open_requests = 0
        self._metrics = metrics

    def caller_timeouts(self) -> Timeouts:
        """Return the timeouts of callers that the configuration sets."""
        configuration = self._catalog.configuration
        if configuration is None:
            return DEFAULT_TIMEOUTS
        limits = configuration.limits
        return Timeouts(
            head_s=limits.header_timeout_ms / 1000 + CALLER_TIMEOUT_SLACK_S,
            idle_s=limits.idle_timeout_ms / 1000 + CALLER_TIMEOUT_SLACK_S,
        )

    def request_limits(self) -> RequestLimits:
        """Return the limits of callers' requests that the configuration sets."""
        configuration = self._catalog.configuration
        if configuration is None:
            return DEFAULT_LIMITS
        limits = configuration.limits
        return RequestLimits(limits.header_bytes, limits.body_bytes)

    def tier_of(self, request: ServerRequest) -> int:
        """Return the tier of a request that may not have been read whole."""
        configuration = self._catalog.configuration
        if configuration is None:
            return UNKNOWN_TIER
        decoded = decode_request(request.method, request.target, request.headers)
        route = configuration.match_route(
            decoded.host, decoded.target.partition("?")[0]
        )
        if route is None:
            return UNKNOWN_TIER
        team = configuration.team_for_key(decoded.api_key)
        if team is None and configuration.requires_keys and not route.public:
            return UNKNOWN_TIER
        if team is None or team.tier is None:
            return route.tier
        return team.tier

    def _record_closed(self, reason: str) -> None:
        """Count and log a connection that was closed to keep a limit."""
        self._metrics.limit_closes.inc({"reason": reason})
        self._log_limit("caller connection closed", reason)

    def _record_refused(self, reason: str) -> None:
        """Count and log a request that was refused to keep a limit."""
        self._metrics.limit_refusals.inc({"reason": reason})
        self._log_limit("caller request shed", reason)

    def _log_limit(self, event: str, reason: str) -> None:
        now_s = self._clock()
        key = event + reason
        if now_s - self._limit_log_s.get(key, -math.inf) < LIMIT_LOG_INTERVAL_S:
            return
        self._limit_log_s[key] = now_s
        log_event(
            event,
            why=reason,
            held_bytes=self.account.held_bytes,
            limit_bytes=self.account.max_bytes,
            connections=self.account.connections,
        )

    def record_unanswered(self, count: int, reason: str) -> None:
        """Count and log requests whose connection ended without a response to them."""
        self._metrics.unanswered.add({"reason": reason}, count)
        log_event("requests left unanswered", n=count, why=reason)

    async def handle(self, request: ServerRequest) -> Response | None:
        """Serve one request of a caller; return None if its response was streamed."""
        arrival_s = self._clock()
        self.open_requests += 1
        try:
            return await self._serve(request, arrival_s)
        finally:
            self.open_requests -= 1

    async def _serve(self, request: ServerRequest, arrival_s: float) -> Response | None:
        """Decode, forward and log a request, and turn errors into responses.

        A broken stream closes the caller's connection.
        """
        decoded = decode_request(request.method, request.target, request.headers)
        stream = CallerStream(request=request, is_draining=lambda: self.draining)
        job: Job | None = None
        outcome = "left"
        reason = ""
        try:
            try:
                job = await self._create_job(request, decoded, arrival_s)
                stream.on_start = partial(_release_body, request, job)
                response = await self._forwarder.run(job, stream)
            except asyncio.CancelledError:
                if not request.interruption:
                    raise
                raise self._interruption_error(request, job, stream) from None
            outcome = "answered"
            if response is None:
                await stream.finish()
                return None
            outcome = f"status {response.head.status}"
            return self._response(
                response.head.status,
                headers=response.head.forwarded,
                body=response.body,
            )
        except RefusedError as error:
            outcome, reason = "refused", error.reason
            return self._refused_response(error)
        except RejectedError as error:
            outcome, reason = f"rejected {error.status}", error.reason
            return self._response(error.status)
        except OutcomeUnknownError as error:
            outcome, reason = "unknown", error.reason
            return self._response(error.status)
        except BrokenStreamError as error:
            outcome, reason = "broken", str(error)
            stream.break_off()
            return None
        except ConnectionError as error:
            outcome, reason = "left", repr(error)
            raise
        except Exception as error:
            outcome, reason = "error", repr(error)
            logger.exception("request failed")
            raise
        finally:
            if request.interruption == CALLER_STOPPED_SENDING:
                outcome = "left"
            self._log_finished(decoded, job, stream, outcome, reason, arrival_s)

    def _interruption_error(
        self, request: ServerRequest, job: Job | None, stream: CallerStream
    ) -> RefusedError | OutcomeUnknownError | BrokenStreamError:
        """Return the error that tells the caller what is known of its request."""
        if stream.started_s:
            return BrokenStreamError(request.interruption)
        if job is not None and job.possible_runs:
            return OutcomeUnknownError(request.interruption, status=502)
        gives_way = request.interruption in SHED_REASONS
        return RefusedError(
            request.interruption, retry_after_s=RETRY_AFTER_S if gives_way else 0.0
        )

    def _log_finished(
        self,
        decoded: CallerRequest,
        job: Job | None,
        stream: CallerStream,
        outcome: str,
        reason: str,
        arrival_s: float,
    ) -> None:
        now_s = self._clock()
        self._record_metrics(job, stream, outcome, arrival_s, now_s)
        fields: dict[str, object] = {
            "request": decoded.request_id,
            "outcome": outcome,
            "ms": round((now_s - arrival_s) * 1000, 1),
        }
        if reason:
            fields["why"] = reason
        if job is not None:
            fields |= {
                "route": job.route.name,
                "kind": job.route.kind.value,
                "tier": job.tier,
                "version": job.version,
                "waited_ms": round(job.waited_ms, 1),
                "attempts": job.placement_inputs,
                "parts": [list(part) for part in job.request.prompt_parts[:-1]],
                "tokens": job.request.prompt_tokens,
            }
        if stream.started_s:
            fields["first_ms"] = round((stream.started_s - arrival_s) * 1000, 1)
            fields["longest_pause_ms"] = round(
                stream.observed_max_event_gap_s * 1000, 1
            )
        log_event("request finished", **fields)

    def _record_metrics(
        self,
        job: Job | None,
        stream: CallerStream,
        outcome: str,
        arrival_s: float,
        now_s: float,
    ) -> None:
        kind = job.route.kind.value if job is not None else "none"
        self._metrics.requests.inc({"kind": kind, "outcome": outcome})
        if job is None:
            return
        self._metrics.request_s.observe({"kind": kind}, now_s - arrival_s)
        self._metrics.waited_s.observe({"kind": kind}, job.waited_ms / 1000)
        if stream.started_s:
            self._metrics.first_event_s.observe(
                {"kind": kind}, stream.started_s - arrival_s
            )

    async def _create_job(
        self, request: ServerRequest, decoded: CallerRequest, arrival_s: float
    ) -> Job:
        """Validate a request, read its body and return its job.

        Raises
        ------
        RefusedError
            When the process refuses new requests or has no configuration, or one that
            does not allow the request and may be outdated, the request could be cut by
            the stop, or only a last response is wanted.
        RejectedError
            When the headers (431) or the body (413) are too large, the body takes too
            long (408), no route matches (404), the API key is not known (401), or there
            is no request id (400).
        ConnectionResetError
            When the body is incomplete or the caller has closed the connection.
        """
        if request.interruption:
            raise RefusedError(request.interruption, retry_after_s=0.0)
        # A body that ends after the stop signal belongs to a request from before it.
        cut_off_s = self.cut_off_s
        configuration = await self._wait_for_configuration()
        if self.refusing:
            raise RefusedError("the process is stopping", retry_after_s=0.0)
        if configuration is None:
            raise RefusedError(
                "no configuration yet", retry_after_s=UNCONFIGURED_RETRY_AFTER_S
            )
        head_bytes = sum(len(name) + len(value) for name, value in request.headers)
        if head_bytes > configuration.limits.header_bytes:
            raise RejectedError("headers are too large", status=431)
        body_limit_bytes = configuration.limits.body_bytes
        if decoded.expects_continue and (
            (request.announced_bytes or 0) <= body_limit_bytes
        ):
            request.send_continue()
        body = await self._read_body(request, decoded.deadline_ms, body_limit_bytes)
        await self._check_connected(request)
        configuration = self._catalog.configuration or configuration
        path = decoded.target.partition("?")[0]
        route = configuration.match_route(decoded.host, path)
        if route is None:
            raise self._not_allowed_error("no route", status=404)
        team = None
        if configuration.requires_keys and not route.public:
            team = configuration.team_for_key(decoded.api_key)
            if team is None:
                raise self._not_allowed_error("key is not known", status=401)
        if not decoded.request_id:
            raise RejectedError("no request id", status=400)
        # A stream goes on at the service that began it.
        service = configuration.choose_service(
            route, decoded.resumes or decoded.request_id
        )
        job = Job(
            request=decoded,
            body=body,
            route=route,
            service=service,
            team=team,
            data_centre=self._data_centre,
            arrival_s=arrival_s,
            version=configuration.version,
            gap_tolerant=configuration.is_gap_tolerant(route, service.name),
            min_event_gap_limit_ms=configuration.min_event_gap_limit_ms(service.name),
            engine_model=self._engine_model(service.name),
        )
        request.can_refuse = lambda: not job.attempts
        if not route.repeatable and job.expected_end_s() > cut_off_s:
            raise RefusedError("too late before the stop", retry_after_s=0.0)
        return job

    def _not_allowed_error(
        self, reason: str, *, status: int
    ) -> RefusedError | RejectedError:
        """Return the error of a request that the configuration does not allow.

        The caller is told to come back if a newer one may allow it.
        """
        if not self._is_outdated():
            return RejectedError(reason, status=status)
        return RefusedError(
            f"{reason} in a configuration that may be outdated",
            retry_after_s=OUTDATED_RETRY_AFTER_S,
        )

    async def _check_connected(self, request: ServerRequest) -> None:
        """Raise ``ConnectionResetError`` if the caller has closed the connection.

        Yields to the event loop once, so that it can read the end of the
        connection. Callers have often left when their requests stayed unread for
        a while, such as during the start of the process.
        """
        await asyncio.sleep(0)
        if not request.connected:
            raise ConnectionResetError("caller closed the connection")

    async def _wait_for_configuration(self) -> Configuration | None:
        """Return the configuration, waiting briefly for the first one after a start.

        Returns None when there is none after ``CONFIGURATION_TIMEOUT_S``.
        """
        timeout_at_s = self._clock() + CONFIGURATION_TIMEOUT_S
        while self._catalog.configuration is None and self._clock() < timeout_at_s:
            await asyncio.sleep(CONFIGURATION_POLL_INTERVAL_S)
        return self._catalog.configuration

    async def _read_body(
        self, request: ServerRequest, deadline_ms: float | None, max_bytes: int
    ) -> bytes:
        """Return the body of a request.

        Raises
        ------
        RejectedError
            When it is larger than ``max_bytes``, status 413, or not complete by the
            caller's deadline, status 408.
        RefusedError
            When it has to give way to keep the limits of the process.
        """
        timeout_s = deadline_ms / 1000 if deadline_ms else BODY_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                return await request.read_body(max_bytes)
        except BodyTooLargeError as error:
            raise RejectedError(str(error), status=413) from error
        except RequestShedError as error:
            raise RefusedError(str(error), retry_after_s=RETRY_AFTER_S) from error
        except TimeoutError:
            raise RejectedError(
                f"the body is not complete after {timeout_s:.1f} s", status=408
            ) from None

    def _refused_response(self, error: RefusedError) -> Response:
        retry_after = f"{error.retry_after_s:.2f}".encode()
        return self._response(503, headers=((RETRY_AFTER, retry_after),))

    def _response(
        self, status: int, *, headers: HeaderPairs = (), body: bytes = b""
    ) -> Response:
        return Response(status, headers, body, closes=self.draining)
