"""Error responses and events for callers, in the format of the chat completions API.

Each error also says in ``outcome`` whether the request may have run.
"""

from __future__ import annotations

import json
import math
from typing import Any

from aiohttp import web

from shallotroad.entry.exceptions import BadRequestError
from shallotroad.entry.exceptions import NotRunError
from shallotroad.entry.exceptions import OutcomeUnknownError


# Header of errors and of all responses to chat completions and service calls.
OUTCOME_HEADER = "X-Shallotroad-Outcome"
# Header of the same responses. A caller may also send it to name the request itself; in
# errors that the middleware returns it is empty.
REQUEST_ID_HEADER = "X-Request-Id"
# Outcomes of requests. The head of an endpoint's response carries ``DONE`` whatever its
# status. If a stream is interrupted later, its error event has another outcome.
DONE = "done"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

RequestError = NotRunError | OutcomeUnknownError | BadRequestError


def outcome_of(error: RequestError, *, keyed: bool) -> str:
    """Return the outcome that the caller receives with an error.

    ``keyed`` marks an error that this entry raised on its own for a call with an
    idempotency key. The entry does not know whether an earlier send of the call
    has run, so the outcome is unknown; only the owner of the key can tell.
    """
    if keyed or isinstance(error, OutcomeUnknownError):
        return UNKNOWN
    return NOT_RUN


def error_body(error: RequestError, *, outcome: str) -> dict[str, Any]:
    """Return the JSON body of an error.

    Its only key ``error`` holds ``message``, ``type``, ``param``, which is always null,
    ``code`` and ``outcome``.
    """
    bad = isinstance(error, BadRequestError)
    return {
        "error": {
            "message": error.detail,
            "type": "invalid_request_error" if bad else "router_error",
            "param": None,
            "code": error.code,
            "outcome": outcome,
        }
    }


def error_response(
    error: RequestError, *, request_id: str, keyed: bool = False
) -> web.Response:
    """Return the HTTP response for an error; see ``outcome_of`` for ``keyed``.

    ``Retry-After`` is rounded up to whole seconds; it is sent only for a
    ``NotRunError`` whose ``retry_after_s`` is above 0.
    """
    outcome = outcome_of(error, keyed=keyed)
    headers = {OUTCOME_HEADER: outcome, REQUEST_ID_HEADER: request_id}
    if isinstance(error, NotRunError) and error.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    body = error_body(error, outcome=outcome)
    return web.json_response(body, status=error.status, headers=headers)


def error_event(error: RequestError, *, keyed: bool = False) -> bytes:
    """Return the server-sent event for an error after the stream has started.

    It has one ``data`` field with the JSON of ``error_body``, and neither an event name
    nor an id. No ``[DONE]`` follows it.
    """
    body = error_body(error, outcome=outcome_of(error, keyed=keyed))
    return b"data: " + json.dumps(body).encode() + b"\n\n"
