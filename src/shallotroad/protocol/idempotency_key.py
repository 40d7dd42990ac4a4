"""Signed idempotency keys, each bound to the one agent that may run the call.

An entry issues the key before the call, and every retry carries it. Any entry can
verify it and offers the call to the same incarnation of the same agent, which
keeps the record of the call in memory. The key is the base64 of a JSON payload
and of its truncated HMAC-SHA256 under the secret of the fleet.
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
KEY_LIFETIME_S = 3600.0


class KeyInvalidError(ShallotroadError):
    """The key is malformed or its signature is not from this fleet."""


class IdempotencyKey(NamedTuple):
    """Payload of a key.

    ``nonce`` identifies the call, ``team`` and ``target`` the only caller and
    service that the key is valid for, and ``owner`` and ``incarnation`` the agent
    process that may run it: the agent's name, and a random text that the process
    creates when it starts. ``expires_at_s`` is in seconds since the epoch. The order
    of the fields is the order in the signed payload.
    """

    nonce: str
    team: str
    target: str
    owner: str
    incarnation: str
    expires_at_s: float


def _compute_mac(payload: bytes, secret: str) -> bytes:
    digest = hmac.new(secret.encode(), payload, hashlib.sha256).digest()
    return digest[:MAC_BYTES]


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)


def issue_key(
    *, team: str, target: str, owner: str, incarnation: str, now_s: float, secret: str
) -> str:
    """Return a new key for one call that must run at most once.

    Parameters
    ----------
    team, target : str
        Team and service that the key is valid for.
    owner, incarnation : str
        Agent and its incarnation that may run the call.
    now_s : float
        Wall-clock time in seconds since the epoch.
    secret : str
        Secret shared by the fleet.
    """
    nonce = secrets.token_urlsafe(NONCE_BYTES)
    key = IdempotencyKey(
        nonce, team, target, owner, incarnation, now_s + KEY_LIFETIME_S
    )
    payload = json.dumps(list(key), separators=(",", ":")).encode()
    return f"{_encode_base64(payload)}.{_encode_base64(_compute_mac(payload, secret))}"


def verify_key(text: str, *, secret: str) -> IdempotencyKey:
    """Check the signature of a key and return its payload.

    The expiry time, team, target and owner are left to the caller to check.

    Raises
    ------
    KeyInvalidError
        When the key is malformed or signed with another secret.
    """
    try:
        encoded_payload, encoded_mac = text.split(".")
        payload = _decode_base64(encoded_payload)
        mac = _decode_base64(encoded_mac)
        if not hmac.compare_digest(mac, _compute_mac(payload, secret)):
            raise ValueError
        return IdempotencyKey(*json.loads(payload))
    except (ValueError, TypeError):
        message = "this Idempotency-Key was not issued here; ask for a new one"
        raise KeyInvalidError(message) from None
