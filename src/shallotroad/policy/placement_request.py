"""What the placement of a request depends on, wherever it is decided."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from shallotroad.policy.placement import RequestProfile


class PlacementRequest(NamedTuple):
    """A request that needs an endpoint; times are monotonic, of this process.

    Parameters
    ----------
    service : str
        Whose endpoints may serve it.
    tier, route_tier : int
        Priority of the team and of the route; 0 is the most urgent.
    arrival_s, objective_s : float
        When it came, and when its first event is due.
    end_s, deadline_s : float
        When the caller must have a final answer, and when it leaves.
    last_start_s : float
        Until when it may wait for an endpoint.
    streams : bool
        Whether the answer is a series of events.
    gap_sensitive_tokens : int
        Expected tokens of the answer where its stream bears only short
        pauses; 0 otherwise.
    excluded : frozenset of str
        Endpoints that must not take it.
    regions : frozenset of str
        Regions that may run it; empty allows all.
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

    def priority(self, now_s: float) -> tuple[int, int, bool, float]:
        """Order among waiting work: the team's tier, the route's, the objective.

        What is past its objective is worth less than what can still make it.
        """
        late = now_s > self.objective_s
        return (self.tier, self.route_tier, late, self.objective_s)

    @property
    def objective_ms(self) -> float:
        """Time from the arrival to the objective."""
        return (self.objective_s - self.arrival_s) * 1000.0
