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
from shallotroad.gateway.coordination.datagrams import CoordinationProtocol
from shallotroad.gateway.coordination.datagrams import bind_datagram_socket
from shallotroad.gateway.coordination.placement_client import PlacementClient
from shallotroad.gateway.endpoint_registry import EndpointRegistry
from shallotroad.gateway.event_stream import EventStreamSplitter
from shallotroad.gateway.exports import make_status_handler
from shallotroad.gateway.forwarder import Forwarder
from shallotroad.gateway.gossip import Gossip
from shallotroad.gateway.http_frontend import HttpFrontend
from shallotroad.gateway.listener import BACKLOG
from shallotroad.gateway.listener import open_listener
from shallotroad.gateway.membership import Membership
from shallotroad.gateway.metrics import GatewayMetrics
from shallotroad.gateway.reload import Reloader
from shallotroad.gateway.store_watcher import StoreWatcher
from shallotroad.observability.event_log import flush_periodically
from shallotroad.observability.event_log import log_event
from shallotroad.platform.store import StoreClient
from shallotroad.policy.cold_start import ColdStartLimiter


if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable
    from collections.abc import Callable

    from shallotroad.platform.settings import InstanceSettings

HEADER_BYTES = 65_536  # parser's bound; the configuration's limit is lower
IDLE_TIMEOUT_S = 75.0  # callers' idle connections; longer than any configured limit
LINGER_S = 2.6  # the balancer sends new connections until it has missed two checks
RESTART_DELAY_S = 0.5  # before a failed background job begins again
EXIT_RESERVE_S = 0.5  # of the grace period
CLOSE_TIMEOUT_S = 0.05  # for connections whose answers have been sent


class Components(NamedTuple):
    """The wired components of a gateway."""

    settings: InstanceSettings
    store: StoreClient
    catalog: Catalog
    endpoint_registry: EndpointRegistry
    membership: Membership
    store_watcher: StoreWatcher
    gossip: Gossip
    coordination_protocol: CoordinationProtocol
    coordinator: Coordinator
    placement_client: PlacementClient
    admission: Admission
    forwarder: Forwarder
    frontend: HttpFrontend
    metrics: GatewayMetrics
    clock: Callable[[], float]


