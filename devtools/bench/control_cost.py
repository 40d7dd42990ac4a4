"""Command that measures the cost of control traffic against the number of peers.

The measured entry or agent runs as its own process and serves no request. Its peers
are stand-ins within this process that speak the real protocol. The cost is the
processor time, memory and network traffic, and the delay until a published
configuration is applied at the peers.
"""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import click

from devtools import sample_fleet as sample
from devtools.bench.usage import read_loopback_bytes
from devtools.bench.usage import read_usage
from devtools.processes import FLEET_KEY
from devtools.processes import HOST
from devtools.processes import LocalFleet
from devtools.processes import ProcessHandle
from shallotroad.agent.endpoint_client import EndpointClient
from shallotroad.agent.endpoint_scheduler import EndpointScheduler
from shallotroad.agent.offer_validation import AgentIdentity
from shallotroad.agent.session_registry import SessionRegistry
from shallotroad.config.settings import EndpointSettings
from shallotroad.config.versioned_config import VersionedConfig
from shallotroad.entry.peer import AgentPeer
from shallotroad.entry.peer import EntryIdentity
from shallotroad.entry.peer_set import MAX_IDLE_HEARTBEATS_PER_S
from shallotroad.entry.peer_set import MIN_IDLE_HEARTBEAT_INTERVAL_S
from shallotroad.policy.suspects import Suspects
from shallotroad.protocol.config_delta import handle_pull
from shallotroad.protocol.rpc import make_server


if TYPE_CHECKING:
    import grpc.aio

SETTLE_S = 4.0
MEASURE_S = 12.0


class ControlCost(NamedTuple):
    """Cost of one process that is connected to a number of peers and serves no request.

    Parameters
    ----------
    role : str
        Role of the measured process, ``entry`` or ``agent``.
    peers : int
        Number of stand-ins.
    cpu_percent : float
        Processor time of the process, in percent of one core.
    memory_mb : float
        Resident memory of the process at the end, in megabytes.
    bytes_per_s : float
        All traffic of the loopback interface, also that of other processes.
    changes_per_s : float
        Rate at which configuration changes were published in fact.
    applied_p50_s, applied_max_s : float
        Median and maximum time from publication until a peer applied the revision;
        0 if no delay was recorded.
    """

    role: str
    peers: int
    cpu_percent: float
    memory_mb: float
    bytes_per_s: float
    changes_per_s: float
    applied_p50_s: float
    applied_max_s: float


