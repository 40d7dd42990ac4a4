"""Validation of offers against the accepted fleet configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.agent.exceptions import OfferRefusedError
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from shallotroad.config.fleet_config import FleetConfig
    from shallotroad.protocol.peer_pb2 import Offer


class AgentIdentity(NamedTuple):
    """Instance, data centre and served targets of the endpoint of an agent."""

    instance: str
    data_centre: str
    serves: tuple[str, ...]


def check_offer(
    offer: Offer, *, fleet: FleetConfig | None, identity: AgentIdentity
) -> None:
    """Check that an offer may run at this endpoint.

    The agent must have at least the configuration revision of the offer, the endpoint
    must be open and serve the target, and the team must be allowed in its data centre.

    Raises
    ------
    OfferRefusedError
        When one of these conditions does not hold.
    """
    if fleet is None or offer.revision > fleet.revision:
        raise OfferRefusedError(
            reason=peer_pb2.BEHIND,
            detail="the agent's configuration is behind the entry's",
            retry_after_s=0.5,
        )
    if fleet.is_closed(instance=identity.instance, data_centre=identity.data_centre):
        raise OfferRefusedError(
            reason=peer_pb2.CLOSED, detail="the endpoint is taken out of service"
        )
    team = fleet.teams.get(offer.team)
    if team is None:
        raise OfferRefusedError(
            reason=peer_pb2.NOT_ALLOWED, detail=f"team {offer.team!r} is unknown"
        )
    if identity.data_centre not in team.data_centres:
        raise OfferRefusedError(
            reason=peer_pb2.NOT_ALLOWED,
            detail=f"team {offer.team!r} may not use {identity.data_centre!r}",
        )
    if offer.target not in identity.serves:
        raise OfferRefusedError(
            reason=peer_pb2.NOT_SERVED,
            detail=f"{offer.target!r} is not served here",
        )
