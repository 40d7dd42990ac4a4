"""Wires the components of an entry and runs it until a stop signal."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from aiohttp import web
from aioprometheus.collectors import Registry
from loguru import logger

from shallotroad.config import updater
from shallotroad.config.versioned_config import VersionedConfig
from shallotroad.discovery.client import PlatformClient
from shallotroad.entry.context import EntryContext
from shallotroad.entry.directory import InstanceDirectory
from shallotroad.entry.dispatcher import Dispatcher
from shallotroad.entry.exports import dump_entry
from shallotroad.entry.exports import register_gauges
from shallotroad.entry.handlers import CallerHandlers
from shallotroad.entry.middleware import make_request_middleware
from shallotroad.entry.peer import EntryIdentity
from shallotroad.entry.peer_set import PeerSet
from shallotroad.entry.request_metrics import RequestMetrics
from shallotroad.entry.retry_budget import RetryBudget
from shallotroad.entry.selector import Selector
from shallotroad.entry.team_limits import TeamLimits
from shallotroad.observability.stall_detector import detect_stalls
from shallotroad.observability.status_routes import add_status_routes
from shallotroad.observability.stop_signal import wait_for_stop_signal
from shallotroad.policy.affinity import PrefixHistory
from shallotroad.policy.suspects import Suspects
from shallotroad.protocol.config_delta import handle_pull
from shallotroad.protocol.rpc import make_server


if TYPE_CHECKING:
    from shallotroad.config.fleet_config import RateLimit
    from shallotroad.config.settings import EntrySettings

INCARNATION_BYTES = 8
FIRST_PEER_WAIT_S = 3.0
# Time after a stall (see ``detect_stalls``) during which the entry is not ready: its
# view of agents and configuration may be outdated.
STALL_RECOVERY_S = 3.0
# Time that connections still open after the drain get to end, first those of callers,
# then those of peers.
SHUTDOWN_TIMEOUT_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.05
# Limit of the request line and of each single header field.
MAX_HEADER_BYTES = 16_384


class Components(NamedTuple):
    """Wired objects of an entry.

    ``platform`` is the client of the platform, the external HTTP service that supplies
    the configuration and the instance list.
    """

    settings: EntrySettings
    config: VersionedConfig
    platform: PlatformClient
    directory: InstanceDirectory
    peers: PeerSet
    suspects: Suspects
    context: EntryContext
    registry: Registry


def team_rate_limit(config: VersionedConfig, team: str) -> RateLimit | None:
    """Return the rate limit of a team, or None when the team is not known."""
    row = config.fleet.teams.get(team) if config.fleet is not None else None
    return None if row is None else row.limits


def wire_entry(settings: EntrySettings) -> Components:
    """Create the components of an entry without starting them."""
    config = VersionedConfig()
    platform = PlatformClient(settings=settings.platform)
    directory = InstanceDirectory(platform=platform)
    suspects = Suspects()
    history = PrefixHistory()
    registry = Registry()
    process = settings.process
    identity = EntryIdentity(
        name=process.name,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        data_centre=process.data_centre,
        fleet_key=settings.security.fleet_key,
    )
    peers = PeerSet(
        directory=directory,
        identity=identity,
        config=config,
        suspects=suspects,
        per_target=settings.limits.peers_per_target,
    )
    selector = Selector(
        peers=peers, config=config, history=history, data_centre=process.data_centre
    )
    dispatcher = Dispatcher(
        peers=peers,
        selector=selector,
        suspects=suspects,
        history=history,
        budget=RetryBudget(),
        fleet_key=settings.security.fleet_key,
    )
    context = EntryContext(
        config=config,
        limits=settings.limits,
        team_limits=TeamLimits(
            name=process.name,
            entries=directory.entries,
            limits_of=lambda team: team_rate_limit(config, team),
            fleet_key=settings.security.fleet_key,
        ),
        dispatcher=dispatcher,
        selector=selector,
        peers=peers,
        request_metrics=RequestMetrics(registry=registry),
        fleet_key=settings.security.fleet_key,
    )
    return Components(
        settings, config, platform, directory, peers, suspects, context, registry
    )


async def load_initial_configuration(components: Components) -> None:
    """Fetch the newest configuration that agents, other entries or the platform have.

    A random sample of the listed agents, the other live entries and the seeds, which
    are the addresses of agents and entries in the settings, is asked first, because the
    platform may serve an old revision; then the platform. Each request has a timeout
    and is not repeated. If none returns a valid configuration, the entry starts without
    one and refuses requests until it receives one.
    """
    settings = components.settings
    await components.directory.refresh()
    own_name = settings.process.name
    addresses = {row.address for row in components.directory.agents()}
    addresses |= {
        r.address for r in components.directory.entries() if r.name != own_name
    }
    addresses |= set(settings.seeds.agents) | set(settings.seeds.entries)
    await updater.pull_from_peers(
        components.config, sorted(addresses), fleet_key=settings.security.fleet_key
    )
    await updater.read_platform_once(components.config, components.platform)


async def _start_http_server(components: Components) -> web.AppRunner:
    context = components.context

    def not_ready_reason() -> str:
        if context.draining:
            return "leaving"
        if not components.config.revision:
            return "no configuration yet"
        if time.monotonic() < context.ready_at_s:
            return "woken up after a pause"
        accepting = any(peer.load.accepting for peer in components.peers.connected())
        return "" if accepting else "no agent takes work"

    limits = components.settings.limits
    middleware = make_request_middleware(max_open=limits.open_requests)
    app = web.Application(client_max_size=limits.body_bytes, middlewares=[middleware])
    CallerHandlers(context=context).add_routes(app)
    add_status_routes(
        app,
        not_ready_reason=not_ready_reason,
        dump=lambda: dump_entry(components),
        registry=components.registry,
        update_gauges=register_gauges(components),
    )
    runner = web.AppRunner(
        app,
        access_log=None,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    address = components.settings.callers
    await web.TCPSite(runner, address.host, address.port).start()
    return runner


def _on_stall(components: Components, stall_s: float) -> None:
    """Make the entry unready for ``STALL_RECOVERY_S`` and reconnect to all agents.

    Called once after each stall, with its length in seconds.
    """
    logger.warning("process was stalled for {:.1f} s; reconnecting to agents", stall_s)
    components.context.ready_at_s = time.monotonic() + STALL_RECOVERY_S
    components.peers.drop_connections()


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry until a stop signal, then drain it: finish the open requests.

    The drain has no time limit of its own.
    """
    components = wire_entry(settings)
    config = components.config
    server = make_server(
        pull=lambda request: handle_pull(config, request),
        take=components.context.team_limits.grant,
        fleet_key=settings.security.fleet_key,
    )
    server.add_insecure_port(f"{settings.peers.host}:{settings.peers.port}")
    await server.start()
    await load_initial_configuration(components)
    process = settings.process
    tasks = [
        asyncio.create_task(components.directory.refresh_periodically()),
        asyncio.create_task(components.peers.sweep_periodically()),
        asyncio.create_task(detect_stalls(lambda s: _on_stall(components, s))),
        asyncio.create_task(
            updater.watch_platform(
                config,
                components.platform,
                is_reader=lambda: updater.is_platform_reader(
                    components.directory.instances,
                    name=process.name,
                    data_centre=process.data_centre,
                ),
            )
        ),
    ]
    runner = await _start_http_server(components)
    logger.info("entry serves callers with configuration revision {}", config.revision)
    await wait_for_stop_signal()
    logger.info("stop signal received; draining")
    components.context.draining = True
    while components.context.open_requests:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    await runner.cleanup()
    for task in tasks:
        task.cancel()
    components.peers.close()
    await components.context.team_limits.close()
    await server.stop(SHUTDOWN_TIMEOUT_S)
    await components.platform.close()
