"""Wires the components of a gateway and runs them until a stop signal."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from loguru import logger

from shallotroad.catalog.catalog import Catalog
from shallotroad.gateway.admission import Admission
from shallotroad.gateway.cache_survey import CacheSurvey
from shallotroad.gateway.coordination.coordinator import Coordinator
from shallotroad.gateway.coordination.datagrams import CoordinationProtocol
from shallotroad.gateway.coordination.datagrams import bind_datagram_socket
from shallotroad.gateway.coordination.placement_client import PlacementClient
from shallotroad.gateway.crash_exchange import CrashExchange
from shallotroad.gateway.crash_monitor import CrashMonitor
from shallotroad.gateway.endpoint_registry import EndpointRegistry
from shallotroad.gateway.endpoint_statements import EndpointStatements
from shallotroad.gateway.engine_models import EngineModels
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
from shallotroad.gateway.store_confirmation import StoreConfirmation
from shallotroad.gateway.store_relay import WATCH_PATH
from shallotroad.gateway.store_relay import StoreFollower
from shallotroad.gateway.store_relay import StoreRelay
from shallotroad.gateway.store_watcher import StoreWatcher
from shallotroad.gateway.stream_origins import MAX_HAND_OVER_S
from shallotroad.gateway.stream_origins import StreamOrigins
from shallotroad.http_server.allocator import return_large_blocks
from shallotroad.http_server.memory_account import MemoryAccount
from shallotroad.http_server.server import HttpServer
from shallotroad.observability.event_log import flush_periodically
from shallotroad.observability.event_log import log_event
from shallotroad.platform.store import StoreClient
from shallotroad.policy.crash_correlation import CrashCorrelation
from shallotroad.policy.endpoint_rate import make_cold_start_limiter
from shallotroad.policy.endpoint_rate import make_stated_limit_limiter


if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable
    from collections.abc import Callable

    from shallotroad.http_server.connection import ServerRequest
    from shallotroad.http_server.message import Response
    from shallotroad.platform.settings import InstanceSettings

# The load balancer sends new connections until two health checks have failed.
BALANCER_LINGER_S = 2.6
RESTART_DELAY_S = 0.5  # Delay before a failed background task is restarted.
EXIT_RESERVE_S = 0.5  # Part of the grace period that is kept for the exit itself.
# Once the process has drained, handlers that still run after this time are cancelled
# and their connections closed.
CLOSE_TIMEOUT_S = 0.05


class Components(NamedTuple):
    """The wired components of a gateway.

    Parameters
    ----------
    settings : InstanceSettings
        Settings at the start of the process; a reload does not change them here.
    store : StoreClient
        HTTP client of the platform's store.
    catalog : Catalog
        Configuration in force, endpoint records and closed data centres.
    endpoint_registry : EndpointRegistry
        Load and connection pool of each endpoint.
    membership : Membership
        Gateways known by gossip, and which of them are live.
    store_watcher : StoreWatcher
        Applies changes of the store to the catalog.
    store_relay : StoreRelay
        Passes the store's changes on to gateways that follow this one.
    store_follower : StoreFollower
        Follows the gateways that read the store for this one.
    gossip : Gossip
        Exchanges membership and store documents with peers over HTTP.
    coordination_protocol : CoordinationProtocol
        UDP messages between coordinators and the gateways that they place
        requests for; delivery is not guaranteed.
    coordinator : Coordinator
        Places other gateways' requests while this gateway coordinates their service.
    placement_client : PlacementClient
        Gets placements for this gateway's jobs, from a coordinator or from
        ``admission``, and reports the requests in flight to the coordinators.
    admission : Admission
        Chooses endpoints, and queues requests while none has room.
    crash_monitor : CrashMonitor
        Suspends requests that crash endpoints.
    stream_origins : StreamOrigins
        Remembers which software version began a stream.
    forwarder : Forwarder
        Sends jobs to endpoints and retries them.
    frontend : HttpFrontend
        Receives callers' requests and sends the responses.
    engine_models : EngineModels
        Models of the engines of all services.
    metrics : GatewayMetrics
        Counters, gauges and histograms.
    clock : callable
        Returns the monotonic time in seconds.
    """

    settings: InstanceSettings
    store: StoreClient
    catalog: Catalog
    endpoint_registry: EndpointRegistry
    membership: Membership
    store_watcher: StoreWatcher
    store_relay: StoreRelay
    store_follower: StoreFollower
    gossip: Gossip
    coordination_protocol: CoordinationProtocol
    coordinator: Coordinator
    placement_client: PlacementClient
    admission: Admission
    crash_monitor: CrashMonitor
    stream_origins: StreamOrigins
    forwarder: Forwarder
    frontend: HttpFrontend
    engine_models: EngineModels
    metrics: GatewayMetrics
    clock: Callable[[], float]


def build(settings: InstanceSettings) -> Components:
    """Return the components of a gateway, wired but not yet started."""
    clock = time.monotonic
    closed_data_centres: set[str] = set()
    endpoint_registry = EndpointRegistry(
        clock=clock, regions=settings.regions, closed=closed_data_centres
    )
    catalog = Catalog(
        on_endpoint_updated=endpoint_registry.put,
        on_endpoint_removed=endpoint_registry.remove,
        closed_data_centres=closed_data_centres,
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
    store_watcher = StoreWatcher(
        store=store,
        catalog=catalog,
        clock=clock,
        restarted=not settings.first_start,
    )
    store_confirmation = StoreConfirmation(
        store=store, store_watcher=store_watcher, clock=clock
    )
    rng = random.Random()
    coordination_protocol = CoordinationProtocol(membership=membership, clock=clock)
    admission = Admission(
        endpoint_registry=endpoint_registry,
        catalog=catalog,
        cold_start=make_cold_start_limiter(settings.name),
        rate_sharers=lambda cell: placement_client.rate_sharers(cell),
        stated_limits=make_stated_limit_limiter(settings.name),
        prefix_reuse_s=settings.bounds.prefix_reuse_s,
        clock=clock,
    )
    survey = CacheSurvey(
        endpoint_registry=endpoint_registry,
        has_engine=lambda service: catalog.service(service).engine is not None,
        clock=clock,
    )
    survey.on_listed = admission.record_surveyed_parts
    engine_models = EngineModels(
        endpoint_registry=endpoint_registry,
        has_engine=lambda service: catalog.service(service).engine is not None,
        clock=clock,
    )
    engine_models.on_changed = admission.rescale_prefills
    placement_client = PlacementClient(
        admission=admission,
        endpoint_registry=endpoint_registry,
        membership=membership,
        survey=survey,
        engine_models=engine_models,
        send=coordination_protocol.send,
        clock=clock,
    )
    coordinator = Coordinator(
        admission=admission,
        endpoint_registry=endpoint_registry,
        clock=clock,
        draining=lambda: frontend.draining,
        survey=survey,
        engine_models=engine_models,
        report_interval_s=placement_client.report_interval_s,
    )
    coordination_protocol.set_handlers(
        coordinator=coordinator, placement_client=placement_client
    )
    metrics = GatewayMetrics()
    endpoint_registry.on_circuit_changed = lambda change: metrics.circuits.inc(
        {"state": change.state}
    )
    crash_correlation = CrashCorrelation(
        source=f"{membership.name}:{membership.incarnation}"
    )
    crash_exchange = CrashExchange(
        correlation=crash_correlation,
        membership=membership,
        send=coordination_protocol.send,
        clock=clock,
        rng=rng,
    )
    coordination_protocol.on_crash_news = crash_exchange.merge
    crash_monitor = CrashMonitor(
        correlation=crash_correlation,
        exchange=crash_exchange,
        membership=membership,
        metrics=metrics,
        clock=clock,
        is_leaving=endpoint_registry.is_leaving,
    )
    statements = EndpointStatements(
        endpoint_registry=endpoint_registry,
        coordinators=placement_client.coordinators,
        live_names=membership.live_names,
        send=coordination_protocol.send,
        metrics=metrics,
        clock=clock,
    )
    coordination_protocol.on_stated = statements.merge
    stream_origins = StreamOrigins(
        endpoint_registry=endpoint_registry,
        membership=membership,
        send=coordination_protocol.send,
        clock=clock,
        contact_age_s=lambda: clock() - store_watcher.last_contact_s,
        confirm_registrations=store_confirmation.confirm,
        registrations_known_since_s=lambda: store_watcher.complete_since_s,
    )
    coordination_protocol.on_stream = stream_origins.handle
    forwarder = Forwarder(
        endpoint_registry=endpoint_registry,
        placement_client=placement_client,
        crash_monitor=crash_monitor,
        statements=statements,
        membership=membership,
        bounds=settings.bounds,
        metrics=metrics,
        clock=clock,
        make_splitter=EventStreamSplitter,
        stream_origins=stream_origins,
        registration_inputs=store_watcher.registration_inputs,
        restarted=not settings.first_start,
    )
    frontend = HttpFrontend(
        catalog=catalog,
        forwarder=forwarder,
        data_centre=settings.data_centre,
        engine_model=engine_models.model,
        metrics=metrics,
        clock=clock,
        is_outdated=lambda: store_watcher.is_outdated(settings.bounds.propagation_s),
        account=MemoryAccount.for_process(
            memory_mb=settings.memory_mb, descriptors=settings.descriptors
        ),
    )
    store_relay = StoreRelay(store_watcher=store_watcher, clock=clock)
    store_follower = StoreFollower(
        membership=membership,
        store_watcher=store_watcher,
        clock=clock,
        rng=rng,
        propagation_s=settings.bounds.propagation_s,
    )
    store_watcher.reads_store = store_follower.reads_store
    gossip = Gossip(
        membership=membership,
        store_watcher=store_watcher,
        crash_exchange=crash_exchange,
        engine_models=engine_models,
        fetch_documents=store_follower.fetch_from,
        clock=clock,
        rng=rng,
    )
    return Components(
        settings,
        store,
        catalog,
        endpoint_registry,
        membership,
        store_watcher,
        store_relay,
        store_follower,
        gossip,
        coordination_protocol,
        coordinator,
        placement_client,
        admission,
        crash_monitor,
        stream_origins,
        forwarder,
        frontend,
        engine_models,
        metrics,
        clock,
    )


def make_peer_handler(
    components: Components,
) -> Callable[[ServerRequest], Awaitable[Response]]:
    """Return the handler of the listener for other gateways."""

    async def handle(request: ServerRequest) -> Response:
        if request.path == WATCH_PATH:
            return await components.store_relay.handle(request)
        return await components.gossip.handle(request)

    return handle


async def serve(
    settings: InstanceSettings,
    caller_listener: socket.socket,
    stop: asyncio.Future[float],
    reload_callbacks: set[Callable[[], None]],
) -> None:
    """Run a gateway until ``stop`` is done and its requests have ended.

    Draining ends within the grace period of the settings, which begins with the signal.

    Parameters
    ----------
    caller_listener : socket.socket
        Listening socket for callers.
    stop : asyncio.Future of float
        Gets the monotonic time in seconds at which the process received a stop signal,
        which may be before it was ready.
    reload_callbacks : set of callables
        Receives the callback that the reload signal calls.
    """
    return_large_blocks()
    components = build(settings)
    status_handler = make_status_handler(components)
    reloader = Reloader(components=components)
    reload_callbacks.add(reloader.requested.set)
    caller_server = HttpServer(
        handler=components.frontend.handle,
        timeouts=components.frontend.caller_timeouts,
        limits=components.frontend.request_limits,
        tier_of=components.frontend.tier_of,
        account=components.frontend.account,
        on_unanswered=components.frontend.record_unanswered,
    )
    listeners = [
        (caller_server, caller_listener),
        (HttpServer(handler=status_handler), open_listener(settings.readiness)),
    ]
    if settings.peers is not None:
        peer_server = HttpServer(handler=make_peer_handler(components))
        listeners.append((peer_server, open_listener(settings.peers)))
    if settings.metrics is not None:
        metrics_server = HttpServer(handler=status_handler)
        listeners.append((metrics_server, open_listener(settings.metrics)))
    for server, listener in listeners:
        await server.listen(listener, backlog=BACKLOG)
    if settings.internal_ports[0]:
        await bind_datagram_socket(
            components.coordination_protocol, settings.host, settings.internal_ports[0]
        )
    background_tasks = [
        asyncio.create_task(_run_with_restarts(run))
        for run in (
            components.store_watcher.run,
            components.admission.dispatch_periodically,
            components.gossip.exchange_periodically,
            components.store_follower.follow_periodically,
            components.placement_client.report_periodically,
            components.coordinator.evict_timed_out_periodically,
            reloader.reload_periodically,
            flush_periodically,
        )
    ]
    log_event(
        "started",
        callers=str(settings.callers),
        data_centre=settings.data_centre,
        first_start=settings.first_start,
    )
    requested_s = await stop
    await _drain(components, caller_server, requested_s)
    await asyncio.gather(*(server.stop(CLOSE_TIMEOUT_S) for server, _ in listeners))
    log_event("stopped")
    for task in background_tasks:
        task.cancel()
    await asyncio.gather(*background_tasks, return_exceptions=True)
    components.endpoint_registry.close()
    await components.store.close()


async def _run_with_restarts(run: Callable[[], Awaitable[None]]) -> None:
    """Run a background task, and restart it after a delay when it fails."""
    while True:
        try:
            await run()
        except Exception:
            logger.exception("background job failed")
        await asyncio.sleep(RESTART_DELAY_S)


async def _drain(
    components: Components, server: HttpServer, requested_s: float
) -> None:
    """Finish the open requests within the grace period.

    New connections are accepted for ``BALANCER_LINGER_S``; then requests are refused
    and idle connections closed. Requests that must run once and may not end within the
    period are refused at once. What is unfinished at the end of the period gets a
    last response: refused if it has not run, else unknown. What is known of streams
    is handed over before their callers can notice the end.
    """
    frontend = components.frontend
    started_s = time.monotonic()
    deadline_s = requested_s + components.settings.bounds.grace_s - EXIT_RESERVE_S
    frontend.draining = True
    frontend.cut_off_s = deadline_s
    components.membership.leave()
    log_event("stopping", open_requests=server.open_requests)
    handed_over = False
    while time.monotonic() < deadline_s:
        linger_elapsed = time.monotonic() - started_s > BALANCER_LINGER_S
        if linger_elapsed and not frontend.refusing:
            frontend.refusing = True
            server.close_idle_connections()
        if linger_elapsed and server.open_requests == 0:
            await components.stream_origins.hand_over()
            return
        if not handed_over and time.monotonic() >= deadline_s - MAX_HAND_OVER_S:
            handed_over = True
            await components.stream_origins.hand_over()
        await asyncio.sleep(0.05)
    log_event("grace period ended", open_requests=server.open_requests)
    server.interrupt_requests("the grace period ended")
