"""Errors of the client of the platform's services."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class PlatformUnavailableError(ShallotroadError):
    """The platform did not respond, or its response was an error or malformed."""
