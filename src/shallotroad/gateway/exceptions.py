"""Ends of a request that are no answer of an endpoint."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class RefusedError(ShallotroadError):
    """The request has not run and never will."""

    def __init__(self, reason: str, *, retry_after_s: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class RejectedError(ShallotroadError):
    """The request is not allowed or not proper."""

    def __init__(self, reason: str, *, status: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status


class OutcomeUnknownError(ShallotroadError):
    """The request may have run, and no answer of it can be had."""

    def __init__(self, reason: str, *, status: int) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status


class BrokenStreamError(ConnectionError):
    """An answer that has begun can't be finished."""
