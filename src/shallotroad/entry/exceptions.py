"""Outcomes of a request that are not an answer."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class NotRunError(ShallotroadError):
    """The request was provably not run.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    code : str
        Machine-readable reason.
    detail : str
        What the caller can do.
    retry_after_s : float
        When sending again may help; 0 when unknown.
    """

    def __init__(
        self, *, status: int, code: str, detail: str, retry_after_s: float = 0.0
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s


class OutcomeUnknownError(ShallotroadError):
    """The request may have been run, in part or as a whole.

    Parameters
    ----------
    code : str
        Machine-readable reason.
    detail : str
        What the caller can do.
    status : int
        HTTP status for the caller.
    """

    def __init__(self, *, code: str, detail: str, status: int = 504) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail


class BadRequestError(ShallotroadError):
    """The caller's request is malformed or not allowed; nothing was run."""

    def __init__(self, *, status: int, code: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
