"""The agents that an entry is connected to.

For each model or service an entry connects to a limited number of agents, so that
the number of connections does not grow with the fleet.
"""

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

# Maximum rate of idle heartbeats to all agents together.
MAX_IDLE_HEARTBEATS_PER_S = 20.0
MIN_IDLE_HEARTBEAT_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 0.25


def choose_agents(
    agents: Iterable[Instance], *, entry: str, data_centre: str, per_target: int
) -> dict[str, Instance]:
    """Return the agents that an entry connects to, by name.

    These are ``per_target`` agents for each model or service. Agents in the entry's
    own data centre are preferred; among equals rendezvous hashing decides, which
    spreads the entries evenly over the agents. The caller passes only live agents; the
    state is not checked here.
    """

    def rank(instance: Instance) -> tuple[bool, bytes]:
        weight = hashlib.sha256(f"{entry}:{instance.name}".encode()).digest()
        return instance.data_centre != data_centre, weight

    by_target: dict[str, list[Instance]] = {}
    for instance in agents:
        for target in instance.serves:
            by_target.setdefault(target, []).append(instance)
    chosen: dict[str, Instance] = {}
    for instances in by_target.values():
        for instance in sorted(instances, key=rank)[:per_target]:
            chosen[instance.name] = instance
    return chosen


class PeerSet:
    """Connections to agents, each kept up by a background task.

    Parameters
    ----------
    directory : InstanceDirectory
        The instance list; each refresh updates the connections.
    identity : EntryIdentity
        How this entry presents itself to agents.
    config : VersionedConfig
        The accepted configuration, exchanged with agents.
    suspects : Suspects
        Crash counts of requests, passed to each connection, which does not read them.
    per_target : int
        Number of agents to connect to for each model or service.
    """

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

    def idle_heartbeat_interval_s(self) -> float:
        """Return the time between heartbeats to an idle agent, in seconds.

        It grows with the number of agents, so that all heartbeats together stay
        within ``MAX_IDLE_HEARTBEATS_PER_S``.
        """
        return max(
            MIN_IDLE_HEARTBEAT_INTERVAL_S, len(self._peers) / MAX_IDLE_HEARTBEATS_PER_S
        )

    def update(self) -> None:
        """Connect to the chosen live agents and disconnect others without attempts.

        An agent that is no longer listed stays connected as long as its session
        works, because the list lags and a working session is better evidence. For a
        chosen agent whose address changed, the attempts fail and a new connection is
        made.
        """
        live = [
            instance
            for instance in self._directory.agents()
            if instance.state == "live"
        ]
        chosen = choose_agents(
            live,
            entry=self._identity.name,
            data_centre=self._identity.data_centre,
            per_target=self._per_target,
        )
        for instance in chosen.values():
            self._connect(instance)
        for name, peer in list(self._peers.items()):
            if name not in chosen and not peer.attempts and not peer.connected:
                self._disconnect(name)
        self._disconnect_unchosen(chosen)

    def _disconnect_unchosen(self, chosen: dict[str, Instance]) -> None:
        listed = {instance.name for instance in self._directory.agents()}
        for name, peer in list(self._peers.items()):
            if name in listed and name not in chosen and not peer.attempts:
                self._disconnect(name)

    def _connect(self, instance: Instance) -> AgentPeer:
        peer = self._peers.get(instance.name)
        if peer is not None and peer.address == instance.address:
            return peer
        if peer is not None:
            peer.fail_attempts(LossReason.ADDRESS_CHANGED)
            self._disconnect(instance.name)
        peer = AgentPeer(
            name=instance.name,
            address=instance.address,
            data_centre=instance.data_centre,
            identity=self._identity,
            config=self._config,
            suspects=self._suspects,
            idle_heartbeat_interval_s=self.idle_heartbeat_interval_s,
        )
        self._peers[instance.name] = peer
        self._tasks[instance.name] = asyncio.create_task(peer.run())
        return peer

    def _disconnect(self, name: str) -> None:
        del self._peers[name]
        self._tasks.pop(name).cancel()

    def get(self, name: str) -> AgentPeer | None:
        """Return the named agent; connect to it first if it is only listed.

        Returns None if it is neither connected nor listed.
        """
        peer = self._peers.get(name)
        if peer is not None:
            return peer
        for instance in self._directory.agents():
            if instance.name == name:
                return self._connect(instance)
        return None

    def connected(self) -> list[AgentPeer]:
        """Return the agents that have an established session."""
        return [peer for peer in self._peers.values() if peer.connected]

    def broadcast_suspect(self, fingerprint: str, crashes: int) -> None:
        """Send the crash count of a request to every connected agent.

        0 clears a suspect that has completed.
        """
        for peer in self.connected():
            peer.send_suspect(fingerprint, crashes)

    def drop_connections(self) -> None:
        """Reconnect to every agent, because after a stall unread batches are stale."""
        for peer in self._peers.values():
            peer.drop_connection()

    async def sweep_periodically(self) -> None:
        """Fail attempts at unreachable agents and pull newer configuration.

        Runs until cancelled. The order of the agents is random in each round, so
        that pulls, which are rate-limited, do not always go to the same agent.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            peers = list(self._peers.values())
            for peer in random.sample(peers, len(peers)):
                peer.fail_attempts_if_unreachable(now_s)
                peer.pull_config_if_behind()

    def close(self) -> None:
        """Disconnect from every agent."""
        for name in list(self._peers):
            self._disconnect(name)
