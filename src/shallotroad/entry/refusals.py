"""Maps an agent's refusal to the error for the caller, and to whether to retry."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.entry.exceptions import NotRunError
from shallotroad.entry.exceptions import OutcomeUnknownError
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from shallotroad.exceptions import ShallotroadError


class RefusalMapping(NamedTuple):
    """HTTP status and code for the caller, and whether to try another endpoint."""

    status: int
    code: str
    retry_elsewhere: bool


REFUSAL_MAPPINGS = {
    peer_pb2.BUSY: RefusalMapping(503, "busy", True),
    peer_pb2.SHED: RefusalMapping(503, "shed", True),
    peer_pb2.DEADLINE: RefusalMapping(503, "deadline", True),
    peer_pb2.CLOSED: RefusalMapping(503, "closed", True),
    peer_pb2.LEAVING: RefusalMapping(503, "leaving", True),
    peer_pb2.BEHIND: RefusalMapping(503, "configuration_behind", True),
    peer_pb2.NOT_SERVED: RefusalMapping(503, "not_served", True),
    peer_pb2.NOT_ALLOWED: RefusalMapping(403, "not_allowed", True),
    peer_pb2.POISON: RefusalMapping(422, "poison", False),
    peer_pb2.CANCELLED: RefusalMapping(503, "cancelled", False),
}
UNKNOWN_OUTCOME_MAPPINGS = {
    peer_pb2.WRONG_INCARNATION: RefusalMapping(409, "home_restarted", False),
    peer_pb2.KEY_EXPIRED: RefusalMapping(409, "key_expired", False),
    peer_pb2.KEY_REUSED: RefusalMapping(422, "key_reused", False),
}
KEYED_BEHIND_MAPPING = RefusalMapping(503, "configuration_behind", False)


def may_run_elsewhere(refused: peer_pb2.Refused) -> bool:
    """Return whether the request may be offered to another endpoint."""
    mapping = REFUSAL_MAPPINGS.get(refused.reason)
    return mapping is not None and mapping.retry_elsewhere


def refusal_error(refused: peer_pb2.Refused, *, keyed: bool) -> ShallotroadError:
    """Return the error for the caller of a refused request.

    ``keyed`` tells whether the request has an idempotency key. The outcome is
    unknown if the refusal is due to the key, or is one that the owner of the key
    does not record: neither says whether an earlier send has run.
    """
    unknown = UNKNOWN_OUTCOME_MAPPINGS.get(refused.reason)
    if keyed and refused.reason == peer_pb2.BEHIND:
        unknown = KEYED_BEHIND_MAPPING
    if unknown is not None:
        return OutcomeUnknownError(
            code=unknown.code, detail=refused.detail, status=unknown.status
        )
    mapping = REFUSAL_MAPPINGS.get(
        refused.reason, RefusalMapping(503, "refused", False)
    )
    return NotRunError(
        status=mapping.status,
        code=mapping.code,
        detail=refused.detail,
        retry_after_s=refused.retry_after_s,
    )
