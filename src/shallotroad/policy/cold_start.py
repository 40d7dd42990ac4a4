"""Shares of the request rate that a cold endpoint bears.

The bound is a sum over all entries, which share no state. A few entries own
each cold endpoint, drawn by rendezvous hashing, and each sends an equal share.
While views of the membership differ, at most one more set of owners sends.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from shallotroad.policy.token_bucket import TokenBucket


if TYPE_CHECKING:
    from collections.abc import Sequence

OWNERS = 3
SAFETY = 0.7  # of the rate; leaves room for views that differ


def owners_of(endpoint: str, gateways: Sequence[str]) -> list[str]:
    """Return the entries that may send to a cold endpoint."""

    def weight(gateway: str) -> bytes:
        return hashlib.blake2b(f"{endpoint} {gateway}".encode(), digest_size=8).digest()

    return sorted(gateways, key=weight, reverse=True)[:OWNERS]


class ColdStartLimiter:
    """Permits of one entry for cold endpoints."""

    def __init__(self, *, gateway: str) -> None:
        self._gateway = gateway
        self._buckets: dict[str, TokenBucket] = {}

    def try_acquire(
        self, endpoint: str, *, per_s: float, gateways: Sequence[str], now_s: float
    ) -> bool:
        """Take the permit for one request; tell whether there was one."""
        owners = owners_of(endpoint, gateways)
        if self._gateway not in owners or per_s <= 0:
            return False
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            bucket = self._buckets[endpoint] = TokenBucket(tokens=1.0, now_s=now_s)
        share_per_s = SAFETY * per_s / len(owners)
        return bucket.take(1, per_s=share_per_s, burst=1.0, now_s=now_s) == 1

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self._buckets.pop(endpoint, None)
