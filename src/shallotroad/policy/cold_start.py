"""Limit on the request rate to an endpoint that has just started.

The limit is for the sum over all gateways, which share no state. Rendezvous hashing
selects at most ``COLD_START_GATEWAYS`` of the gateways that the caller names, normally
only the coordinator of the service, and each of them sends an equal share of the
rate. Gateways that disagree on the membership may select different sets, and each
set sends up to ``RATE_SAFETY_FACTOR`` of the rate: two sets of three that differ in
one gateway stay below the rate together, two disjoint sets exceed it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from shallotroad.policy.token_bucket import TokenBucket


if TYPE_CHECKING:
    from collections.abc import Sequence

# Maximum number of gateways that may send to a cold endpoint.
COLD_START_GATEWAYS = 3
# Fraction of the permitted rate that is used, because gateways may briefly
# disagree on the membership.
RATE_SAFETY_FACTOR = 0.7


def cold_start_gateways(endpoint: str, gateways: Sequence[str]) -> list[str]:
    """Return those of ``gateways`` that may send to a cold endpoint.

    They are at most ``COLD_START_GATEWAYS``. Callers that pass the same gateways get
    the same result.
    """

    def rendezvous_weight(gateway: str) -> bytes:
        return hashlib.blake2b(f"{endpoint} {gateway}".encode(), digest_size=8).digest()

    return sorted(gateways, key=rendezvous_weight, reverse=True)[:COLD_START_GATEWAYS]


class ColdStartLimiter:
    """Limits the rate at which one gateway sends to cold endpoints."""

    def __init__(self, *, gateway: str) -> None:
        self._gateway = gateway
        self._buckets: dict[str, TokenBucket] = {}

    def try_acquire(
        self, endpoint: str, *, per_s: float, gateways: Sequence[str], now_s: float
    ) -> bool:
        """Take a permit for one request; return whether one was available.

        Each selected gateway has an equal share of ``RATE_SAFETY_FACTOR`` of the rate,
        without bursts. The first request to an endpoint is permitted at once.

        Parameters
        ----------
        endpoint : str
            Identifier of the cold endpoint.
        per_s : float
            Requests a second that all gateways together may send to it.
        gateways : sequence of str
            Names of the gateways among which ``cold_start_gateways`` selects those
            that share the rate.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Always False if this gateway is not selected or ``per_s`` is not positive.
        """
        permitted = cold_start_gateways(endpoint, gateways)
        if self._gateway not in permitted or per_s <= 0:
            return False
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            bucket = self._buckets[endpoint] = TokenBucket(tokens=1.0, now_s=now_s)
        share_per_s = RATE_SAFETY_FACTOR * per_s / len(permitted)
        return bucket.take(1, per_s=share_per_s, burst=1.0, now_s=now_s) == 1

    def remove(self, endpoint: str) -> None:
        """Remove the state of an endpoint that no longer exists."""
        self._buckets.pop(endpoint, None)
