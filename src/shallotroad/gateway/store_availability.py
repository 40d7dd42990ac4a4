"""When the store was available, as far as this gateway and its peers know.

A gateway that can't reach the store can't tell whether the store is away, or only its
own way to it is cut. A peer that read the store meanwhile can. The difference matters
for registrations that are gone afterwards: they lapse while the store is away for the
endpoints too, and such an endpoint is to be kept until it registers again. Otherwise
the endpoint has left.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Sequence

# No registration lapses in a shorter outage: an endpoint has to miss three heartbeats,
# of which the first may be due when the outage begins.
MIN_LAPSE_OUTAGE_S = 2.0
# Longest age that peers are told.
MAX_AGE_S = 3_600.0


class AvailabilityAges(NamedTuple):
    """A span in which the store was available, as peers are told of it.

    Parameters
    ----------
    until_age_s : float
        Time since the end of the span.
    since_age_s : float
        Time since its begin.
    """

    until_age_s: float
    since_age_s: float

    @classmethod
    def from_row(cls, row: Sequence[Any]) -> AvailabilityAges:
        """Return the ages of the two fields that a peer sent.

        Raises
        ------
        TypeError, ValueError
            When they are not two times, the first of which is the shorter one.
        """
        until_age_s, since_age_s = row
        if not 0 <= float(until_age_s) <= float(since_age_s) < math.inf:
            raise ValueError(f"store availability {until_age_s!r}, {since_age_s!r}")
        return cls(float(until_age_s), float(since_age_s))


class StoreAvailability:
    """The latest span of time in which the store is known to have been available.

    Attributes
    ----------
    since_s, until_s : float
        Begin and end of the span, monotonic time in seconds.
    """

    def __init__(self) -> None:
        self.since_s = -math.inf
        self.until_s = -math.inf

    def record(self, since_s: float, until_s: float) -> None:
        """Take over a span in which the store was available.

        It extends the known one if the time between them is shorter than
        ``MIN_LAPSE_OUTAGE_S``. Otherwise the later one is kept.
        """
        if until_s < self.since_s - MIN_LAPSE_OUTAGE_S:
            return
        if since_s > self.until_s + MIN_LAPSE_OUTAGE_S:
            self.since_s, self.until_s = since_s, until_s
        else:
            self.since_s = min(self.since_s, since_s)
            self.until_s = max(self.until_s, until_s)

    def ages(self, now_s: float) -> AvailabilityAges | None:
        """Return the span as ages; None before the store was first available.

        They are at most ``MAX_AGE_S``.
        """
        if self.until_s == -math.inf:
            return None
        until_age_s = min(MAX_AGE_S, max(0.0, now_s - self.until_s))
        since_age_s = min(MAX_AGE_S, now_s - self.since_s)
        return AvailabilityAges(until_age_s, max(until_age_s, since_age_s))

    def restart(self, now_s: float) -> None:
        """Begin a new span: the store has lost what it knew before."""
        self.since_s = self.until_s = now_s
