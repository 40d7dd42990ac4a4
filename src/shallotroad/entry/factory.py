"""Wires the parts of an entry and runs them until it is told to leave."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from aiohttp import web
from aioprometheus.collectors import Registry
from loguru import logger

from shallotroad.config import keeper
from shallotroad.config.revision_log import RevisionLog
from shallotroad.discovery.client import PlatformClient
from shallotroad.entry.directory import Directory
from shallotroad.entry.dispatcher import Dispatcher
from shallotroad.entry.exports import dump_entry
from shallotroad.entry.exports import entry_metrics
from shallotroad.entry.gateway import Gateway
from shallotroad.entry.handlers import Handlers
from shallotroad.entry.middleware import make_guard
from shallotroad.entry.peer import Identity
from shallotroad.entry.peer_set import PeerSet
from shallotroad.entry.retry_budget import RetryBudget
from shallotroad.entry.scoreboard import Scoreboard
from shallotroad.entry.selector import Selector
from shallotroad.entry.team_limits import TeamLimits
from shallotroad.observability.pause_watch import watch_pauses
from shallotroad.observability.status_server import add_status_routes
from shallotroad.observability.stop_signal import wait_for_stop
from shallotroad.policy.affinity import PrefixHistory
from shallotroad.policy.suspects import Suspects
from shallotroad.protocol.config_delta import handle_pull
from shallotroad.protocol.rpc import make_server


if TYPE_CHECKING:
    from shallotroad.config.fleet import Limits
    from shallotroad.config.settings import EntrySettings

INCARNATION_BYTES = 8
FIRST_PEER_WAIT_S = 3.0
SETTLE_S = 3.0
GRACE_S = 0.5
DRAIN_TICK_S = 0.05
HEADER_BYTES = 16_384


class Parts(NamedTuple):
    """The wired parts of an entry."""

    settings: EntrySettings
    log: RevisionLog
    platform: PlatformClient
    directory: Directory
    peers: PeerSet
    suspects: Suspects
    gateway: Gateway
    registry: Registry


def limits_of(log: RevisionLog, team: str) -> Limits | None:
    """Return the limits of a team in the accepted configuration."""
    found = log.fleet.teams.get(team) if log.fleet is not None else None
    return None if found is None else found.limits


def wire_entry(settings: EntrySettings) -> Parts:
    """Make the parts of an entry from its settings."""
    log = RevisionLog()
    platform = PlatformClient(settings=settings.platform)
    directory = Directory(platform=platform)
    suspects = Suspects()
    history = PrefixHistory()
    registry = Registry()
    process = settings.process
    identity = Identity(
        name=process.name,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        data_centre=process.data_centre,
        fleet_key=settings.security.fleet_key,
    )
    peers = PeerSet(
        directory=directory,
        identity=identity,
        log=log,
        suspects=suspects,
        per_target=settings.limits.peers_per_target,
    )
    selector = Selector(
        peers=peers, log=log, history=history, data_centre=process.data_centre
    )
    dispatcher = Dispatcher(
        peers=peers,
        selector=selector,
        suspects=suspects,
        history=history,
        budget=RetryBudget(),
        fleet_key=settings.security.fleet_key,
    )
    gateway = Gateway(
        log=log,
        limits=settings.limits,
        team_limits=TeamLimits(
            name=process.name,
            entries=directory.entries,
            limits_of=lambda team: limits_of(log, team),
            fleet_key=settings.security.fleet_key,
        ),
        dispatcher=dispatcher,
        selector=selector,
        peers=peers,
        scoreboard=Scoreboard(registry=registry),
        fleet_key=settings.security.fleet_key,
    )
    return Parts(settings, log, platform, directory, peers, suspects, gateway, registry)


async def start_configuration(parts: Parts) -> None:
    """Learn the newest configuration that peers or the platform can tell.

    Peers go first: the platform may serve an old revision.
    """
    settings = parts.settings
    await parts.directory.refresh()
    me = settings.process.name
    addresses = {row.address for row in parts.directory.agents()}
    addresses |= {r.address for r in parts.directory.entries() if r.name != me}
    addresses |= set(settings.seeds.agents) | set(settings.seeds.entries)
    await keeper.ask_peers(
        parts.log, sorted(addresses), fleet_key=settings.security.fleet_key
    )
    await keeper.read_platform_once(parts.log, parts.platform)


async def _serve_callers(parts: Parts) -> web.AppRunner:
    gateway = parts.gateway

    def ready() -> str:
        if gateway.leaving:
            return "leaving"
        if not parts.log.revision:
            return "no configuration yet"
        if time.monotonic() < gateway.settled_s:
            return "woken up after a pause"
        accepting = any(peer.load.accepting for peer in parts.peers.connected())
        return "" if accepting else "no agent takes work"

    limits = parts.settings.limits
    guard = make_guard(most_open=limits.open_requests)
    app = web.Application(client_max_size=limits.body_bytes, middlewares=[guard])
    Handlers(gateway=gateway).add_routes(app)
    add_status_routes(
        app,
        ready=ready,
        dump=lambda: dump_entry(parts),
        registry=parts.registry,
        collect=entry_metrics(parts),
    )
    runner = web.AppRunner(
        app,
        access_log=None,
        max_line_size=HEADER_BYTES,
        max_field_size=HEADER_BYTES,
        handler_cancellation=True,
        shutdown_timeout=GRACE_S,
    )
    await runner.setup()
    address = parts.settings.callers
    await web.TCPSite(runner, address.host, address.port).start()
    return runner


def _on_pause(parts: Parts, pause_s: float) -> None:
    logger.warning("woken up after a pause of {:.1f} s", pause_s)
    parts.gateway.settled_s = time.monotonic() + SETTLE_S
    parts.peers.drop_connections()


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry until SIGTERM, then finish the open requests."""
    parts = wire_entry(settings)
    log = parts.log
    server = make_server(
        pull=lambda request: handle_pull(log, request),
        take=parts.gateway.team_limits.grant,
        fleet_key=settings.security.fleet_key,
    )
    server.add_insecure_port(f"{settings.peers.host}:{settings.peers.port}")
    await server.start()
    await start_configuration(parts)
    process = settings.process
    tasks = [
        asyncio.create_task(parts.directory.follow()),
        asyncio.create_task(parts.peers.sweep()),
        asyncio.create_task(watch_pauses(lambda s: _on_pause(parts, s))),
        asyncio.create_task(
            keeper.watch_platform(
                log,
                parts.platform,
                reads=lambda: keeper.is_reader(
                    parts.directory.instances,
                    name=process.name,
                    data_centre=process.data_centre,
                ),
            )
        ),
    ]
    runner = await _serve_callers(parts)
    logger.info("entry ready, revision {}", log.revision)
    await wait_for_stop()
    logger.info("leaving")
    parts.gateway.leaving = True
    while parts.gateway.open_requests:
        await asyncio.sleep(DRAIN_TICK_S)
    await runner.cleanup()
    for task in tasks:
        task.cancel()
    parts.peers.close()
    await parts.gateway.team_limits.close()
    await server.stop(GRACE_S)
    await parts.platform.close()
