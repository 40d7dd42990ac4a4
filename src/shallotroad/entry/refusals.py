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


# Refusals after which the request was certainly not run:
# ``BUSY``: the endpoint is down or unreachable.
# ``SHED``: the request was dropped from the agent's full queue.
# ``DEADLINE``: it can't start, or did not start, within its wait budget.
# ``CLOSED``: the configuration takes the endpoint out of service.
# ``LEAVING``: the endpoint is draining.
# ``BEHIND``: the agent's configuration is older than the entry's.
# ``NOT_SERVED``: the endpoint does not serve the model or service.
# ``NOT_ALLOWED``: the agent's configuration does not have the team, or does not allow
# it in the agent's data centre; an agent elsewhere may accept it.
# ``POISON``: the request has crashed endpoints too often.
# ``CANCELLED``: the attempt was cancelled before it started.
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
# Refusals due to the idempotency key. An earlier send of the call may have run.
# ``WRONG_INCARNATION``: the key belongs to another agent, or to this one before a
# restart. "Home" in the code for the caller is the owner of the key.
# ``KEY_EXPIRED``: the key is missing, invalid or expired, the response is no longer
# kept, or the agent can't record more keys.
# ``KEY_REUSED``: the key was issued or used for another call.
UNKNOWN_OUTCOME_MAPPINGS = {
    peer_pb2.WRONG_INCARNATION: RefusalMapping(409, "home_restarted", False),
    peer_pb2.KEY_EXPIRED: RefusalMapping(409, "key_expired", False),
    peer_pb2.KEY_REUSED: RefusalMapping(422, "key_reused", False),
}
# ``BEHIND`` for a call with an idempotency key: only the owner of the key may run the
# call, and the owner does not record this refusal, so the outcome is unknown.
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
