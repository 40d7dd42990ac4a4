"""The routed form of callers' requests."""

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

CHAT_RUN_S = 900.0
SERVICE_RUN_S = 30.0
KEY_HEADER = "Idempotency-Key"
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


def _fingerprint(team: str, path: str, body: bytes) -> str:
    digest = hashlib.blake2b(f"{team}\n{path}\n".encode(), digest_size=12)
    digest.update(body)
    return digest.hexdigest()


def _digest(method: str, path: str, body: bytes) -> str:
    digest = hashlib.sha256(f"{method}\n{path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


def chat_request(
    team: Team,
    item: RequestClass,
    chat: classify.ChatRequest,
    body: bytes,
    request_id: str,
) -> RoutedRequest:
    """Return the routed form of a chat completion."""
    path = "/v1/chat/completions"
    return RoutedRequest(
        request_id=request_id,
        team=team.name,
        request_class=item.name,
        tier=item.tier,
        target=chat.model,
        preemptible=item.preemptible,
        repeatable=True,
        streamed=chat.stream,
        continuable=chat.continuable,
        first_token_s=item.first_token_ms / 1000,
        wait_budget_s=item.deadline_s,
        run_budget_s=CHAT_RUN_S,
        method="POST",
        path=path,
        headers={"Content-Type": "application/json"},
        body=body,
        fingerprint=_fingerprint(team.name, path, body),
        digest="",
        blocks=tuple(prefix_blocks(chat.model, chat.prompt)),
    )


def service_request(
    team: Team, service: TeamService, request: web.Request, body: bytes, request_id: str
) -> RoutedRequest:
    """Return the routed form of a plain service call."""
    path = "/" + request.match_info["tail"]
    query = request.query_string
    full = f"{path}?{query}" if query else path
    repeatable = classify.call_repeatable(service, request.method, path)
    headers = {
        key: value
        for key, value in request.headers.items()
        if key.lower() not in DROPPED_HEADERS
    }
    plain = key_request(team, service, request_id)
    return plain._replace(
        repeatable=repeatable,
        method=request.method,
        path=full,
        headers=headers,
        body=body,
        fingerprint=_fingerprint(team.name, full, body),
        digest=_digest(request.method, full, body),
        idempotency_key="" if repeatable else request.headers.get(KEY_HEADER, ""),
    )


def key_request(team: Team, service: TeamService, request_id: str) -> RoutedRequest:
    """Return a call of a service as far as the choice of its home needs it."""
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
        run_budget_s=SERVICE_RUN_S,
        method="",
        path="",
        headers={},
        body=b"",
        fingerprint="",
        digest="",
    )
