"""Rate limits of teams over all entries, without shared state.

Rendezvous hashing over the instance list makes one entry the owner of each team's
limit. The other entries lease requests from it, as many as they expect to need within
the lease. An entry that can't reach the owner admits an even share of the limit by
itself, so that all entries together admit less than twice the limit, also during a
network partition.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import grpc.aio

from shallotroad.policy.token_bucket import TokenBucket
from shallotroad.protocol.peer_pb2 import TakeReply
from shallotroad.protocol.peer_pb2 import TakeRequest
from shallotroad.protocol.rpc import acquire_quota
from shallotroad.protocol.rpc import open_channel


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from shallotroad.config.fleet_config import RateLimit
    from shallotroad.discovery.client import Instance

LEASE_S = 1.0
MAX_LEASE_REQUESTS = 64
OWNER_TIMEOUT_S = 0.25
# Time for which an owner that did not reply is not asked again.
OWNER_RETRY_INTERVAL_S = 2.0
# Weight of the newest value in the moving average of the time between requests.
DEMAND_WEIGHT = 0.3


class Lease(NamedTuple):
    """Requests left of a grant, which expires at ``expires_s`` (monotonic)."""

    remaining: int
    expires_s: float


class Demand:
    """Moving average of the time between a team's requests at this entry."""

    def __init__(self) -> None:
        self._last_s: float | None = None
        self._interval_s = math.inf

    def record_request(self, now_s: float) -> int:
        """Record a request; return the number expected within one lease, at least 1."""
        if self._last_s is not None:
            interval_s = max(1e-4, now_s - self._last_s)
            measured = math.isfinite(self._interval_s)
            previous_s = self._interval_s if measured else interval_s
            self._interval_s = previous_s + DEMAND_WEIGHT * (interval_s - previous_s)
        self._last_s = now_s
        return max(1, min(MAX_LEASE_REQUESTS, int(LEASE_S / self._interval_s)))


def limit_owner(team: str, entries: Sequence[Instance]) -> Instance | None:
    """Return the entry that owns a team's limit; None if there are no entries."""

    def weight(instance: Instance) -> bytes:
        return hashlib.sha256(f"limit:{team}:{instance.name}".encode()).digest()

    return min(entries, key=weight, default=None)


