"""How an attempt at an endpoint can fail."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class ConnectError(ShallotroadError):
    """No connection: nothing was sent, so nothing has run."""


class ConnectionLostError(ShallotroadError):
    """The connection ended before the whole answer; the request may have run."""


class GarbledAnswerError(ShallotroadError):
    """The endpoint sent bytes that are not an answer; the request may have run."""
