"""HTTP handlers towards callers."""

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
from shallotroad.entry.api_errors import REQUEST_HEADER
from shallotroad.entry.api_errors import RequestError
from shallotroad.entry.api_errors import error_event
from shallotroad.entry.api_errors import error_response
from shallotroad.entry.api_errors import outcome_of
from shallotroad.entry.caller_stream import CallerStream
from shallotroad.entry.caller_stream import parse_last_event_id
from shallotroad.entry.exceptions import BadRequestError
from shallotroad.entry.exceptions import NotRunError
from shallotroad.entry.exceptions import OutcomeUnknownError
from shallotroad.entry.routing import KEY_HEADER
from shallotroad.entry.routing import chat_request
from shallotroad.entry.routing import key_request
from shallotroad.entry.routing import service_request
from shallotroad.protocol.idempotency_key import issue_key


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from shallotroad.config.fleet_config import Team
    from shallotroad.config.fleet_config import TeamService
    from shallotroad.entry.context import EntryContext
    from shallotroad.entry.dispatcher import ResponseChunk
    from shallotroad.entry.request import RoutedRequest

REQUEST_BYTES = 9
CLASS_HEADER = "X-Request-Class"
RESUME_HEADER = "Last-Event-ID"
UNFINISHED = ("unfinished", "caller_gone")
ERRORS = (NotRunError, OutcomeUnknownError, BadRequestError)


def new_request_id(request: web.Request) -> str:
    """Return the caller's request id when it is a plain one, else a new one."""
    given = request.headers.get(REQUEST_HEADER, "")
    if given and len(given) <= 64 and given.replace("-", "").isalnum():
        return given
    return secrets.token_hex(REQUEST_BYTES)


