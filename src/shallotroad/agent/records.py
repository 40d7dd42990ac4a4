"""Idempotency records of one agent incarnation.

A record lives until its key has expired by the highest wall-clock time that
this process ever saw, so a clock that steps back can't bring a key to life
whose record is gone. No record is dropped to make room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.exceptions import ShallotroadError


if TYPE_CHECKING:
    from shallotroad.protocol.idempotency_key import IdempotencyKey

MAXIMUM_RECORDS = 100_000


class WrongHomeError(ShallotroadError):
    """The key names another agent or incarnation."""


class KeyExpiredError(ShallotroadError):
    """The key's lifetime is over; its record may be gone."""


class KeyReusedError(ShallotroadError):
    """The key was used before for another request."""


class RecordsFullError(ShallotroadError):
    """No room for a record; nothing was run."""


class Record(NamedTuple):
    """A call that was admitted once: the attempt that holds its answer."""

    attempt: str
    digest: str
    expires_at_s: float


class IdempotencyRecords:
    """The calls that this incarnation has admitted, by the nonce of their key."""

    def __init__(
        self, *, home: str, incarnation: str, maximum: int = MAXIMUM_RECORDS
    ) -> None:
        self._home = home
        self._incarnation = incarnation
        self._maximum = maximum
        self._records: dict[str, Record] = {}
        self._clock_s = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def _advance(self, wall_s: float) -> None:
        self._clock_s = max(self._clock_s, wall_s)

    def find(self, key: IdempotencyKey, *, digest: str, wall_s: float) -> str | None:
        """Return the attempt that a key has already admitted, or None.

        Parameters
        ----------
        key : IdempotencyKey
            The key, its signature checked.
        digest : str
            Digest of the request's method, path and body.
        wall_s : float
            Wall-clock time in seconds since the epoch.

        Raises
        ------
        WrongHomeError, KeyExpiredError, KeyReusedError
            When the call must not be run for this key.
        """
        self._advance(wall_s)
        if (key.home, key.incarnation) != (self._home, self._incarnation):
            raise WrongHomeError("this process is not the home of the key")
        record = self._records.get(key.nonce)
        if record is not None:
            if record.digest != digest:
                message = "the key was used for another request; ask for a new one"
                raise KeyReusedError(message)
            return record.attempt
        if key.expires_at_s <= self._clock_s:
            raise KeyExpiredError("the key has expired; ask for a new one")
        return None

    def admit(self, key: IdempotencyKey, *, attempt: str, digest: str) -> None:
        """Record that the call is admitted, before anything of it runs.

        Raises
        ------
        RecordsFullError
            When no record can be kept.
        """
        if len(self._records) >= self._maximum:
            self._drop_expired()
        if len(self._records) >= self._maximum:
            raise RecordsFullError("no room for another record; send again later")
        self._records[key.nonce] = Record(attempt, digest, key.expires_at_s)

    def withdraw(self, key: IdempotencyKey, *, attempt: str) -> None:
        """Forget an admission of which provably nothing was run."""
        record = self._records.get(key.nonce)
        if record is not None and record.attempt == attempt:
            del self._records[key.nonce]

    def _drop_expired(self) -> None:
        live = self._records.items()
        clock_s = self._clock_s
        self._records = {n: r for n, r in live if r.expires_at_s > clock_s}

    def sweep(self, *, wall_s: float) -> None:
        """Drop the records of expired keys."""
        self._advance(wall_s)
        self._drop_expired()
