"""The gateways that a gateway knows by gossip, and which of them are live.

Each gateway counts its own heartbeats, and peers pass on the highest count that
they know. A member whose count has not grown for ``MEMBER_TIMEOUT_S`` is no longer
live, and after ``EVICTION_S`` it is evicted.
"""

from __future__ import annotations

import hashlib
import math
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.platform.documents import MAX_NUMBER


if TYPE_CHECKING:
    from random import Random

# Several exchanges in a row are missed before a member counts as lost.
MEMBER_TIMEOUT_S = 4.0
EVICTION_S = 30.0
CONVERGENCE_S = 5.0  # Gossip reaches every gateway within this time.
MIN_GATEWAYS_BEFORE_CONVERGENCE = 10
# About three seconds. A gateway that has just started knows too little to coordinate.
MIN_COORDINATOR_HEARTBEATS = 5
CORES_STEP = 0.5  # Core counts are rounded to this step before they are compared.
# A member that started this long after the oldest one was restarted or added.
NEWCOMER_START_LAG_MS = 5_000
# About thirty seconds, in which a newcomer takes over coordination less easily.
NEWCOMER_HEARTBEATS = 50
# Fraction of a newcomer's cores that counts, because each change of coordinator is
# costly.
NEWCOMER_CORES_FACTOR = 0.5
# A ranking of all members costs too much to make it for each request.
RANKING_MAX_AGE_S = 0.2
# Fraction of exchanges that leave the data centre, where traffic is expensive.
CROSS_DATA_CENTRE_SHARE = 0.4
# Peers needed in the gateway's own data centre before they are preferred.
MIN_LOCAL_PEERS = 3
MAX_PORTS = 65_536
# Gateways that are cut off from one another still divide a limit by all of them.
SHARER_MEMORY_S = 600.0


class Member(NamedTuple):
    """A gateway as described by gossip.

    Parameters
    ----------
    name : str
        Name of the instance.
    address : str
        ``HOST:PORT`` at which peers connect.
    incarnation : int
        Start of the process, Unix time in milliseconds.
    heartbeats : int
        Heartbeats that it has counted since its start.
    last_seen_s : float
        When a higher count last arrived, monotonic time in seconds.
    left : bool
        Whether it has announced that it is draining.
    cores : float
        CPU cores that its instance has for it.
    datagram_port : int
        UDP port at the host of its address; 0 when it receives no datagrams.
    data_centre : str
        Data centre of its instance.
    """

    name: str
    address: str
    incarnation: int
    heartbeats: int
    last_seen_s: float
    left: bool
    cores: float
    datagram_port: int
    data_centre: str

    def to_row(self) -> list[Any]:
        """Return all fields but ``last_seen_s``, in this order, as sent to peers."""
        return [
            self.name,
            self.address,
            self.incarnation,
            self.heartbeats,
            self.left,
            self.cores,
            self.datagram_port,
            self.data_centre,
        ]


def _decode_member(row: list[Any], now_s: float) -> Member:
    """Return the member of a row as ``Member.to_row`` makes it.

    Raises
    ------
    TypeError, ValueError
        When the row has another number of fields, or one has no usable value.
    """
    name, address, incarnation, heartbeats, left, cores, port, centre = row
    host, _, peer_port = str(address).rpartition(":")
    if address and not (host and 0 < int(peer_port) < MAX_PORTS):
        raise ValueError(f"{address!r} is not an address")
    if not all(0 <= int(number) <= MAX_NUMBER for number in (incarnation, heartbeats)):
        raise ValueError(
            f"member {name!r} of {incarnation!r} with {heartbeats!r} heartbeats"
        )
    if not (0 <= int(port) < MAX_PORTS and 0 < float(cores) < math.inf):
        raise ValueError(f"member {name!r} has port {port!r} and {cores!r} cores")
    return Member(
        name=str(name),
        address=str(address),
        incarnation=int(incarnation),
        heartbeats=int(heartbeats),
        last_seen_s=now_s,
        left=bool(left),
        cores=float(cores),
        datagram_port=int(port),
        data_centre=str(centre),
    )


def _counted_cores(member: Member, oldest_incarnation: int) -> float:
    """Return a member's cores, reduced for a newcomer and not yet rounded."""
    started_later = member.incarnation - oldest_incarnation > NEWCOMER_START_LAG_MS
    if started_later and member.heartbeats < NEWCOMER_HEARTBEATS:
        return NEWCOMER_CORES_FACTOR * member.cores
    return member.cores


@lru_cache(maxsize=8_192)
def _rendezvous_weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()


class Ranking(NamedTuple):
    """Names of gateways in an order of preference, and when it was made."""

    made_s: float
    names: list[str]


