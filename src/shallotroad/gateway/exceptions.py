"""Errors for requests that end without a response of an endpoint."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class RefusedError(ShallotroadError):
    """The gateway refuses a request, which has not run and will not; it may be retried.

    An attempt that an endpoint did not run raises ``NotRunError`` of the forwarder.
    ``retry_after_s`` is the value of the caller's ``Retry-After`` header.
    """

    def __init__(self, reason: str, *, retry_after_s: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class RejectedError(ShallotroadError):
    """The request is invalid or not permitted; ``status`` is the HTTP status."""

    def __init__(self, reason: str, *, status: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status


class OutcomeUnknownError(ShallotroadError):
    """The request may have run, but its response is not available.

    ``status`` is the HTTP status that the caller receives.
    """

    def __init__(self, reason: str, *, status: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status


class BrokenStreamError(ConnectionError):
    """A response stream that has started can't be completed."""
