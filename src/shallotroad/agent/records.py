"""Idempotency records of one agent incarnation.

A record lives until its key has expired by the highest wall-clock time that
this process ever saw. A clock that steps back therefore can't make a key valid
again whose record is evicted. A record is never evicted early to make room;
when all records are in use, new keys are refused.
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
    """The key belongs to another agent or incarnation."""


class KeyExpiredError(ShallotroadError):
    """The key has expired; its record may be evicted."""


class KeyReusedError(ShallotroadError):
    """The key was used before for another request."""


class RecordsFullError(ShallotroadError):
    """The maximum number of records is reached; nothing was run."""


class Record(NamedTuple):
    """What was decided for a key: admitted as an attempt, or refused finally.

    ``digest`` is that of the request's method, path and body; ``expires_at_s``
    is wall-clock time in seconds since the epoch. For a refused key ``attempt``
    is empty and ``refusal`` is the error that every retry receives.
    """

    attempt: str
    digest: str
    expires_at_s: float
    refusal: OfferRefusedError | None = None


class IdempotencyRecords:
    """Records of the calls that this incarnation admitted or refused.

    They are indexed by the nonce of the key, at most ``max_records`` of them.
    """

    def __init__(
        self, *, owner: str, incarnation: str, max_records: int = MAX_RECORDS
    ) -> None:
        self._owner = owner
        self._incarnation = incarnation
        self._max_records = max_records
        self._records: dict[str, Record] = {}
        self._latest_wall_s = 0.0

    def __len__(self) -> int:
        return len(self._records)

    def _advance_clock(self, wall_s: float) -> None:
        self._latest_wall_s = max(self._latest_wall_s, wall_s)

    def find(self, key: IdempotencyKey, *, digest: str, wall_s: float) -> str | None:
        """Return the attempt that a key was admitted as; None if there is no record.

        Parameters
        ----------
        key : IdempotencyKey
            The key, with its signature already verified.
        digest : str
            Digest of the request's method, path and body.
        wall_s : float
            Wall-clock time in seconds since the epoch.

        Raises
        ------
        WrongOwnerError, KeyExpiredError, KeyReusedError
            When the call must not be run for this key.
        OfferRefusedError
            When the key was refused before. A refusal is final, so that an
            offer that arrives late is not run after its caller received the
            refusal.
        """
        self._advance_clock(wall_s)
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
        if key.expires_at_s <= self._latest_wall_s:
            raise KeyExpiredError("the key has expired; ask for a new one")
        return None

    def admit(self, key: IdempotencyKey, *, attempt: str, digest: str) -> None:
        """Record that the call is admitted, before anything of it runs.

        Raises
        ------
        RecordsFullError
            When the maximum number of records is reached.
        """
        self._ensure_capacity()
        self._records[key.nonce] = Record(attempt, digest, key.expires_at_s)

    def refuse(
        self, key: IdempotencyKey, *, digest: str, refusal: OfferRefusedError
    ) -> None:
        """Record that a key is refused finally; nothing may have been run for it.

        Raises
        ------
        RecordsFullError
            When the refusal can't be recorded; it must not be sent then.
        """
        record = Record("", digest, key.expires_at_s, refusal)
        if key.nonce not in self._records:
            self._ensure_capacity()
        self._records[key.nonce] = record

    def _ensure_capacity(self) -> None:
        """Make sure that there is room for another record.

        Evicts expired records if there is none, and raises RecordsFullError if that
        frees none.
        """
        if len(self._records) >= self._max_records:
            self._evict_expired()
        if len(self._records) >= self._max_records:
            raise RecordsFullError("no room for another record; send again later")

    def _evict_expired(self) -> None:
        records = self._records.items()
        now_s = self._latest_wall_s
        self._records = {n: r for n, r in records if r.expires_at_s > now_s}

    def evict_expired(self, *, wall_s: float) -> None:
        """Remove the records of expired keys.

        ``wall_s`` is wall-clock time in seconds since the epoch; a time before the
        latest one seen counts as the latest one.
        """
        self._advance_clock(wall_s)
        self._evict_expired()
