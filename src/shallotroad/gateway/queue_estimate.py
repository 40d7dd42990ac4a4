"""Forecast of the time that a request waits in the queue of a cell."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from shallotroad.policy.engine_model import NOMINAL_MODEL


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.return_places import ReturnPlace


class QueueEstimate:
    """Expected wait in the queue for the engines of a cell.

    Parameters
    ----------
    loads : sequence of EndpointLoad
        The engines that serve the queue.
    promised : sequence of ReturnPlace
        Places of callers that are to return, the earliest first.
    """

    def __init__(
        self,
        *,
        loads: Sequence[EndpointLoad],
        now_s: float,
        promised: Sequence[ReturnPlace] = (),
    ) -> None:
        self._now_s = now_s
        # Places by the tiers of their callers, each in the order of their times.
        self._promised: dict[tuple[int, int], deque[ReturnPlace]] = {}
        for place in promised:
            self.add_promised(place)
        self._share_sum = sum(load.prefill_share for load in loads)
        self._slowness = sum(load.slowness for load in loads) / max(1, len(loads))
        self._share = self._share_sum / max(1, len(loads))
        self._work_ms = sum(load.backlog_ms(now_s) for load in loads)
        self._overhead_ms = (
            loads[0].model if loads else NOMINAL_MODEL
        ).first_event_overhead_ms

    def add(self, prefill_ms: float) -> None:
        """Add a queued prompt, whose prefill takes this long at slowness 1."""
        self._work_ms += prefill_ms * self._slowness

    def add_promised(self, place: ReturnPlace) -> None:
        """Add a place that was promised now."""
        self._promised.setdefault(place.tiers, deque()).append(place)

    def add_due_places(self, tiers: tuple[int, int]) -> None:
        """Add the work of places that come before a request of these tiers.

        These are the places of its tiers or more urgent ones that are due before the
        engines have prefilled what waits for them so far.
        """
        if not self._promised or not self._share_sum:
            return
        for place_tiers, places in self._promised.items():
            if place_tiers > tiers:
                continue
            while places and places[0].due_s <= self._now_s + self.wait_s:
                self.add(places.popleft().work_ms)

    def engine_ms(self, time_s: float) -> float:
        """Return the prefill time at slowness 1 that the engines have in a time."""
        return time_s * 1000.0 * self._share_sum / max(0.001, self._slowness)

    @property
    def wait_s(self) -> float:
        """Time until the engines have prefilled what waits for them so far."""
        if not self._share_sum:
            return 0.0
        return self._work_ms / self._share_sum / 1000.0

    def prefill_s(self, prefill_ms: float) -> float:
        """Return the time from the start of a prompt to its first event."""
        if not self._share:
            return 0.0
        engine_ms = prefill_ms * self._slowness / self._share
        return (engine_ms + self._overhead_ms) / 1000.0
