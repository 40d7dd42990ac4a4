"""Conversion of configuration deltas to and from protobuf messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.config.versioned_config import Delta
from shallotroad.protocol.peer_pb2 import ConfigDelta


if TYPE_CHECKING:
    from shallotroad.config.versioned_config import VersionedConfig
    from shallotroad.protocol.peer_pb2 import PullRequest


def encode_delta(delta: Delta | None) -> ConfigDelta:
    """Return the message for a delta; None becomes a message with revision 0."""
    if delta is None:
        return ConfigDelta()
    return ConfigDelta(
        base=delta.base,
        revision=delta.revision,
        changed=delta.changed,
        removed=delta.removed,
    )


def handle_pull(config: VersionedConfig, request: PullRequest) -> ConfigDelta:
    """Return the response to a peer that pulls the configuration.

    With ``revision_only`` it contains the accepted revision, 0 for none, and no values.
    Otherwise it is the delta since the peer's revision; its revision is 0 when the
    peer is not behind. The rate limit of full deltas does not apply; it applies to
    requests within a session (``VersionedConfig.rate_limited_delta``).
    """
    if request.revision_only:
        return ConfigDelta(revision=config.revision)
    return encode_delta(config.delta_since(request.since))


def decode_delta(message: ConfigDelta) -> Delta:
    """Return the delta that a message contains.

    A message with revision 0 yields a delta with revision 0, which
    ``VersionedConfig.apply`` ignores.
    """
    return Delta(
        base=message.base,
        revision=message.revision,
        changed=dict(message.changed),
        removed=tuple(message.removed),
    )
