"""Reasons why an agent does not run an offer."""

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
        Machine-readable reason.
    detail : str
        What the caller or operator can do.
    retry_after_s : float
        When sending again may help, in seconds; 0 when unknown.
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
    """No connection to the endpoint could be made; nothing was sent."""


class EndpointBrokenError(ShallotroadError):
    """The endpoint's answer broke off; how much it ran is unknown."""


class EndpointSilentError(ShallotroadError):
    """The endpoint sent nothing for too long."""
