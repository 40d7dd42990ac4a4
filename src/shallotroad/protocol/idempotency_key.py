"""Signed idempotency keys that name the one agent incarnation that may run.

A key is issued by an entry before the call. Every re-send carries it, so each
entry offers the call to the same incarnation, whose memory holds the record.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
import json
import secrets
from typing import NamedTuple

from shallotroad.exceptions import ShallotroadError


NONCE_BYTES = 12
MAC_BYTES = 16
LIFETIME_S = 3600.0


class KeyInvalidError(ShallotroadError):
    """The key was not issued by this fleet, or not for this team."""


class IdempotencyKey(NamedTuple):
    """What a key binds.

    ``owner`` and ``incarnation`` name the agent that may run the call;
    ``expires_at_s`` is wall-clock time in seconds since the epoch.
    """

    nonce: str
    team: str
    target: str
    owner: str
    incarnation: str
    expires_at_s: float


def _mac(payload: bytes, secret: str) -> bytes:
    digest = hmac.new(secret.encode(), payload, hashlib.sha256).digest()
    return digest[:MAC_BYTES]


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)


def issue_key(
    *, team: str, target: str, owner: str, incarnation: str, now_s: float, secret: str
) -> str:
    """Issue a key for one call that must run at most once.

    Parameters
    ----------
    team, target : str
        Who may use it and for which service.
    owner, incarnation : str
        The only agent process that may run the call.
    now_s : float
        Wall-clock time in seconds since the epoch.
    secret : str
        Secret shared by the fleet.
    """
    nonce = secrets.token_urlsafe(NONCE_BYTES)
    key = IdempotencyKey(nonce, team, target, owner, incarnation, now_s + LIFETIME_S)
    payload = json.dumps(list(key), separators=(",", ":")).encode()
    return f"{_encode(payload)}.{_encode(_mac(payload, secret))}"


def verify_key(text: str, *, secret: str) -> IdempotencyKey:
    """Check the signature of a key and return what it binds.

    Raises
    ------
    KeyInvalidError
        When the key is malformed or was signed with another secret.
    """
    try:
        first, second = text.split(".")
        payload = _decode(first)
        mac = _decode(second)
        if not hmac.compare_digest(mac, _mac(payload, secret)):
            raise ValueError
        return IdempotencyKey(*json.loads(payload))
    except (ValueError, TypeError):
        message = "this Idempotency-Key was not issued here; ask for a new one"
        raise KeyInvalidError(message) from None
