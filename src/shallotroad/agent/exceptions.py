"""Errors of an agent: refused offers and failures of the endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.exceptions import ShallotroadError


if TYPE_CHECKING:
    from shallotroad.protocol import peer_pb2


class OfferRefusedError(ShallotroadError):
    """The offer was refused before anything of it ran.

    Parameters
    ----------
    reason : peer_pb2.RefusalReason
        Reason as sent to the entry.
    detail : str
        Reason in words, for the caller and the operator.
    retry_after_s : float
        After how many seconds a retry may succeed; 0 when unknown.
    """

    def __init__(
        self,
        *,
        reason: peer_pb2.RefusalReason,
        detail: str,
        retry_after_s: float = 0.0,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


class EndpointUnreachableError(ShallotroadError):
    """The connection to the endpoint failed before anything was sent."""


class ResponseInterruptedError(ShallotroadError):
    """The endpoint's response was interrupted; how much has run is unknown."""


class EndpointTimeoutError(ShallotroadError):
    """The endpoint sent nothing within the event gap timeout."""
