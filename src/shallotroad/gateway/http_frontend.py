"""Callers' HTTP on the users' machines: checks, answers and refusals."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
from loguru import logger
from multidict import CIMultiDict

from shallotroad.gateway.exceptions import BrokenStreamError
from shallotroad.gateway.exceptions import OutcomeUnknownError
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.gateway.exceptions import RejectedError
from shallotroad.gateway.job import Job
from shallotroad.observability.event_log import log_event
from shallotroad.platform.headers import decode_request


if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web_protocol import RequestHandler

    from shallotroad.catalog.catalog import Catalog
    from shallotroad.catalog.configuration import Configuration
    from shallotroad.gateway.forwarder import Forwarder
    from shallotroad.gateway.metrics import GatewayMetrics
    from shallotroad.platform.headers import CallerRequest
    from shallotroad.platform.headers import ResponseHead

UNCONFIGURED_RETRY_AFTER_S = 0.5
CONFIGURATION_TIMEOUT_S = 0.3  # the store answers a starting process well within this
CONFIGURATION_POLL_INTERVAL_S = 0.02
RETRY_AFTER = "Retry-After"


def _headers(head: ResponseHead) -> CIMultiDict[str]:
    pairs = ((n.decode("latin-1"), v.decode("latin-1")) for n, v in head.forwarded)
    return CIMultiDict(pairs)


class CallerStream:
    """Sends a stream to the caller as it arrives."""

    def __init__(
        self, *, request: web.BaseRequest, draining: Callable[[], bool]
    ) -> None:
        self._request = request
        self._draining = draining
        self.response: web.StreamResponse | None = None
        self.started_s = 0.0
        self.observed_max_event_gap_s = 0.0
        self._written_s = 0.0

    async def start(self, head: ResponseHead) -> None:
        """Send the head of the first endpoint's answer."""
        response = web.StreamResponse(status=head.status, headers=_headers(head))
        response.enable_chunked_encoding()
        if self._draining():
            response.force_close()
        self.response = response
        self.started_s = asyncio.get_running_loop().time()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send whole events."""
        assert self.response is not None
        now_s = asyncio.get_running_loop().time()
        if self._written_s:
            event_gap_s = now_s - self._written_s
            self.observed_max_event_gap_s = max(
                self.observed_max_event_gap_s, event_gap_s
            )
        self._written_s = now_s
        await self.response.write(data)


class HttpFrontend:
    """Takes requests from callers and gives each exactly one answer."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        forwarder: Forwarder,
        data_centre: str,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._catalog = catalog
        self._forwarder = forwarder
        self._data_centre = data_centre
        self._clock = clock
        self.draining = False
        self.refusing = False
        self.open_requests = 0
        self.busy: set[RequestHandler] = set()
        self._metrics = metrics

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        arrival_s = self._clock()
        self.open_requests += 1
        self.busy.add(request.protocol)
        try:
            return await self._serve(request, arrival_s)
        finally:
            self.open_requests -= 1
            self.busy.discard(request.protocol)

    async def _serve(
        self, request: web.BaseRequest, arrival_s: float
    ) -> web.StreamResponse:
        decoded = decode_request(request.method, request.raw_path, request.raw_headers)
        stream = CallerStream(request=request, draining=lambda: self.draining)
        job: Job | None = None
        outcome = "left"
        why = ""
        try:
            job = await self._accept(request, decoded, arrival_s)
            response = await self._forwarder.run(job, stream)
            outcome = "answered"
            if response is None:
                assert stream.response is not None
                await stream.response.write_eof()
                return stream.response
            outcome = f"status {response.head.status}"
            return self._finish(
                web.Response(
                    status=response.head.status,
                    headers=_headers(response.head),
                    body=response.body,
                )
            )
        except RefusedError as error:
            outcome, why = "refused", error.reason
            return self._refusal(error)
        except RejectedError as error:
            outcome, why = f"rejected {error.status}", error.reason
            return self._finish(web.Response(status=error.status))
        except OutcomeUnknownError as error:
            outcome, why = "unknown", error.reason
            return self._finish(web.Response(status=error.status))
        except BrokenStreamError as error:
            outcome, why = "broken", str(error)
            if request.transport is not None:
                request.transport.close()
            assert stream.response is not None
            return stream.response
        except ConnectionError as error:
            outcome, why = "left", repr(error)
            raise
        except Exception as error:
            outcome, why = "error", repr(error)
            logger.exception("request failed")
            raise
        finally:
            self._log(decoded, job, stream, outcome, why, arrival_s)

    def _log(
        self,
        decoded: CallerRequest,
        job: Job | None,
        stream: CallerStream,
        outcome: str,
        why: str,
        arrival_s: float,
    ) -> None:
        now_s = self._clock()
        self._count(job, stream, outcome, arrival_s, now_s)
        inputs: dict[str, object] = {
            "request": decoded.request_id,
            "outcome": outcome,
            "ms": round((now_s - arrival_s) * 1000, 1),
        }
        if why:
            inputs["why"] = why
        if job is not None:
            inputs |= {
                "route": job.route.name,
                "kind": job.route.kind.value,
                "tier": job.tier,
                "version": job.version,
                "waited_ms": round(job.waited_ms, 1),
                "attempts": job.choices,
                "parts": [list(part) for part in job.request.prompt_parts[:-1]],
                "tokens": job.request.prompt_tokens,
            }
        if stream.started_s:
            inputs["first_ms"] = round((stream.started_s - arrival_s) * 1000, 1)
            inputs["longest_pause_ms"] = round(
                stream.observed_max_event_gap_s * 1000, 1
            )
        log_event("request finished", **inputs)

    def _count(
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

    async def _accept(
        self, request: web.BaseRequest, decoded: CallerRequest, arrival_s: float
    ) -> Job:
        configuration = await self._configuration()
        if self.refusing:
            raise RefusedError("the process is stopping", retry_after_s=0.0)
        if configuration is None:
            raise RefusedError(
                "no configuration yet", retry_after_s=UNCONFIGURED_RETRY_AFTER_S
            )
        head_bytes = sum(len(n) + len(v) for n, v in request.raw_headers)
        if head_bytes > configuration.limits.header_bytes:
            raise RejectedError("headers are too large", status=431)
        if decoded.expects_continue:
            assert request.transport is not None
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            body = await self._read(request, configuration.limits.body_bytes)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("body ends early") from error
        await self._check_presence(request)
        configuration = self._catalog.configuration or configuration
        path = decoded.target.partition("?")[0]
        route = configuration.match_route(decoded.host, path)
        if route is None:
            raise RejectedError("no route", status=404)
        team = None
        if configuration.requires_keys and not route.public:
            team = configuration.team_for_key(decoded.api_key)
            if team is None:
                raise RejectedError("key is not known", status=401)
        if not decoded.request_id:
            raise RejectedError("no request id", status=400)
        target = configuration.choose_service(route, decoded.request_id)
        return Job(
            request=decoded,
            body=body,
            route=route,
            service=target,
            team=team,
            data_centre=self._data_centre,
            arrival_s=arrival_s,
            version=configuration.version,
            gap_tolerant=configuration.is_gap_tolerant(route, target.name),
            shortest_pause_ms=configuration.min_event_gap_limit_ms(target.name),
        )

    async def _check_presence(self, request: web.BaseRequest) -> None:
        """Let the loop read what follows a request; it may be the caller's end.

        Requests that waited unread, as while a process starts, are often of callers
        who have left.
        """
        await asyncio.sleep(0)
        if request.transport is None or request.transport.is_closing():
            raise ConnectionResetError("caller has left")

    async def _configuration(self) -> Configuration | None:
        """Wait a moment for the first configuration of a process that starts."""
        last_s = self._clock() + CONFIGURATION_TIMEOUT_S
        while self._catalog.configuration is None and self._clock() < last_s:
            await asyncio.sleep(CONFIGURATION_POLL_INTERVAL_S)
        return self._catalog.configuration

    async def _read(self, request: web.BaseRequest, max_bytes: int) -> bytes:
        if not request.can_read_body:
            return b""
        body = bytearray()
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > max_bytes:
                raise RejectedError("body is too large", status=413)
        return bytes(body)

    def _refusal(self, error: RefusedError) -> web.Response:
        response = web.Response(
            status=503, headers={RETRY_AFTER: f"{error.retry_after_s:.2f}"}
        )
        return self._finish(response)

    def _finish(self, response: web.Response) -> web.Response:
        if self.draining:
            response.force_close()
        return response
