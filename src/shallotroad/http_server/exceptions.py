"""Errors of the HTTP server."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class BodyTooLargeError(ShallotroadError):
    """A request body is larger than its reader allows."""


class IncompleteBodyError(ConnectionResetError):
    """The connection ended, or was not a valid request any more, within a body."""


class RequestShedError(ShallotroadError):
    """A request gives way, so that the process keeps its limits; it has not run."""