class StandinAgents:
    """Agents within this process whose endpoint does not exist.

    They serve sessions and configuration pulls as real agents do.
    """

    def __init__(self) -> None:
        self.configs: list[VersionedConfig] = []
        self._servers: list[grpc.aio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, count: int) -> list[int]:
        """Start ``count`` agents and return their ports."""
        ports = []
        for number in range(count):
            config = VersionedConfig()
            endpoint = EndpointSettings(url=f"http://{HOST}:9", serves=(sample.MODEL,))
            scheduler = EndpointScheduler(
                identity=AgentIdentity(
                    f"stand-in-{number}", sample.DATA_CENTRES[0], (sample.MODEL,)
                ),
                incarnation=f"i{number}",
                endpoint=endpoint,
                client=EndpointClient(url=endpoint.url),
                config=config,
                fleet_key=FLEET_KEY,
            )
            sessions = SessionRegistry(scheduler=scheduler)
            config.add_listener(lambda _, sessions=sessions: sessions.gossip_revision())  # type: ignore[misc]
            server = make_server(
                session=sessions.serve,
                pull=lambda request, config=config: handle_pull(config, request),  # type: ignore[misc]
                fleet_key=FLEET_KEY,
            )
            ports.append(server.add_insecure_port(f"{HOST}:0"))
            await server.start()
            self._tasks.append(asyncio.create_task(sessions.run_load_broadcasts()))
            self._tasks.append(asyncio.create_task(sessions.run_config_pulls()))
            self.configs.append(config)
            self._servers.append(server)
        return ports

    async def stop(self) -> None:
        """Stop all agents."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(server.stop(0) for server in self._servers))


class StandinEntries:
    """Connections of several entries to one agent, all within this process."""

    def __init__(self) -> None:
        self.configs: list[VersionedConfig] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, count: int, port: int, idle_s: float) -> None:
        """Connect ``count`` entries to the agent at ``port``.

        Each sends a heartbeat every ``idle_s`` seconds while it has no request.
        """
        for number in range(count):
            config = VersionedConfig()
            peer = AgentPeer(
                name="agent",
                address=f"{HOST}:{port}",
                data_centre=sample.DATA_CENTRES[0],
                identity=EntryIdentity(
                    f"entry-{number}", f"i{number}", sample.DATA_CENTRES[0], FLEET_KEY
                ),
                config=config,
                suspects=Suspects(),
                idle_heartbeat_interval_s=lambda: idle_s,
            )
            self._tasks.append(asyncio.create_task(peer.run()))
            self.configs.append(config)

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class ApplyDelays:
    """Delays from the publication of each revision until peers applied it.

    A revision that a peer applies before the call that publishes it has returned is
    not counted, nor is one that a peer skips. ``published_s`` maps a revision to the
    monotonic time at which its publication began, ``delays_s`` has one item for each
    revision and peer.
    """

    def __init__(self) -> None:
        self.published_s: dict[int, float] = {}
        self.delays_s: list[float] = []

    def watch(self, config: VersionedConfig) -> None:
        """Record from now on when ``config``, that of one peer, applies a revision."""
        config.add_listener(lambda fleet: self._record_applied(fleet.revision))

    def _record_applied(self, revision: int) -> None:
        now_s = time.monotonic()
        for published, published_s in self.published_s.items():
            if published == revision:
                self.delays_s.append(now_s - published_s)


async def _publish(
    fleet: LocalFleet, apply_delays: ApplyDelays, rate_per_s: float, seconds: float
) -> int:
    """Publish changes of one team's limits for ``seconds``; return their number.

    The rate stays below ``rate_per_s`` by the time that each publication takes.
    """
    if rate_per_s == 0:
        await asyncio.sleep(seconds)
        return 0
    count = 0
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        limits = {"requests_per_s": 500 + count, "burst_requests": 500}
        value = sample.team_values(sample.OTHER_TEAM, sample.OTHER_KEY, limits=limits)
        started_s = time.monotonic()
        revision = await asyncio.to_thread(fleet.publish, value)
        apply_delays.published_s[revision] = started_s
        count += 1
        await asyncio.sleep(1 / rate_per_s)
    return count


async def _measure(
    fleet: LocalFleet,
    handle: ProcessHandle,
    configs: list[VersionedConfig],
    role: str,
    rate_per_s: float,
) -> ControlCost:
    """Measure a process once all ``configs`` of its peers have a revision."""
    while any(config.revision == 0 for config in configs):
        await asyncio.sleep(SETTLE_S / 10)
    await asyncio.sleep(SETTLE_S)
    apply_delays = ApplyDelays()
    for config in configs:
        apply_delays.watch(config)
    pid = handle.process.pid
    before, bytes_before = read_usage(pid), read_loopback_bytes()
    started_s = time.monotonic()
    count = await _publish(fleet, apply_delays, rate_per_s, MEASURE_S)
    span_s = time.monotonic() - started_s
    after, bytes_after = read_usage(pid), read_loopback_bytes()
    await asyncio.sleep(SETTLE_S if rate_per_s else 0)
    delays_s = sorted(apply_delays.delays_s) or [0.0]
    return ControlCost(
        role=role,
        peers=len(configs),
        cpu_percent=(after.cpu_s - before.cpu_s) / span_s * 100,
        memory_mb=after.memory_bytes / 1e6,
        bytes_per_s=(bytes_after - bytes_before) / span_s,
        changes_per_s=count / span_s,
        applied_p50_s=delays_s[len(delays_s) // 2],
        applied_max_s=delays_s[-1],
    )


def _make_values(count: int) -> dict[str, str]:
    """Return configuration values with ``count`` teams, at least the sample's two."""
    values = sample.initial_values()
    for number in range(count - 2):
        values.update(sample.team_values(f"team-{number}", f"key-{number}"))
    return values


