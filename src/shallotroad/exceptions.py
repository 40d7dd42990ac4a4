"""Base of every error that shallotroad raises on purpose."""

from __future__ import annotations


class ShallotroadError(Exception):
    """An error with a message that says what to do next."""
