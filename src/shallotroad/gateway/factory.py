"""Wires a gateway and runs it until it is told to leave."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from aiohttp import web
from loguru import logger

from shallotroad.catalog.catalog import Catalog
from shallotroad.gateway.admission import Admission
from shallotroad.gateway.cache_survey import CacheSurvey
from shallotroad.gateway.coordination.coordinator import Coordinator
from shallotroad.gateway.coordination.line import Line
from shallotroad.gateway.coordination.line import open_line
from shallotroad.gateway.coordination.placer import Placer
from shallotroad.gateway.door import Door
from shallotroad.gateway.events import EventCutter
from shallotroad.gateway.exports import make_status_handler
from shallotroad.gateway.fleet import Fleet
from shallotroad.gateway.forwarder import Forwarder
from shallotroad.gateway.membership import Membership
from shallotroad.gateway.metrics import GatewayMetrics
from shallotroad.gateway.news import News
from shallotroad.gateway.peers import Peers
from shallotroad.gateway.port import BACKLOG
from shallotroad.gateway.port import open_port
from shallotroad.gateway.reload import Reloader
from shallotroad.observability.decisions import decided
from shallotroad.observability.decisions import write_lines
from shallotroad.platform.store import StoreClient
from shallotroad.policy.cold_start import ColdStart


if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable
    from collections.abc import Callable

    from shallotroad.platform.settings import MachineSettings

HEADER_BYTES = 65_536  # parser's bound; the configuration's limit is lower
IDLE_S = 75.0  # callers' idle connections; longer than any configured limit
LINGER_S = 2.6  # the balancer sends new connections until it has missed two checks
RESTART_S = 0.5  # before a failed background job begins again
EXIT_RESERVE_S = 0.5  # of the grace period
CLOSE_S = 0.05  # for connections whose answers have been sent


class Parts(NamedTuple):
    """The wired parts of a gateway."""

    settings: MachineSettings
    store: StoreClient
    catalog: Catalog
    fleet: Fleet
    membership: Membership
    news: News
    peers: Peers
    line: Line
    coordinator: Coordinator
    placer: Placer
    admission: Admission
    forwarder: Forwarder
    door: Door
    metrics: GatewayMetrics
    clock: Callable[[], float]


def build(settings: MachineSettings) -> Parts:
    """Build the parts of a gateway."""
    clock = time.monotonic
    closed: set[str] = set()
    fleet = Fleet(clock=clock, regions=settings.regions, closed=closed)
    catalog = Catalog(
        on_endpoint_updated=fleet.put,
        on_endpoint_removed=fleet.drop,
        closed_data_centres=closed,
    )
    store = StoreClient(address=settings.store)
    membership = Membership(
        name=settings.name,
        address=str(settings.peers or ""),
        incarnation=time.time_ns() // 1_000_000,
        seeds=tuple(str(seed) for seed in settings.seeds),
        cores=settings.cores,
        datagram_port=settings.internal_ports[0],
        data_centre=settings.data_centre,
        started_s=clock(),
    )
    news = News(store=store, catalog=catalog, clock=clock)
    rng = random.Random()
    line = Line(membership=membership, clock=clock)
    admission = Admission(
        fleet=fleet,
        catalog=catalog,
        cold_start=ColdStart(entry=settings.name),
        cold_owners=lambda service: placer.cold_owners(service),
        prefix_reuse_s=settings.bounds.prefix_reuse_s,
        clock=clock,
    )
    survey = CacheSurvey(fleet=fleet, clock=clock)
    survey.on_listed = admission.note_cached
    placer = Placer(
        admission=admission,
        fleet=fleet,
        membership=membership,
        survey=survey,
        send=line.send,
        clock=clock,
    )
    coordinator = Coordinator(
        admission=admission,
        fleet=fleet,
        clock=clock,
        leaving=lambda: door.closing,
        survey=survey,
    )
    line.serve(coordinator=coordinator, placer=placer)
    metrics = GatewayMetrics()
    forwarder = Forwarder(
        fleet=fleet,
        placer=placer,
        membership=membership,
        bounds=settings.bounds,
        metrics=metrics,
        clock=clock,
        make_cutter=EventCutter,
    )
    door = Door(
        catalog=catalog,
        forwarder=forwarder,
        data_centre=settings.data_centre,
        metrics=metrics,
        clock=clock,
    )
    peers = Peers(membership=membership, news=news, clock=clock, rng=rng)
    return Parts(
        settings,
        store,
        catalog,
        fleet,
        membership,
        news,
        peers,
        line,
        coordinator,
        placer,
        admission,
        forwarder,
        door,
        metrics,
        clock,
    )


async def _listen(
    handler: object, port: socket.socket, **options: object
) -> tuple[web.Server, asyncio.Server]:
    server = web.Server(handler, access_log=None, **options)  # type: ignore[arg-type]
    loop = asyncio.get_running_loop()
    return server, await loop.create_server(server, sock=port, backlog=BACKLOG)


async def serve(
    settings: MachineSettings,
    callers: socket.socket,
    stop: asyncio.Event,
    reload: set[Callable[[], None]],
) -> None:
    """Run a gateway until it is told to stop and its requests have ended.

    Parameters
    ----------
    callers : socket.socket
        The port for callers, already open.
    stop : asyncio.Event
        Set when the process is told to leave.
    reload : set of callables
        Takes what a signal to read the settings again calls.
    """
    parts = build(settings)
    status = make_status_handler(parts)
    reloader = Reloader(parts=parts)
    reload.add(reloader.wanted.set)
    servers = [
        await _listen(
            parts.door.handle,
            callers,
            handler_cancellation=True,
            keepalive_timeout=IDLE_S,
            max_field_size=HEADER_BYTES,
            max_line_size=HEADER_BYTES,
            auto_decompress=False,
        ),
        await _listen(status, open_port(settings.readiness)),
    ]
    if settings.peers is not None:
        servers.append(await _listen(parts.peers.handle, open_port(settings.peers)))
    if settings.metrics is not None:
        servers.append(await _listen(status, open_port(settings.metrics)))
    if settings.internal_ports[0]:
        await open_line(parts.line, settings.host, settings.internal_ports[0])
    background = [
        asyncio.create_task(_keep_running(job))
        for job in (
            parts.news.follow,
            parts.news.expire,
            parts.admission.pump_regularly,
            parts.peers.exchange_regularly,
            parts.placer.report_regularly,
            parts.coordinator.expire_regularly,
            reloader.watch,
            write_lines,
        )
    ]
    decided("started", callers=str(settings.callers), data_centre=settings.data_centre)
    await stop.wait()
    await _drain(parts, servers[0][0])
    for _, listener in servers:
        listener.close()
    await asyncio.gather(*(server.shutdown(CLOSE_S) for server, _ in servers))
    decided("stopped")
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    parts.fleet.close()
    await parts.store.close()


async def _keep_running(job: Callable[[], Awaitable[None]]) -> None:
    """Run a background job, and begin it again should it fail."""
    while True:
        try:
            await job()
        except Exception:
            logger.exception("background job failed")
        await asyncio.sleep(RESTART_S)


async def _drain(parts: Parts, callers: web.Server) -> None:
    """Finish what runs: new connections still arrive for a short while."""
    door = parts.door
    door.closing = True
    parts.membership.leave()
    decided("stopping", open_requests=door.open_requests)
    begun_s = time.monotonic()
    last_s = begun_s + parts.settings.bounds.grace_s - EXIT_RESERVE_S
    while time.monotonic() < last_s:
        lingered = time.monotonic() - begun_s > LINGER_S
        if lingered and not door.refusing:
            door.refusing = True
            for connection in callers.connections:
                if connection in door.busy:
                    connection.close()  # after its answer
                else:
                    connection.force_close()
        if lingered and door.open_requests == 0:
            return
        await asyncio.sleep(0.05)
