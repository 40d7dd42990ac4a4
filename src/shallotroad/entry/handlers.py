"""HTTP handlers for callers: chat completions, service calls and idempotency keys.

A handler authenticates and classifies a request, then streams the response
that the dispatcher obtains. An error before the first chunk becomes a JSON
error response; a later one is sent as an event within the stream.
"""

from __future__ import annotations

import contextlib
import secrets
import time
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web
from loguru import logger

from shallotroad.entry import classify
from shallotroad.entry.api_errors import DONE
from shallotroad.entry.api_errors import OUTCOME_HEADER
from shallotroad.entry.api_errors import REQUEST_ID_HEADER
from shallotroad.entry.api_errors import RequestError
from shallotroad.entry.api_errors import error_event
from shallotroad.entry.api_errors import error_response
from shallotroad.entry.api_errors import outcome_of
from shallotroad.entry.caller_stream import CallerStream
from shallotroad.entry.caller_stream import parse_last_event_id
from shallotroad.entry.exceptions import BadRequestError
from shallotroad.entry.exceptions import NotRunError
from shallotroad.entry.exceptions import OutcomeUnknownError
from shallotroad.entry.routing import IDEMPOTENCY_KEY_HEADER
from shallotroad.entry.routing import key_owner_request
from shallotroad.entry.routing import route_chat_request
from shallotroad.entry.routing import route_service_request
from shallotroad.protocol.idempotency_key import issue_key


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from shallotroad.config.fleet_config import Team
    from shallotroad.config.fleet_config import TeamService
    from shallotroad.entry.context import EntryContext
    from shallotroad.entry.dispatcher import ResponseChunk
    from shallotroad.entry.request import RoutedRequest

REQUEST_ID_BYTES = 9
REQUEST_CLASS_HEADER = "X-Request-Class"
LAST_EVENT_ID_HEADER = "Last-Event-ID"
# Recorded in the metrics unless the response completes or fails with a known error;
# usually the caller has disconnected or reads too slowly.
UNFINISHED_OUTCOME_AND_CODE = ("unfinished", "caller_gone")
REQUEST_ERRORS = (NotRunError, OutcomeUnknownError, BadRequestError)


def read_or_create_request_id(request: web.Request) -> str:
    """Return the caller's request id, or a new random one.

    The caller's id is used only if it has at most 64 characters and consists of
    letters, digits and hyphens.
    """
    request_id = request.headers.get(REQUEST_ID_HEADER, "")
    if request_id and len(request_id) <= 64 and request_id.replace("-", "").isalnum():
        return request_id
    return secrets.token_hex(REQUEST_ID_BYTES)


