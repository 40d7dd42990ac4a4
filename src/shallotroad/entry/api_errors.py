"""Errors towards callers, in the format of the chat completions API."""

from __future__ import annotations

import json
import math
from typing import Any

from aiohttp import web

from shallotroad.entry.exceptions import BadRequestError
from shallotroad.entry.exceptions import NotRunError
from shallotroad.entry.exceptions import OutcomeUnknownError


OUTCOME_HEADER = "X-Shallotroad-Outcome"
REQUEST_HEADER = "X-Request-Id"
DONE = "done"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

RequestError = NotRunError | OutcomeUnknownError | BadRequestError


def outcome_of(error: RequestError, *, keyed: bool) -> str:
    """Return the outcome that a caller is told.

    For a call with an idempotency key an entry knows nothing of earlier
    sends, so what it refuses on its own is of unknown outcome; the key's home
    alone can say that the call was not run.
    """
    if keyed or isinstance(error, OutcomeUnknownError):
        return UNKNOWN
    return NOT_RUN


def error_object(error: RequestError, *, outcome: str) -> dict[str, Any]:
    """Return the error object of the API."""
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
    """Return the HTTP answer for an error."""
    outcome = outcome_of(error, keyed=keyed)
    headers = {OUTCOME_HEADER: outcome, REQUEST_HEADER: request_id}
    if isinstance(error, NotRunError) and error.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    body = error_object(error, outcome=outcome)
    return web.json_response(body, status=error.status, headers=headers)


def error_event(error: RequestError, *, keyed: bool = False) -> bytes:
    """Return the server-sent event for an error within a stream."""
    body = error_object(error, outcome=outcome_of(error, keyed=keyed))
    return b"data: " + json.dumps(body).encode() + b"\n\n"
