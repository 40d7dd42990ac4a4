"""What an endpoint says of itself in its answers.

A statement holds for one incarnation of the endpoint, until a later one replaces it.
Gateways that pass statements on to each other keep the latest. That an endpoint leaves
is not taken back, but a statement that is wrong does harm for a bounded time only.
"""

from __future__ import annotations

import math
from typing import NamedTuple


# Higher limits are no limit, and could not be counted.
MAX_LIMIT_PER_S = 1_000_000.0
# An endpoint that still runs this long after it said that it leaves is used again.
MAX_LEAVING_S = 300.0
# An endpoint that wants nothing for longer is asked again after this time.
MAX_QUIET_S = 60.0


class EndpointStatement(NamedTuple):
    """What an endpoint has said of itself.

    Parameters
    ----------
    started_at_ms : int
        Start of the incarnation that said it, as ``EndpointRecord.started_at_ms``.
    said_s : float
        Monotonic time at which the answer arrived that said it.
    limit_per_s : float or None
        Requests a second that the endpoint takes from all gateways together; None
        without a limit.
    leaving : bool
        Whether the endpoint leaves, and takes no more requests.
    """

    started_at_ms: int
    said_s: float
    limit_per_s: float | None
    leaving: bool = False


def is_valid_limit(limit_per_s: float) -> bool:
    """Return whether a stated limit can be kept."""
    return math.isfinite(limit_per_s) and 0 <= limit_per_s <= MAX_LIMIT_PER_S
