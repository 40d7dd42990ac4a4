"""Idempotency keys of offers: what an agent may run for them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from shallotroad.agent import records as rec
from shallotroad.agent.exceptions import OfferRefusedError
from shallotroad.protocol import peer_pb2
from shallotroad.protocol.idempotency_key import KeyInvalidError
from shallotroad.protocol.idempotency_key import verify_key


if TYPE_CHECKING:
    from shallotroad.protocol.idempotency_key import IdempotencyKey
    from shallotroad.protocol.peer_pb2 import Offer

REASONS: dict[type[Exception], peer_pb2.RefusalReason] = {
    rec.WrongOwnerError: peer_pb2.WRONG_INCARNATION,
    rec.KeyReusedError: peer_pb2.KEY_REUSED,
    rec.KeyExpiredError: peer_pb2.KEY_EXPIRED,
    rec.RecordsFullError: peer_pb2.KEY_EXPIRED,
}
RECORD_ERRORS = tuple(REASONS)


def _refusal(error: Exception) -> OfferRefusedError:
    return OfferRefusedError(reason=REASONS[type(error)], detail=str(error))


class OfferIdempotency:
    """The records of one agent incarnation, in terms of offers.

    Parameters
    ----------
    owner, incarnation : str
        Who this agent is.
    fleet_key : str
        Secret that signs the keys.
    """

    def __init__(self, *, owner: str, incarnation: str, fleet_key: str) -> None:
        self.records = rec.IdempotencyRecords(owner=owner, incarnation=incarnation)
        self._fleet_key = fleet_key

    def read(self, offer: Offer) -> IdempotencyKey | None:
        """Return the checked key of an offer; None when it needs none.

        Raises
        ------
        OfferRefusedError
            When the key is missing, malformed or for another call.
        """
        if not offer.idempotency_key:
            if offer.repeatable:
                return None
            raise OfferRefusedError(
                reason=peer_pb2.KEY_EXPIRED, detail="an idempotency key is needed"
            )
        try:
            key = verify_key(offer.idempotency_key, secret=self._fleet_key)
        except KeyInvalidError as error:
            raise OfferRefusedError(
                reason=peer_pb2.KEY_EXPIRED, detail=str(error)
            ) from None
        if (key.team, key.target) != (offer.team, offer.target):
            raise OfferRefusedError(
                reason=peer_pb2.KEY_REUSED, detail="the key is for another call"
            )
        return key

    def find(self, offer: Offer, key: IdempotencyKey) -> str | None:
        """Return the attempt that a key was admitted as, or None.

        Raises
        ------
        OfferRefusedError
            When nothing may be run for the key.
        """
        try:
            return self.records.find(key, digest=offer.body_digest, wall_s=time.time())
        except RECORD_ERRORS as error:
            raise _refusal(error) from None

    def admit(self, offer: Offer, key: IdempotencyKey) -> None:
        """Record that an offer is admitted, before anything of it runs.

        Raises
        ------
        OfferRefusedError
            When no record can be kept.
        """
        try:
            self.records.admit(key, attempt=offer.attempt, digest=offer.body_digest)
        except RECORD_ERRORS as error:
            raise _refusal(error) from None

    def refuse(
        self, offer: Offer, key: IdempotencyKey, error: OfferRefusedError
    ) -> None:
        """Refuse a key for good, unless the agent only lacks configuration.

        Raises
        ------
        OfferRefusedError
            When the refusal can't be kept, so that it must not be told.
        """
        if error.reason == peer_pb2.BEHIND:
            return
        try:
            self.records.refuse(key, digest=offer.body_digest, refusal=error)
        except RECORD_ERRORS as full:
            raise _refusal(full) from None

    def sweep(self) -> None:
        """Drop the records of expired keys."""
        self.records.sweep(wall_s=time.time())
