"""Places requests on endpoints and queues those that no endpoint has room for.

The queue is ordered by tier and objective. Prompts are queued here and not in
the engines, where they would delay the first events and the tokens of more
urgent requests. On the coordinator of a cell, this queue contains the
requests of all gateways.

A request is gap-tolerant if its route allows far longer event gaps than another stream
route of the service (``Configuration.is_gap_tolerant``); all other streams are
gap-sensitive. Some engines of a service are reserved for gap-sensitive streams
(``EndpointRegistry.reserved_endpoints``); the others are shared.

A slot is one of the requests that an endpoint may run at a time
(``EndpointRecord.slots``). The cost of placing a request on an endpoint is that of
``rank_engines``.

An endpoint is cold for some time after its start, until ``EndpointLoad.cold_until_s``.
A service may limit the rate of requests to each cold endpoint, as the sum over all
gateways (``Service.cold_requests_per_s``).
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from typing import TYPE_CHECKING

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.gateway.placement_round import PlacementRound
from shallotroad.gateway.placement_round import has_room
from shallotroad.gateway.queue_estimate import QueueEstimate
from shallotroad.observability.event_log import log_event
from shallotroad.policy.data_centre_balance import DataCentreBalance
from shallotroad.policy.endpoint_load import GAP_SENSITIVE_STEPS_PER_TOKEN
from shallotroad.policy.endpoint_rate import MIN_STATED_PER_S
from shallotroad.policy.endpoint_rate import STATED_LIMIT_FRACTION
from shallotroad.policy.engine_model import Prefill
from shallotroad.policy.fair_shares import FairShares
from shallotroad.policy.fair_shares import TierKey
from shallotroad.policy.placement import EngineView
from shallotroad.policy.placement import Placement
from shallotroad.policy.placement import rank_engines
from shallotroad.policy.recent_parts import RecentParts
from shallotroad.policy.return_places import ReturnPlace
from shallotroad.policy.return_places import ReturnPlaces
from shallotroad.policy.return_places import is_early
from shallotroad.policy.return_places import return_key


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from shallotroad.catalog.catalog import Catalog
    from shallotroad.catalog.configuration import Service
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.cells import Cell
    from shallotroad.policy.data_centre_balance import LocalPreference
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.endpoint_rate import EndpointRateLimiter
    from shallotroad.policy.engine_model import EngineModel
    from shallotroad.policy.placement import RankedEngine
    from shallotroad.policy.placement_request import PlacementRequest

QUEUE_LOG_INTERVAL_S = 1.0
# The shares that may leave a data centre are logged when one has changed by this much.
LOGGED_SHARE_CHANGE = 0.1
MAX_LOGGED_ENDPOINTS = 30
MAX_LOGGED_TEAMS = 10
# Limits of what other gateways state: engine time of a request, and wait of one that
# raises the limit of debt of those before it.
MAX_WORK_MS = 60_000.0
MAX_SHARED_WAIT_S = 10.0
# Latest time for which a place is reserved, however long a caller would wait.
MAX_PLACE_DELAY_S = 60.0
# A dispatch is a pass over the queue that places what has room. Backlogs and cold
# starts end without an event that would trigger one.
DISPATCH_INTERVAL_S = 0.05
# One dispatch serves all changes that arrive within this delay.
DISPATCH_DELAY_S = 0.008
# A dispatch ends after this many requests, of all services together, that could not be
# placed; the rest of the queue comes later in its order and is not tried.
MAX_UNPLACED_PER_ROUND = 32
MAX_QUEUED = 2_000
# Weight of a new request in the moving average of the decode speed that the answers of
# a service need.
NEEDED_SPEED_SAMPLE_WEIGHT = 0.1
# A request may wait for this share of its objective even if its prefill takes the rest,
# so that long prompts are not refused more often than short ones.
MIN_WAIT_OBJECTIVE_SHARE = 0.8
# A request is refused when it arrives if it is expected to start later than this share
# of its objective before its latest time: forecasts vary, and callers that return and
# other teams overtake it.
SUBMIT_MARGIN_OBJECTIVE_SHARE = 0.1
# Where teams compete, a queued request is refused only if its first event would be late
# by more than this share of its objective; one that has waited would have done so in
# vain.
LATE_TOLERANCE_OBJECTIVE_SHARE = 0.15
# Where teams compete, a team's places may take this share of its part of the engines'
# time. Its queued requests wait for them as well as for other teams, and more places
# mean more refusals from the queue.
COMPETING_PLACES_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
# Retry-After as a share of the time left to the deadline; callers wait for at most a
# third of that time.
RETRY_AFTER_REMAINING_SHARE = 0.3


class QueuedPlacement:
    """A queued request and the callbacks that receive its placement or refusal.

    Attributes
    ----------
    queued_at_s : float
        Monotonic time at which it joined the queue.
    prefill_ms : float
        Expected prefill time of its prompt at an engine of slowness 1.
    has_place : bool
        Whether its caller returned in time for its place, so that it is not refused.
    has_returned : bool
        Whether its caller was refused before, so that another return is unlikely.
    work_ms, precedes, virtual_start_ms, waits_since_s
        See ``fair_shares.WaitingRequest``.
    """

    def __init__(
        self,
        *,
        request: PlacementRequest,
        on_placed: Callable[[Placement], None],
        on_refused: Callable[[RefusedError], None],
        queued_at_s: float,
        prefill_ms: float,
        work_ms: float,
        has_place: bool = False,
        has_returned: bool = False,
    ) -> None:
        self.request = request
        self.on_placed = on_placed
        self.on_refused = on_refused
        self.queued_at_s = queued_at_s
        self.prefill_ms = prefill_ms
        self.has_place = has_place
        self.has_returned = has_returned
        self.tier_key = _tier_key(request)
        self.team = request.team
        self.objective_s = request.objective_s
        self.arrival_s = max(request.arrival_s, queued_at_s - MAX_SHARED_WAIT_S)
        self.work_ms = work_ms
        # An interrupted stream has been charged already, and its events are due soon.
        self.precedes = has_place or (
            request.profile.gap_tolerant and not request.refusable
        )
        self.virtual_start_ms = 0.0
        self.waits_since_s = request.waits_since_s

    def sort_key(self, now_s: float) -> tuple[int, int, bool, bool, float]:
        """Return ``request.priority`` with places before others of a tier."""
        _, tier, route_tier = self.tier_key
        late = now_s > self.objective_s
        return (tier, route_tier, not self.has_place, late, self.objective_s)

    def placeable_request(self) -> PlacementRequest:
        """Return the request with the time from which its limit of debt grows."""
        if self.waits_since_s >= self.arrival_s:
            return self.request
        return self.request._replace(waits_since_s=self.waits_since_s)


class Admission:
    """Places requests on endpoints, and queues them while none has room.

    Parameters
    ----------
    stated_limits : EndpointRateLimiter
        Limits the requests to endpoints that state a limit.
    rate_sharers : callable
        Returns, for a cell, the names of the gateways that may send to its cold
        endpoints and those that state a limit, and among which the permitted rate is
        divided; normally its coordinator alone.
    prefix_reuse_s : float
        Prefix reuse window: a prompt part that was sent to any engine within
        it counts as cached somewhere.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        endpoint_registry: EndpointRegistry,
        catalog: Catalog,
        cold_start: EndpointRateLimiter,
        stated_limits: EndpointRateLimiter,
        rate_sharers: Callable[[Cell], Sequence[str]],
        prefix_reuse_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._prefix_reuse_s = prefix_reuse_s
        self._endpoint_registry = endpoint_registry
        self._catalog = catalog
        self._cold_start = cold_start
        self._stated_limits = stated_limits
        self._rate_sharers = rate_sharers
        self._clock = clock
        self._recent_parts = RecentParts()
        self.data_centre_balance = DataCentreBalance(prefix_reuse_s=prefix_reuse_s)
        self._logged_shares: dict[Cell, dict[str, float]] = {}
        self._shares_logged_s = -math.inf
        self._needed_tokens_per_ms: dict[str, float] = {}
        self._fair_shares = FairShares()
        self._places = ReturnPlaces()
        # Decisions by name since the start, for the metrics.
        self.decisions: Counter[str] = Counter()
        self._logged_decisions: Counter[str] = Counter()
        self._queue: list[QueuedPlacement] = []
        self._dispatch_timer: asyncio.TimerHandle | None = None
        endpoint_registry.on_changed = self.schedule_dispatch

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def return_places(self) -> int:
        """Number of callers that were told when to return and have not done so."""
        return len(self._places)

    @property
    def competing_tiers(self) -> int:
        """Number of tiers in which teams compete or did a moment ago."""
        return len(self._fair_shares.tiers)

    def submit(
        self,
        request: PlacementRequest,
        on_placed: Callable[[Placement], None],
        on_refused: Callable[[RefusedError], None],
    ) -> QueuedPlacement | None:
        """Place a request now, or queue it.

        Returns the queued request, or None when it was placed at once.
        ``on_placed`` is called with the placement in both cases; the load of
        its endpoint already counts the request. ``last_start_s`` is not checked: a
        request stays queued until it is placed, its submitter withdraws it, or
        ``on_refused`` is called because its first event can't be in time. That is also
        called at once if the limits that all endpoints state let it start too late, or
        its caller returned before the time that it was told while others wait.

        Raises
        ------
        RefusedError
            When no endpoint may serve the request, or the queue is full.
        """
        now_s = self._clock()
        if request.profile.gap_tolerant:
            self._update_prefill_shares(request)
        if self._dispatch_timer is not None:
            self.dispatch_queued()  # queued requests may be more urgent
        has_place = has_returned = False
        if request.refusable and self._places:
            place, early = self._returned(request, now_s)
            if early is not None:
                on_refused(early)
                return None
            if place is not None:
                has_returned = True
                has_place = place.work_ms > 0
                if has_place:
                    request = request._replace(waits_since_s=place.since_s)
        follows_others = not has_place and self._follows_others(request, now_s)
        if not follows_others and not self._limits_all(request):
            placement = self._try_place(
                request,
                PlacementRound(endpoint_registry=self._endpoint_registry, now_s=now_s),
            )
            if placement is not None:
                self._charge(request, placement, now_s)
                on_placed(placement)
                return None
        usable_loads = self._endpoint_registry.usable_loads(request)
        if not usable_loads:
            raise RefusedError("no endpoint", retry_after_s=self.retry_after_s(request))
        wait_s = self._wait_beyond_limits_s(request, usable_loads, now_s)
        if wait_s:
            retry_after_s = min(wait_s, self.retry_after_s(request))
            on_refused(
                RefusedError(
                    "endpoints limit their requests",
                    retry_after_s=max(MIN_RETRY_AFTER_S, retry_after_s),
                )
            )
            return None
        if len(self._queue) >= MAX_QUEUED and not has_place:
            raise RefusedError("queue full", retry_after_s=self.retry_after_s(request))
        prefill_ms = self._model_prefill_ms(request, now_s)
        model = self._endpoint_registry.engine_model(request.service)
        queued = QueuedPlacement(
            request=request,
            on_placed=on_placed,
            on_refused=on_refused,
            queued_at_s=now_s,
            prefill_ms=prefill_ms,
            work_ms=_work_ms(request, prefill_ms, model),
            has_place=has_place,
            has_returned=has_returned,
        )
        self._begin_competition(queued, now_s)
        if (
            request.refusable
            and not has_place
            and not self._endpoint_registry.holds(request, now_s)
        ):
            refusal = self._refusal_at_submit(queued, now_s)
            if refusal is not None:
                on_refused(refusal)
                return None
        self._queue.append(queued)
        if follows_others:
            self.schedule_dispatch()
        return queued

    def _returned(
        self, request: PlacementRequest, now_s: float
    ) -> tuple[ReturnPlace | None, RefusedError | None]:
        """Return the place of a caller that returns, or why it is refused.

        A caller that was told when to return and comes before that is served only if
        nothing waits for the engines. Its place stays.
        """
        key = return_key(request)
        place = self._places.find(key, now_s) if key is not None else None
        if key is None or place is None:
            return None, None
        if is_early(place, now_s):
            if not any(queued.request.cell == request.cell for queued in self._queue):
                return None, None
            self.decisions["returned early"] += 1
            remaining_s = min(place.due_s - now_s, self._max_retry_after_s(request))
            return None, RefusedError(
                "returned too early", retry_after_s=max(MIN_RETRY_AFTER_S, remaining_s)
            )
        self._places.use(key)
        if place.work_ms:
            self.decisions["place used"] += 1
        return place, None

    def _follows_others(self, request: PlacementRequest, now_s: float) -> bool:
        """Return whether a request of another team comes first by its share."""
        if not self._fair_shares.tiers:
            return False
        key = _tier_key(request)
        shares = self._fair_shares.tier(key)
        if shares is None or not shares.waiting - {request.team}:
            return False
        start_ms, _ = self._join(key, request.team)
        return any(
            queued.tier_key == key and queued.virtual_start_ms < start_ms
            for queued in self._queue
        )

    def _begin_competition(self, queued: QueuedPlacement, now_s: float) -> None:
        """Set the virtual start of a request that is about to join the queue.

        If it is the first one of a second team in its tier, the teams begin to compete.
        """
        key, team = queued.tier_key, queued.team
        if self._fair_shares.tier(key) is not None:
            queued.virtual_start_ms, _ = self._join(key, team)
        elif any(q.tier_key == key and q.team != team for q in self._queue):
            self._fair_shares.order([*self._queue, queued], now_s)

    def _join(self, key: TierKey, team: str) -> tuple[float, list[QueuedPlacement]]:
        """Return the virtual start of a new request, and its team's queued requests."""
        own = [q for q in self._queue if q.tier_key == key and q.team == team]
        shares = self._fair_shares.tier(key)
        start_ms = shares.start_ms(team) if shares is not None else 0.0
        return start_ms + sum(queued.work_ms for queued in own), own

    def _refusal_at_submit(
        self, queued: QueuedPlacement, now_s: float
    ) -> RefusedError | None:
        """Return why a request is refused at once; None if it may wait.

        It is refused if it would be later: if its first event can't be in time behind
        the requests before it, or if its team's share of the engines does not suffice
        for what the team has waiting already.
        """
        request, key = queued.request, queued.tier_key
        queue = self._queue_estimate(request.cell, now_s)
        shares = self._fair_shares.tier(key)
        tiers = (request.tier, request.route_tier)
        own_work_ms = 0.0
        if shares is not None:
            _, own = self._join(key, queued.team)
            own_work_ms = sum(q.work_ms for q in own if q.request.refusable)
        sort_key = queued.sort_key(now_s)
        engines_wait_s = queue.wait_s
        for other in self._queue:
            if other.request.cell != key.cell or not other.request.profile.gap_tolerant:
                continue
            if shares is not None and other.tier_key == key:
                ahead = other.precedes or (
                    other.virtual_start_ms <= queued.virtual_start_ms
                )
            else:
                ahead = other.sort_key(now_s) <= sort_key
            if ahead:
                queue.add(other.prefill_ms)
        queue.add_due_places(tiers)
        wait_s, reason = queue.wait_s, "no room in time"
        if shares is not None and own_work_ms:
            share = shares.capacity_share(queued.team, now_s)
            engine_ms_per_s = max(
                1.0, queue.engine_ms(1.0), shares.used_ms_per_s(now_s)
            )
            own_wait_s = engines_wait_s + own_work_ms / (share * engine_ms_per_s)
            if own_wait_s > wait_s:
                wait_s, reason = own_wait_s, "team beyond its share"
        margin_s = SUBMIT_MARGIN_OBJECTIVE_SHARE * request.objective_ms / 1000
        if now_s + wait_s <= _latest_start_s(queued, queue) - margin_s:
            return None
        self.decisions["refused at submit"] += 1
        return self._refusal(queued, queue, wait_s, now_s, reason)

    def _refusal(
        self,
        queued: QueuedPlacement,
        queue: QueueEstimate,
        wait_s: float,
        now_s: float,
        reason: str,
    ) -> RefusedError:
        """Return the refusal of a request that would wait too long.

        If the caller may wait until its turn outside the queue, it gets a place then.
        """
        request = queued.request
        failing_s = self._endpoint_registry.failing_s(request, now_s)
        if failing_s:
            # Not for lack of engines, so no place is of use.
            wait_s = min(max(wait_s, failing_s), self.retry_after_s(request))
            return RefusedError(reason, retry_after_s=max(MIN_RETRY_AFTER_S, wait_s))
        last_retry_after_s = max(MIN_RETRY_AFTER_S, self._max_retry_after_s(request))
        retry_after_s = max(MIN_RETRY_AFTER_S, min(wait_s, last_retry_after_s))
        key = return_key(request)
        if key is None:
            return RefusedError(reason, retry_after_s=retry_after_s)
        existing = self._places.find(key, now_s)
        if existing is not None:
            remaining_s = min(existing.due_s - now_s, last_retry_after_s)
            return RefusedError(
                reason, retry_after_s=max(MIN_RETRY_AFTER_S, remaining_s)
            )
        returns = wait_s <= last_retry_after_s and not queued.has_returned
        shares = self._fair_shares.tier(queued.tier_key)
        place = ReturnPlace(
            cell=request.cell,
            tiers=(request.tier, request.route_tier),
            since_s=request.arrival_s,
            due_s=now_s + retry_after_s,
            work_ms=queued.prefill_ms if returns else 0.0,
        )
        team_share = 1.0
        if shares is not None:
            team_share = COMPETING_PLACES_SHARE * shares.capacity_share(
                queued.team, now_s
            )
        reserved = returns and self._places.reserve(
            key,
            place,
            engine_ms=queue.engine_ms(retry_after_s),
            team_share=team_share,
            now_s=now_s,
        )
        if reserved:
            queue.add_promised(reserved)
            self.decisions["place reserved"] += 1
        else:
            # The later it returns, the more likely is there room without a place.
            retry_after_s = min(MAX_RETRY_AFTER_S, last_retry_after_s)
            self._places.add_without_work(
                key, place._replace(due_s=now_s + retry_after_s, work_ms=0.0), now_s
            )
        return RefusedError(reason, retry_after_s=retry_after_s)

    def _max_retry_after_s(self, request: PlacementRequest) -> float:
        """Return the longest delay that a caller observes, with a margin."""
        remaining_s = request.deadline_s - self._clock()
        return min(MAX_PLACE_DELAY_S, RETRY_AFTER_REMAINING_SHARE * remaining_s)

    def _queue_estimate(self, cell: Cell, now_s: float) -> QueueEstimate:
        return QueueEstimate(
            loads=self._shared_loads(cell),
            now_s=now_s,
            promised=self._places.promised_work(cell, now_s),
        )

    def _charge(
        self, request: PlacementRequest, placement: Placement, now_s: float
    ) -> None:
        """Charge the team of a placed request where teams compete."""
        if self._fair_shares.tiers:
            model = placement.load.model
            work_ms = _work_ms(request, placement.prefill_ms, model)
            self._fair_shares.charge(_tier_key(request), request.team, work_ms, now_s)

    def _limits_all(self, request: PlacementRequest) -> bool:
        """Return whether others wait and all endpoints for a request state a limit.

        Then the next permit is for a queued request, which the next dispatch places. A
        dispatch for each request would cost a busy coordinator most of its time.
        """
        return (
            any(queued.request.cell == request.cell for queued in self._queue)
            and self._endpoint_registry.states_limit(request.service)
            and all(
                load.limit_per_s is not None
                for load in self._endpoint_registry.usable_loads(request)
            )
        )

    def _wait_beyond_limits_s(
        self, request: PlacementRequest, loads: Sequence[EndpointLoad], now_s: float
    ) -> float:
        """Return how long a request would wait for limited endpoints, if too long.

        0 if it may wait, or if some endpoint states no limit. A request may wait until
        its objective, behind others of its tiers: one that is late would be overtaken
        as long as the load lasts. The first in the queue may wait longer.
        """
        per_s = 0.0
        for load in loads:
            if load.limit_per_s is None:
                return 0.0
            per_s += STATED_LIMIT_FRACTION * max(MIN_STATED_PER_S, load.limit_per_s)
        tiers = (request.tier, request.route_tier)
        ahead = sum(
            queued.request.cell == request.cell
            and (queued.request.tier, queued.request.route_tier) <= tiers
            for queued in self._queue
        )
        wait_s = (ahead + 1) / per_s
        latest_s = request.last_start_s
        if ahead:
            latest_s = min(latest_s, request.objective_s)
        return wait_s if now_s + wait_s > latest_s else 0.0

    def _model_prefill_ms(self, request: PlacementRequest, now_s: float) -> float:
        """Return the prefill time of a prompt where its shared parts are cached."""
        cached = self._recent_parts.recently_used_tokens(
            request.profile.parts[:-1], now_s - self._prefix_reuse_s
        )
        tokens = max(0, request.profile.prompt_tokens - cached)
        model = self._endpoint_registry.engine_model(request.service)
        return model.prefill_ms(tokens, request.profile.prompt_tokens - tokens)

    def rescale_prefills(self, service: str, ratio: float) -> None:
        """Convert queued and promised work of a service whose model has changed.

        ``ratio`` is the prefill time of a typical prompt by that with the model before.
        """
        for queued in self._queue:
            if queued.request.service == service:
                queued.prefill_ms *= ratio
                queued.work_ms *= ratio
        self._places.rescale(service, ratio)
        self.schedule_dispatch()

    def _update_prefill_shares(self, request: PlacementRequest) -> None:
        """Let a gap-tolerant request count in the prefill shares of its engines.

        The speed that answers need to be whole in time is averaged over the service's
        requests; each engine's share depends on its own decode speed as well.
        """
        decode_ms = max(1.0, (request.end_s - request.objective_s) * 1000.0)
        sample = request.expected_tokens / decode_ms
        average = self._needed_tokens_per_ms.get(request.service, sample)
        average += NEEDED_SPEED_SAMPLE_WEIGHT * (sample - average)
        self._needed_tokens_per_ms[request.service] = average
        for load in self._endpoint_registry.active_loads(request.cell):
            load.plan_prefill_share(average)

    def record_surveyed_parts(self, parts: Sequence[PromptPart]) -> None:
        """Count parts that a cache survey found in some engine as used now.

        Which engine has them is recorded in its load, not here.
        """
        self._recent_parts.record(parts, self._clock())

    def withdraw(self, queued: QueuedPlacement) -> None:
        """Remove a request from the queue, if it is still there."""
        if queued in self._queue:
            self._queue.remove(queued)

    async def place(self, request: PlacementRequest) -> Placement:
        """Return a placement for a request of this gateway, queueing it if necessary.

        Raises
        ------
        RefusedError
            When no endpoint may serve the request, the queue is full, or no
            endpoint had room before ``request.last_start_s``.
        """
        future: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        queued = self.submit(
            request,
            lambda placement: _deliver_or_release(future, placement, self._clock),
            lambda error: _reject(future, error),
        )
        if queued is None:
            return future.result()
        try:
            async with asyncio.timeout(request.last_start_s - self._clock()):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                return future.result()  # placed just as the timeout expired
            raise RefusedError(
                "no room in time", retry_after_s=self.retry_after_s(request)
            ) from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                unused_placement = future.result()
                unused_placement.load.record_end(
                    unused_placement.due_s, started=False, now_s=self._clock()
                )
            raise
        finally:
            self.withdraw(queued)

    def retry_after_s(self, request: PlacementRequest) -> float:
        """Return the delay after which a retry can still be served in time."""
        remaining_s = request.deadline_s - self._clock()
        return max(
            MIN_RETRY_AFTER_S,
            min(MAX_RETRY_AFTER_S, RETRY_AFTER_REMAINING_SHARE * remaining_s),
        )

    def schedule_dispatch(self) -> None:
        """Schedule one dispatch for all changes within ``DISPATCH_DELAY_S``."""
        if self._dispatch_timer is None and self._queue:
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(
                DISPATCH_DELAY_S, self.dispatch_queued
            )

    def dispatch_queued(self) -> None:
        """Place queued requests in the order of ``PlacementRequest.priority``.

        It ends after ``MAX_UNPLACED_PER_ROUND`` requests without room.
        """
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
            self._dispatch_timer = None
        now_s = self._clock()
        if not self._queue:
            if self._fair_shares.tiers:
                self._fair_shares.order([], now_s)  # No team waits any more.
            return
        placement_round = PlacementRound(
            endpoint_registry=self._endpoint_registry, now_s=now_s
        )
        remaining: list[QueuedPlacement] = []
        unplaced = 0
        by_priority = self._fair_shares.order(
            sorted(self._queue, key=lambda queued: queued.sort_key(now_s)), now_s
        )
        for position, queued in enumerate(by_priority):
            if self._endpoint_registry.holds(queued.request, now_s):
                remaining.append(queued)  # it takes no room, so others are tried
                continue
            placement = self._try_place(queued.placeable_request(), placement_round)
            if placement is not None:
                self._charge(queued.request, placement, now_s)
                queued.on_placed(placement)
                continue
            remaining.append(queued)
            unplaced += 1
            if unplaced >= MAX_UNPLACED_PER_ROUND:
                remaining += by_priority[position + 1 :]
                break
        self._queue = remaining
        self._refuse_late_starts(now_s)

    def _refuse_late_starts(self, now_s: float) -> None:
        """Refuse queued requests whose first event can't be in time.

        Only ``PlacementRequest.refusable`` ones are refused. The queue is in the order
        of their priority, so each waits for the prompts before it.
        """
        if not any(queued.request.refusable for queued in self._queue):
            return
        queues = {
            cell: self._queue_estimate(cell, now_s)
            for cell in {queued.request.cell for queued in self._queue}
        }
        kept: list[QueuedPlacement] = []
        refused: list[tuple[QueuedPlacement, RefusedError]] = []
        for queued in self._queue:
            request, queue = queued.request, queues[queued.request.cell]
            queue.add_due_places((request.tier, request.route_tier))
            wait_s = queue.wait_s
            tolerance_s = 0.0
            if self._fair_shares.tier(queued.tier_key) is not None:
                tolerance_s = (
                    LATE_TOLERANCE_OBJECTIVE_SHARE * request.objective_ms / 1000
                )
            if (
                request.refusable
                and not queued.has_place
                and now_s + wait_s > _latest_start_s(queued, queue) + tolerance_s
            ):
                refusal = self._refusal(queued, queue, wait_s, now_s, "no room in time")
                refused.append((queued, refusal))
                continue
            kept.append(queued)
            if request.profile.gap_tolerant:
                queue.add(queued.prefill_ms)
        self._queue = kept
        for queued, refusal in refused:
            self.decisions["refused in the queue"] += 1
            queued.on_refused(refusal)

    def _shared_loads(self, cell: Cell) -> list[EndpointLoad]:
        """Return the loads of the engines that gap-tolerant requests use first."""
        reserved = self._endpoint_registry.reserved_endpoints(cell)
        return [
            load
            for load in self._endpoint_registry.open_loads(cell)
            if load.record.identifier not in reserved
        ]

    async def dispatch_periodically(self) -> None:
        """Dispatch the queue and log its state until cancelled.

        Backlogs and cold starts end without an event, so events alone would
        leave requests in the queue.
        """
        last_logged_s = 0.0
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_S)
            self.dispatch_queued()
            now_s = self._clock()
            if now_s - last_logged_s <= QUEUE_LOG_INTERVAL_S:
                continue
            if self._places:
                self._places.expire(now_s)
                self.decisions["place expired"] = self._places.unused
            if self._queue:
                last_logged_s = now_s
                self._log_queue(last_logged_s)
                self._log_capacity_decisions()

    def _log_queue(self, now_s: float) -> None:
        """Log the queue, and the endpoints of the cell of its oldest request."""
        oldest = min(self._queue, key=lambda queued: queued.queued_at_s)
        cell = oldest.request.cell
        loads = self._endpoint_registry.active_loads(cell)
        log_event(
            "work waits",
            waiting=len(self._queue),
            patient=sum(queued.request.profile.gap_tolerant for queued in self._queue),
            oldest_ms=round((now_s - oldest.queued_at_s) * 1000),
            service=cell.service,
            cell=cell.name,
            endpoints=len(loads),
            reserved=len(self._endpoint_registry.reserved_endpoints(cell)),
            running=sum(load.running for load in loads),
            unstarted=sum(load.awaiting_first_event for load in loads),
            backlogs_ms=[
                round(load.backlog_ms(now_s)) for load in loads[:MAX_LOGGED_ENDPOINTS]
            ],
            debts_ms=[
                round(load.debt_ms(now_s)) for load in loads[:MAX_LOGGED_ENDPOINTS]
            ],
        )

    def _log_capacity_decisions(self) -> None:
        """Log the decisions on shares and places since the last time, if any."""
        new = self.decisions - self._logged_decisions
        if not new:
            return
        self._logged_decisions = self.decisions.copy()
        teams: Counter[str] = Counter()
        for queued in self._queue:
            if self._fair_shares.tier(queued.tier_key) is not None:
                teams[queued.team] += 1
        log_event(
            "capacity shared",
            decisions=dict(new),
            places=len(self._places),
            tiers=self.competing_tiers,
            teams=dict(teams.most_common(MAX_LOGGED_TEAMS)),
        )

    def _local_preference(
        self,
        request: PlacementRequest,
        views: Sequence[EngineView],
        now_s: float,
    ) -> LocalPreference | None:
        """Return the preference for engines of the callers' data centre, if any.

        None if no such engine has room: queueing there would cost more than leaving.
        """
        balance = self.data_centre_balance
        if balance.needs_update(request.cell, now_s):
            registry = self._endpoint_registry
            balance.update(
                request.cell,
                registry.open_loads(request.cell),
                registry.reserved_endpoints(request.cell),
                now_s,
            )
            self._log_shares(now_s)
        preference = balance.preference(request, now_s)
        data_centre = request.profile.data_centre
        if preference is None or not any(
            view.load.record.data_centre == data_centre
            and view.running < view.load.record.slots
            and has_room(request, view, now_s)
            for view in views
        ):
            return None
        return preference

    def _log_shares(self, now_s: float) -> None:
        """Log the shares of one cell whose shares have changed, if it is time."""
        if now_s - self._shares_logged_s < QUEUE_LOG_INTERVAL_S:
            return
        shares = self.data_centre_balance.shares()
        for cell, current in shares.items():
            logged = self._logged_shares.get(cell, {})
            if logged.keys() != current.keys() or any(
                abs(share - logged[name]) >= LOGGED_SHARE_CHANGE
                for name, share in current.items()
            ):
                self._shares_logged_s = now_s
                self._logged_shares = {
                    known: self._logged_shares.get(known, {}) for known in shares
                }
                self._logged_shares[cell] = current
                log_event(
                    "share of work that may leave",
                    service=cell.service,
                    cell=cell.name,
                    shares={n: round(share, 2) for n, share in current.items()},
                )
                return

    def _try_place(
        self,
        request: PlacementRequest,
        placement_round: PlacementRound,
        *,
        balanced: bool = True,
    ) -> Placement | None:
        """Return a placement, or None if the request must wait or has no endpoint.

        The placement is already counted in the load. Usable endpoints are tried by
        cost, the lowest first; one without a free slot or a cold-start permit is
        skipped. For a service with an engine, the search ends with None at the first
        engine that has a free slot but no room (``has_room``), which may be a reserved
        one that the request may not use: engines after it cost more, and queueing is
        cheaper than prefilling there. If that engine was preferred for its data centre,
        the search is repeated at the constant costs (``balanced`` False), so that no
        request waits for a local engine while a remote one has room.
        """
        service = self._catalog.service(request.service)
        views = placement_round.usable_views(request)
        if service.engine is not None and not any(
            has_room(request, view, placement_round.now_s) for view in views
        ):
            return None
        shared_parts = request.profile.parts[:-1]
        recently_used_tokens = self._recent_parts.recently_used_tokens(
            shared_parts, placement_round.now_s - self._prefix_reuse_s
        )
        local = None
        if balanced and service.engine is not None:
            local = self._local_preference(request, views, placement_round.now_s)
        for ranked in rank_engines(
            request.profile,
            views,
            recently_used_tokens=recently_used_tokens,
            local=local,
        ):
            load = ranked.view.load
            if load.running >= load.record.slots:
                continue
            if service.engine is not None and not has_room(
                request, ranked.view, placement_round.now_s
            ):
                if local is not None:
                    return self._try_place(request, placement_round, balanced=False)
                # The cost includes the backlog, so every later engine costs more and
                # queueing is cheaper than prefilling there.
                return None
            if self._take_permits(service, load, placement_round.now_s):
                placement = self._record_placement(
                    request, service, ranked, placement_round.now_s
                )
                placement_round.refresh(request.cell, load)
                return placement
        return None

    def _record_placement(
        self,
        request: PlacementRequest,
        service: Service,
        ranked: RankedEngine,
        now_s: float,
    ) -> Placement:
        """Count a request in the load of its endpoint and return its placement.

        For an engine, the parts of the prompt count as cached there from now on.
        """
        load = ranked.view.load
        alone = not load.awaiting_first_event
        due_s = load.record_dispatch(
            ranked.prefill_ms, now_s, gap_sensitive_tokens=request.gap_sensitive_tokens
        )
        if service.engine is not None:
            load.kv_cache_tokens = service.engine.kv_cache_tokens
            load.record_parts(request.profile.parts)
            self._recent_parts.record(request.profile.parts, now_s)
            self.data_centre_balance.record_placement(
                request, load, ranked.prefill_ms, now_s
            )
        prefill = None
        if service.engine is not None and request.streams:
            cached = min(ranked.cached_tokens, request.profile.prompt_tokens)
            uncached = request.profile.prompt_tokens - cached
            prefill = Prefill(uncached, cached, now_s, alone)
        return ranked.placement()._replace(due_s=due_s, prefill=prefill)

    def _take_permits(self, service: Service, load: EndpointLoad, now_s: float) -> bool:
        """Return whether the limits of an endpoint allow a request now."""
        return self._take_limit_permit(load, now_s) and self._take_cold_start_permit(
            service, load, now_s
        )

    def _take_limit_permit(self, load: EndpointLoad, now_s: float) -> bool:
        """Return whether the limit that the endpoint states allows a request.

        Always True if it states none; otherwise True uses up one permit.
        """
        if load.limit_per_s is None:
            return True
        return self._stated_limits.try_acquire(
            load.record.identifier,
            per_s=max(MIN_STATED_PER_S, load.limit_per_s),
            gateways=self._rate_sharers(self._endpoint_registry.cell_of(load)),
            now_s=now_s,
        )

    def _take_cold_start_permit(
        self, service: Service, load: EndpointLoad, now_s: float
    ) -> bool:
        """Return whether the cold-start rate allows a request to the endpoint.

        Always True if the endpoint is not cold or the service has no such rate;
        otherwise True uses up one permit.
        """
        if now_s >= load.cold_until_s or service.cold_requests_per_s <= 0:
            return True
        return self._cold_start.try_acquire(
            load.record.identifier,
            per_s=service.cold_requests_per_s,
            gateways=self._rate_sharers(self._endpoint_registry.cell_of(load)),
            now_s=now_s,
        )


