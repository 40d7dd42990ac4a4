"""Endpoints that a request may use in one round of placements, and their room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.policy.failing_endpoints import avoid_open_circuits
from shallotroad.policy.placement import EngineView
from shallotroad.policy.placement import view_engine


if TYPE_CHECKING:
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.policy.cells import Cell
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement_request import PlacementRequest

# Maximum prefill backlog of an engine: the expected time to prefill the prompts that
# wait there, plus the lateness of an overdue first event; 0 once no request awaits its
# first event. Prompts beyond the limit stay in this queue, where more urgent requests
# can overtake them.
MAX_BACKLOG_MS = 350.0
# The limit MAX_PREFILL_DEBT_MS rises by this many ms per ms since the request arrived
# (earlier attempts included), so that no prompt waits long for an engine with little
# debt.
PREFILL_DEBT_GROWTH = 0.6
# A gap-tolerant prompt is not placed on a shared engine with more prefill debt than
# this. Prefill debt is the prefill time placed on an engine beyond its prefill share of
# the time that passed (EndpointLoad.debt_ms); unlike the backlog, it does not end with
# the first events.
MAX_PREFILL_DEBT_MS = 400.0
# The backlog limit is at most this share of the request's objective; with a longer
# backlog, another engine or further queueing gives an earlier first event.
MAX_BACKLOG_OBJECTIVE_SHARE = 0.8
# After this share of its objective, a gap-tolerant request may use a reserved engine.
RESERVED_AFTER_OBJECTIVE_SHARE = 0.6
# A gap-tolerant prompt goes to a reserved engine only if at most this many requests are
# in flight there, because its prefill stalls their streams.
MAX_RUNNING_ON_RESERVED = 6


class PlacementRound:
    """Snapshots of endpoint loads at one time, shared by the placements of a dispatch.

    An ``EngineView`` holds the load of one endpoint, with or without an engine. Views
    are computed once per cell and refreshed for an endpoint that was given a
    request. ``Admission.submit`` uses a round for its one request.
    """

    def __init__(self, *, endpoint_registry: EndpointRegistry, now_s: float) -> None:
        self._endpoint_registry = endpoint_registry
        self.now_s = now_s
        self._views: dict[Cell, list[EngineView]] = {}
        self._reserved: dict[Cell, frozenset[str]] = {}
        self._with_open_circuits: set[Cell] = set()

    def _cell_views(self, cell: Cell) -> list[EngineView]:
        """Return the views of the endpoints of a cell that are not draining."""
        views = self._views.get(cell)
        if views is None:
            reserved = self._reserved[cell] = (
                self._endpoint_registry.reserved_endpoints(cell)
            )
            views = self._views[cell] = [
                view_engine(load, reserved, self.now_s)
                for load in self._endpoint_registry.active_loads(cell)
            ]
            if not all(view.load.circuit.is_closed for view in views):
                self._with_open_circuits.add(cell)
        return views

    def usable_views(self, request: PlacementRequest) -> list[EngineView]:
        """Return the views of the endpoints that may serve a request.

        Endpoints that are avoided after a connection failure are left out, unless
        no other endpoint may serve the request. So are those with open circuits, as
        ``avoid_open_circuits`` says. The list is empty for a request that is held
        because its whole service fails.
        """
        if self._endpoint_registry.holds(request, self.now_s):
            return []
        allows = self._endpoint_registry.filter_for(request, self.now_s)
        allowed = [view for view in self._cell_views(request.cell) if allows(view.load)]
        reachable = [v for v in allowed if v.load.avoided_until_s <= self.now_s]
        usable = reachable or allowed
        if request.cell not in self._with_open_circuits:
            return usable
        waited_ms = (self.now_s - request.arrival_s) * 1000
        return avoid_open_circuits(
            usable,
            repeatable=request.spare_attempts > 0,
            waited_share=waited_ms / max(1.0, request.objective_ms),
            now_s=self.now_s,
            has_room=lambda view: (
                view.running < view.load.record.slots
                and has_room(request, view, self.now_s)
            ),
        )

    def refresh(self, cell: Cell, load: EndpointLoad) -> None:
        """Recompute the view of an endpoint that was given a request."""
        self._views[cell] = [
            view_engine(load, self._reserved[cell], self.now_s)
            if view.load is load
            else view
            for view in self._views.get(cell, ())
        ]


def has_room(request: PlacementRequest, view: EngineView, now_s: float) -> bool:
    """Return whether an engine may be sent the prompt of a request now.

    A gap-tolerant request may use a reserved engine only after
    ``RESERVED_AFTER_OBJECTIVE_SHARE`` of its objective, and only if that engine
    has no backlog, no prefill debt and at most ``MAX_RUNNING_ON_RESERVED`` requests in
    flight. On a
    shared engine its prefill debt is limited as well as the backlog.
    """
    waited_ms = (now_s - request.arrival_s) * 1000
    # What waits behind it may already use an engine with this much debt.
    debt_waited_ms = (now_s - min(request.arrival_s, request.waits_since_s)) * 1000
    gap_tolerant = request.profile.gap_tolerant
    if gap_tolerant and view.reserved:
        late = waited_ms > RESERVED_AFTER_OBJECTIVE_SHARE * request.objective_ms
        idle = view.backlog_ms <= 0 and view.debt_ms <= 0
        return late and idle and view.running <= MAX_RUNNING_ON_RESERVED
    if (
        gap_tolerant
        and view.debt_ms > MAX_PREFILL_DEBT_MS + PREFILL_DEBT_GROWTH * debt_waited_ms
    ):
        return False
    limit_ms = min(MAX_BACKLOG_MS, MAX_BACKLOG_OBJECTIVE_SHARE * request.objective_ms)
    return view.backlog_ms <= limit_ms
