"""Crash counts of requests that were running when an endpoint crashed.

Such a request is a suspect and runs exclusively until it has completed. If an
endpoint crashes again while the suspect runs exclusively, no other request can be
the cause: the suspect counts as poison and is refused until its record expires.
"""

from __future__ import annotations

from typing import NamedTuple


SUSPECT_TTL_S = 600.0
MAX_SUSPECTS = 4096
POISON_CRASHES = 2


class CrashRecord(NamedTuple):
    """Crashes during which a request was running.

    ``expires_s`` is the monotonic time after which the record no longer counts.
    """

    crashes: int
    expires_s: float


class Suspects:
    """Crash counts by request fingerprint.

    The fingerprint is a digest that the entry makes of a request's team, path and
    body, so that a repetition of the request has the same one.
    A record expires ``SUSPECT_TTL_S`` after the last increase of its count. At most
    ``MAX_SUSPECTS`` records are kept.
    """

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}

    def crashes(self, fingerprint: str, *, now_s: float) -> int:
        """Return the crash count of a request; 0 if it has no unexpired record."""
        record = self._records.get(fingerprint)
        if record is None or record.expires_s < now_s:
            return 0
        return record.crashes

    def poisonous(self, fingerprint: str, *, now_s: float) -> bool:
        """Return whether a request has crashed too often to run again."""
        return self.crashes(fingerprint, now_s=now_s) >= POISON_CRASHES

    def raise_crash_count(
        self, fingerprint: str, crashes: int, *, now_s: float
    ) -> bool:
        """Raise the crash count of a request to at least ``crashes``.

        Returns whether the count rose; only then is its expiry renewed.
        """
        if crashes <= self.crashes(fingerprint, now_s=now_s):
            return False
        self._evict_for_insert(now_s)
        record = CrashRecord(crashes, now_s + SUSPECT_TTL_S)
        self._records[fingerprint] = record
        return True

    def clear(self, fingerprint: str) -> None:
        """Remove the record of a request that has completed."""
        self._records.pop(fingerprint, None)

    def _evict_for_insert(self, now_s: float) -> None:
        """Evict expired, then the first inserted records, if no more may be kept."""
        if len(self._records) < MAX_SUSPECTS:
            return
        items = self._records.items()
        self._records = {f: s for f, s in items if s.expires_s >= now_s}
        while len(self._records) >= MAX_SUSPECTS:
            del self._records[next(iter(self._records))]

    def count(self) -> int:
        """Return the number of records, including expired ones not yet evicted."""
        return len(self._records)