def _tier_key(request: PlacementRequest) -> TierKey:
    return TierKey(request.cell, request.tier, request.route_tier)


def _work_ms(request: PlacementRequest, prefill_ms: float, model: EngineModel) -> float:
    """Return the engine time of a request: its prefill and its share of decode."""
    steps = GAP_SENSITIVE_STEPS_PER_TOKEN * max(0, request.expected_tokens)
    return min(MAX_WORK_MS, max(0.0, prefill_ms) + steps * model.decode_step_ms)


def _latest_start_s(queued: QueuedPlacement, queue: QueueEstimate) -> float:
    """Return the latest start with which a first event can be in time.

    A prompt whose own prefill takes longer than the objective may still be served late,
    but it does not wait for others as well.
    """
    request = queued.request
    return max(
        request.objective_s - queue.prefill_s(queued.prefill_ms),
        request.arrival_s + MIN_WAIT_OBJECTIVE_SHARE * request.objective_ms / 1000,
    )


def _reject(future: asyncio.Future[Placement], error: RefusedError) -> None:
    """Fail a pending ``place`` call, unless it has ended."""
    if not future.done():
        future.set_exception(error)


def _deliver_or_release(
    future: asyncio.Future[Placement],
    placement: Placement,
    clock: Callable[[], float],
) -> None:
    """Resolve a pending ``place`` call, or release a placement that it left behind."""
    if future.done():
        placement.load.record_end(placement.due_s, started=False, now_s=clock())
    else:
        future.set_result(placement)
