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
    """Where an agent's endpoint runs and what it serves.

    ``instance`` and ``data_centre`` are names. ``serves`` are the targets of the
    endpoint; a target is the name of a model or service that requests ask for.
    """

    instance: str
    data_centre: str
    serves: tuple[str, ...]


def check_offer(
    offer: Offer, *, fleet: FleetConfig | None, identity: AgentIdentity
) -> None:
    """Check that an offer may run at this endpoint.

    Parameters
    ----------
    offer : Offer
        The offer; its ``target`` names the model or service that it asks for.
    fleet : FleetConfig or None
        Accepted configuration; None if there is none yet.
    identity : AgentIdentity
        Instance, data centre and served targets of the endpoint.

    Raises
    ------
    OfferRefusedError
        ``BEHIND`` without a configuration or with one older than the offer's
        revision, ``CLOSED`` when the endpoint is taken out of service,
        ``NOT_ALLOWED`` when the team is unknown or not allowed in the data centre,
        and ``NOT_SERVED`` when the endpoint does not serve the target.
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
