"""What the HTTP handlers share: the caller, its limits and the dispatcher."""

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
    """State of an entry that every handler needs."""

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
        self.settled_s = 0.0
        self.leaving = False

    def fleet(self) -> FleetConfig:
        """Return the accepted configuration.

        Raises
        ------
        NotRunError
            When there is none yet, or this process has just woken up.
        """
        fleet = self.config.fleet
        if fleet is None or time.monotonic() < self.settled_s:
            raise NotRunError(
                status=503,
                code="not_ready",
                detail="this entry has no current configuration; send again",
                retry_after_s=1.0,
            )
        return fleet

    def team_of(self, request: web.Request) -> Team:
        """Return the caller's team.

        Raises
        ------
        BadRequestError
            When its key is not known.
        """
        return authenticate(request.headers.get("Authorization", ""), self.fleet())

    async def check_limit(self, team: Team) -> None:
        """Count a request against the limit of its team.

        Raises
        ------
        NotRunError
            When the team is over its limit.
        """
        wait_s = await self.team_limits.acquire(team.name, team.limits)
        if wait_s > 0:
            raise NotRunError(
                status=429,
                code="rate_limit_exceeded",
                detail="your team is over its limit of requests a second",
                retry_after_s=wait_s,
            )
