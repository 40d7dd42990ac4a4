"""Errors of the platform's services."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class PlatformUnavailableError(ShallotroadError):
    """The platform did not answer, or answered with an error."""
