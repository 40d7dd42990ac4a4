"""Findings about configuration, collected with their place."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Self

from shallotroad.exceptions import ShallotroadError


if TYPE_CHECKING:
    from collections.abc import Sequence


class Finding(ShallotroadError):  # noqa: N818
    """One fault in a configuration.

    Parameters
    ----------
    location : str
        File, table and key, with the line where it is known.
    message : str
        What is wrong and what to write instead.
    """

    def __init__(self, *, location: str, message: str) -> None:
        super().__init__(f"{location}: {message}")
        self.location = location
        self.message = message


class ConfigInvalidError(ExceptionGroup[Finding]):
    """All findings of one check, reported together."""

    def __new__(cls, message: str, findings: Sequence[Finding]) -> Self:
        """Group the findings under one message."""
        return super().__new__(cls, message, findings)

    def derive(self, excs: Sequence[Finding]) -> ConfigInvalidError:  # type: ignore[override]
        """Return the group for a subset of the findings."""
        return ConfigInvalidError(self.message, excs)

    def lines(self) -> list[str]:
        """Return one printable line for each finding."""
        return [str(finding) for finding in self.exceptions]
