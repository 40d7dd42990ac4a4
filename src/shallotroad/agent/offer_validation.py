"""Whether the accepted configuration lets this endpoint take an offer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.agent.exceptions import OfferRefusedError
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from shallotroad.config.fleet_config import FleetConfig
    from shallotroad.protocol.peer_pb2 import Offer


class AgentIdentity(NamedTuple):
    """What this agent stands beside."""

    instance: str
    data_centre: str
    serves: tuple[str, ...]


def check_offer(
    offer: Offer, *, fleet: FleetConfig | None, identity: AgentIdentity
) -> None:
    """Check an offer against the configuration that this agent has accepted.

    Raises
    ------
    OfferRefusedError
        When the offer must not run here now.
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
