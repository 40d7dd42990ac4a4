"""State and services that the HTTP handlers of an entry share."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from shallotroad.entry.classify import authenticate
from shallotroad.entry.exceptions import NotRunError


if TYPE_CHECKING:
    from aiohttp import web

    from shallotroad.config.fleet_config import FleetConfig
    from shallotroad.config.fleet_config import Team
    from shallotroad.config.settings import EntryLimits
    from shallotroad.config.versioned_config import VersionedConfig
    from shallotroad.entry.dispatcher import Dispatcher
    from shallotroad.entry.peer_set import PeerSet
    from shallotroad.entry.request_metrics import RequestMetrics
    from shallotroad.entry.selector import Selector
    from shallotroad.entry.team_limits import TeamLimits


class EntryContext:
    """Shared objects of the handlers and the state of the entry.

    A stall is a suspension of the process, or a delay of its event loop, of more than
    ``STALL_THRESHOLD_S`` seconds; see ``observability.stall_detector``.

    ``open_requests`` counts the chat completions and service calls whose response has
    not ended; resumed responses are not counted. ``ready_at_s`` is the monotonic time
    before which requests are refused after a stall. ``draining`` is set when the entry
    stops: ``/readyz`` then responds 503, but new requests are still handled until no
    request is open. ``limits`` are those of the settings; the handlers read only
    ``slow_caller_s``. ``fleet_key`` signs the idempotency keys that the handlers issue.
    """

    def __init__(
        self,
        *,
        config: VersionedConfig,
        limits: EntryLimits,
        team_limits: TeamLimits,
        dispatcher: Dispatcher,
        selector: Selector,
        peers: PeerSet,
        request_metrics: RequestMetrics,
        fleet_key: str,
    ) -> None:
        self.config = config
        self.limits = limits
        self.team_limits = team_limits
        self.dispatcher = dispatcher
        self.selector = selector
        self.peers = peers
        self.request_metrics = request_metrics
        self.fleet_key = fleet_key
        self.open_requests = 0
        self.ready_at_s = 0.0
        self.draining = False

    def require_fleet(self) -> FleetConfig:
        """Return the accepted configuration.

        Raises
        ------
        NotRunError
            When there is none yet, or ``ready_at_s`` is not reached: after a stall the
            configuration may be outdated.
        """
        fleet = self.config.fleet
        if fleet is None or time.monotonic() < self.ready_at_s:
            raise NotRunError(
                status=503,
                code="not_ready",
                detail="this entry has no current configuration; send again",
                retry_after_s=1.0,
            )
        return fleet

    def authenticate(self, request: web.Request) -> Team:
        """Return the team of the caller's API key.

        Raises
        ------
        BadRequestError
            When the key is missing or unknown.
        NotRunError
            When there is no current configuration.
        """
        return authenticate(
            request.headers.get("Authorization", ""), self.require_fleet()
        )

    async def check_rate_limit(self, team: Team) -> None:
        """Count a request against the rate limit of its team.

        Raises
        ------
        NotRunError
            When the team has reached its limit.
        """
        wait_s = await self.team_limits.acquire(team.name, team.limits)
        if wait_s > 0:
            raise NotRunError(
                status=429,
                code="rate_limit_exceeded",
                detail="your team is over its limit of requests a second",
                retry_after_s=wait_s,
            )
