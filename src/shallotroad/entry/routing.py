"""Builds the ``RoutedRequest`` of a caller's request for the dispatcher."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from shallotroad.entry import classify
from shallotroad.entry.request import RoutedRequest
from shallotroad.policy.affinity import prefix_blocks


if TYPE_CHECKING:
    from aiohttp import web

    from shallotroad.config.fleet_config import RequestClass
    from shallotroad.config.fleet_config import Team
    from shallotroad.config.fleet_config import TeamService

CHAT_RUN_BUDGET_S = 900.0
SERVICE_RUN_BUDGET_S = 30.0
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
# Headers of a service call that are not forwarded to the endpoint.
DROPPED_HEADERS = frozenset(
    {
        "host",
        "authorization",
        "connection",
        "content-length",
        "transfer-encoding",
        "idempotency-key",
        "last-event-id",
        "x-request-class",
        "x-request-id",
        "accept-encoding",
        "expect",
        "keep-alive",
        "te",
        "trailer",
        "upgrade",
        "proxy-authorization",
        "proxy-connection",
    }
)


def _request_fingerprint(team: str, path: str, body: bytes) -> str:
    digest = hashlib.blake2b(f"{team}\n{path}\n".encode(), digest_size=12)
    digest.update(body)
    return digest.hexdigest()


def _request_digest(method: str, path: str, body: bytes) -> str:
    digest = hashlib.sha256(f"{method}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def route_chat_request(
    team: Team,
    request_class: RequestClass,
    chat: classify.ChatRequest,
    body: bytes,
    request_id: str,
) -> RoutedRequest:
    """Return the routed request of a chat completion."""
    path = "/v1/chat/completions"
    return RoutedRequest(
        request_id=request_id,
        team=team.name,
        request_class=request_class.name,
        tier=request_class.tier,
        target=chat.model,
        preemptible=request_class.preemptible,
        repeatable=True,
        streamed=chat.stream,
        continuable=chat.continuable,
        first_token_s=request_class.first_token_ms / 1000,
        wait_budget_s=request_class.deadline_s,
        run_budget_s=CHAT_RUN_BUDGET_S,
        method="POST",
        path=path,
        headers={"Content-Type": "application/json"},
        body=body,
        fingerprint=_request_fingerprint(team.name, path, body),
        digest="",
        blocks=tuple(prefix_blocks(chat.model, chat.prompt)),
    )


def route_service_request(
    team: Team, service: TeamService, request: web.Request, body: bytes, request_id: str
) -> RoutedRequest:
    """Return the routed request of a service call.

    Its path is the caller's without ``/v1/services/SERVICE``, with the query. It has
    the caller's idempotency key only if the call is not repeatable.
    """
    path = "/" + request.match_info["tail"]
    query = request.query_string
    path_and_query = f"{path}?{query}" if query else path
    repeatable = classify.is_repeatable(service, request.method, path)
    headers = {
        key: value
        for key, value in request.headers.items()
        if key.lower() not in DROPPED_HEADERS
    }
    routed = key_owner_request(team, service, request_id)
    return routed._replace(
        repeatable=repeatable,
        method=request.method,
        path=path_and_query,
        headers=headers,
        body=body,
        fingerprint=_request_fingerprint(team.name, path_and_query, body),
        digest=_request_digest(request.method, path_and_query, body),
        idempotency_key=""
        if repeatable
        else request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
    )


def key_owner_request(
    team: Team, service: TeamService, request_id: str
) -> RoutedRequest:
    """Return a service call without content.

    It has just the fields that are needed to choose the owner of a new
    idempotency key.
    """
    return RoutedRequest(
        request_id=request_id,
        team=team.name,
        request_class=service.name,
        tier=service.tier,
        target=service.name,
        preemptible=False,
        repeatable=False,
        streamed=False,
        continuable=False,
        first_token_s=service.deadline_s,
        wait_budget_s=service.deadline_s,
        run_budget_s=SERVICE_RUN_BUDGET_S,
        method="",
        path="",
        headers={},
        body=b"",
        fingerprint="",
        digest="",
    )
