"""Work that waits, by tier and objective, until an endpoint has room.

Prompts wait here and not in an engine's queue: there they would delay the
first events and the tokens of more urgent requests. On the coordinator of a
service the work of all entries waits in this one queue.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.event_log import log_event
from shallotroad.policy.placement import EngineView
from shallotroad.policy.placement import Placement
from shallotroad.policy.placement import rank_engines
from shallotroad.policy.placement import view_engine
from shallotroad.policy.recent_parts import RecentParts


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from shallotroad.catalog.catalog import Catalog
    from shallotroad.catalog.configuration import Service
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.cold_start import ColdStartLimiter
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement import RankedEngine
    from shallotroad.policy.placement_request import PlacementRequest

# prompts an engine may have waiting before less urgent work waits
MAX_BACKLOG_MS = 350.0
PREFILL_DEBT_GROWTH = 0.6  # of the time waited; no prompt waits long for a quiet engine
# reading time ahead of its share at which patient prompts wait
MAX_PREFILL_DEBT_MS = 400.0
BACKLOG_OBJECTIVE_SHARE = (
    0.8  # of the objective; above it another engine or a wait is better
)
RESERVED_AFTER_SHARE = 0.6  # of the objective; then a patient stream may go anywhere
MAX_RESERVED_STREAMS = 6  # that a patient stream's prompt may make pause at most
QUEUE_LOG_INTERVAL_S = 1.0  # between two lines on what waits
MAX_LOGGED_ENDPOINTS = 30  # endpoints in such a line
DISPATCH_INTERVAL_S = 0.05  # between looks; backlogs and cold starts end by themselves
DISPATCH_DELAY_S = 0.008  # one round serves the changes that come together
# waiting requests without room in a round; the rest are less urgent
MAX_UNPLACED_PER_ROUND = 32
MAX_QUEUED = 2_000
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
RETRY_AFTER_SHARE = 0.3  # of the time left; callers wait at most a third of it


class QueuedPlacement:
    """A request that waits, and what is called with its endpoint."""

    def __init__(
        self,
        *,
        request: PlacementRequest,
        on_placed: Callable[[Placement], None],
        since_s: float,
    ) -> None:
        self.request = request
        self.on_placed = on_placed
        self.since_s = since_s


class Round:
    """The endpoints as of one moment, while several requests are placed."""

    def __init__(self, *, endpoint_registry: EndpointRegistry, now_s: float) -> None:
        self._endpoint_registry = endpoint_registry
        self.now_s = now_s
        self._views: dict[str, list[EngineView]] = {}
        self._reserved: dict[str, frozenset[str]] = {}

    def _all(self, service: str) -> list[EngineView]:
        views = self._views.get(service)
        if views is None:
            reserved = self._reserved[service] = self._endpoint_registry.reserved(
                service
            )
            views = self._views[service] = [
                view_engine(load, reserved, self.now_s)
                for load in self._endpoint_registry.of_service(service)
            ]
        return views

    def usable(self, request: PlacementRequest) -> list[EngineView]:
        """Return the endpoints that may take a request."""
        allows = self._endpoint_registry.filter_for(request, self.now_s)
        found = [view for view in self._all(request.service) if allows(view.load)]
        sound = [v for v in found if v.load.avoided_until_s <= self.now_s]
        return sound or found

    def changed(self, load: EndpointLoad) -> None:
        """Look at one endpoint again: it was given a request."""
        service = load.record.service
        self._views[service] = [
            view_engine(load, self._reserved[service], self.now_s)
            if view.load is load
            else view
            for view in self._views.get(service, ())
        ]


class Admission:
    """Places requests on endpoints, or holds them while none has room."""

    def __init__(
        self,
        *,
        endpoint_registry: EndpointRegistry,
        catalog: Catalog,
        cold_start: ColdStartLimiter,
        cold_owners: Callable[[str], Sequence[str]],
        prefix_reuse_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._prefix_reuse_s = prefix_reuse_s
        self._endpoint_registry = endpoint_registry
        self._catalog = catalog
        self._cold_start = cold_start
        self._cold_owners = cold_owners
        self._clock = clock
        self._recent = RecentParts()
        self._queue: list[QueuedPlacement] = []
        self._scheduled: asyncio.TimerHandle | None = None
        endpoint_registry.changed = self.schedule_dispatch

    @property
    def queue_length(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    def submit(
        self, request: PlacementRequest, on_placed: Callable[[Placement], None]
    ) -> QueuedPlacement | None:
        """Place a request now, or hold it; return what waits.

        ``on_placed`` is called with the endpoint, whose load already counts it.

        Raises
        ------
        RefusedError
            When no endpoint may serve it, or too many wait.
        """
        now_s = self._clock()
        if self._scheduled is not None:
            self.dispatch_queued()  # what waits and is more urgent goes first
        placement = self._try_place(
            request, Round(endpoint_registry=self._endpoint_registry, now_s=now_s)
        )
        if placement is not None:
            on_placed(placement)
            return None
        if not self._endpoint_registry.usable(request):
            raise RefusedError("no endpoint", retry_after_s=self.retry_after_s(request))
        if len(self._queue) >= MAX_QUEUED:
            raise RefusedError("queue full", retry_after_s=self.retry_after_s(request))
        queued = QueuedPlacement(request=request, on_placed=on_placed, since_s=now_s)
        self._queue.append(queued)
        return queued

    def record_cached(self, parts: Sequence[PromptPart]) -> None:
        """Take parts that an engine has cached as used just now."""
        self._recent.record(parts, self._clock())

    def withdraw(self, queued: QueuedPlacement) -> None:
        """Forget a request that waits, if it still does."""
        if queued in self._queue:
            self._queue.remove(queued)

    async def place(self, request: PlacementRequest) -> Placement:
        """Return an endpoint for a request of this entry.

        Raises
        ------
        RefusedError
            When no endpoint had room while there was time to answer.
        """
        future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        queued = self.submit(request, lambda c: _settle(future, c, self._clock))
        if queued is None:
            return future.result()
        try:
            async with asyncio.timeout(request.last_start_s - self._clock()):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                return future.result()  # placed in the moment of the timeout
            raise RefusedError(
                "no room in time", retry_after_s=self.retry_after_s(request)
            ) from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                unused = future.result()
                unused.load.record_end(unused.due_s, started=False, now_s=self._clock())
            raise
        finally:
            self.withdraw(queued)

    def retry_after_s(self, request: PlacementRequest) -> float:
        """Return when a caller may come back with time left to be answered."""
        remaining_s = request.deadline_s - self._clock()
        return max(
            MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, RETRY_AFTER_SHARE * remaining_s)
        )

    def schedule_dispatch(self) -> None:
        """Place what waits in a moment, once for all changes until then."""
        if self._scheduled is None and self._queue:
            loop = asyncio.get_running_loop()
            self._scheduled = loop.call_later(DISPATCH_DELAY_S, self.dispatch_queued)

    def dispatch_queued(self) -> None:
        """Place what waits, the most urgent tier first, then by objective."""
        if self._scheduled is not None:
            self._scheduled.cancel()
            self._scheduled = None
        if not self._queue:
            return
        now_s = self._clock()
        moment = Round(endpoint_registry=self._endpoint_registry, now_s=now_s)
        remaining: list[QueuedPlacement] = []
        without_room = 0
        order = sorted(self._queue, key=lambda w: w.request.priority(now_s))
        for number, queued in enumerate(order):
            placement = self._try_place(queued.request, moment)
            if placement is not None:
                queued.on_placed(placement)
                continue
            remaining.append(queued)
            without_room += 1
            if without_room >= MAX_UNPLACED_PER_ROUND:
                remaining += order[number + 1 :]
                break
        self._queue = remaining

    async def dispatch_periodically(self) -> None:
        """Look again now and then: backlogs and cold starts end by themselves."""
        last_logged_s = 0.0
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_S)
            self.dispatch_queued()
            if self._queue and self._clock() - last_logged_s > QUEUE_LOG_INTERVAL_S:
                last_logged_s = self._clock()
                self._log_queue(last_logged_s)

    def _log_queue(self, now_s: float) -> None:
        """Log what waits, and the engines that it waits for."""
        oldest = min(self._queue, key=lambda w: w.since_s)
        service = oldest.request.service
        loads = self._endpoint_registry.of_service(service)
        log_event(
            "work waits",
            waiting=len(self._queue),
            patient=sum(w.request.profile.gap_tolerant for w in self._queue),
            oldest_ms=round((now_s - oldest.since_s) * 1000),
            service=service,
            endpoints=len(loads),
            reserved=len(self._endpoint_registry.reserved(service)),
            running=sum(load.running for load in loads),
            unstarted=sum(load.awaiting_first_event for load in loads),
            backlogs_ms=[
                round(load.backlog_ms(now_s)) for load in loads[:MAX_LOGGED_ENDPOINTS]
            ],
            debts_ms=[
                round(load.debt_ms(now_s)) for load in loads[:MAX_LOGGED_ENDPOINTS]
            ],
        )

    def _try_place(self, request: PlacementRequest, moment: Round) -> Placement | None:
        service = self._catalog.service(request.service)
        views = moment.usable(request)
        if service.engine is not None and not any(
            _has_room(request, view, moment.now_s) for view in views
        ):
            return None
        shared = request.profile.parts[:-1]
        warm = self._recent.recently_used_tokens(
            shared, moment.now_s - self._prefix_reuse_s
        )
        for ranked in rank_engines(request.profile, views, recently_used_tokens=warm):
            load = ranked.view.load
            if load.running >= load.record.slots:
                continue
            if service.engine is not None and not _has_room(
                request, ranked.view, moment.now_s
            ):
                # The cost counts the wait: elsewhere would cost still more.
                return None
            if self._permitted(service, load, moment.now_s):
                placement = self._dispatch(request, service, ranked, moment.now_s)
                moment.changed(load)
                return placement
        return None

    def _dispatch(
        self,
        request: PlacementRequest,
        service: Service,
        ranked: RankedEngine,
        now_s: float,
    ) -> Placement:
        load = ranked.view.load
        due_s = load.record_dispatch(
            ranked.prefill_ms, now_s, gap_sensitive_tokens=request.gap_sensitive_tokens
        )
        if service.engine is not None:
            load.kv_cache_tokens = service.engine.kv_cache_tokens
            load.record_parts(request.profile.parts)
            self._recent.record(request.profile.parts, now_s)
        return ranked.placement()._replace(due_s=due_s)

    def _permitted(self, service: Service, load: EndpointLoad, now_s: float) -> bool:
        if now_s >= load.cold_until_s or service.cold_requests_per_s <= 0:
            return True
        return self._cold_start.try_acquire(
            load.record.identifier,
            per_s=service.cold_requests_per_s,
            gateways=self._cold_owners(service.name),
            now_s=now_s,
        )


def _has_room(request: PlacementRequest, view: EngineView, now_s: float) -> bool:
    """Return whether an engine may be given one more prompt of this kind."""
    waited_ms = (now_s - request.arrival_s) * 1000
    gap_tolerant = request.profile.gap_tolerant
    if gap_tolerant and view.reserved:
        late = waited_ms > RESERVED_AFTER_SHARE * request.objective_ms
        return late and view.backlog_ms <= 0 and view.running <= MAX_RESERVED_STREAMS
    if (
        gap_tolerant
        and view.debt_ms > MAX_PREFILL_DEBT_MS + PREFILL_DEBT_GROWTH * waited_ms
    ):
        return False
    limit_ms = min(MAX_BACKLOG_MS, BACKLOG_OBJECTIVE_SHARE * request.objective_ms)
    return view.backlog_ms <= limit_ms


def _settle(
    future: asyncio.Future[Placement],
    placement: Placement,
    clock: Callable[[], float],
) -> None:
    if future.done():
        placement.load.record_end(placement.due_s, started=False, now_s=clock())
    else:
        future.set_result(placement)
