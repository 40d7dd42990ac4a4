"""What operators publish: routes, services, teams and limits."""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import NamedTuple


GAP_TOLERANT_RATIO = 2.0  # of the shortest pause among a service's routes


class RouteKind(Enum):
    """What the back end's work allows."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that a route sends to, and its share of the route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host and path are handled.

    Parameters
    ----------
    timeout_ms : float
        Longest time that a caller is kept waiting.
    objective_ms : float
        Latency objective; for streams, up to the first event.
    max_attempts : int
        Most endpoints that may run one request.
    tier : int
        Priority of the route; 0 is the most urgent.
    public : bool
        Whether requests need no API key.
    regions : frozenset of str
        Regions that may run the requests; empty allows all.
    resumable : bool
        Whether another endpoint may continue a broken stream.
    max_event_gap_ms : float
        Longest pause between two events of a stream that is still on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    objective_ms: float
    max_attempts: int
    tier: int
    targets: tuple[Target, ...]
    public: bool
    regions: frozenset[str]
    resumable: bool
    max_event_gap_ms: float

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after an unknown outcome."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineCapacity(NamedTuple):
    """Static capacity of a service's model engines."""

    batch_slots: int
    kv_cache_tokens: int
    tokens_per_event: int
    event_waiters: int


class Service(NamedTuple):
    """A group of equal endpoints.

    ``cold_requests_per_s`` is what one endpoint bears while it is cold; 0
    means that the service has no cold start.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float
    engine: EngineCapacity | None


def plain_service(name: str) -> Service:
    """Return a service of which only the name is known."""
    return Service(name, "/", 100, 0.0, 0.0, None)


class Limits(NamedTuple):
    """What callers may send, and how long they may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Team(NamedTuple):
    """A team of callers; ``tier`` overrides the tier of the route."""

    name: str
    api_keys: frozenset[str]
    tier: int | None
    regions: frozenset[str]


class Configuration:
    """One published version, indexed for lookups."""

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        limits: Limits,
        teams: tuple[Team, ...],
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.teams = teams
        self.requires_keys = bool(teams)
        self._team_by_key = {key: team for team in teams for key in team.api_keys}
        self._routes_by_host: dict[str, list[Route]] = {}
        self._min_event_gap_limit_ms: dict[str, float] = {}
        for route in sorted(routes, key=lambda r: -len(r.path_prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)
            self._record_event_gap_limit(route)

    def _record_event_gap_limit(self, route: Route) -> None:
        if route.kind is not RouteKind.STREAM or route.max_event_gap_ms <= 0:
            return
        for target in route.targets:
            current_ms = self._min_event_gap_limit_ms.get(
                target.service, route.max_event_gap_ms
            )
            self._min_event_gap_limit_ms[target.service] = min(
                current_ms, route.max_event_gap_ms
            )

    def min_event_gap_limit_ms(self, service: str) -> float:
        """Return the shortest pause that any stream of a service bears; 0 if none."""
        return self._min_event_gap_limit_ms.get(service, 0.0)

    def is_gap_tolerant(self, route: Route, service: str) -> bool:
        """Return whether a route's streams bear far longer pauses than others'.

        The prompts of such routes are what makes the others' streams pause.
        """
        min_limit_ms = self.min_event_gap_limit_ms(service)
        return (
            min_limit_ms > 0
            and route.max_event_gap_ms >= GAP_TOLERANT_RATIO * min_limit_ms
        )

    def match_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of a host."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def choose_service(self, route: Route, request_id: str) -> Service:
        """Return the service that a request of a route goes to, by weight."""
        total = sum(target.weight for target in route.targets)
        name = route.targets[0].service
        if len(route.targets) > 1 and total > 0:
            digest = hashlib.blake2b(request_id.encode(), digest_size=4).digest()
            point = int.from_bytes(digest, "big") / 2**32 * total
            for target in route.targets:
                if point < target.weight:
                    name = target.service
                    break
                point -= target.weight
        return self.service(name)

    def service(self, name: str) -> Service:
        """Return a service, also one that routes name and nothing describes."""
        return self.services.get(name) or plain_service(name)

    def team_for_key(self, key: str) -> Team | None:
        """Return the team that holds an API key."""
        return self._team_by_key.get(key)
