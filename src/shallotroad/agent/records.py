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
    from shallotroad.agent.exceptions import OfferRefusedError
    from shallotroad.protocol.idempotency_key import IdempotencyKey

MAX_RECORDS = 100_000


class WrongOwnerError(ShallotroadError):
    """The key names another agent or incarnation."""


class KeyExpiredError(ShallotroadError):
    """The key's lifetime is over; its record may be gone."""


class KeyReusedError(ShallotroadError):
    """The key was used before for another request."""


class RecordsFullError(ShallotroadError):
    """No room for a record; nothing was run."""


class Record(NamedTuple):
    """The fate of a key: admitted as an attempt, or refused for good.

    ``refusal`` holds what every later send of a refused key is told.
    """

    attempt: str
    digest: str
    expires_at_s: float
    refusal: OfferRefusedError | None = None


class IdempotencyRecords:
    """The calls that this incarnation has admitted, by the nonce of their key."""

    def __init__(
        self, *, owner: str, incarnation: str, maximum: int = MAX_RECORDS
    ) -> None:
        self._owner = owner
        self._incarnation = incarnation
        self._maximum = maximum
        self._records: dict[str, Record] = {}
        self._clock_s = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def _advance(self, wall_s: float) -> None:
        self._clock_s = max(self._clock_s, wall_s)

    def find(self, key: IdempotencyKey, *, digest: str, wall_s: float) -> str | None:
        """Return the attempt that a key was admitted as, or None.

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
        WrongOwnerError, KeyExpiredError, KeyReusedError
            When the call must not be run for this key.
        OfferRefusedError
            When the key was refused before: a refusal is final, so that an
            offer which comes late can't run behind a caller who was told so.
        """
        self._advance(wall_s)
        if (key.owner, key.incarnation) != (self._owner, self._incarnation):
            raise WrongOwnerError("this process is not the home of the key")
        record = self._records.get(key.nonce)
        if record is not None:
            if record.digest != digest:
                message = "the key was used for another request; ask for a new one"
                raise KeyReusedError(message)
            if record.refusal is not None:
                raise record.refusal
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
        self._ensure_capacity()
        self._records[key.nonce] = Record(attempt, digest, key.expires_at_s)

    def refuse(
        self, key: IdempotencyKey, *, digest: str, refusal: OfferRefusedError
    ) -> None:
        """Refuse a key for good; provably nothing was run for it.

        Raises
        ------
        RecordsFullError
            When the refusal can't be kept, so that it must not be told.
        """
        record = Record("", digest, key.expires_at_s, refusal)
        if key.nonce not in self._records:
            self._ensure_capacity()
        self._records[key.nonce] = record

    def _ensure_capacity(self) -> None:
        if len(self._records) >= self._maximum:
            self._drop_expired()
        if len(self._records) >= self._maximum:
            raise RecordsFullError("no room for another record; send again later")

    def _drop_expired(self) -> None:
        live = self._records.items()
        clock_s = self._clock_s
        self._records = {n: r for n, r in live if r.expires_at_s > clock_s}

    def sweep(self, *, wall_s: float) -> None:
        """Drop the records of expired keys."""
        self._advance(wall_s)
        self._drop_expired()