async def measure_entry(peers: int, teams: int, rate_per_s: float) -> ControlCost:
    """Measure an entry that is connected to ``peers`` stand-in agents.

    The configuration has ``teams`` teams and changes ``rate_per_s`` times a second.
    """
    fleet = LocalFleet(log_level="WARNING")
    agents = StandinAgents()
    try:
        await asyncio.to_thread(fleet.start_platform)
        await asyncio.to_thread(fleet.publish, _make_values(teams))
        ports = await agents.start(peers)
        for number, port in enumerate(ports):
            fleet.register_instance(
                f"stand-in-{number}",
                "agent",
                sample.DATA_CENTRES[0],
                port,
                serves=[sample.MODEL],
            )
        handle = await asyncio.to_thread(
            lambda: fleet.start_entry(
                "entry-1", sample.DATA_CENTRES[0], peers_per_target=peers
            )
        )
        return await _measure(fleet, handle, agents.configs, "entry", rate_per_s)
    finally:
        await agents.stop()
        fleet.close()


async def measure_agent(peers: int, teams: int, rate_per_s: float) -> ControlCost:
    """Measure an agent to which ``peers`` stand-in entries are connected.

    The configuration has ``teams`` teams and changes ``rate_per_s`` times a second.
    """
    fleet = LocalFleet(log_level="WARNING")
    entries = StandinEntries()
    try:
        await asyncio.to_thread(fleet.start_platform)
        await asyncio.to_thread(fleet.publish, _make_values(teams))
        engine = await asyncio.to_thread(fleet.start_engine, "engine-1")
        handle = await asyncio.to_thread(
            lambda: fleet.start_agent(
                "assistant-1", sample.DATA_CENTRES[0], engine, [sample.MODEL]
            )
        )
        await asyncio.to_thread(fleet.start_entry, "entry-1", sample.DATA_CENTRES[0])
        # The idle heartbeat interval of an entry that is connected to 124 agents.
        idle_s = max(MIN_IDLE_HEARTBEAT_INTERVAL_S, 124 / MAX_IDLE_HEARTBEATS_PER_S)
        entries.start(peers, handle.port, idle_s)
        return await _measure(fleet, handle, entries.configs, "agent", rate_per_s)
    finally:
        await entries.stop()
        fleet.close()


def format_cost(cost: ControlCost) -> str:
    """Return the cost as one line of text."""
    return (
        f"{cost.role:<6} peers {cost.peers:>4}  cpu {cost.cpu_percent:5.2f} %  "
        f"memory {cost.memory_mb:5.1f} MB  bytes {cost.bytes_per_s:9.0f}/s  "
        f"changes {cost.changes_per_s:4.2f}/s  in force p50 "
        f"{cost.applied_p50_s:5.2f} s, all {cost.applied_max_s:5.2f} s"
    )


@click.command()
@click.option("--role", type=click.Choice(["entry", "agent"]), default="entry")
@click.option("--peers", multiple=True, type=int, default=(10, 50, 100, 200))
@click.option("--teams", default=2, show_default=True)
@click.option("--changes-per-s", default=0.0, show_default=True)
def main(role: str, peers: tuple[int, ...], teams: int, changes_per_s: float) -> None:
    """Measure the cost of control traffic for an entry or agent by number of peers."""
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
    run = measure_entry if role == "entry" else measure_agent
    for count in peers:
        click.echo(format_cost(asyncio.run(run(count, teams, changes_per_s))))


if __name__ == "__main__":
    main()
