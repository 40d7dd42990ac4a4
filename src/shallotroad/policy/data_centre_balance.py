"""Share of a data centre's work that may run on engines of other data centres.

An engine in another data centre costs the transfer of the body and of the answer each
time, an engine in the callers' own one at most one more prefill of the shared parts.
So work stays local while the local engines have free time, and what they have no time
for leaves while remote engines have some.

All figures are engine time: the prefill of prompts and the decode of gap-sensitive
streams, as ``EndpointLoad`` counts them. Demand and capacity are in engine milliseconds
for each millisecond, so that an idle engine is a capacity of its prefill share.

The state belongs to the coordinator of a cell and is built from its own placements. A
new one permits all work to leave, which means that only the constant costs of
``rank_engines`` decide, and approaches the share that it computes from there.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.policy.endpoint_load import WORK_HALF_LIFE_S


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from shallotroad.policy.cells import Cell
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement_request import PlacementRequest

# Time constant with which a share follows its target: longer than the pause between
# two reports of a gateway, shorter than callers wait for a first event.
DAMPING_S = 2.0
UPDATE_INTERVAL_S = 0.25
# Local engines with more work than this share of their time let the rest leave.
# Prompts arrive in bursts, so queues form before all of the time is used.
TARGET_UTILISATION = 0.8
# Shared parts that only remote engines have cached are prefilled locally up to this
# utilisation, which leaves time for the local callers' next burst. From here to
# TARGET_UTILISATION of all engines, the share that may leave rises to 1.
MAX_COPY_UTILISATION = 0.6
# Engines that were cold count in the capacity gradually for this long.
RETURN_RAMP_S = 4.0
# A request may start later by this share of the time left to its objective in order to
# stay local, and by at most MAX_LOCAL_DELAY_MS.
LOCAL_DELAY_SHARE = 0.2
MAX_LOCAL_DELAY_MS = 500.0
# Bytes that a local copy of a recently used part must keep from leaving, for each token
# of its prefill, because that takes engine time which is lost for other prompts. A
# prompt has about a byte for each token, so a copy must save two to three transfers.
COPY_BYTES_PER_TOKEN = 3.0
# Requests for a part are averaged over this many prefix reuse windows.
RATE_WINDOWS = 2.0
# Bound on the work that may leave at once after a time in which none did, and on
# the work that left beyond the share and is made up for.
MAX_CREDIT_MS = 500.0
MAX_PARTS = 16_384
# A cell without a placement for this long starts anew: another gateway has coordinated
# it meanwhile, or what was observed is out of date.
MAX_IDLE_S = 10.0
# Pairs of a service and a data centre that are counted for the metrics.
MAX_COUNTED_PAIRS = 512
# Shares below this one are 0.
MIN_SHARE = 0.01
WORK_WINDOW_S = WORK_HALF_LIFE_S / math.log(2.0)
# Demand is not extrapolated from a shorter observation.
MIN_OBSERVATION_S = 1.0


class LocalPreference(NamedTuple):
    """Preference of one request for the engines of its callers' data centre.

    Parameters
    ----------
    remote_ms : float
        Cost of every remote engine besides the transfer.
    may_copy : bool
        Whether local engines have time to prefill shared parts that only remote ones
        have cached.
    copy_tokens : float
        Tokens of recently used parts whose local copy is expected to pay.
    """

    remote_ms: float
    may_copy: bool
    copy_tokens: float

    def applies(
        self, *, local_tokens: int, best_tokens: int, recently_used_tokens: int
    ) -> bool:
        """Return whether a prompt with shared parts should stay local.

        Parameters
        ----------
        local_tokens, best_tokens : int
            Largest number of its leading tokens that a local engine, and any engine,
            has cached.
        recently_used_tokens : int
            Tokens of its shared parts that some engine used within the prefix reuse
            window.
        """
        if local_tokens and local_tokens >= best_tokens:
            return True
        repeated_tokens = min(best_tokens, recently_used_tokens) - local_tokens
        return self.may_copy and repeated_tokens <= self.copy_tokens


def usable_time(load: EndpointLoad, now_s: float) -> float:
    """Return the share of an engine's time that work can be planned for.

    0 if the engine is cold or avoided after a connection failure. After a cold start,
    it rises to the prefill share within ``RETURN_RAMP_S``.
    """
    if load.avoided_until_s > now_s:
        return 0.0
    ready = 1.0
    if load.cold_until_s:
        ready = min(1.0, max(0.0, (now_s - load.cold_until_s) / RETURN_RAMP_S))
    return load.prefill_share * ready


def target_shares(
    demand: Mapping[str, float], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Return the share of each data centre's demand that may leave.

    That is the excess over its own capacity. Where all engines together are short of
    time, any repeated prefill delays other prompts, so every share rises to 1.

    Parameters
    ----------
    demand : mapping of str to float
        Engine time that the callers of each data centre need.
    capacity : mapping of str to float
        Usable engine time of each data centre, also of those without callers.
    """
    utilisation = sum(demand.values()) / max(1e-9, sum(capacity.values()))
    scarcity = (utilisation - MAX_COPY_UTILISATION) / (
        TARGET_UTILISATION - MAX_COPY_UTILISATION
    )
    least_share = min(1.0, max(0.0, scarcity))
    shares = {}
    for name, needed in demand.items():
        excess = needed - TARGET_UTILISATION * capacity.get(name, 0.0)
        shares[name] = max(least_share, excess / needed if excess > 0.0 else 0.0)
    return shares


