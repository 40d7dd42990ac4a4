"""Errors of the exchange between a gateway and a coordinator."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class CoordinatorLostError(ShallotroadError):
    """A coordinator does not reply, or is draining and coordinates no longer."""


class DeclinedError(ShallotroadError):
    """A coordinator replies, but does not place the request on a usable endpoint."""


class MalformedMessageError(ShallotroadError):
    """A datagram does not decode to a message of the coordination protocol."""
