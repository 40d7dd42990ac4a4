"""Decodes heads of callers' requests and endpoints' responses, and encodes attempts.

The header names of the platform appear in this module and nowhere else.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.policy.endpoint_statement import is_valid_limit


if TYPE_CHECKING:
    from collections.abc import Iterable


REQUEST_ID = b"x-request-id"
# The value is a remaining time in milliseconds, not a point in time.
DEADLINE = b"x-deadline-ms"
AUTHORIZATION = b"authorization"
# The platform calls a team a tenant, and an endpoint a replica.
TEAM = b"x-tenant"
# Statuses by which callers take a request for not run, so that they may send it again.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# An endpoint signs its responses. One without this header is treated as malformed,
# unless it states that the request was not run.
SIGNATURE = b"x-replica-signature"
# Its presence alone, whatever the value, proves that the request was not run.
NOT_RUN = b"x-not-executed"
EXPECTED_ENDPOINT = b"x-expect-replica"
# The value is a decimal number of requests a second, from all callers together.
STATED_LIMIT = b"server-limit"
# Stands in all answers of an endpoint that leaves, with the value 1.
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
# The router does not read this header; it is forwarded like any other.
RESPONDING_ENDPOINT = b"x-replica-id"
# The value is 0 for the most urgent requests to 9; only engines receive it.
ENGINE_PRIORITY = b"x-request-priority"
# The value is stated by the caller in advance: the number of prompt tokens and the
# maximum of output tokens, separated by a comma.
TOKEN_USAGE = b"x-token-usage"
# The value lists all parts of the prompt as IDENTIFIER:TOKENS, separated by commas.
PROMPT_PARTS = b"x-prompt-prefix"
MODEL = b"x-model"
LAST_EVENT_ID = b"last-event-id"
# The value is the request id of the attempt that brought the first event of the stream.
RESUMES = b"resumes"
MAX_RESUMES_LENGTH = 200
# The router does not read this header; it is forwarded like any other.
COLD = b"x-cold-ms"
# The value is the number of output tokens that the caller expects.
LENGTH_HINT = b"x-length-hint"
AUTHORIZATION_SCHEME = "token"
WHITE_SPACE = b" \t"
DECIMAL = re.compile(rb"\d{1,15}(\.\d{0,15})?")

# Apply to one connection only, or are generated anew for each attempt.
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
# Headers of a caller that are not forwarded, because only the router may send them to
# an endpoint. Of these it sets DEADLINE, TEAM, EXPECTED_ENDPOINT, ENGINE_PRIORITY and
# LAST_EVENT_ID itself; an endpoint never receives the others.
STRIPPED_CALLER_HEADERS = frozenset(
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
    """A part of a prompt that an engine may have cached.

    Parameters
    ----------
    identifier : str
        Equal for equal parts of different prompts.
    tokens : int
        Length of the part; in an engine's list, how much of it is cached.
    """

    identifier: str
    tokens: int


class CallerRequest(NamedTuple):
    """Decoded head of a caller's request.

    Parameters
    ----------
    request_id, model : str
        Request identifier and model of the headers; empty when not stated. A request
        without identifier is rejected later.
    host : str
        Host name in lower case, without the port.
    target : str
        Path and query, as sent.
    deadline_ms : float or None
        How long the caller waits, counted from the arrival of the request; None when
        the caller states no valid time. With None or 0, the deadline of the request is
        the timeout of the route. A time beyond that timeout is sent to the endpoint,
        but the gateway does not wait longer than the timeout.
    api_key : str
        API key; empty when there is none in the expected scheme.
    prompt_tokens, max_output_tokens : int
        Length of the prompt and upper bound of the output; 0 when not stated.
    expected_output_tokens : int
        The caller's estimate of the output; 0 when not stated.
    prompt_parts : tuple
        Parts of the prompt in their order; empty when the header is malformed.
    last_event_id : str
        Identifier of the last event that the caller has, when it resumes a stream;
        otherwise empty.
    resumes : str
        Identifier of the request that began the stream which the caller resumes; empty
        if it is not stated.
    expects_continue : bool
        Whether the caller waits for status 100 before it sends the body.
    forwarded : tuple
        Headers to forward to the endpoint: all but those that apply to one connection
        and ``STRIPPED_CALLER_HEADERS``.
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
    resumes: str
    expects_continue: bool
    forwarded: tuple[tuple[bytes, bytes], ...]

    @property
    def states_output(self) -> bool:
        """Whether the caller states how long the output may be."""
        return bool(self.expected_output_tokens or self.max_output_tokens)


