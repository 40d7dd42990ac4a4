"""Errors of the adapter."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class MalformedDocumentError(ShallotroadError):
    """A published document can't be read; nothing of it is used."""


class SettingsError(ShallotroadError):
    """The machine's settings file can't be used; lists every finding."""


class StoreUnavailableError(ShallotroadError):
    """The store did not answer, or refused this machine."""


class RevisionCompactedError(ShallotroadError):
    """The store no longer holds the changes after a revision."""
