"""Errors that end a request without a complete response."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class NotRunError(ShallotroadError):
    """The request was certainly not run, so the caller may send it again.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    code : str
        Machine-readable reason.
    detail : str
        Message for the caller.
    retry_after_s : float
        Seconds after which a retry may succeed; 0 if unknown.
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
    """The request may have been run, partly or completely.

    Parameters
    ----------
    code : str
        Machine-readable reason.
    detail : str
        Message for the caller.
    status : int
        HTTP status for the caller.
    """

    def __init__(self, *, code: str, detail: str, status: int = 504) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail


class BadRequestError(ShallotroadError):
    """The caller's request is malformed or not allowed; nothing was run.

    ``status``, ``code`` and ``detail`` have the same meaning as in ``NotRunError``.
    """

    def __init__(self, *, status: int, code: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