def expected_reuses(requests_per_window: float) -> float:
    """Return how often a copy is expected to be used again before it is unused.

    A copy counts until no request for it arrives within one prefix reuse window. With
    independent arrivals, the number of requests before that is geometric.

    Parameters
    ----------
    requests_per_window : float
        Mean number of requests for the part in a window.
    """
    return math.expm1(min(20.0, requests_per_window))


class PartRequests:
    """How often the callers of each data centre request each prompt part.

    When more than ``MAX_PARTS`` are recorded, the least recently requested ones are
    evicted.

    Parameters
    ----------
    window_s : float
        Prefix reuse window.
    """

    def __init__(self, *, window_s: float) -> None:
        self._average_s = RATE_WINDOWS * max(0.1, window_s)
        self._counts: OrderedDict[tuple[str, str], tuple[float, float]] = OrderedDict()

    def record(self, data_centre: str, part: str, now_s: float) -> None:
        """Count a request."""
        key = (data_centre, part)
        self._counts[key] = (1.0 + self._count(key, now_s), now_s)
        self._counts.move_to_end(key)
        if len(self._counts) > MAX_PARTS:
            self._counts.popitem(last=False)

    def _count(self, key: tuple[str, str], now_s: float) -> float:
        count, counted_s = self._counts.get(key, (0.0, now_s))
        return count * math.exp((counted_s - now_s) / self._average_s)

    def per_window(self, data_centre: str, part: str, now_s: float) -> float:
        """Return the mean number of requests in a prefix reuse window."""
        return self._count((data_centre, part), now_s) / RATE_WINDOWS


