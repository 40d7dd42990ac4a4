"""Errors of the adapter to the platform."""

from __future__ import annotations

from shallotroad.exceptions import ShallotroadError


class MalformedDocumentError(ShallotroadError):
    """A document or response body can't be decoded; no part of it may be used."""


class SettingsError(ShallotroadError):
    """The settings file of the instance can't be used; the text lists every finding."""


class StoreUnavailableError(ShallotroadError):
    """The store sent no valid response in time, or one with an error status."""


class RevisionCompactedError(ShallotroadError):
    """The store has discarded the changes after the requested revision."""
