"""Builds the components of an agent and runs them until a stop signal."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from aiohttp import web
from aioprometheus.collectors import Registry
from loguru import logger

from shallotroad.agent.endpoint_client import EndpointClient
from shallotroad.agent.endpoint_scheduler import EndpointScheduler
from shallotroad.agent.exports import agent_metrics
from shallotroad.agent.exports import dump_agent
from shallotroad.agent.offer_validation import AgentIdentity
from shallotroad.agent.session_registry import SessionRegistry
from shallotroad.config import updater
from shallotroad.config.versioned_config import VersionedConfig
from shallotroad.discovery.client import PlatformClient
from shallotroad.observability.stall_detector import detect_stalls
from shallotroad.observability.status_routes import add_status_routes
from shallotroad.observability.stop_signal import wait_for_stop_signal
from shallotroad.protocol.config_delta import handle_pull
from shallotroad.protocol.rpc import make_server


if TYPE_CHECKING:
    from shallotroad.config.settings import AgentSettings

INCARNATION_BYTES = 8
# Time that entries get to read the last responses once all jobs have ended, and then
# again that the open RPCs of the server get to end before they are aborted.
SHUTDOWN_GRACE_S = 2.0


def make_scheduler(
    settings: AgentSettings, config: VersionedConfig
) -> EndpointScheduler:
    """Create the endpoint's scheduler, with a new random incarnation."""
    identity = AgentIdentity(
        instance=settings.process.name,
        data_centre=settings.process.data_centre,
        serves=settings.endpoint.serves,
    )
    return EndpointScheduler(
        identity=identity,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        endpoint=settings.endpoint,
        client=EndpointClient(url=settings.endpoint.url),
        config=config,
        fleet_key=settings.security.fleet_key,
    )


async def _serve_status(
    settings: AgentSettings, scheduler: EndpointScheduler, sessions: SessionRegistry
) -> web.AppRunner:
    """Serve the operators' routes of ``add_status_routes`` at ``settings.status``.

    Returns the runner of the HTTP server, for the caller to clean up. The agent is
    not ready while it drains or has no configuration.
    """

    def not_ready_reason() -> str:
        if scheduler.draining:
            return "leaving"
        return "" if scheduler.config.revision else "no configuration yet"

    registry = Registry()
    app = web.Application()
    add_status_routes(
        app,
        not_ready_reason=not_ready_reason,
        dump=lambda: dump_agent(scheduler, sessions),
        registry=registry,
        update_gauges=agent_metrics(registry, scheduler),
    )
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    address = settings.status
    await web.TCPSite(runner, address.host, address.port).start()
    return runner


async def run_agent(settings: AgentSettings) -> None:
    """Run an agent until a stop signal, then drain it and close its connections.

    Draining refuses queued requests and finishes those that have started.
    """
    config = VersionedConfig()
    scheduler = make_scheduler(settings, config)
    sessions = SessionRegistry(scheduler=scheduler)
    config.add_listener(lambda _: sessions.gossip_revision())
    platform = PlatformClient(settings=settings.platform)
    fleet_key = settings.security.fleet_key
    server = make_server(
        session=sessions.serve,
        pull=lambda request: handle_pull(config, request),
        fleet_key=fleet_key,
    )
    server.add_insecure_port(f"{settings.listen.host}:{settings.listen.port}")
    await updater.pull_from_peers(config, settings.seeds.entries, fleet_key=fleet_key)
    await server.start()
    status_server = await _serve_status(settings, scheduler, sessions)
    tasks = [
        asyncio.create_task(scheduler.sweep_periodically()),
        asyncio.create_task(scheduler.probe_periodically()),
        asyncio.create_task(sessions.run_load_broadcasts()),
        asyncio.create_task(sessions.run_config_pulls()),
        asyncio.create_task(detect_stalls(lambda _: sessions.close_all())),
        asyncio.create_task(
            updater.poll_while_isolated(
                config, platform, is_isolated=lambda: not sessions.connected_entries()
            )
        ),
    ]
    logger.info("agent ready, incarnation {}", scheduler.incarnation)
    await wait_for_stop_signal()
    logger.info("stop signal received; draining")
    scheduler.start_draining()
    await scheduler.wait_until_drained()
    await asyncio.sleep(SHUTDOWN_GRACE_S)
    for task in tasks:
        task.cancel()
    await server.stop(SHUTDOWN_GRACE_S)
    await status_server.cleanup()
    await scheduler.client.close()
    await platform.close()