class CallersBalance:
    """Work of the callers of one data centre in one cell, and its share that may leave.

    Attributes
    ----------
    share : float
        Share of the work that may leave at the constant costs; it is 1 at first.
    utilisation : dict of bool to float
        Work by usable time of the local engines: of the reserved ones under True, of
        the shared ones under False.
    """

    def __init__(self, *, now_s: float) -> None:
        self.share = 1.0
        self.utilisation: dict[bool, float] = {}
        self._credit_ms = MAX_CREDIT_MS
        self._started_s = now_s
        self._work_ms = 0.0
        self._decayed_s = now_s

    @property
    def may_leave(self) -> bool:
        """Whether the next request may leave at the constant costs."""
        return self.share > 0.0 and self._credit_ms > 0.0

    def record(self, work_ms: float, now_s: float, *, remote: bool) -> None:
        """Count a placed request."""
        self._decay(now_s)
        self._work_ms += work_ms
        credit_ms = self._credit_ms + self.share * work_ms - (work_ms if remote else 0)
        self._credit_ms = max(-MAX_CREDIT_MS, min(MAX_CREDIT_MS, credit_ms))

    def demand(self, now_s: float) -> float:
        """Return the engine time that the callers needed lately."""
        self._decay(now_s)
        observed_s = max(MIN_OBSERVATION_S, now_s - self._started_s)
        weight = 1.0 - math.exp(-observed_s / WORK_WINDOW_S)
        return self._work_ms / (WORK_WINDOW_S * 1000.0 * weight)

    def _decay(self, now_s: float) -> None:
        self._work_ms *= math.exp((self._decayed_s - now_s) / WORK_WINDOW_S)
        self._decayed_s = now_s

    def approach(self, target: float, elapsed_s: float) -> None:
        """Move the share towards its target with ``DAMPING_S``."""
        self.share += (target - self.share) * -math.expm1(-elapsed_s / DAMPING_S)
        if target < MIN_SHARE and self.share < MIN_SHARE:
            self.share = 0.0


class CellBalance:
    """Balance between the data centres of one cell.

    Attributes
    ----------
    callers : dict of str to CallersBalance
        By data centre; those without open engines have none. Empty while the open
        engines of the cell are in fewer than two data centres.
    """

    def __init__(self, *, now_s: float) -> None:
        self.callers: dict[str, CallersBalance] = {}
        self.updated_s = -math.inf
        self.placed_s = now_s

    def update(
        self, loads: Iterable[EndpointLoad], reserved: frozenset[str], now_s: float
    ) -> None:
        """Recompute the shares from the engines outside closed data centres.

        Parameters
        ----------
        reserved : frozenset of str
            Engines reserved for gap-sensitive streams.
        """
        elapsed_s = now_s - self.updated_s
        self.updated_s = now_s
        capacity: dict[str, float] = {}
        time: dict[tuple[str, bool], float] = {}
        work: dict[tuple[str, bool], float] = {}
        for load in loads:
            name = load.record.data_centre
            kind = (name, load.record.identifier in reserved)
            usable = usable_time(load, now_s)
            work_ms = sum(load.recent_work_ms(now_s))
            capacity[name] = capacity.get(name, 0.0) + usable
            time[kind] = time.get(kind, 0.0) + usable
            work[kind] = work.get(kind, 0.0) + work_ms / (WORK_WINDOW_S * 1000.0)
        if len(capacity) < 2:
            self.callers.clear()
            return
        for name in self.callers.keys() - capacity.keys():
            del self.callers[name]
        for name in capacity.keys() - self.callers.keys():
            self.callers[name] = CallersBalance(now_s=now_s)
        demand = {name: state.demand(now_s) for name, state in self.callers.items()}
        targets = target_shares(demand, capacity)
        for name, state in self.callers.items():
            target = targets[name] if capacity[name] > 0.0 else 1.0
            if math.isfinite(elapsed_s):
                state.approach(target, elapsed_s)
            state.utilisation = {
                kind: work[name, kind] / max(1e-9, time[name, kind])
                for kind in (False, True)
                if (name, kind) in time
            }


class LeavingTotals:
    """Requests and bytes of one service and data centre of callers, for the metrics."""

    def __init__(self) -> None:
        self.local = 0
        self.remote = 0
        self.remote_bytes = 0


