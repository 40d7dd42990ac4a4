"""Placement request: all that the choice of an endpoint depends on.

A gateway places it itself or sends it to the service's coordinator.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.policy.cells import Cell


if TYPE_CHECKING:
    from shallotroad.policy.placement import RequestProfile


class PlacementRequest(NamedTuple):
    """A request that needs an endpoint; times are monotonic times of this process.

    Parameters
    ----------
    service : str
        Service whose endpoints may serve it.
    profile : RequestProfile
        Properties of the request on which an engine's cost depends.
    tier, route_tier : int
        Tier of the team (the route's, if the team has none) and of the route, which
        is the configured handling of a host and path prefix. 0 is the most urgent; the
        route's tier orders requests of equal ``tier``.
    arrival_s, objective_s : float
        Time of arrival, and time by which its first event is due: the arrival plus
        ``Route.objective_ms``. A complete response without a stream counts as its first
        event.
    end_s : float
        Time by which the caller must have the complete response: the earlier of the
        route's timeout and ``deadline_s``.
    deadline_s : float
        Deadline that the caller states, or the route's timeout if it states none. It
        may be later than ``end_s``. The ``Retry-After`` of a refusal is a fraction of
        the time left until it, so that a retry can still be served in time.
    last_start_s : float
        Latest time until which it may wait for an endpoint.
    streams : bool
        Whether the response is an event stream.
    gap_sensitive_tokens : int
        Expected tokens of the answer if it is a gap-sensitive stream, that is, any
        stream that is not ``profile.gap_tolerant``, also without an event gap limit; 0
        otherwise.
    excluded : frozenset of str
        Endpoints on which it must not be placed.
    regions : frozenset of str
        Regions whose data centres may run it. Empty allows all, and a set of only the
        empty name allows none.
    expected_tokens : int
        Expected tokens of the answer; 1 if the caller states none.
    cell_name : str
        Cell of the service on whose engines it is placed; empty for all of them.
    refusable : bool
        Whether it may be refused as soon as its first event can't be in time. False
        if it may have run already, so that a refusal would lose what was done.
    spare_attempts : int
        Number of attempts that may follow one that fails although it may have run.
    runs_once : bool
        Whether its route allows a single attempt that may run, so that the request is
        lost if its endpoint fails it. It has not been run before.
    team, route : str
        Names of the team and the route. An empty team stands for all callers without
        one, and without a route the caller's return is not recognised.
    software_version : str or None
        Version of the software of the endpoints that may resume its stream; None if any
        version may serve it.
    waits_since_s : float
        Time from which the limit of the prefill debt grows for this request, if that is
        earlier than its arrival. Only the gateway that places it sets it.
    """

    service: str
    profile: RequestProfile
    tier: int
    route_tier: int
    arrival_s: float
    objective_s: float
    end_s: float
    deadline_s: float
    last_start_s: float
    streams: bool
    gap_sensitive_tokens: int
    excluded: frozenset[str]
    regions: frozenset[str]
    expected_tokens: int = 1
    refusable: bool = False
    cell_name: str = ""
    spare_attempts: int = 0
    runs_once: bool = False
    team: str = ""
    route: str = ""
    software_version: str | None = None
    waits_since_s: float = math.inf

    def priority(self, now_s: float) -> tuple[int, int, bool, float]:
        """Return the sort key among queued requests; the lowest is placed first.

        Requests are ordered by the team's tier, the route's tier and the objective.
        Within the tiers, a request past its objective comes after all that can
        still meet theirs.
        """
        late = now_s > self.objective_s
        return (self.tier, self.route_tier, late, self.objective_s)

    @property
    def cell(self) -> Cell:
        """Cell on whose endpoints the request is placed."""
        return Cell(self.service, self.cell_name)

    @property
    def own_part(self) -> str:
        """The part of its prompt that only it or its session has; empty if unknown.

        A caller's retry of a refused request has the same one.
        """
        parts = self.profile.parts
        return parts[-1].identifier if parts else ""

    @property
    def objective_ms(self) -> float:
        """Time from the arrival to the objective, in milliseconds."""
        return (self.objective_s - self.arrival_s) * 1000.0