class Membership:
    """The members that this gateway knows, itself included.

    Parameters
    ----------
    seeds : tuple of str
        Addresses of gateways to contact while they are not known members.
    started_s : float
        Monotonic time of the start of this process, from which ``has_converged``
        counts ``CONVERGENCE_S``. With the default, gossip counts as converged at once.

    The other parameters are the fields of this gateway's ``Member``.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        incarnation: int,
        seeds: tuple[str, ...],
        cores: float = 1.0,
        datagram_port: int = 0,
        data_centre: str = "",
        started_s: float = -math.inf,
    ) -> None:
        self.name = name
        self._cores = cores
        self._datagram_port = datagram_port
        self._data_centre = data_centre
        self._started_s = started_s
        self.address = address
        self._incarnation = incarnation
        self._heartbeats = 0
        self._left = False
        self._seeds = [seed for seed in seeds if seed != address]
        self._members: dict[str, Member] = {}
        self._sharers_seen_s: dict[str, float] = {}
        self._rankings: dict[tuple[str, str], Ranking] = {}

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed addresses; the gateway's own address is left out."""
        self._seeds = [seed for seed in seeds if seed != self.address]

    def increment_heartbeat(self) -> None:
        """Count a heartbeat of this gateway."""
        self._heartbeats += 1

    def leave(self) -> None:
        """Announce in further exchanges that this gateway is draining."""
        self._left = True
        self._rankings.clear()

    def live_names(self, now_s: float) -> list[str]:
        """Return the names of the live gateways, sorted.

        Draining members are not live. This gateway is always included, even while it
        drains.
        """
        names = [
            member.name
            for member in self._members.values()
            if not member.left and now_s - member.last_seen_s < MEMBER_TIMEOUT_S
        ]
        return sorted([*names, self.name])

    def datagram_address(self, name: str) -> tuple[str, int] | None:
        """Return the host and UDP port of a member.

        None when the member is not known or receives no datagrams (port 0).
        """
        member = self._members.get(name)
        if member is None or not member.datagram_port:
            return None
        return member.address.partition(":")[0], member.datagram_port

    def known_names(self) -> list[str]:
        """Return the names of all members not yet evicted, sorted, itself included."""
        return sorted([*self._members, self.name])

    @property
    def incarnation(self) -> int:
        """Start of this process, Unix time in milliseconds."""
        return self._incarnation

    def has_converged(self, now_s: float) -> bool:
        """Return whether gossip has had time to reach every gateway since the start."""
        return now_s - self._started_s >= CONVERGENCE_S

    def sees_half(self, now_s: float) -> bool:
        """Return whether at least half of the known gateways are live.

        This gateway counts in both numbers; draining members are known but not live.
        A gateway that is cut off from most others gets False until it evicts them.
        In an even split, both halves get True.
        ``PlacementClient.rate_sharers`` uses it.
        """
        return 2 * len(self.live_names(now_s)) > len(self._members)

    def peer_address(self, name: str) -> str | None:
        """Return the ``HOST:PORT`` of a member; None when it is not known."""
        member = self._members.get(name)
        return member.address or None if member is not None else None

    def _active_members(self, now_s: float) -> list[Member]:
        """Return the live members, and this gateway unless it is draining."""
        members = [
            member
            for member in self._members.values()
            if not member.left and now_s - member.last_seen_s < MEMBER_TIMEOUT_S
        ]
        if not self._left:
            members.append(self._own_member())
        return members

    def rank_coordinators(
        self, key: str, now_s: float, *, data_centre: str = ""
    ) -> list[str]:
        """Return the gateways that may coordinate a cell, the preferred one first.

        These are the live members, and this gateway unless it is draining; the list may
        be empty. Members that have just started come last, those of the data centre
        come first, members with more cores come earlier, and ties are broken by
        rendezvous hashing. The list is at most ``RANKING_MAX_AGE_S`` old.

        Parameters
        ----------
        key : str
            Key for the rendezvous hashing.
        now_s : float
            Monotonic time in seconds.
        data_centre : str
            Preferred data centre; empty for none.
        """
        ranking = self._rankings.get((key, data_centre))
        if ranking is None or not 0 <= now_s - ranking.made_s < RANKING_MAX_AGE_S:
            members = self._active_members(now_s)
            names = self._rank(key, members, data_centre=data_centre)
            ranking = self._rankings[key, data_centre] = Ranking(now_s, names)
        return ranking.names

    def rank_local_members(self, now_s: float) -> list[str]:
        """Return the gateways of the own data centre, ranked like coordinators."""
        local = [
            member
            for member in self._active_members(now_s)
            if member.data_centre == self._data_centre
        ]
        return self._rank(self._data_centre, local)

    def _rank(
        self, key: str, members: list[Member], *, data_centre: str = ""
    ) -> list[str]:
        """Return the names of members in the order that a key's hashing gives."""
        if not members:
            return []
        oldest = min(member.incarnation for member in members)
        members.sort(
            key=lambda member: (
                member.heartbeats >= MIN_COORDINATOR_HEARTBEATS,
                member.data_centre == data_centre,
                round(_counted_cores(member, oldest) / CORES_STEP),
                _rendezvous_weight(key, member.name),
            ),
            reverse=True,
        )
        return [member.name for member in members]

    def limit_divisor(self, now_s: float) -> int:
        """Return the number of gateways among which a limit on their sum is divided.

        These are the gateways of ``live_names``, so this one counts and other
        draining ones do not.
        Until gossip has converged few peers are known, so the number is at least
        ``MIN_GATEWAYS_BEFORE_CONVERGENCE``; later it is at least the number of
        seeds, up to 3.
        """
        live = len(self.live_names(now_s))
        if not self.has_converged(now_s):
            return max(live, MIN_GATEWAYS_BEFORE_CONVERGENCE)
        return max(live, min(len(self._seeds), 3))

    def budget_sharers(self, now_s: float) -> int:
        """Return the number of gateways that may spend from a budget of all gateways.

        Unlike ``limit_divisor``, it counts gateways that are silent or left: they may
        have spent, or live beyond a cut.
        """
        for name, seen_s in list(self._sharers_seen_s.items()):
            if now_s - seen_s > SHARER_MEMORY_S:
                del self._sharers_seen_s[name]
        return max(self.limit_divisor(now_s), len(self._sharers_seen_s) + 1)

    def snapshot(self) -> list[list[Any]]:
        """Return the rows of all known members for an exchange, the own row first."""
        return [
            member.to_row() for member in (self._own_member(), *self._members.values())
        ]

    def _own_member(self) -> Member:
        return Member(
            name=self.name,
            address=self.address,
            incarnation=self._incarnation,
            heartbeats=self._heartbeats,
            last_seen_s=0.0,
            left=self._left,
            cores=self._cores,
            datagram_port=self._datagram_port,
            data_centre=self._data_centre,
        )

    def merge(self, rows: list[list[Any]], now_s: float) -> list[str]:
        """Merge the rows from a peer; return the names that are new or restarted.

        A row replaces the known one only if its incarnation is higher, or is the same
        with a higher heartbeat count. Rows about this gateway are ignored.

        Raises
        ------
        TypeError, ValueError
            When a row is malformed; then no row is merged.
        """
        new_names = []
        for member in [_decode_member(row, now_s) for row in rows]:
            if member.name == self.name:
                continue
            current = self._members.get(member.name)
            if current is not None and (current.incarnation, current.heartbeats) >= (
                member.incarnation,
                member.heartbeats,
            ):
                continue
            if current is None or current.incarnation != member.incarnation:
                new_names.append(member.name)
                self._rankings.clear()
            elif member.left != current.left:
                self._rankings.clear()
            self._members[member.name] = member
            self._sharers_seen_s[member.name] = now_s
        return new_names

    def evict(self, now_s: float) -> list[str]:
        """Remove members not seen for ``EVICTION_S``; return their names."""
        evicted = [
            name
            for name, member in self._members.items()
            if now_s - member.last_seen_s > EVICTION_S
        ]
        for name in evicted:
            del self._members[name]
        return evicted

    def choose_exchange_addresses(
        self, count: int, rng: Random, now_s: float
    ) -> list[str]:
        """Return random addresses for an exchange.

        They are up to ``count`` members, and in addition one seed while some seed is
        not a known member. Members that timed out are included until they are
        evicted; draining members are not. Members of the own data centre are preferred
        if there are at least ``MIN_LOCAL_PEERS``.
        """
        live = [
            member
            for member in self._members.values()
            if not member.left and now_s - member.last_seen_s < EVICTION_S
        ]
        local = [member for member in live if member.data_centre == self._data_centre]
        remote = [member for member in live if member.data_centre != self._data_centre]
        pool = live
        if len(local) >= MIN_LOCAL_PEERS and remote:
            pool = remote if rng.random() < CROSS_DATA_CENTRE_SHARE else local
        addresses = [
            member.address for member in rng.sample(pool, min(count, len(pool)))
        ]
        known = {member.address for member in live}
        unknown = [seed for seed in self._seeds if seed not in known]
        if unknown:
            addresses.append(rng.choice(unknown))
        return addresses