class Handlers:
    """The routes of an entry."""

    def __init__(self, *, context: EntryContext) -> None:
        self._context = context

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for callers."""
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_get("/v1/models", self.models)
        app.router.add_post("/v1/idempotency-keys", self.issue)
        app.router.add_post("/debug/explain", self.explain)
        app.router.add_route("*", "/v1/services/{service}/{tail:.*}", self.service)

    async def models(self, request: web.Request) -> web.StreamResponse:
        """List the models that the caller's team may use."""
        request_id = new_request_id(request)
        try:
            team = self._context.team_of(request)
        except ERRORS as error:
            return error_response(error, request_id=request_id)
        names = sorted({model for item in team.classes for model in item.models})
        rows = [
            {"id": model, "object": "model", "created": 0, "owned_by": "shallotroad"}
            for model in names
        ]
        return web.json_response({"object": "list", "data": rows})

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Answer a chat completion, or go on with one after a dropped line."""
        request_id = new_request_id(request)
        try:
            team = self._context.team_of(request)
            if RESUME_HEADER in request.headers:
                return await self._resume(request, team, request_id)
            body = await request.read()
            chat = classify.read_chat(body)
            asked = request.headers.get(CLASS_HEADER, "")
            item = classify.choose_class(team, chat, asked)
            await self._context.check_limit(team)
        except ERRORS as error:
            return error_response(error, request_id=request_id)
        routed = chat_request(team, item, chat, body, request_id)
        response_chunks = self._context.dispatcher.run(routed)
        return await self._send_response(request, routed, response_chunks)

    async def _resume(
        self, request: web.Request, team: Team, request_id: str
    ) -> web.StreamResponse:
        position = parse_last_event_id(request.headers[RESUME_HEADER])
        response_chunks = self._context.dispatcher.resume(
            attempt_id=position.attempt,
            instance=position.instance,
            seq=position.seq,
            team=team.name,
        )
        stream = self._stream(request, request_id)
        try:
            async for response_chunk in response_chunks:
                await stream.write_chunk(response_chunk)
        except ERRORS as error:
            if stream.response is None:
                return error_response(error, request_id=request_id)
            await stream.write(error_event(error))
        await stream.close()
        if stream.response is None:
            return web.Response(
                body=b"data: [DONE]\n\n",
                content_type="text/event-stream",
                headers={OUTCOME_HEADER: DONE, REQUEST_HEADER: request_id},
            )
        return stream.response

    def _stream(self, request: web.Request, request_id: str) -> CallerStream:
        return CallerStream(
            request=request,
            request_id=request_id,
            slow_caller_s=self._context.limits.slow_caller_s,
        )

    async def service(self, request: web.Request) -> web.StreamResponse:
        """Pass a call to a plain service."""
        request_id = new_request_id(request)
        keyed = KEY_HEADER in request.headers
        try:
            team = self._context.team_of(request)
            service = classify.find_service(team, request.match_info["service"])
            body = await request.read()
            routed = service_request(team, service, request, body, request_id)
            if not routed.repeatable and not keyed:
                return await self._ask_for_key(team, service, request_id)
            if routed.repeatable:
                await self._context.check_limit(team)
        except ERRORS as error:
            return error_response(error, request_id=request_id, keyed=keyed)
        response_chunks = self._context.dispatcher.run(routed)
        return await self._send_response(request, routed, response_chunks)

    async def _send_response(
        self,
        request: web.Request,
        routed: RoutedRequest,
        response_chunks: AsyncIterator[ResponseChunk],
    ) -> web.StreamResponse:
        stream = self._stream(request, routed.request_id)
        context = self._context
        context.open_requests += 1
        outcome, code = UNFINISHED
        try:
            await self._write_chunks(stream, routed, response_chunks)
            outcome, code = DONE, ""
        except ERRORS as error:
            outcome, code = outcome_of(error, keyed=False), error.code
            if stream.response is None:
                return await self._refusal(request, routed, error)
            await stream.write(error_event(error))
        except ConnectionError:
            logger.info("request {}: the caller has gone", routed.request_id)
        finally:
            context.open_requests -= 1
            context.request_metrics.record_outcome(
                routed.team, routed.request_class, outcome, code
            )
            await response_chunks.aclose()  # type: ignore[attr-defined]
        await stream.close()
        return stream.response or web.Response(status=204)

    async def _refusal(
        self, request: web.Request, routed: RoutedRequest, error: RequestError
    ) -> web.StreamResponse:
        response = error_response(error, request_id=routed.request_id)
        if routed.idempotency_key and isinstance(error, NotRunError):
            with contextlib.suppress(*ERRORS):
                team = self._context.team_of(request)
                service = classify.find_service(team, routed.target)
                key = await self._new_key(team, service, routed.request_id)
                response.headers[KEY_HEADER] = key
        return response

    async def _write_chunks(
        self,
        stream: CallerStream,
        routed: RoutedRequest,
        response_chunks: AsyncIterator[ResponseChunk],
    ) -> None:
        began_s = time.monotonic()
        request_metrics = self._context.request_metrics
        chunks = 0
        try:
            async for response_chunk in response_chunks:
                if chunks == 0:
                    request_metrics.record_first_token(routed, began_s=began_s)
                await stream.write_chunk(response_chunk)
                chunks += len(response_chunk.chunks)
        finally:
            request_metrics.record_delivered(routed, chunks)

    async def issue(self, request: web.Request) -> web.StreamResponse:
        """Issue an idempotency key for a call that must run at most once."""
        request_id = new_request_id(request)
        try:
            team = self._context.team_of(request)
            data: Any = await request.json()
            wanted = data.get("service", "") if isinstance(data, dict) else ""
            service = classify.find_service(team, str(wanted))
            key = await self._new_key(team, service, request_id)
        except ERRORS as error:
            return error_response(error, request_id=request_id)
        except ValueError:
            malformed = BadRequestError(
                status=400, code="invalid_request", detail="the body is not JSON"
            )
            return error_response(malformed, request_id=request_id)
        return web.json_response({"idempotency_key": key})

    async def _new_key(self, team: Team, service: TeamService, request_id: str) -> str:
        probe = key_request(team, service, request_id)
        peer = await self._context.dispatcher.wait_for_peer(probe)
        return issue_key(
            team=team.name,
            target=service.name,
            owner=peer.name,
            incarnation=peer.incarnation,
            now_s=time.time(),
            secret=self._context.fleet_key,
        )

    async def _ask_for_key(
        self, team: Team, service: TeamService, request_id: str
    ) -> web.StreamResponse:
        await self._context.check_limit(team)
        error = NotRunError(
            status=428,
            code="idempotency_key_required",
            detail=(
                "this call must run at most once: send it again, and every "
                "re-send, with the Idempotency-Key of this answer"
            ),
        )
        response = error_response(error, request_id=request_id)
        response.headers[KEY_HEADER] = await self._new_key(team, service, request_id)
        return response

    async def explain(self, request: web.Request) -> web.StreamResponse:
        """Tell where a chat request would go and why; run nothing."""
        request_id = new_request_id(request)
        try:
            team = self._context.team_of(request)
            body = await request.read()
            chat = classify.read_chat(body)
            asked = request.headers.get(CLASS_HEADER, "")
            item = classify.choose_class(team, chat, asked)
        except ERRORS as error:
            return error_response(error, request_id=request_id)
        routed = chat_request(team, item, chat, body, request_id)
        found = self._context.selector.explain(routed)
        found["class"] = item.name
        found["tier"] = item.tier
        return web.json_response(found)