class ResponseHead(NamedTuple):
    """Status and headers of an endpoint's response.

    Parameters
    ----------
    request_id : str
        Identifier of the request that the response belongs to; empty if not stated.
    signed : bool
        Whether the response has the header ``SIGNATURE``, whose value is not verified.
    not_run : bool
        Whether the response proves that the endpoint did not run the request: it has
        the header ``NOT_RUN``, or status 421.
    reads_as_not_run : bool
        Whether callers take the status for a promise that the request has not run,
        although only ``not_run`` proves it.
    other_endpoint : bool
        Whether the address belongs to another endpoint than expected (status 421).
    length : int or None
        Length of the body in bytes; None when it is not stated.
    chunked : bool
        Whether the body is sent in chunked transfer encoding.
    idle_timeout_s : float or None
        Time after which the endpoint closes an idle connection; None when it is not
        stated.
    closes : bool
        Whether the endpoint closes the connection after this response.
    encoded : bool
        Whether the body has a content encoding, such as compression.
    event_stream : bool
        Whether the body is a stream of server-sent events.
    limit_per_s : float or None
        Requests a second that the endpoint takes from all callers together; None when
        it is not stated or malformed.
    leaving : bool
        Whether the endpoint leaves.
    quiet_s : float
        Time for which the endpoint wants nothing from this gateway; 0 when it has not
        turned the request away or states no time.
    forwarded : tuple
        Headers to forward to the caller: all but those that apply to one connection.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    reads_as_not_run: bool
    other_endpoint: bool
    length: int | None
    chunked: bool
    idle_timeout_s: float | None
    closes: bool
    encoded: bool
    event_stream: bool
    limit_per_s: float | None
    leaving: bool
    quiet_s: float
    forwarded: tuple[tuple[bytes, bytes], ...]


def _decode_fields(
    raw: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return header fields without the white space around their values.

    It is no part of a value (RFC 9110, section 5.5), and the parser leaves what stands
    behind it.
    """
    return [(name, value.strip(WHITE_SPACE)) for name, value in raw]


def _decode_length(text: bytes | None) -> int | None:
    if text is None:
        return None
    if not text.isdigit():
        raise ValueError(f"Content-Length {text[:40]!r}")
    return int(text)


def _decode_chunked(text: bytes | None) -> bool:
    """Return whether a body is chunked.

    ``text`` is the value as it was received: the parser does not take one with a tab
    behind it, or with another coding, for chunked.
    """
    if text is None:
        return False
    if text.rstrip(b" ").lower() != b"chunked":
        raise ValueError(f"Transfer-Encoding {text[:40]!r}")
    return True


def _count_or_zero(text: bytes | None) -> int:
    return int(text) if text is not None and text.isdigit() else 0


def _decode_limit(text: bytes | None) -> float | None:
    if text is None or not DECIMAL.fullmatch(text.strip()):
        return None
    limit_per_s = float(text)
    return limit_per_s if is_valid_limit(limit_per_s) else None


def _decode_decimal(text: bytes | None) -> float:
    """Return a decimal number; 0 for anything else, such as a date."""
    if text is None or not DECIMAL.fullmatch(text.strip()):
        return 0.0
    return float(text)


