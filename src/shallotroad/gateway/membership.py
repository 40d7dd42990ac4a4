"""Which entries are alive, by gossip between them.

Each entry counts its own heartbeats; peers pass the highest count that they
know. An entry whose count stands still is taken as dead. The same exchange
carries the revision of the store that each entry knows.
"""

from __future__ import annotations

import hashlib
import math
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from random import Random

MEMBER_TIMEOUT_S = 4.0  # several exchanges were missed
EVICTION_S = 30.0
CONVERGENCE_S = 5.0  # gossip has reached every entry by then
MIN_GATEWAYS_BEFORE_CONVERGENCE = 10
# about three seconds; a newcomer knows too little to coordinate
MIN_COORDINATOR_HEARTBEATS = 5
CORES_STEP = 0.5  # processors that differ by less count as equal
NEWCOMER_MS = 5_000  # started so long after the oldest: it came back or was added
NEWCOMER_HEARTBEATS = 50  # about thirty seconds; until then it takes over less easily
NEWCOMER_SHARE = 0.5  # of its processor that counts: each change of hands costs
# of the exchanges leave the data centre, where bytes are dear
CROSS_DATA_CENTRE_SHARE = 0.4
MIN_NEAR_PEERS = 3  # peers in the own data centre, for them to be preferred


class Member(NamedTuple):
    """An entry as gossip tells of it.

    Parameters
    ----------
    name : str
        Name of the machine.
    address : str
        Where its peers connect.
    incarnation : int
        Unix time in milliseconds of the process's start.
    heartbeats : int
        Heartbeats it has counted.
    last_seen_s : float
        When the count last grew, monotonic.
    left : bool
        Whether it said that it leaves.
    cores : float
        Processor that its machine has for it.
    datagram_port : int
        Where it takes datagrams, at the host of its address.
    data_centre : str
        Where its machine stands.
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

    def row(self) -> list[Any]:
        """Return what peers are told of it."""
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


def _counted_cores(member: Member, oldest_incarnation: int) -> float:
    """Return the processor by which a member is ranked as a coordinator."""
    later = member.incarnation - oldest_incarnation > NEWCOMER_MS
    if later and member.heartbeats < NEWCOMER_HEARTBEATS:
        return NEWCOMER_SHARE * member.cores
    return member.cores


@lru_cache(maxsize=8_192)
def _rendezvous_weight(subject: str, name: str) -> bytes:
    return hashlib.blake2b(f"{subject} {name}".encode(), digest_size=8).digest()


class Membership:
    """The members this entry knows, itself included."""

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

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds from now on."""
        self._seeds = [seed for seed in seeds if seed != self.address]

    def increment_heartbeat(self) -> None:
        """Count a heartbeat of this entry."""
        self._heartbeats += 1

    def leave(self) -> None:
        """Tell the peers that this entry leaves."""
        self._left = True

    def live(self, now_s: float) -> list[str]:
        """Return the names of the live entries, sorted, itself included."""
        names = [
            m.name
            for m in self._members.values()
            if not m.left and now_s - m.last_seen_s < MEMBER_TIMEOUT_S
        ]
        return sorted([*names, self.name])

    def datagram_address(self, name: str) -> tuple[str, int] | None:
        """Return where a member takes datagrams; None when it is not known."""
        member = self._members.get(name)
        if member is None or not member.datagram_port:
            return None
        return member.address.partition(":")[0], member.datagram_port

    def known(self) -> list[str]:
        """Return the names of all members heard of lately, itself included."""
        return sorted([*self._members, self.name])

    @property
    def incarnation(self) -> int:
        """Unix time in milliseconds of this process's start."""
        return self._incarnation

    def has_converged(self, now_s: float) -> bool:
        """Return whether gossip has had time to tell of every entry."""
        return now_s - self._started_s >= CONVERGENCE_S

    def sees_majority(self, now_s: float) -> bool:
        """Return whether most of the members heard of lately are live."""
        return 2 * len(self.live(now_s)) > len(self._members)

    def coordinators(self, subject: str, now_s: float) -> list[str]:
        """Return who may coordinate a subject, the first choice first.

        Members that have run for a while go before newcomers, those with
        more processor before others; equals are drawn by rendezvous hashing.
        """
        members = [
            m
            for m in self._members.values()
            if not m.left and now_s - m.last_seen_s < MEMBER_TIMEOUT_S
        ]
        if not self._left:
            members.append(self._own())
        if not members:
            return []
        oldest = min(m.incarnation for m in members)
        members.sort(
            key=lambda m: (
                m.heartbeats >= MIN_COORDINATOR_HEARTBEATS,
                round(_counted_cores(m, oldest) / CORES_STEP),
                _rendezvous_weight(subject, m.name),
            ),
            reverse=True,
        )
        return [m.name for m in members]

    def limit_divisor(self, now_s: float) -> int:
        """Return by how many entries a bound on their sum is divided.

        Shortly after a start few peers are known; the seeds and a margin
        stand in for the others.
        """
        live = len(self.live(now_s))
        if not self.has_converged(now_s):
            return max(live, MIN_GATEWAYS_BEFORE_CONVERGENCE)
        return max(live, min(len(self._seeds), 3))

    def snapshot(self) -> list[list[Any]]:
        """Return what this entry tells of the members."""
        return [member.row() for member in (self._own(), *self._members.values())]

    def _own(self) -> Member:
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
        """Take what a peer tells; return the names that are new."""
        new_names = []
        for name, address, incarnation, heartbeats, left, cores, port, centre in rows:
            if name == self.name:
                continue
            current = self._members.get(name)
            if current is not None and (current.incarnation, current.heartbeats) >= (
                incarnation,
                heartbeats,
            ):
                continue
            if current is None or current.incarnation != incarnation:
                new_names.append(name)
            self._members[name] = Member(
                name=name,
                address=address,
                incarnation=incarnation,
                heartbeats=heartbeats,
                last_seen_s=now_s,
                left=left,
                cores=float(cores),
                datagram_port=int(port),
                data_centre=str(centre),
            )
        return new_names

    def evict(self, now_s: float) -> list[str]:
        """Forget members that were silent for long; return their names."""
        evicted = [
            n for n, m in self._members.items() if now_s - m.last_seen_s > EVICTION_S
        ]
        for name in evicted:
            del self._members[name]
        return evicted

    def targets(self, count: int, rng: Random, now_s: float) -> list[str]:
        """Return addresses to exchange with, now and then a seed's.

        Most are in the own data centre if there are enough.
        """
        live = [
            m
            for m in self._members.values()
            if not m.left and now_s - m.last_seen_s < EVICTION_S
        ]
        near = [m for m in live if m.data_centre == self._data_centre]
        far = [m for m in live if m.data_centre != self._data_centre]
        pool = live
        if len(near) >= MIN_NEAR_PEERS and far:
            pool = far if rng.random() < CROSS_DATA_CENTRE_SHARE else near
        chosen = [m.address for m in rng.sample(pool, min(count, len(pool)))]
        known = {m.address for m in live}
        unknown = [seed for seed in self._seeds if seed not in known]
        if unknown:
            chosen.append(rng.choice(unknown))
        return chosen
