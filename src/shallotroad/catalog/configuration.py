"""Configuration that operators publish: routes, services, teams and limits.

Only ``shallotroad-gateway`` uses it. Entries and agents use ``config.fleet_config``,
which has a ``Team`` of its own.

An event gap is the time between two successive events of a stream. A route is
gap-tolerant when its streams tolerate much longer event gaps than others of the same
service, see ``Configuration.is_gap_tolerant``.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import NamedTuple


# A route is gap-tolerant if its event gap limit is at least this many times the lowest
# limit among the routes of the same service.
GAP_TOLERANT_RATIO = 2.0


class RouteKind(Enum):
    """Whether an endpoint may run a request again, and whether the response streams.

    A request of an ``IDEMPOTENT`` route may run again, one of a ``NON_IDEMPOTENT``
    route must run at most once. The response of a ``STREAM`` route is a stream of
    events, and its request may run again only if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"
    STREAM = "stream"


class Target(NamedTuple):
    """A service that a route sends to, and its weight among the route's targets."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for one host and path prefix are handled.

    Parameters
    ----------
    host : str
        Host name in lower case, without a port; it must be equal to that of the
        request, and there are no wildcards.
    timeout_ms : float
        Maximum time from the arrival until the caller has the complete response, for
        streams including their last event.
    objective_ms : float
        Latency objective, counted from the arrival; for streams, of the first event.
        It orders the queued requests of equal tiers and bounds the time of streams in
        the queue. A request may join an engine only if the engine's backlog, in
        milliseconds, is at most ``MAX_BACKLOG_OBJECTIVE_SHARE`` of the objective
        (``gateway.placement_round``).
    max_attempts : int
        Maximum number of endpoints that may run one request.
    tier : int
        Tier of the route; 0 has the highest priority, and there is no upper bound. It
        also orders the requests of teams whose own tiers are equal.
    public : bool
        Whether requests need no API key.
    regions : frozenset of str
        Regions that may run the requests; an empty set allows all. If the team has
        regions too, only those in both sets may, possibly none.
    resumable : bool
        Whether another endpoint may resume an interrupted stream.
    max_event_gap_ms : float
        Event gap limit: maximum event gap of a stream that is still on time; 0 when
        there is no limit.
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
        """Whether a request may run again when it may have run already.

        True for an idempotent route and for a resumable stream.
        """
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineCapacity(NamedTuple):
    """Capacity of each model engine of a service.

    ``event_waiters`` is decoded but not used.

    Parameters
    ----------
    batch_slots : int
        Number of requests that an engine runs at the same time.
    kv_cache_tokens : int
        Number of tokens that the KV cache holds.
    tokens_per_event : int
        Number of tokens in each event of a stream.
    """

    batch_slots: int
    kv_cache_tokens: int
    tokens_per_event: int
    event_waiters: int


class Service(NamedTuple):
    """A group of endpoints that are interchangeable.

    ``health_path``, ``max_connections`` and ``cold_start_s`` are decoded but not used:
    an endpoint's registration states how long it stays cold.

    Parameters
    ----------
    health_path : str
        Path of the health check.
    cold_start_s : float
        How long an endpoint stays cold after its start.
    cold_requests_per_s : float
        Rate of requests that one cold endpoint can run; 0 when the service has no cold
        start.
    engine : EngineCapacity or None
        Capacity of each endpoint's engine; None when the service runs no model.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float
    engine: EngineCapacity | None


def default_service(name: str) -> Service:
    """Return a service that no configuration describes.

    It has the health check path ``/``, at most 100 connections, no cold start and no
    engine.
    """
    return Service(name, "/", 100, 0.0, 0.0, None)


class Limits(NamedTuple):
    """Limits on callers' requests.

    ``header_bytes`` bounds the names and values of all headers together, and
    ``body_bytes`` the body. ``header_timeout_ms`` is how long the head of a request may
    take to arrive, and ``idle_timeout_ms`` how long a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Team(NamedTuple):
    """A team of callers.

    Parameters
    ----------
    api_keys : frozenset of str
        Its API keys in plain text.
    tier : int or None
        Overrides the tier of the route; None keeps that of the route.
    regions : frozenset of str
        Regions that may run the team's requests; an empty set allows all. They are
        combined with those of the route as described there.
    """

    name: str
    api_keys: frozenset[str]
    tier: int | None
    regions: frozenset[str]


class Configuration:
    """One published version of the configuration, indexed for lookups.

    ``version``, ``routes``, ``limits`` and ``teams`` are attributes too, as given.

    Attributes
    ----------
    services : dict of str to Service
        Services by name.
    requires_keys : bool
        Whether requests need an API key; false when the configuration has no teams.
    """

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
        """Return the lowest event gap limit of a service's streams; 0 when none."""
        return self._min_event_gap_limit_ms.get(service, 0.0)

    def is_gap_tolerant(self, route: Route, service: str) -> bool:
        """Return whether a route's event gap limit is far above the service's lowest.

        The long prompts of such routes cause event gaps in the gap-sensitive streams of
        the other routes. False when the route or the service has no limit.
        """
        min_limit_ms = self.min_event_gap_limit_ms(service)
        return (
            min_limit_ms > 0
            and route.max_event_gap_ms >= GAP_TOLERANT_RATIO * min_limit_ms
        )

    def match_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix, or None.

        Prefixes are compared by characters, not by path segments. ``host`` is in lower
        case and without the port, ``path`` without the query.
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def choose_service(self, route: Route, request_id: str) -> Service:
        """Return the service for a request, chosen by the weights of the targets.

        The choice depends on a hash of the request identifier, so that a retry gets the
        same service.
        """
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
        """Return a service; one that is not described gets default values."""
        return self.services.get(name) or default_service(name)

    def team_for_key(self, key: str) -> Team | None:
        """Return the team that an API key belongs to; None for an unknown key."""
        return self._team_by_key.get(key)