def _decode_prompt_parts(text: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.decode("latin-1").split(","):
        identifier, _, tokens = item.strip().partition(":")
        if not identifier or not tokens.isdigit():
            return ()
        parts.append(PromptPart(identifier, int(tokens)))
    return tuple(parts)


def _decode_api_key(text: bytes) -> str:
    scheme, _, key = text.decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == AUTHORIZATION_SCHEME else ""


def _decode_resumes(text: bytes) -> str:
    text = text.strip()
    return text.decode("latin-1") if len(text) <= MAX_RESUMES_LENGTH else ""


def _connection_options(headers: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the lower-case options of ``Connection``, which include header names."""
    value = headers.get(b"connection", b"")
    return frozenset(name.strip().lower() for name in value.split(b",") if name)


def decode_request(
    method: str, target: str, raw: Iterable[tuple[bytes, bytes]]
) -> CallerRequest:
    """Decode the head of a caller's request.

    Values that are malformed count as not stated.
    """
    pairs = _decode_fields(raw)
    headers = {name.lower(): value for name, value in pairs}
    not_forwarded = HOP_BY_HOP | STRIPPED_CALLER_HEADERS | _connection_options(headers)
    usage = headers.get(TOKEN_USAGE, b"").split(b",")
    deadline = headers.get(DEADLINE)
    return CallerRequest(
        request_id=headers.get(REQUEST_ID, b"").decode("latin-1"),
        method=method,
        host=headers.get(b"host", b"").decode("latin-1").lower().partition(":")[0],
        target=target,
        deadline_ms=float(deadline) if deadline and deadline.isdigit() else None,
        api_key=_decode_api_key(headers.get(AUTHORIZATION, b"")),
        model=headers.get(MODEL, b"").decode("latin-1"),
        prompt_tokens=_count_or_zero(usage[0].strip()),
        max_output_tokens=_count_or_zero(usage[1].strip()) if len(usage) > 1 else 0,
        expected_output_tokens=_count_or_zero(headers.get(LENGTH_HINT)),
        prompt_parts=_decode_prompt_parts(headers.get(PROMPT_PARTS, b"")),
        last_event_id=headers.get(LAST_EVENT_ID, b"").decode("latin-1"),
        resumes=_decode_resumes(headers.get(RESUMES, b"")),
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
    """Return the request head of one attempt, including the empty line at its end.

    Parameters
    ----------
    endpoint : str
        Endpoint that the attempt is meant for; any other refuses the request.
    team : str
        Name of the caller's team; empty when there is none.
    remaining_ms : float
        Time left until the caller's deadline; sent as at least 1 ms.
    engine_priority : int or None
        Priority for the engine's scheduler, 0 the most urgent; None when the service
        has no engine, and no header is sent.
    last_event_id : str
        Event after which the endpoint resumes the stream; empty for a new stream.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")]
    lines += [n + b": " + v + b"\r\n" for n, v in request.forwarded]
    router_headers = {
        DEADLINE: str(max(1, int(remaining_ms))),
        EXPECTED_ENDPOINT: endpoint,
    }
    if team:
        router_headers[TEAM] = team
    if engine_priority is not None:
        router_headers[ENGINE_PRIORITY] = str(engine_priority)
    if last_event_id:
        router_headers[LAST_EVENT_ID] = last_event_id
    if body_bytes or request.method not in ("GET", "HEAD", "DELETE"):
        router_headers[b"content-length"] = str(body_bytes)
    lines += [
        n + b": " + v.encode("latin-1") + b"\r\n" for n, v in router_headers.items()
    ]
    return b"".join(lines) + b"\r\n"


def decode_response(status: int, raw: Iterable[tuple[bytes, bytes]]) -> ResponseHead:
    """Decode the head of an endpoint's response.

    A malformed idle timeout, limit or time to retry counts as not stated.

    Raises
    ------
    ValueError
        When the end of the body can't be told: the length is no number, or the body is
        sent in another transfer encoding than in chunks.
    """
    received = list(raw)
    pairs = _decode_fields(received)
    headers = {name.lower(): value for name, value in pairs}
    encodings = [v for n, v in received if n.lower() == b"transfer-encoding"]
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
        reads_as_not_run=status in NOT_RUN_STATUSES,
        other_endpoint=status == 421,
        length=_decode_length(headers.get(b"content-length")),
        chunked=_decode_chunked(b", ".join(encodings) if encodings else None),
        idle_timeout_s=idle_timeout_s,
        closes=b"close" in connection_options,
        encoded=b"content-encoding" in headers,
        event_stream=headers.get(b"content-type", b"")
        .lower()
        .startswith(b"text/event-stream"),
        limit_per_s=_decode_limit(headers.get(STATED_LIMIT)),
        leaving=headers.get(LEAVING, b"").strip() == b"1",
        quiet_s=_decode_decimal(headers.get(RETRY_AFTER)) if status == 503 else 0.0,
        forwarded=tuple((n, v) for n, v in pairs if n.lower() not in not_forwarded),
    )