class DataCentreBalance:
    """Balance of all cells that this gateway places requests in.

    Parameters
    ----------
    prefix_reuse_s : float
        Prefix reuse window.
    """

    def __init__(self, *, prefix_reuse_s: float) -> None:
        self._cells: dict[Cell, CellBalance] = {}
        self._part_requests = PartRequests(window_s=prefix_reuse_s)
        self.totals: dict[tuple[str, str], LeavingTotals] = {}

    def needs_update(self, cell: Cell, now_s: float) -> bool:
        """Return whether the shares of a cell are older than ``UPDATE_INTERVAL_S``."""
        balance = self._cells.get(cell)
        return balance is None or now_s - balance.updated_s >= UPDATE_INTERVAL_S

    def update(
        self,
        cell: Cell,
        loads: Iterable[EndpointLoad],
        reserved: frozenset[str],
        now_s: float,
    ) -> None:
        """Recompute the shares of a cell; see ``CellBalance.update``."""
        oldest_s = now_s - MAX_IDLE_S
        for known in [c for c, b in self._cells.items() if b.placed_s < oldest_s]:
            del self._cells[known]
        balance = self._cells.get(cell)
        if balance is None:
            balance = self._cells[cell] = CellBalance(now_s=now_s)
        balance.update(loads, reserved, now_s)

    def preference(
        self, request: PlacementRequest, now_s: float
    ) -> LocalPreference | None:
        """Return the preference of a request; None if the constant costs decide.

        They do where the condition of this module does not hold, for the share of the
        work that may leave and for requests past their objective.
        """
        profile = request.profile
        balance = self._cells.get(request.cell)
        callers = balance and balance.callers.get(profile.data_centre)
        if not callers or callers.may_leave:
            return None
        left_ms = (request.objective_s - now_s) * 1000.0
        delay_ms = min(MAX_LOCAL_DELAY_MS, LOCAL_DELAY_SHARE * left_ms)
        if delay_ms <= 0.0:
            return None
        utilisation = callers.utilisation.get(
            not profile.gap_tolerant, max(callers.utilisation.values(), default=1.0)
        )
        may_copy = utilisation < MAX_COPY_UTILISATION
        copy_tokens = 0.0
        if may_copy and len(profile.parts) > 1:
            requests = self._part_requests.per_window(
                profile.data_centre, profile.parts[-2].identifier, now_s
            )
            saved_bytes = expected_reuses(requests) * profile.body_bytes
            copy_tokens = saved_bytes / COPY_BYTES_PER_TOKEN
        return LocalPreference(delay_ms, may_copy, copy_tokens)

    def record_placement(
        self,
        request: PlacementRequest,
        load: EndpointLoad,
        prefill_ms: float,
        now_s: float,
    ) -> None:
        """Count a request that was placed on an engine."""
        profile = request.profile
        remote = load.record.data_centre != profile.data_centre
        self._count_totals(
            request.service, profile.data_centre, profile.body_bytes, remote
        )
        balance = self._cells.get(request.cell)
        if balance is None:
            return
        balance.placed_s = now_s
        callers = balance.callers.get(profile.data_centre)
        if callers is None:
            return
        work_ms = prefill_ms + load.decode_work_ms(request.gap_sensitive_tokens)
        callers.record(work_ms, now_s, remote=remote)
        if len(profile.parts) > 1:
            self._part_requests.record(
                profile.data_centre, profile.parts[-2].identifier, now_s
            )

    def _count_totals(
        self, service: str, data_centre: str, body_bytes: int, remote: bool
    ) -> None:
        totals = self.totals.get((service, data_centre))
        if totals is None:
            if len(self.totals) >= MAX_COUNTED_PAIRS:
                return
            totals = self.totals[service, data_centre] = LeavingTotals()
        if remote:
            totals.remote += 1
            totals.remote_bytes += body_bytes
        else:
            totals.local += 1

    def shares(self) -> dict[Cell, dict[str, float]]:
        """Return the share that may leave, by cell and data centre of callers."""
        return {
            cell: {name: callers.share for name, callers in balance.callers.items()}
            for cell, balance in self._cells.items()
            if balance.callers
        }