class CallerHandlers:
    """Handlers of the routes that an entry offers to callers."""

    def __init__(self, *, context: EntryContext) -> None:
        self._context = context

    def add_routes(self, app: web.Application) -> None:
        """Register the handlers with an application.

        The paths are ``/v1/chat/completions``, ``/v1/models``,
        ``/v1/idempotency-keys``, ``/v1/services/SERVICE/PATH`` with any method, and
        ``/debug/explain``.
        """
        app.router.add_post("/v1/chat/completions", self.complete_chat)
        app.router.add_get("/v1/models", self.list_models)
        app.router.add_post("/v1/idempotency-keys", self.issue_idempotency_key)
        app.router.add_post("/debug/explain", self.explain_routing)
        app.router.add_route("*", "/v1/services/{service}/{tail:.*}", self.call_service)

    async def list_models(self, request: web.Request) -> web.StreamResponse:
        """List the models that the caller's team may use."""
        request_id = read_or_create_request_id(request)
        try:
            team = self._context.authenticate(request)
        except REQUEST_ERRORS as error:
            return error_response(error, request_id=request_id)
        models = sorted({model for row in team.classes for model in row.models})
        rows = [
            {"id": model, "object": "model", "created": 0, "owned_by": "shallotroad"}
            for model in models
        ]
        return web.json_response({"object": "list", "data": rows})

    async def complete_chat(self, request: web.Request) -> web.StreamResponse:
        """Run a chat completion, or resume the response of an earlier one.

        A request with a ``Last-Event-ID`` header resumes the response after that
        event, for a caller whose connection broke.
        """
        request_id = read_or_create_request_id(request)
        try:
            team = self._context.authenticate(request)
            if LAST_EVENT_ID_HEADER in request.headers:
                return await self._resume(request, team, request_id)
            body = await request.read()
            chat = classify.read_chat(body)
            requested_class = request.headers.get(REQUEST_CLASS_HEADER, "")
            request_class = classify.choose_class(team, chat, requested_class)
            await self._context.check_rate_limit(team)
        except REQUEST_ERRORS as error:
            return error_response(error, request_id=request_id)
        routed = route_chat_request(team, request_class, chat, body, request_id)
        response_chunks = self._context.dispatcher.run(routed)
        return await self._send_response(request, routed, response_chunks)

    async def _resume(
        self, request: web.Request, team: Team, request_id: str
    ) -> web.StreamResponse:
        position = parse_last_event_id(request.headers[LAST_EVENT_ID_HEADER])
        response_chunks = self._context.dispatcher.resume(
            attempt_id=position.attempt,
            instance=position.instance,
            seq=position.seq,
            team=team.name,
        )
        stream = self._new_stream(request, request_id)
        try:
            async for response_chunk in response_chunks:
                await stream.write_chunk(response_chunk)
        except REQUEST_ERRORS as error:
            if stream.response is None:
                return error_response(error, request_id=request_id)
            await stream.write(error_event(error))
        await stream.close()
        if stream.response is None:
            return web.Response(
                body=b"data: [DONE]\n\n",
                content_type="text/event-stream",
                headers={OUTCOME_HEADER: DONE, REQUEST_ID_HEADER: request_id},
            )
        return stream.response

    def _new_stream(self, request: web.Request, request_id: str) -> CallerStream:
        return CallerStream(
            request=request,
            request_id=request_id,
            slow_caller_s=self._context.limits.slow_caller_s,
        )

    async def call_service(self, request: web.Request) -> web.StreamResponse:
        """Forward a call to a service.

        A call that must run at most once needs an idempotency key; without one
        it is refused with status 428 and a new key.
        """
        request_id = read_or_create_request_id(request)
        keyed = IDEMPOTENCY_KEY_HEADER in request.headers
        try:
            team = self._context.authenticate(request)
            service = classify.find_service(team, request.match_info["service"])
            body = await request.read()
            routed = route_service_request(team, service, request, body, request_id)
            if not routed.repeatable and not keyed:
                return await self._require_key(team, service, request_id)
            if routed.repeatable:
                await self._context.check_rate_limit(team)
        except REQUEST_ERRORS as error:
            return error_response(error, request_id=request_id, keyed=keyed)
        response_chunks = self._context.dispatcher.run(routed)
        return await self._send_response(request, routed, response_chunks)

    async def _send_response(
        self,
        request: web.Request,
        routed: RoutedRequest,
        response_chunks: AsyncIterator[ResponseChunk],
    ) -> web.StreamResponse:
        stream = self._new_stream(request, routed.request_id)
        context = self._context
        context.open_requests += 1
        outcome, code = UNFINISHED_OUTCOME_AND_CODE
        try:
            await self._write_chunks(stream, routed, response_chunks)
            outcome, code = DONE, ""
        except REQUEST_ERRORS as error:
            outcome, code = outcome_of(error, keyed=False), error.code
            if stream.response is None:
                return await self._refusal_response(request, routed, error)
            await stream.write(error_event(error))
        except ConnectionError:
            logger.info(
                "request {}: caller disconnected or did not read the response in time",
                routed.request_id,
            )
        finally:
            context.open_requests -= 1
            context.request_metrics.record_outcome(
                routed.team, routed.request_class, outcome, code
            )
            await response_chunks.aclose()  # type: ignore[attr-defined]
        await stream.close()
        return stream.response or web.Response(status=204)

    async def _refusal_response(
        self, request: web.Request, routed: RoutedRequest, error: RequestError
    ) -> web.StreamResponse:
        """Return the error response, with a new idempotency key if one is needed.

        A key whose call was refused never runs, so a retry needs a new one: the header
        ``Idempotency-Key`` has it if the call had a key and the error is a
        ``NotRunError``. The response has no new key when none can be issued.
        """
        response = error_response(error, request_id=routed.request_id)
        if routed.idempotency_key and isinstance(error, NotRunError):
            with contextlib.suppress(*REQUEST_ERRORS):
                team = self._context.authenticate(request)
                service = classify.find_service(team, routed.target)
                key = await self._issue_key(team, service, routed.request_id)
                response.headers[IDEMPOTENCY_KEY_HEADER] = key
        return response

    async def _write_chunks(
        self,
        stream: CallerStream,
        routed: RoutedRequest,
        response_chunks: AsyncIterator[ResponseChunk],
    ) -> None:
        started_s = time.monotonic()
        request_metrics = self._context.request_metrics
        chunk_count = 0
        try:
            async for response_chunk in response_chunks:
                if chunk_count == 0:
                    request_metrics.record_first_token(routed, began_s=started_s)
                await stream.write_chunk(response_chunk)
                chunk_count += len(response_chunk.chunks)
        finally:
            request_metrics.record_delivered(routed, chunk_count)

    async def issue_idempotency_key(self, request: web.Request) -> web.StreamResponse:
        """Issue an idempotency key for a call that must run at most once.

        The JSON body names the ``service``; the JSON response has the key in
        ``idempotency_key``. The key expires after ``KEY_LIFETIME_S``, which is an hour.
        """
        request_id = read_or_create_request_id(request)
        try:
            team = self._context.authenticate(request)
            data: Any = await request.json()
            name = data.get("service", "") if isinstance(data, dict) else ""
            service = classify.find_service(team, str(name))
            key = await self._issue_key(team, service, request_id)
        except REQUEST_ERRORS as error:
            return error_response(error, request_id=request_id)
        except ValueError:
            malformed = BadRequestError(
                status=400, code="invalid_request", detail="the body is not JSON"
            )
            return error_response(malformed, request_id=request_id)
        return web.json_response({"idempotency_key": key})

    async def _issue_key(
        self, team: Team, service: TeamService, request_id: str
    ) -> str:
        owner_request = key_owner_request(team, service, request_id)
        peer = await self._context.dispatcher.wait_for_peer(owner_request)
        return issue_key(
            team=team.name,
            target=service.name,
            owner=peer.name,
            incarnation=peer.incarnation,
            now_s=time.time(),
            secret=self._context.fleet_key,
        )

    async def _require_key(
        self, team: Team, service: TeamService, request_id: str
    ) -> web.StreamResponse:
        """Refuse a call that has no idempotency key, with status 428.

        The header ``Idempotency-Key`` of the response has a new key. Raises
        ``NotRunError`` if the team is over its rate limit or no key can be issued.
        """
        await self._context.check_rate_limit(team)
        error = NotRunError(
            status=428,
            code="idempotency_key_required",
            detail=(
                "this call must run at most once: send it again, and every "
                "re-send, with the Idempotency-Key of this answer"
            ),
        )
        response = error_response(error, request_id=request_id)
        response.headers[IDEMPOTENCY_KEY_HEADER] = await self._issue_key(
            team, service, request_id
        )
        return response

    async def explain_routing(self, request: web.Request) -> web.StreamResponse:
        """Return the candidates for a chat request, and why other agents are none.

        The request is not run and does not count against the rate limit.
        """
        request_id = read_or_create_request_id(request)
        try:
            team = self._context.authenticate(request)
            body = await request.read()
            chat = classify.read_chat(body)
            requested_class = request.headers.get(REQUEST_CLASS_HEADER, "")
            request_class = classify.choose_class(team, chat, requested_class)
        except REQUEST_ERRORS as error:
            return error_response(error, request_id=request_id)
        routed = route_chat_request(team, request_class, chat, body, request_id)
        explanation = self._context.selector.explain(routed)
        explanation["class"] = request_class.name
        explanation["tier"] = request_class.tier
        return web.json_response(explanation)