def build(settings: InstanceSettings) -> Components:
    """Build the components of a gateway."""
    clock = time.monotonic
    closed: set[str] = set()
    endpoint_registry = EndpointRegistry(
        clock=clock, regions=settings.regions, closed=closed
    )
    catalog = Catalog(
        on_endpoint_updated=endpoint_registry.put,
        on_endpoint_removed=endpoint_registry.remove,
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
    store_watcher = StoreWatcher(store=store, catalog=catalog, clock=clock)
    rng = random.Random()
    coordination_protocol = CoordinationProtocol(membership=membership, clock=clock)
    admission = Admission(
        endpoint_registry=endpoint_registry,
        catalog=catalog,
        cold_start=ColdStartLimiter(gateway=settings.name),
        cold_owners=lambda service: placement_client.cold_owners(service),
        prefix_reuse_s=settings.bounds.prefix_reuse_s,
        clock=clock,
    )
    survey = CacheSurvey(endpoint_registry=endpoint_registry, clock=clock)
    survey.on_listed = admission.record_cached
    placement_client = PlacementClient(
        admission=admission,
        endpoint_registry=endpoint_registry,
        membership=membership,
        survey=survey,
        send=coordination_protocol.send,
        clock=clock,
    )
    coordinator = Coordinator(
        admission=admission,
        endpoint_registry=endpoint_registry,
        clock=clock,
        draining=lambda: frontend.draining,
        survey=survey,
    )
    coordination_protocol.serve(
        coordinator=coordinator, placement_client=placement_client
    )
    metrics = GatewayMetrics()
    forwarder = Forwarder(
        endpoint_registry=endpoint_registry,
        placement_client=placement_client,
        membership=membership,
        bounds=settings.bounds,
        metrics=metrics,
        clock=clock,
        make_splitter=EventStreamSplitter,
    )
    frontend = HttpFrontend(
        catalog=catalog,
        forwarder=forwarder,
        data_centre=settings.data_centre,
        metrics=metrics,
        clock=clock,
    )
    gossip = Gossip(
        membership=membership, store_watcher=store_watcher, clock=clock, rng=rng
    )
    return Components(
        settings,
        store,
        catalog,
        endpoint_registry,
        membership,
        store_watcher,
        gossip,
        coordination_protocol,
        coordinator,
        placement_client,
        admission,
        forwarder,
        frontend,
        metrics,
        clock,
    )


async def _listen(
    handler: object, listener: socket.socket, **options: object
) -> tuple[web.Server, asyncio.Server]:
    server = web.Server(handler, access_log=None, **options)  # type: ignore[arg-type]
    loop = asyncio.get_running_loop()
    return server, await loop.create_server(server, sock=listener, backlog=BACKLOG)


async def serve(
    settings: InstanceSettings,
    caller_listener: socket.socket,
    stop: asyncio.Event,
    reload: set[Callable[[], None]],
) -> None:
    """Run a gateway until it is told to stop and its requests have ended.

    Parameters
    ----------
    caller_listener : socket.socket
        The port for callers, already open.
    stop : asyncio.Event
        Set when the process is told to leave.
    reload : set of callables
        Takes what a signal to read the settings again calls.
    """
    components = build(settings)
    status = make_status_handler(components)
    reloader = Reloader(components=components)
    reload.add(reloader.wanted.set)
    servers = [
        await _listen(
            components.frontend.handle,
            caller_listener,
            handler_cancellation=True,
            keepalive_timeout=IDLE_TIMEOUT_S,
            max_field_size=HEADER_BYTES,
            max_line_size=HEADER_BYTES,
            auto_decompress=False,
        ),
        await _listen(status, open_listener(settings.readiness)),
    ]
    if settings.peers is not None:
        servers.append(
            await _listen(components.gossip.handle, open_listener(settings.peers))
        )
    if settings.metrics is not None:
        servers.append(await _listen(status, open_listener(settings.metrics)))
    if settings.internal_ports[0]:
        await bind_datagram_socket(
            components.coordination_protocol, settings.host, settings.internal_ports[0]
        )
    background = [
        asyncio.create_task(_keep_running(background_task))
        for background_task in (
            components.store_watcher.follow,
            components.store_watcher.evict_missing_periodically,
            components.admission.dispatch_periodically,
            components.gossip.exchange_periodically,
            components.placement_client.report_periodically,
            components.coordinator.evict_timed_out_periodically,
            reloader.watch,
            flush_periodically,
        )
    ]
    log_event(
        "started", callers=str(settings.callers), data_centre=settings.data_centre
    )
    await stop.wait()
    await _drain(components, servers[0][0])
    for _, tcp_server in servers:
        tcp_server.close()
    await asyncio.gather(*(server.shutdown(CLOSE_TIMEOUT_S) for server, _ in servers))
    log_event("stopped")
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    components.endpoint_registry.close()
    await components.store.close()


async def _keep_running(background_task: Callable[[], Awaitable[None]]) -> None:
    """Run a background job, and begin it again should it fail."""
    while True:
        try:
            await background_task()
        except Exception:
            logger.exception("background job failed")
        await asyncio.sleep(RESTART_DELAY_S)


async def _drain(components: Components, server: web.Server) -> None:
    """Finish what runs: new connections still arrive for a short while."""
    frontend = components.frontend
    frontend.draining = True
    components.membership.leave()
    log_event("stopping", open_requests=frontend.open_requests)
    started_s = time.monotonic()
    last_s = started_s + components.settings.bounds.grace_s - EXIT_RESERVE_S
    while time.monotonic() < last_s:
        lingered = time.monotonic() - started_s > LINGER_S
        if lingered and not frontend.refusing:
            frontend.refusing = True
            for connection in server.connections:
                if connection in frontend.busy:
                    connection.close()  # after its answer
                else:
                    connection.force_close()
        if lingered and frontend.open_requests == 0:
            return
        await asyncio.sleep(0.05)
