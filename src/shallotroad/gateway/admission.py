"""Work that waits, by tier and objective, until an endpoint has room.

Prompts wait here and not in an engine's queue: there they would delay the
first events and the tokens of more urgent requests. On the coordinator of a
service the work of all entries waits in this one queue.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.decisions import decided
from shallotroad.policy.placement import Candidate
from shallotroad.policy.placement import EngineView
from shallotroad.policy.placement import rank_engines
from shallotroad.policy.placement import view_engine
from shallotroad.policy.recent_parts import RecentParts


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from shallotroad.catalog.catalog import Catalog
    from shallotroad.catalog.configuration import Service
    from shallotroad.gateway.fleet import Fleet
    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.cold_start import ColdStart
    from shallotroad.policy.demand import Demand
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement import Ranked

BACKLOG_MS = 350.0  # prompts an engine may have waiting before less urgent work waits
DEBT_GROWTH = 0.6  # of the time waited; no prompt waits long for a quiet engine
DEBT_MS = 400.0  # reading time ahead of its share at which patient prompts wait
URGENT_BACKLOG_SHARE = (
    0.8  # of the objective; above it another engine or a wait is better
)
EXPRESS_AFTER_SHARE = 0.6  # of the objective; then a patient stream may go anywhere
EXPRESS_STREAMS = 6  # that a patient stream's prompt may make pause at most
TELL_S = 1.0  # between two lines on what waits
MOST_TOLD = 30  # endpoints in such a line
PUMP_S = 0.05  # between looks; backlogs and cold starts end by themselves
SOON_S = 0.008  # one round serves the changes that come together
MOST_LOOKS = 32  # waiting requests without room in a round; the rest are less urgent
MOST_WAITING = 2_000
SHORTEST_RETRY_S = 0.2
LONGEST_RETRY_S = 3.0
RETRY_SHARE = 0.3  # of the time left; callers wait at most a third of it


class Waiter:
    """A demand that waits, and what is called with its endpoint."""

    def __init__(
        self, *, demand: Demand, placed: Callable[[Candidate], None], since_s: float
    ) -> None:
        self.demand = demand
        self.placed = placed
        self.since_s = since_s


class Round:
    """The endpoints as of one moment, while several demands are placed."""

    def __init__(self, *, fleet: Fleet, now_s: float) -> None:
        self._fleet = fleet
        self.now_s = now_s
        self._views: dict[str, list[EngineView]] = {}
        self._express: dict[str, frozenset[str]] = {}

    def _all(self, service: str) -> list[EngineView]:
        views = self._views.get(service)
        if views is None:
            express = self._express[service] = self._fleet.express(service)
            views = self._views[service] = [
                view_engine(load, express, self.now_s)
                for load in self._fleet.of_service(service)
            ]
        return views

    def usable(self, demand: Demand) -> list[EngineView]:
        """Return the endpoints that may take a demand."""
        allows = self._fleet.filter_for(demand, self.now_s)
        found = [view for view in self._all(demand.service) if allows(view.load)]
        sound = [v for v in found if v.load.avoided_until_s <= self.now_s]
        return sound or found

    def changed(self, load: EndpointLoad) -> None:
        """Look at one endpoint again: it was given a request."""
        service = load.record.service
        self._views[service] = [
            view_engine(load, self._express[service], self.now_s)
            if view.load is load
            else view
            for view in self._views.get(service, ())
        ]


class Admission:
    """Places demands on endpoints, or holds them while none has room."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        catalog: Catalog,
        cold_start: ColdStart,
        cold_owners: Callable[[str], Sequence[str]],
        prefix_reuse_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._prefix_reuse_s = prefix_reuse_s
        self._fleet = fleet
        self._catalog = catalog
        self._cold_start = cold_start
        self._cold_owners = cold_owners
        self._clock = clock
        self._recent = RecentParts()
        self._waiting: list[Waiter] = []
        self._scheduled: asyncio.TimerHandle | None = None
        fleet.changed = self.pump_soon

    @property
    def waiting(self) -> int:
        """Number of demands that wait."""
        return len(self._waiting)

    def submit(
        self, demand: Demand, placed: Callable[[Candidate], None]
    ) -> Waiter | None:
        """Place a demand now, or hold it; return what waits.

        ``placed`` is called with the endpoint, whose load already counts it.

        Raises
        ------
        RefusedError
            When no endpoint may serve it, or too many wait.
        """
        now_s = self._clock()
        if self._scheduled is not None:
            self.pump()  # what waits and is more urgent goes first
        candidate = self._try(demand, Round(fleet=self._fleet, now_s=now_s))
        if candidate is not None:
            placed(candidate)
            return None
        if not self._fleet.usable(demand):
            raise RefusedError("no endpoint", retry_after_s=self.retry_after_s(demand))
        if len(self._waiting) >= MOST_WAITING:
            raise RefusedError("queue full", retry_after_s=self.retry_after_s(demand))
        waiter = Waiter(demand=demand, placed=placed, since_s=now_s)
        self._waiting.append(waiter)
        return waiter

    def note_cached(self, parts: Sequence[PromptPart]) -> None:
        """Take parts that an engine has cached as used just now."""
        self._recent.note(parts, self._clock())

    def withdraw(self, waiter: Waiter) -> None:
        """Forget a demand that waits, if it still does."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    async def place(self, demand: Demand) -> Candidate:
        """Return an endpoint for a demand of this entry.

        Raises
        ------
        RefusedError
            When no endpoint had room while there was time to answer.
        """
        future: asyncio.Future[Candidate] = asyncio.get_running_loop().create_future()
        waiter = self.submit(demand, lambda c: _settle(future, c, self._clock))
        if waiter is None:
            return future.result()
        try:
            async with asyncio.timeout(demand.last_start_s - self._clock()):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                return future.result()  # placed in the moment of the timeout
            raise RefusedError(
                "no room in time", retry_after_s=self.retry_after_s(demand)
            ) from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                unused = future.result()
                unused.load.end(unused.due_s, started=False, now_s=self._clock())
            raise
        finally:
            self.withdraw(waiter)

    def retry_after_s(self, demand: Demand) -> float:
        """Return when a caller may come back with time left to be answered."""
        left_s = demand.deadline_s - self._clock()
        return max(SHORTEST_RETRY_S, min(LONGEST_RETRY_S, RETRY_SHARE * left_s))

    def pump_soon(self) -> None:
        """Place what waits in a moment, once for all changes until then."""
        if self._scheduled is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._scheduled = loop.call_later(SOON_S, self.pump)

    def pump(self) -> None:
        """Place what waits, the most urgent tier first, then by objective."""
        if self._scheduled is not None:
            self._scheduled.cancel()
            self._scheduled = None
        if not self._waiting:
            return
        now_s = self._clock()
        moment = Round(fleet=self._fleet, now_s=now_s)
        left: list[Waiter] = []
        without_room = 0
        order = sorted(self._waiting, key=lambda w: w.demand.urgency(now_s))
        for number, waiter in enumerate(order):
            candidate = self._try(waiter.demand, moment)
            if candidate is not None:
                waiter.placed(candidate)
                continue
            left.append(waiter)
            without_room += 1
            if without_room >= MOST_LOOKS:
                left += order[number + 1 :]
                break
        self._waiting = left

    async def pump_regularly(self) -> None:
        """Look again now and then: backlogs and cold starts end by themselves."""
        told_s = 0.0
        while True:
            await asyncio.sleep(PUMP_S)
            self.pump()
            if self._waiting and self._clock() - told_s > TELL_S:
                told_s = self._clock()
                self._tell(told_s)

    def _tell(self, now_s: float) -> None:
        """Log what waits, and the engines that it waits for."""
        oldest = min(self._waiting, key=lambda w: w.since_s)
        service = oldest.demand.service
        loads = self._fleet.of_service(service)
        decided(
            "work waits",
            waiting=len(self._waiting),
            patient=sum(w.demand.placing.patient for w in self._waiting),
            oldest_ms=round((now_s - oldest.since_s) * 1000),
            service=service,
            endpoints=len(loads),
            reserved=len(self._fleet.express(service)),
            running=sum(load.running for load in loads),
            unstarted=sum(load.unstarted for load in loads),
            backlogs_ms=[round(load.backlog_ms(now_s)) for load in loads[:MOST_TOLD]],
            debts_ms=[round(load.debt_ms(now_s)) for load in loads[:MOST_TOLD]],
        )

    def _try(self, demand: Demand, moment: Round) -> Candidate | None:
        service = self._catalog.service(demand.service)
        views = moment.usable(demand)
        if service.engine is not None and not any(
            _has_room(demand, view, moment.now_s) for view in views
        ):
            return None
        shared = demand.placing.parts[:-1]
        warm = self._recent.warm_tokens(shared, moment.now_s - self._prefix_reuse_s)
        for ranked in rank_engines(demand.placing, views, warm_tokens=warm):
            load = ranked.view.load
            if load.running >= load.record.slots:
                continue
            if service.engine is not None and not _has_room(
                demand, ranked.view, moment.now_s
            ):
                # The cost counts the wait: elsewhere would cost still more.
                return None
            if self._permitted(service, load, moment.now_s):
                placed = self._begin(demand, service, ranked, moment.now_s)
                moment.changed(load)
                return placed
        return None

    def _begin(
        self, demand: Demand, service: Service, ranked: Ranked, now_s: float
    ) -> Candidate:
        load = ranked.view.load
        due_s = load.begin(ranked.prefill_ms, now_s, urgent_tokens=demand.urgent_tokens)
        if service.engine is not None:
            load.kv_cache_tokens = service.engine.kv_cache_tokens
            load.note_parts(demand.placing.parts)
            self._recent.note(demand.placing.parts, now_s)
        return ranked.candidate()._replace(due_s=due_s)

    def _permitted(self, service: Service, load: EndpointLoad, now_s: float) -> bool:
        if now_s >= load.cold_until_s or service.cold_requests_per_s <= 0:
            return True
        return self._cold_start.permit(
            load.record.identifier,
            per_s=service.cold_requests_per_s,
            entries=self._cold_owners(service.name),
            now_s=now_s,
        )


def _has_room(demand: Demand, view: EngineView, now_s: float) -> bool:
    """Return whether an engine may be given one more prompt of this kind."""
    waited_ms = (now_s - demand.arrival_s) * 1000
    patient = demand.placing.patient
    if patient and view.express:
        late = waited_ms > EXPRESS_AFTER_SHARE * demand.objective_ms
        return late and view.backlog_ms <= 0 and view.running <= EXPRESS_STREAMS
    if patient and view.debt_ms > DEBT_MS + DEBT_GROWTH * waited_ms:
        return False
    limit_ms = min(BACKLOG_MS, URGENT_BACKLOG_SHARE * demand.objective_ms)
    return view.backlog_ms <= limit_ms


def _settle(
    future: asyncio.Future[Candidate],
    candidate: Candidate,
    clock: Callable[[], float],
) -> None:
    if future.done():
        candidate.load.end(candidate.due_s, started=False, now_s=clock())
    else:
        future.set_result(candidate)
