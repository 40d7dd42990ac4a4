"""Failures between an entry and a coordinator."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class CoordinatorLostError(ShallotroadError):
    """A coordinator does not answer, or does not coordinate any more."""


class DeclinedError(ShallotroadError):
    """A coordinator that lives does not place a request."""


class MalformedMessageError(ShallotroadError):
    """A datagram is no message of this protocol."""
