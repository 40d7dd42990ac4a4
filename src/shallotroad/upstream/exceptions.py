"""Errors of an attempt to send a request to an endpoint."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class ConnectError(ShallotroadError):
    """There is no connection. Nothing was sent, so the request has not run."""


class ConnectionLostError(ShallotroadError):
    """The connection ended before a complete response; the request may have run."""


class MalformedResponseError(ShallotroadError):
    """The endpoint sent no valid response; the request may have run."""


class CallFailedError(ShallotroadError):
    """A call got no complete and valid response in time."""
