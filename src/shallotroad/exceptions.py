"""Base class of the errors that shallotroad raises."""

from __future__ import annotations


class ShallotroadError(Exception):
    """Base class; the message says what the operator or caller can do."""
