"""The agents that an entry is connected to: a bounded set for each target."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from typing import TYPE_CHECKING

from shallotroad.entry.attempt import LossReason
from shallotroad.entry.peer import AgentPeer


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from shallotroad.config.versioned_config import VersionedConfig
    from shallotroad.discovery.client import Instance
    from shallotroad.entry.directory import InstanceDirectory
    from shallotroad.entry.peer import EntryIdentity
    from shallotroad.policy.suspects import Suspects

HEARTBEATS_PER_S = 20.0
IDLE_HEARTBEAT_S = 1.0
SWEEP_INTERVAL_S = 0.25


def choose_agents(
    agents: Iterable[Instance], *, entry: str, data_centre: str, per_target: int
) -> dict[str, Instance]:
    """Return the agents that an entry connects to, by name.

    For each target the nearest come first, then rendezvous hashing spreads
    entries over agents evenly.
    """

    def rank(row: Instance) -> tuple[bool, bytes]:
        weight = hashlib.sha256(f"{entry}:{row.name}".encode()).digest()
        return row.data_centre != data_centre, weight

    by_target: dict[str, list[Instance]] = {}
    for row in agents:
        for target in row.serves:
            by_target.setdefault(target, []).append(row)
    chosen: dict[str, Instance] = {}
    for rows in by_target.values():
        for row in sorted(rows, key=rank)[:per_target]:
            chosen[row.name] = row
    return chosen


class PeerSet:
    """Connections to agents, one task each."""

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        identity: EntryIdentity,
        config: VersionedConfig,
        suspects: Suspects,
        per_target: int,
    ) -> None:
        self._directory = directory
        self._identity = identity
        self._config = config
        self._suspects = suspects
        self._per_target = per_target
        self._peers: dict[str, AgentPeer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        directory.add_listener(self.update)

    def __iter__(self) -> Iterator[AgentPeer]:
        return iter(list(self._peers.values()))

    def idle_heartbeat_s(self) -> float:
        """Return the time between idle heartbeats, longer with many peers."""
        return max(IDLE_HEARTBEAT_S, len(self._peers) / HEARTBEATS_PER_S)

    def update(self) -> None:
        """Connect to the chosen agents and let go of those without work."""
        live = [row for row in self._directory.agents() if row.state == "live"]
        chosen = choose_agents(
            live,
            entry=self._identity.name,
            data_centre=self._identity.data_centre,
            per_target=self._per_target,
        )
        for row in chosen.values():
            self._connect(row)
        for name, peer in list(self._peers.items()):
            if name not in chosen and not peer.attempts and not peer.connected:
                self._disconnect(name)
        self._drop_excess(chosen)

    def _drop_excess(self, chosen: dict[str, Instance]) -> None:
        listed = {row.name for row in self._directory.agents()}
        for name, peer in list(self._peers.items()):
            if name in listed and name not in chosen and not peer.attempts:
                self._disconnect(name)

    def _connect(self, row: Instance) -> AgentPeer:
        peer = self._peers.get(row.name)
        if peer is not None and peer.address == row.address:
            return peer
        if peer is not None:
            peer.fail_attempts(LossReason.ADDRESS_CHANGED)
            self._disconnect(row.name)
        peer = AgentPeer(
            name=row.name,
            address=row.address,
            data_centre=row.data_centre,
            identity=self._identity,
            config=self._config,
            suspects=self._suspects,
            idle_heartbeat_s=self.idle_heartbeat_s,
        )
        self._peers[row.name] = peer
        self._tasks[row.name] = asyncio.create_task(peer.run())
        return peer

    def _disconnect(self, name: str) -> None:
        del self._peers[name]
        self._tasks.pop(name).cancel()

    def get(self, name: str) -> AgentPeer | None:
        """Return the peer beside a named instance; connect when it is listed."""
        peer = self._peers.get(name)
        if peer is not None:
            return peer
        for row in self._directory.agents():
            if row.name == name:
                return self._connect(row)
        return None

    def connected(self) -> list[AgentPeer]:
        """Return the peers with a session."""
        return [peer for peer in self._peers.values() if peer.connected]

    def broadcast_suspect(self, fingerprint: str, crashes: int) -> None:
        """Tell every agent of a request that was there at a crash."""
        for peer in self.connected():
            peer.send_suspect(fingerprint, crashes)

    def drop_connections(self) -> None:
        """Replace every connection, after a pause of this process."""
        for peer in self._peers.values():
            peer.drop_connection()

    async def sweep_periodically(self) -> None:
        """Give attempts up at silent agents and fetch newer configuration."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            peers = list(self._peers.values())
            for peer in random.sample(peers, len(peers)):
                peer.fail_attempts_if_unreachable(now_s)
                peer.pull_config_if_behind()

    def close(self) -> None:
        """End every connection."""
        for name in list(self._peers):
            self._disconnect(name)
