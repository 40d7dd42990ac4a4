"""Decodes callers' requests and endpoints' answers, and encodes attempts.

Header names of the platform appear here and nowhere else.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Iterable


REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
TEAM = b"x-tenant"
SIGNATURE = b"x-replica-signature"
NOT_RUN = b"x-not-executed"
EXPECTED_ENDPOINT = b"x-expect-replica"
RESPONDING_ENDPOINT = b"x-replica-id"
ENGINE_PRIORITY = b"x-request-priority"
TOKENS = b"x-token-usage"
PROMPT_PARTS = b"x-prompt-prefix"
MODEL = b"x-model"
LAST_EVENT_ID = b"last-event-id"
COLD = b"x-cold-ms"
LENGTH_HINT = b"x-length-hint"
KEY_SCHEME = "token"

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Only the router may set these; what a caller sends is dropped.
SET_BY_ROUTER = frozenset(
    (
        DEADLINE,
        AUTHORIZATION,
        TEAM,
        EXPECTED_ENDPOINT,
        ENGINE_PRIORITY,
        LAST_EVENT_ID,
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"x-expect-version",
    )
)


class PromptPart(NamedTuple):
    """A part of a prompt that an engine may have cached."""

    identifier: str
    tokens: int


class CallerRequest(NamedTuple):
    """A caller's request, decoded once.

    Parameters
    ----------
    target : str
        Path and query, as sent.
    deadline_ms : float or None
        How long the caller waits, from its sending.
    prompt_tokens, max_output_tokens : int
        Size of the prompt, and the most tokens of the answer.
    expected_output_tokens : int
        The caller's estimate of the answer's tokens; 0 when there is none.
    last_event_id : str
        Last event that the caller has, when it resumes a stream.
    expects_continue : bool
        Whether the caller waits for leave before it sends the body.
    forwarded : tuple
        Headers to hand on, per-connection ones and the router's own left out.
    """

    request_id: str
    method: str
    host: str
    target: str
    deadline_ms: float | None
    api_key: str
    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    prompt_parts: tuple[PromptPart, ...]
    last_event_id: str
    expects_continue: bool
    forwarded: tuple[tuple[bytes, bytes], ...]


class ResponseHead(NamedTuple):
    """Status line and headers of an endpoint's answer.

    Parameters
    ----------
    signed : bool
        Whether the endpoint signed the answer.
    not_run : bool
        Whether the endpoint states that it did not run the request.
    other_endpoint : bool
        Whether the address belongs to another endpoint than expected.
    length : int or None
        Length of the body in bytes; None when it is not announced.
    chunked : bool
        Whether the body comes in chunks.
    idle_timeout_s : float or None
        After how long the endpoint closes an idle connection.
    closes : bool
        Whether the connection ends after this answer.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    other_endpoint: bool
    length: int | None
    chunked: bool
    idle_timeout_s: float | None
    closes: bool
    encoded: bool
    event_stream: bool
    forwarded: tuple[tuple[bytes, bytes], ...]


def _whole(text: bytes | None) -> int:
    return int(text) if text is not None and text.isdigit() else 0


def _prompt_parts(text: bytes) -> tuple[PromptPart, ...]:
    found = []
    for item in text.decode("latin-1").split(","):
        identifier, _, tokens = item.strip().partition(":")
        if not identifier or not tokens.isdigit():
            return ()
        found.append(PromptPart(identifier, int(tokens)))
    return tuple(found)


def _api_key(text: bytes) -> str:
    scheme, _, key = text.decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def _connection_options(headers: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the header names that ``Connection`` declares per-connection."""
    value = headers.get(b"connection", b"")
    return frozenset(name.strip().lower() for name in value.split(b",") if name)


def decode_request(
    method: str, target: str, raw: Iterable[tuple[bytes, bytes]]
) -> CallerRequest:
    """Decode a caller's request head."""
    pairs = list(raw)
    headers = {name.lower(): value for name, value in pairs}
    not_forwarded = HOP_BY_HOP | SET_BY_ROUTER | _connection_options(headers)
    usage = headers.get(TOKENS, b"").split(b",")
    deadline = headers.get(DEADLINE)
    return CallerRequest(
        request_id=headers.get(REQUEST_ID, b"").decode("latin-1"),
        method=method,
        host=headers.get(b"host", b"").decode("latin-1").lower().partition(":")[0],
        target=target,
        deadline_ms=float(deadline) if deadline and deadline.isdigit() else None,
        api_key=_api_key(headers.get(AUTHORIZATION, b"")),
        model=headers.get(MODEL, b"").decode("latin-1"),
        prompt_tokens=_whole(usage[0].strip()),
        max_output_tokens=_whole(usage[1].strip()) if len(usage) > 1 else 0,
        expected_output_tokens=_whole(headers.get(LENGTH_HINT)),
        prompt_parts=_prompt_parts(headers.get(PROMPT_PARTS, b"")),
        last_event_id=headers.get(LAST_EVENT_ID, b"").decode("latin-1"),
        expects_continue=headers.get(b"expect", b"").lower() == b"100-continue",
        forwarded=tuple((n, v) for n, v in pairs if n.lower() not in not_forwarded),
    )


def encode_request_head(
    request: CallerRequest,
    *,
    body_bytes: int,
    endpoint: str,
    team: str,
    remaining_ms: float,
    engine_priority: int | None,
    last_event_id: str,
) -> bytes:
    """Return the head that one attempt sends to an endpoint."""
    lines = [f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")]
    lines += [n + b": " + v + b"\r\n" for n, v in request.forwarded]
    own = {DEADLINE: str(max(1, int(remaining_ms))), EXPECTED_ENDPOINT: endpoint}
    if team:
        own[TEAM] = team
    if engine_priority is not None:
        own[ENGINE_PRIORITY] = str(engine_priority)
    if last_event_id:
        own[LAST_EVENT_ID] = last_event_id
    if body_bytes or request.method not in ("GET", "HEAD", "DELETE"):
        own[b"content-length"] = str(body_bytes)
    lines += [n + b": " + v.encode("latin-1") + b"\r\n" for n, v in own.items()]
    return b"".join(lines) + b"\r\n"


def decode_response(status: int, raw: Iterable[tuple[bytes, bytes]]) -> ResponseHead:
    """Decode the head of an endpoint's answer."""
    pairs = list(raw)
    headers = {name.lower(): value for name, value in pairs}
    length = headers.get(b"content-length")
    connection_options = _connection_options(headers)
    idle_timeout_s = None
    for option in headers.get(b"keep-alive", b"").split(b","):
        name, _, value = option.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            idle_timeout_s = float(value)
    not_forwarded = HOP_BY_HOP | connection_options
    return ResponseHead(
        status=status,
        request_id=headers.get(REQUEST_ID, b"").decode("latin-1"),
        signed=SIGNATURE in headers,
        not_run=NOT_RUN in headers or status == 421,
        other_endpoint=status == 421,
        length=int(length) if length is not None and length.isdigit() else None,
        chunked=b"chunked" in headers.get(b"transfer-encoding", b"").lower(),
        idle_timeout_s=idle_timeout_s,
        closes=b"close" in connection_options,
        encoded=b"content-encoding" in headers,
        event_stream=headers.get(b"content-type", b"").startswith(b"text/event-stream"),
        forwarded=tuple((n, v) for n, v in pairs if n.lower() not in not_forwarded),
    )