class TeamLimits:
    """Leases of one entry, and the token buckets of the limits that it owns.

    Parameters
    ----------
    name : str
        This entry's name in the instance list.
    entries : Callable
        Returns the live entries of the instance list, also this one if it is listed.
    limits_of : Callable
        Returns a team's limits in force, or None for an unknown team.
    fleet_key : str
        The fleet key (see ``EntryIdentity``), sent with each request to an owner.
    clock : Callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        entries: Callable[[], Sequence[Instance]],
        limits_of: Callable[[str], RateLimit | None],
        fleet_key: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._entries = entries
        self._limits_of = limits_of
        self._fleet_key = fleet_key
        self._clock = clock
        self._leases: dict[str, Lease] = {}
        self._demands: dict[str, Demand] = {}
        self._renewal_locks: dict[str, asyncio.Lock] = {}
        self._owned_buckets: dict[str, TokenBucket] = {}
        self._share_buckets: dict[str, TokenBucket] = {}
        self._owner_unreachable_until_s: dict[str, float] = {}
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def acquire(self, team: str, limits: RateLimit) -> float:
        """Take a request from the limit; return 0, or the seconds until a retry.

        If no entry is listed, this entry acts as the owner and applies the full limit.
        """
        wanted = self._demands.setdefault(team, Demand()).record_request(self._clock())
        if self._take_leased(team):
            return 0.0
        async with self._renewal_locks.setdefault(team, asyncio.Lock()):
            if self._take_leased(team):
                return 0.0
            max_wanted = max(1, int(limits.requests_per_s * LEASE_S / 2))
            return await self._renew_lease(team, min(wanted, max_wanted), limits)

    def _take_leased(self, team: str) -> bool:
        lease = self._leases.get(team)
        if lease is None or lease.remaining == 0 or self._clock() >= lease.expires_s:
            return False
        self._leases[team] = lease._replace(remaining=lease.remaining - 1)
        return True

    async def _renew_lease(self, team: str, wanted: int, limits: RateLimit) -> float:
        """Get a new lease and take one request from it.

        Returns 0, or the seconds until a retry if nothing was granted. ``wanted`` is
        used only if another entry owns the limit; otherwise one request is taken.
        """
        now_s = self._clock()
        owner = limit_owner(team, self._entries())
        if owner is None or owner.name == self._name:
            reply = self._grant(team, 1, limits)
        elif now_s < self._owner_unreachable_until_s.get(owner.address, 0.0):
            reply = self._take_share(team, limits)
        else:
            reply = await self._request_lease(owner, team, wanted, limits)
        if reply.granted == 0:
            return max(0.001, reply.retry_after_s)
        expires_s = self._clock() + LEASE_S
        self._leases[team] = Lease(reply.granted - 1, expires_s)
        return 0.0

    async def _request_lease(
        self, owner: Instance, team: str, wanted: int, limits: RateLimit
    ) -> TakeReply:
        """Request a lease from the owner.

        If the call fails, marks the owner as unreachable and takes one request from
        this entry's share instead.
        """
        channel = self._channels.get(owner.address)
        if channel is None:
            channel = self._channels[owner.address] = open_channel(owner.address)
        try:
            return await acquire_quota(
                channel,
                TakeRequest(team=team, wanted=wanted),
                fleet_key=self._fleet_key,
                timeout_s=OWNER_TIMEOUT_S,
            )
        except grpc.aio.AioRpcError:
            await self._mark_owner_unreachable(owner.address)
            return self._take_share(team, limits)

    async def _mark_owner_unreachable(self, address: str) -> None:
        self._owner_unreachable_until_s[address] = (
            self._clock() + OWNER_RETRY_INTERVAL_S
        )
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    def _take_share(self, team: str, limits: RateLimit) -> TakeReply:
        share = 1.0 / max(1, len(self._entries()))
        per_s = limits.requests_per_s * share
        burst = max(1.0, limits.burst_requests * share)
        return self._take_from_bucket(
            self._share_buckets, team, 1, per_s=per_s, burst=burst
        )

    def _take_from_bucket(
        self,
        buckets: dict[str, TokenBucket],
        team: str,
        wanted: int,
        *,
        per_s: float,
        burst: float,
    ) -> TakeReply:
        """Take as many of the ``wanted`` requests as a team's bucket has tokens for.

        ``granted`` of the reply is that number, perhaps 0, and ``retry_after_s`` the
        seconds until the next token. A new bucket starts with ``burst`` tokens.
        """
        now_s = self._clock()
        bucket = buckets.get(team)
        if bucket is None:
            bucket = buckets[team] = TokenBucket(tokens=burst, now_s=now_s)
        granted = bucket.take(wanted, per_s=per_s, burst=burst, now_s=now_s)
        return TakeReply(granted=granted, retry_after_s=bucket.time_to_token_s(per_s))

    def _grant(self, team: str, wanted: int, limits: RateLimit) -> TakeReply:
        """Take up to ``wanted`` from a limit owned here; no other cap applies."""
        return self._take_from_bucket(
            self._owned_buckets,
            team,
            wanted,
            per_s=limits.requests_per_s,
            burst=limits.burst_requests,
        )

    def grant(self, request: TakeRequest) -> TakeReply:
        """Grant another entry a lease on the limit of a team.

        Grants at most ``MAX_LEASE_REQUESTS``, and none for an unknown team. The sender
        determines the owner; whether this entry agrees is not checked.
        """
        limits = self._limits_of(request.team)
        if limits is None:
            return TakeReply(granted=0, retry_after_s=1.0)
        return self._grant(
            request.team, min(request.wanted, MAX_LEASE_REQUESTS), limits
        )

    async def close(self) -> None:
        """Close the connections to owners."""
        for channel in self._channels.values():
            await channel.close()
