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
from shallotroad.entry.caller_stream import read_place
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
    from shallotroad.entry.dispatcher import Part
    from shallotroad.entry.gateway import Gateway
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

    def __init__(self, *, gateway: Gateway) -> None:
        self._gateway = gateway

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for callers."""
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_get("/v1/models", self.models)
        app.router.add_post("/v1/idempotency-keys", self.issue)
        app.router.add_post("/debug/explain", self.explain)
        app.router.add_route("*", "/v1/services/{service}/{tail:.*}", self.service)

    async def models(self, request: web.Request) -> web.StreamResponse:
        """List the models that the caller's team may use."""
        name = new_request_id(request)
        try:
            team = self._gateway.team_of(request)
        except ERRORS as error:
            return error_response(error, request_id=name)
        names = sorted({model for item in team.classes for model in item.models})
        rows = [
            {"id": model, "object": "model", "created": 0, "owned_by": "shallotroad"}
            for model in names
        ]
        return web.json_response({"object": "list", "data": rows})

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Answer a chat completion, or go on with one after a dropped line."""
        name = new_request_id(request)
        try:
            team = self._gateway.team_of(request)
            if RESUME_HEADER in request.headers:
                return await self._resume(request, team, name)
            body = await request.read()
            chat = classify.read_chat(body)
            asked = request.headers.get(CLASS_HEADER, "")
            item = classify.choose_class(team, chat, asked)
            await self._gateway.check_limit(team)
        except ERRORS as error:
            return error_response(error, request_id=name)
        routed = chat_request(team, item, chat, body, name)
        parts = self._gateway.dispatcher.run(routed)
        return await self._answer(request, routed, parts)

    async def _resume(
        self, request: web.Request, team: Team, name: str
    ) -> web.StreamResponse:
        place = read_place(request.headers[RESUME_HEADER])
        parts = self._gateway.dispatcher.resume(
            attempt=place.attempt,
            instance=place.instance,
            seq=place.seq,
            team=team.name,
        )
        stream = self._stream(request, name)
        try:
            async for part in parts:
                await stream.write_part(part)
        except ERRORS as error:
            if stream.response is None:
                return error_response(error, request_id=name)
            await stream.write(error_event(error))
        await stream.close()
        if stream.response is None:
            return web.Response(
                body=b"data: [DONE]\n\n",
                content_type="text/event-stream",
                headers={OUTCOME_HEADER: DONE, REQUEST_HEADER: name},
            )
        return stream.response

    def _stream(self, request: web.Request, name: str) -> CallerStream:
        return CallerStream(
            request=request,
            request_id=name,
            slow_caller_s=self._gateway.limits.slow_caller_s,
        )

    async def service(self, request: web.Request) -> web.StreamResponse:
        """Pass a call to a plain service."""
        name = new_request_id(request)
        keyed = KEY_HEADER in request.headers
        try:
            team = self._gateway.team_of(request)
            service = classify.find_service(team, request.match_info["service"])
            body = await request.read()
            routed = service_request(team, service, request, body, name)
            if not routed.repeatable and not keyed:
                return await self._ask_for_key(team, service, name)
            if routed.repeatable:
                await self._gateway.check_limit(team)
        except ERRORS as error:
            return error_response(error, request_id=name, keyed=keyed)
        parts = self._gateway.dispatcher.run(routed)
        return await self._answer(request, routed, parts)

    async def _answer(
        self,
        request: web.Request,
        routed: RoutedRequest,
        parts: AsyncIterator[Part],
    ) -> web.StreamResponse:
        stream = self._stream(request, routed.request)
        gateway = self._gateway
        gateway.open_requests += 1
        outcome, code = UNFINISHED
        try:
            await self._write_parts(stream, routed, parts)
            outcome, code = DONE, ""
        except ERRORS as error:
            outcome, code = outcome_of(error, keyed=False), error.code
            if stream.response is None:
                return await self._refusal(request, routed, error)
            await stream.write(error_event(error))
        except ConnectionError:
            logger.info("request {}: the caller has gone", routed.request)
        finally:
            gateway.open_requests -= 1
            gateway.scoreboard.outcome(routed.team, routed.request_class, outcome, code)
            await parts.aclose()  # type: ignore[attr-defined]
        await stream.close()
        return stream.response or web.Response(status=204)

    async def _refusal(
        self, request: web.Request, routed: RoutedRequest, error: RequestError
    ) -> web.StreamResponse:
        answer = error_response(error, request_id=routed.request)
        if routed.idempotency_key and isinstance(error, NotRunError):
            with contextlib.suppress(*ERRORS):
                team = self._gateway.team_of(request)
                service = classify.find_service(team, routed.target)
                key = await self._new_key(team, service, routed.request)
                answer.headers[KEY_HEADER] = key
        return answer

    async def _write_parts(
        self, stream: CallerStream, routed: RoutedRequest, parts: AsyncIterator[Part]
    ) -> None:
        began_s = time.monotonic()
        scoreboard = self._gateway.scoreboard
        chunks = 0
        try:
            async for part in parts:
                if chunks == 0:
                    scoreboard.first_token(routed, began_s=began_s)
                await stream.write_part(part)
                chunks += len(part.chunks)
        finally:
            scoreboard.delivered(routed, chunks)

    async def issue(self, request: web.Request) -> web.StreamResponse:
        """Issue an idempotency key for a call that must run at most once."""
        name = new_request_id(request)
        try:
            team = self._gateway.team_of(request)
            data: Any = await request.json()
            wanted = data.get("service", "") if isinstance(data, dict) else ""
            service = classify.find_service(team, str(wanted))
            key = await self._new_key(team, service, name)
        except ERRORS as error:
            return error_response(error, request_id=name)
        except ValueError:
            malformed = BadRequestError(
                status=400, code="invalid_request", detail="the body is not JSON"
            )
            return error_response(malformed, request_id=name)
        return web.json_response({"idempotency_key": key})

    async def _new_key(self, team: Team, service: TeamService, name: str) -> str:
        probe = key_request(team, service, name)
        peer = await self._gateway.dispatcher.wait_for_peer(probe)
        return issue_key(
            team=team.name,
            target=service.name,
            home=peer.name,
            incarnation=peer.incarnation,
            now_s=time.time(),
            secret=self._gateway.fleet_key,
        )

    async def _ask_for_key(
        self, team: Team, service: TeamService, name: str
    ) -> web.StreamResponse:
        await self._gateway.check_limit(team)
        error = NotRunError(
            status=428,
            code="idempotency_key_required",
            detail=(
                "this call must run at most once: send it again, and every "
                "re-send, with the Idempotency-Key of this answer"
            ),
        )
        answer = error_response(error, request_id=name)
        answer.headers[KEY_HEADER] = await self._new_key(team, service, name)
        return answer

    async def explain(self, request: web.Request) -> web.StreamResponse:
        """Tell where a chat request would go and why; run nothing."""
        name = new_request_id(request)
        try:
            team = self._gateway.team_of(request)
            body = await request.read()
            chat = classify.read_chat(body)
            asked = request.headers.get(CLASS_HEADER, "")
            item = classify.choose_class(team, chat, asked)
        except ERRORS as error:
            return error_response(error, request_id=name)
        routed = chat_request(team, item, chat, body, name)
        found = self._gateway.selector.explain(routed)
        found["class"] = item.name
        found["tier"] = item.tier
        return web.json_response(found)
