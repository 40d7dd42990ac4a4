"""Limits on the request rate to an endpoint: one that is cold, or that states a limit.

The limit is for the sum over all gateways, which share no state. Rendezvous hashing
selects at most ``MAX_SHARERS`` of the gateways that the caller names, normally
only the coordinator of the service, and each of them sends an equal share of the
rate. Gateways that disagree on the membership may select different sets, and each
set sends up to a fraction of the rate: with ``COLD_START_FRACTION``, two sets of three
that differ in one gateway stay below the rate together, two disjoint sets exceed it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from shallotroad.policy.token_bucket import TokenBucket


if TYPE_CHECKING:
    from collections.abc import Sequence

# Maximum number of gateways that share the rate of an endpoint.
MAX_SHARERS = 3
# Fraction of the permitted rate that is used, because gateways may briefly
# disagree on the membership.
COLD_START_FRACTION = 0.7
STATED_LIMIT_FRACTION = 1.0
# Permits that a short gap in the traffic leaves unused are kept for this long.
STATED_LIMIT_BURST_S = 0.5
# An endpoint with a lower limit still gets a request now and then, because only its
# answers tell when the limit ends.
MIN_STATED_PER_S = 0.25


def choose_sharers(endpoint: str, gateways: Sequence[str]) -> list[str]:
    """Return those of ``gateways`` that share the rate of an endpoint.

    They are at most ``MAX_SHARERS``. Callers that pass the same gateways get
    the same result.
    """

    def rendezvous_weight(gateway: str) -> bytes:
        return hashlib.blake2b(f"{endpoint} {gateway}".encode(), digest_size=8).digest()

    return sorted(gateways, key=rendezvous_weight, reverse=True)[:MAX_SHARERS]


class EndpointRateLimiter:
    """Limits the rate at which one gateway sends to endpoints.

    Parameters
    ----------
    fraction : float
        Fraction of the permitted rate that is used.
    burst_s : float
        Time for which unused permits are kept, besides one of them.
    first_at_once : bool
        Whether the first request to an endpoint is permitted at once. Otherwise it
        waits for a part of the interval that depends on the endpoint, so that those
        that are limited at the same time don't take their requests at the same time.
    """

    def __init__(
        self, *, gateway: str, fraction: float, burst_s: float, first_at_once: bool
    ) -> None:
        self._gateway = gateway
        self._fraction = fraction
        self._burst_s = burst_s
        self._first_at_once = first_at_once
        self._buckets: dict[str, TokenBucket] = {}

    def try_acquire(
        self, endpoint: str, *, per_s: float, gateways: Sequence[str], now_s: float
    ) -> bool:
        """Take a permit for one request; return whether one was available.

        Each selected gateway has an equal share of the fraction of the rate.

        Parameters
        ----------
        endpoint : str
            Identifier of the endpoint.
        per_s : float
            Requests a second that all gateways together may send to it.
        gateways : sequence of str
            Names of the gateways among which ``choose_sharers`` selects those
            that share the rate.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Always False if this gateway is not selected or ``per_s`` is not positive.
        """
        permitted = choose_sharers(endpoint, gateways)
        if self._gateway not in permitted or per_s <= 0:
            return False
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            bucket = self._buckets[endpoint] = TokenBucket(
                tokens=1.0 if self._first_at_once else _phase(endpoint), now_s=now_s
            )
        share_per_s = self._fraction * per_s / len(permitted)
        burst = 1.0 + self._burst_s * share_per_s
        return bucket.take(1, per_s=share_per_s, burst=burst, now_s=now_s) == 1

    def remove(self, endpoint: str) -> None:
        """Remove the state of an endpoint that no longer exists."""
        self._buckets.pop(endpoint, None)


def _phase(endpoint: str) -> float:
    """Return a number from 0 to 1 that differs between endpoints."""
    return hashlib.blake2b(endpoint.encode(), digest_size=1).digest()[0] / 256


def make_cold_start_limiter(gateway: str) -> EndpointRateLimiter:
    """Return the limiter of a gateway for endpoints that are cold."""
    return EndpointRateLimiter(
        gateway=gateway, fraction=COLD_START_FRACTION, burst_s=0.0, first_at_once=True
    )


def make_stated_limit_limiter(gateway: str) -> EndpointRateLimiter:
    """Return the limiter of a gateway for endpoints that state a limit.

    A gateway that begins to enforce a limit doesn't know what others have just sent.
    """
    return EndpointRateLimiter(
        gateway=gateway,
        fraction=STATED_LIMIT_FRACTION,
        burst_s=STATED_LIMIT_BURST_S,
        first_at_once=False,
    )
