"""Which entries are alive, by gossip between them.

Each entry counts its own heartbeats; peers pass the highest count that they
know. An entry whose count stands still is taken as dead. The same exchange
carries each entry's load at endpoints and what it knows of the store.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from random import Random

DEAD_S = 4.0  # several exchanges were missed
FORGET_S = 30.0
SETTLED_S = 5.0  # gossip has reached every entry by then
UNSETTLED_ENTRIES = 10


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
    """

    name: str
    address: str
    incarnation: int
    beats: int
    heard_s: float
    left: bool


class Membership:
    """The members this entry knows, itself included."""

    def __init__(
        self,
        *,
        name: str,
        address: str,
        incarnation: int,
        seeds: tuple[str, ...],
        started_s: float = -math.inf,
    ) -> None:
        self.name = name
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

    def hosts(self, now_s: float) -> list[str]:
        """Return the IP addresses of the other live entries."""
        return [
            m.address.partition(":")[0]
            for m in self._members.values()
            if not m.left and now_s - m.heard_s < DEAD_S
        ]

    def count(self, now_s: float) -> int:
        """Return by how many entries a bound on their sum is divided.

        Shortly after a start few peers are known; the seeds and a margin
        stand in for the others.
        """
        live = len(self.live(now_s))
        if now_s - self._started_s < SETTLED_S:
            return max(live, UNSETTLED_ENTRIES)
        return max(live, min(len(self._seeds), 3))

    def table(self) -> list[list[Any]]:
        """Return what this entry tells of the members."""
        own = [self.name, self.address, self._incarnation, self._beats, self._left]
        rest = [
            [m.name, m.address, m.incarnation, m.beats, m.left]
            for m in self._members.values()
        ]
        return [own, *rest]

    def merge(self, rows: list[list[Any]], now_s: float) -> list[str]:
        """Take what a peer tells; return the names that are new."""
        news = []
        for name, address, incarnation, beats, left in rows:
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
            self._members[name] = Member(name, address, incarnation, beats, now_s, left)
        return news

    def forget(self, now_s: float) -> list[str]:
        """Forget members that were silent for long; return their names."""
        old = [n for n, m in self._members.items() if now_s - m.heard_s > FORGET_S]
        for name in old:
            del self._members[name]
        return old

    def targets(self, count: int, rng: Random, now_s: float) -> list[str]:
        """Return addresses to exchange with: live members, now and then a seed."""
        live = [
            m.address
            for m in self._members.values()
            if not m.left and now_s - m.heard_s < FORGET_S
        ]
        chosen = rng.sample(live, min(count, len(live)))
        unknown = [seed for seed in self._seeds if seed not in live]
        if unknown:
            chosen.append(rng.choice(unknown))
        return chosen
