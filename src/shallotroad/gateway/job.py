"""One request of a caller on its way through the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.catalog.configuration import RouteKind
from shallotroad.policy.placement import RequestProfile
from shallotroad.policy.placement import decode_stall_threshold_tokens
from shallotroad.policy.placement_request import PlacementRequest


if TYPE_CHECKING:
    from shallotroad.catalog.configuration import Route
    from shallotroad.catalog.configuration import Service
    from shallotroad.catalog.configuration import Team
    from shallotroad.platform.headers import CallerRequest


LAST_START_SHARE = 0.5  # of the time left; the other half is for the answer
MIN_CALLER_TIMEOUT_S = 2.0  # after which callers leave a stream, by the protocol:
CALLER_TIMEOUT_OBJECTIVES = 4.0  # the longest of this, so many objectives
CALLER_TIMEOUT_EVENT_GAPS = 8.0  # and so many of the route's longest pauses
WAIT_SHARE = 0.8  # of that silence; the rest is for the prompt

NOWHERE = frozenset({""})  # regions of a route and a team that share none


class Job:
    """A request with its route, team and times; all times are monotonic."""

    def __init__(
        self,
        *,
        request: CallerRequest,
        body: bytes,
        route: Route,
        service: Service,
        team: Team | None,
        data_centre: str,
        arrival_s: float,
        version: int,
        gap_tolerant: bool,
        shortest_pause_ms: float = 0.0,
    ) -> None:
        self.request = request
        self.body = body
        self.route = route
        self.service = service
        self.team = team
        self.version = version
        self.gap_tolerant = gap_tolerant
        self.arrival_s = arrival_s
        limit_ms = route.timeout_ms
        self.timeout_s = arrival_s + limit_ms / 1000
        deadline_ms = request.deadline_ms if request.deadline_ms else limit_ms
        self.deadline_s = arrival_s + deadline_ms / 1000
        self.tier = route.tier
        if team is not None and team.tier is not None:
            self.tier = team.tier
        self.profile = RequestProfile(
            data_centre=data_centre,
            parts=request.prompt_parts,
            prompt_tokens=request.prompt_tokens,
            body_bytes=len(body),
            gap_tolerant=gap_tolerant,
            long_prompt=self._is_long_prompt(shortest_pause_ms),
        )
        self.excluded: set[str] = set()
        self.attempts: list[str] = []
        self.choices: list[dict[str, object]] = []
        self.runs = 0
        self.waited_ms = 0.0

    def _is_long_prompt(self, shortest_pause_ms: float) -> bool:
        """Return whether reading its prompt makes other streams pause too long."""
        engine = self.service.engine
        if engine is None or not shortest_pause_ms:
            return False
        limit = decode_stall_threshold_tokens(
            shortest_pause_ms, engine.tokens_per_event
        )
        return self.request.prompt_tokens > limit

    def last_start_s(self, now_s: float) -> float:
        """Return until when it may wait for an endpoint.

        Callers leave a stream that stays silent, however much time it has.
        """
        last_s = now_s + LAST_START_SHARE * (self.end_s - now_s)
        if not self.streams:
            return last_s
        caller_timeout_s = max(
            MIN_CALLER_TIMEOUT_S,
            CALLER_TIMEOUT_OBJECTIVES * self.route.objective_ms / 1000,
            CALLER_TIMEOUT_EVENT_GAPS * self.route.max_event_gap_ms / 1000,
        )
        return min(last_s, self.arrival_s + WAIT_SHARE * caller_timeout_s)

    def placement_request(
        self, now_s: float, avoided: frozenset[str] = frozenset()
    ) -> PlacementRequest:
        """Return what its placement depends on.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        avoided : frozenset of str
            Endpoints that this entry can't use, besides those that failed.
        """
        regions = self.route.regions
        if self.team is not None and self.team.regions:
            both = regions & self.team.regions or NOWHERE
            regions = both if regions else self.team.regions
        return PlacementRequest(
            service=self.service.name,
            profile=self.profile,
            tier=self.tier,
            route_tier=self.route.tier,
            arrival_s=self.arrival_s,
            objective_s=self.objective_s,
            end_s=self.end_s,
            deadline_s=self.deadline_s,
            last_start_s=self.last_start_s(now_s),
            streams=self.streams,
            gap_sensitive_tokens=self.expected_tokens if self.gap_sensitive else 0,
            excluded=frozenset(self.excluded) | avoided,
            regions=regions,
        )

    @property
    def gap_sensitive(self) -> bool:
        """Whether its stream bears only short pauses."""
        return self.streams and not self.gap_tolerant

    @property
    def expected_tokens(self) -> int:
        """Expected tokens of the answer: the caller's estimate, or half the most."""
        hint = self.request.expected_output_tokens
        return max(1, hint or self.request.max_output_tokens // 2)

    @property
    def streams(self) -> bool:
        """Whether the answer is a series of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def objective_s(self) -> float:
        """When the objective of the first event ends."""
        return self.arrival_s + self.route.objective_ms / 1000

    @property
    def end_s(self) -> float:
        """When the caller must have a final answer."""
        return min(self.timeout_s, self.deadline_s)
