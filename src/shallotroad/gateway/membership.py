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

DEAD_S = 4.0  # several exchanges were missed
FORGET_S = 30.0
SETTLED_S = 5.0  # gossip has reached every entry by then
UNSETTLED_ENTRIES = 10
SEASONED_BEATS = 5  # about three seconds; a newcomer knows too little to coordinate
CORES_STEP = 0.5  # processors that differ by less count as equal
NEWCOMER_MS = 5_000  # started so long after the oldest: it came back or was added
NEWCOMER_BEATS = 50  # about thirty seconds; until then it takes over less easily
NEWCOMER_SHARE = 0.5  # of its processor that counts: each change of hands costs
FAR_SHARE = 0.4  # of the exchanges leave the data centre, where bytes are dear
FEWEST_NEAR = 3  # peers in the own data centre, for them to be preferred


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
    beats : int
        Heartbeats it has counted.
    heard_s : float
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
    beats: int
    heard_s: float
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
            self.beats,
            self.left,
            self.cores,
            self.datagram_port,
            self.data_centre,
        ]


def _counted_cores(member: Member, oldest_incarnation: int) -> float:
    """Return the processor by which a member is ranked as a coordinator."""
    later = member.incarnation - oldest_incarnation > NEWCOMER_MS
    if later and member.beats < NEWCOMER_BEATS:
        return NEWCOMER_SHARE * member.cores
    return member.cores


@lru_cache(maxsize=8_192)
def _draw(subject: str, name: str) -> bytes:
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
        self._beats = 0
        self._left = False
        self._seeds = [seed for seed in seeds if seed != address]
        self._members: dict[str, Member] = {}

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds from now on."""
        self._seeds = [seed for seed in seeds if seed != self.address]

    def beat(self) -> None:
        """Count a heartbeat of this entry."""
        self._beats += 1

    def leave(self) -> None:
        """Tell the peers that this entry leaves."""
        self._left = True

    def live(self, now_s: float) -> list[str]:
        """Return the names of the live entries, sorted, itself included."""
        names = [
            m.name
            for m in self._members.values()
            if not m.left and now_s - m.heard_s < DEAD_S
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

    def settled(self, now_s: float) -> bool:
        """Return whether gossip has had time to tell of every entry."""
        return now_s - self._started_s >= SETTLED_S

    def majority(self, now_s: float) -> bool:
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
            if not m.left and now_s - m.heard_s < DEAD_S
        ]
        if not self._left:
            members.append(self._own())
        if not members:
            return []
        oldest = min(m.incarnation for m in members)
        members.sort(
            key=lambda m: (
                m.beats >= SEASONED_BEATS,
                round(_counted_cores(m, oldest) / CORES_STEP),
                _draw(subject, m.name),
            ),
            reverse=True,
        )
        return [m.name for m in members]

    def count(self, now_s: float) -> int:
        """Return by how many entries a bound on their sum is divided.

        Shortly after a start few peers are known; the seeds and a margin
        stand in for the others.
        """
        live = len(self.live(now_s))
        if not self.settled(now_s):
            return max(live, UNSETTLED_ENTRIES)
        return max(live, min(len(self._seeds), 3))

    def table(self) -> list[list[Any]]:
        """Return what this entry tells of the members."""
        return [member.row() for member in (self._own(), *self._members.values())]

    def _own(self) -> Member:
        return Member(
            name=self.name,
            address=self.address,
            incarnation=self._incarnation,
            beats=self._beats,
            heard_s=0.0,
            left=self._left,
            cores=self._cores,
            datagram_port=self._datagram_port,
            data_centre=self._data_centre,
        )

    def merge(self, rows: list[list[Any]], now_s: float) -> list[str]:
        """Take what a peer tells; return the names that are new."""
        news = []
        for name, address, incarnation, beats, left, cores, port, centre in rows:
            if name == self.name:
                continue
            held = self._members.get(name)
            if held is not None and (held.incarnation, held.beats) >= (
                incarnation,
                beats,
            ):
                continue
            if held is None or held.incarnation != incarnation:
                news.append(name)
            self._members[name] = Member(
                name=name,
                address=address,
                incarnation=incarnation,
                beats=beats,
                heard_s=now_s,
                left=left,
                cores=float(cores),
                datagram_port=int(port),
                data_centre=str(centre),
            )
        return news

    def forget(self, now_s: float) -> list[str]:
        """Forget members that were silent for long; return their names."""
        old = [n for n, m in self._members.items() if now_s - m.heard_s > FORGET_S]
        for name in old:
            del self._members[name]
        return old

    def targets(self, count: int, rng: Random, now_s: float) -> list[str]:
        """Return addresses to exchange with, now and then a seed's.

        Most are in the own data centre if there are enough.
        """
        live = [
            m
            for m in self._members.values()
            if not m.left and now_s - m.heard_s < FORGET_S
        ]
        near = [m for m in live if m.data_centre == self._data_centre]
        far = [m for m in live if m.data_centre != self._data_centre]
        pool = live
        if len(near) >= FEWEST_NEAR and far:
            pool = far if rng.random() < FAR_SHARE else near
        chosen = [m.address for m in rng.sample(pool, min(count, len(pool)))]
        known = {m.address for m in live}
        unknown = [seed for seed in self._seeds if seed not in known]
        if unknown:
            chosen.append(rng.choice(unknown))
        return chosen
