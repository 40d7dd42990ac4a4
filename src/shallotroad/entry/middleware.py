"""HTTP middleware: limits concurrent requests and returns all errors in API format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from loguru import logger

from shallotroad.entry.api_errors import error_response
from shallotroad.entry.exceptions import BadRequestError
from shallotroad.entry.exceptions import NotRunError
from shallotroad.entry.exceptions import OutcomeUnknownError
from shallotroad.entry.routing import IDEMPOTENCY_KEY_HEADER


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.typedefs import Middleware

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _too_many_requests_error() -> NotRunError:
    return NotRunError(
        status=503,
        code="too_many_requests_open",
        detail="this entry holds as many requests as it may; send again",
        retry_after_s=1.0,
    )


def _http_error(error: web.HTTPException) -> BadRequestError:
    code = (error.reason or "bad request").lower().replace(" ", "_")
    detail = error.text or error.reason or "the request is malformed"
    return BadRequestError(status=error.status, code=code, detail=detail)


def make_request_middleware(*, max_open: int) -> Middleware:
    """Return the middleware that every HTTP request passes through.

    An unexpected exception is logged and gives status 500 with unknown outcome.
    An error for a call with an idempotency key has unknown outcome as well.

    Parameters
    ----------
    max_open : int
        Number of concurrent requests; further ones are refused with status 503.
    """
    open_count = 0

    @web.middleware
    async def handle_request(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        nonlocal open_count
        keyed = IDEMPOTENCY_KEY_HEADER in request.headers
        if open_count >= max_open:
            return error_response(
                _too_many_requests_error(), request_id="", keyed=keyed
            )
        open_count += 1
        try:
            return await handler(request)
        except web.HTTPException as error:
            if error.status < 400:
                raise
            return error_response(_http_error(error), request_id="", keyed=keyed)
        except ConnectionError:
            raise
        except Exception:
            logger.exception(
                "unhandled exception in {} {}", request.method, request.path
            )
            unknown = OutcomeUnknownError(
                code="internal_error",
                detail="the entry failed; the outcome is unknown",
                status=500,
            )
            return error_response(unknown, request_id="", keyed=keyed)
        finally:
            open_count -= 1

    return handle_request
