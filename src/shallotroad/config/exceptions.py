"""Findings about configuration and settings, each with its location."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self

from shallotroad.exceptions import ShallotroadError


if TYPE_CHECKING:
    from collections.abc import Sequence


class Finding(ShallotroadError):  # noqa: N818
    """One fault in a configuration or settings file.

    Parameters
    ----------
    location : str
        File or configuration key, path of the field, and line number if known.
    message : str
        What is wrong and, where possible, how to correct it.
    """

    def __init__(self, *, location: str, message: str) -> None:
        super().__init__(f"{location}: {message}")
        self.location = location
        self.message = message


class ConfigInvalidError(ExceptionGroup[Finding]):
    """All findings of one check, so that an operator can correct them at once."""

    def __new__(cls, message: str, findings: Sequence[Finding]) -> Self:
        """Create a group; ``message`` names what was checked."""
        return super().__new__(cls, message, findings)

    def derive(self, excs: Sequence[Finding]) -> ConfigInvalidError:  # type: ignore[override]
        """Return a group of some of the findings, for ``split`` and ``except*``."""
        return ConfigInvalidError(self.message, excs)

    def lines(self) -> list[str]:
        """Return ``location: message`` for each finding."""
        return [str(finding) for finding in self.exceptions]
