"""Wires the parts of an agent and runs them until it is told to leave."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from aiohttp import web
from aioprometheus.collectors import Registry
from loguru import logger

from shallotroad.agent.authority import Authority
from shallotroad.agent.endpoint_client import EndpointClient
from shallotroad.agent.exports import agent_metrics
from shallotroad.agent.exports import dump_agent
from shallotroad.agent.gate import Place
from shallotroad.agent.sessions import Sessions
from shallotroad.config import keeper
from shallotroad.config.revision_log import RevisionLog
from shallotroad.discovery.client import PlatformClient
from shallotroad.observability.pause_watch import watch_pauses
from shallotroad.observability.status_server import add_status_routes
from shallotroad.observability.stop_signal import wait_for_stop
from shallotroad.protocol.config_delta import handle_pull
from shallotroad.protocol.rpc import make_server


if TYPE_CHECKING:
    from shallotroad.config.settings import AgentSettings

INCARNATION_BYTES = 8
GRACE_S = 2.0


def make_authority(settings: AgentSettings, log: RevisionLog) -> Authority:
    """Make the authority over the endpoint of the settings."""
    place = Place(
        instance=settings.process.name,
        data_centre=settings.process.data_centre,
        serves=settings.endpoint.serves,
    )
    return Authority(
        place=place,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        endpoint=settings.endpoint,
        client=EndpointClient(url=settings.endpoint.url),
        log=log,
        fleet_key=settings.security.fleet_key,
    )


async def _serve_status(
    settings: AgentSettings, authority: Authority, sessions: Sessions
) -> web.AppRunner:
    def ready() -> str:
        if authority.leaving:
            return "leaving"
        return "" if authority.log.revision else "no configuration yet"

    registry = Registry()
    app = web.Application()
    add_status_routes(
        app,
        ready=ready,
        dump=lambda: dump_agent(authority, sessions),
        registry=registry,
        collect=agent_metrics(registry, authority),
    )
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    address = settings.status
    await web.TCPSite(runner, address.host, address.port).start()
    return runner


async def run_agent(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM, then finish what is admitted."""
    log = RevisionLog()
    authority = make_authority(settings, log)
    sessions = Sessions(authority=authority)
    log.on_change(lambda _: sessions.spread_revision())
    platform = PlatformClient(settings=settings.platform)
    fleet_key = settings.security.fleet_key
    server = make_server(
        session=sessions.serve,
        pull=lambda request: handle_pull(log, request),
        fleet_key=fleet_key,
    )
    server.add_insecure_port(f"{settings.listen.host}:{settings.listen.port}")
    await keeper.ask_peers(log, settings.seeds.entries, fleet_key=fleet_key)
    await server.start()
    status = await _serve_status(settings, authority, sessions)
    tasks = [
        asyncio.create_task(authority.sweep()),
        asyncio.create_task(authority.probe()),
        asyncio.create_task(sessions.announce()),
        asyncio.create_task(sessions.catch_up()),
        asyncio.create_task(watch_pauses(lambda _: sessions.drop_all())),
        asyncio.create_task(
            keeper.poll_when_lonely(log, platform, lonely=lambda: not sessions.names())
        ),
    ]
    logger.info("agent ready, incarnation {}", authority.incarnation)
    await wait_for_stop()
    logger.info("leaving")
    authority.leave()
    await authority.drained()
    await asyncio.sleep(GRACE_S)
    for task in tasks:
        task.cancel()
    await server.stop(GRACE_S)
    await status.cleanup()
    await authority.client.close()
    await platform.close()
