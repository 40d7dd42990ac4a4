"""Checks the idempotency keys of offers and records what became of them.

It translates the errors of keys and records to refusals of offers, so that a
call that must not be repeated runs at most once.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from shallotroad.agent import records as idempotency_records
from shallotroad.agent.exceptions import OfferRefusedError
from shallotroad.protocol import peer_pb2
from shallotroad.protocol.idempotency_key import KeyInvalidError
from shallotroad.protocol.idempotency_key import verify_key


if TYPE_CHECKING:
    from shallotroad.protocol.idempotency_key import IdempotencyKey
    from shallotroad.protocol.peer_pb2 import Offer

# Reasons sent for the errors of idempotency records. RecordsFullError has no reason of
# its own; its detail tells it from an expired key.
REFUSAL_REASONS: dict[type[Exception], peer_pb2.RefusalReason] = {
    idempotency_records.WrongOwnerError: peer_pb2.WRONG_INCARNATION,
    idempotency_records.KeyReusedError: peer_pb2.KEY_REUSED,
    idempotency_records.KeyExpiredError: peer_pb2.KEY_EXPIRED,
    idempotency_records.RecordsFullError: peer_pb2.KEY_EXPIRED,
}
RECORD_ERRORS = tuple(REFUSAL_REASONS)


def _as_refusal(error: Exception) -> OfferRefusedError:
    return OfferRefusedError(reason=REFUSAL_REASONS[type(error)], detail=str(error))


class OfferIdempotency:
    """Verifies and records the idempotency keys of one agent incarnation's offers.

    Parameters
    ----------
    owner, incarnation : str
        Instance name and incarnation of this agent; other keys are refused.
    fleet_key : str
        Secret that signs the keys.
    """

    def __init__(self, *, owner: str, incarnation: str, fleet_key: str) -> None:
        self.records = idempotency_records.IdempotencyRecords(
            owner=owner, incarnation=incarnation
        )
        self._fleet_key = fleet_key

    def verified_key(self, offer: Offer) -> IdempotencyKey | None:
        """Return the verified key of an offer; None for a repeatable offer without one.

        Raises
        ------
        OfferRefusedError
            When the key is missing, invalid or for another team or target.
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
        """Return the attempt that a key was admitted as; None if there is no record.

        Raises
        ------
        OfferRefusedError
            When nothing may be run for the key, or it was refused before.
        """
        try:
            return self.records.find(key, digest=offer.body_digest, wall_s=time.time())
        except RECORD_ERRORS as error:
            raise _as_refusal(error) from None

    def admit(self, offer: Offer, key: IdempotencyKey) -> None:
        """Record that an offer is admitted, before anything of it runs.

        Raises
        ------
        OfferRefusedError
            When the maximum number of records is reached.
        """
        try:
            self.records.admit(key, attempt=offer.attempt, digest=offer.body_digest)
        except RECORD_ERRORS as error:
            raise _as_refusal(error) from None

    def refuse(
        self, offer: Offer, key: IdempotencyKey, error: OfferRefusedError
    ) -> None:
        """Record a final refusal of a key.

        A refusal with the reason ``BEHIND`` is not recorded, because the offer may
        run once the agent has newer configuration.

        Raises
        ------
        OfferRefusedError
            When the refusal can't be recorded, because there is no room for another
            record. The caller sends the raised refusal (``KEY_EXPIRED``) instead of
            ``error``, which must not be sent: it would not be repeated for later
            offers with the key.
        """
        if error.reason == peer_pb2.BEHIND:
            return
        try:
            self.records.refuse(key, digest=offer.body_digest, refusal=error)
        except RECORD_ERRORS as record_error:
            raise _as_refusal(record_error) from None

    def evict_expired(self) -> None:
        """Remove the records of expired keys."""
        self.records.evict_expired(wall_s=time.time())
