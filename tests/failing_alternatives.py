"""Other ways to treat requests that may run only once while their service fails.

Each is a patch of the code in force, so that the simulation compares them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from shallotroad.gateway.admission import Admission
from shallotroad.gateway.endpoint_registry import EndpointRegistry
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.policy.failing_endpoints import MAX_FAILING_S
from shallotroad.policy.failing_endpoints import MIN_FAILING_S
from shallotroad.policy.failing_endpoints import SENT_ONE_IN


if TYPE_CHECKING:
    import pytest

    from shallotroad.policy.placement_request import PlacementRequest

# Callers honour a third of the time that they have left.
RETRY_AFTER_SHARE = 0.33
SEND_MARGIN_S = 0.06
original_submit = Admission.submit


def send_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(EndpointRegistry, "holds", lambda *_: False)


def hold_until_objective(patch: pytest.MonkeyPatch) -> None:
    _hold(patch, to_objective=True)


def hold_until_last_start(patch: pytest.MonkeyPatch) -> None:
    _hold(patch, to_objective=False)


def _hold(patch: pytest.MonkeyPatch, *, to_objective: bool) -> None:
    def holds(self: EndpointRegistry, request: PlacementRequest, now_s: float) -> bool:
        last_s = request.last_start_s - SEND_MARGIN_S
        if to_objective:
            last_s = min(last_s, request.objective_s)
        return self.failing_s(request, now_s) > 0.0 and now_s < last_s

    patch.setattr(EndpointRegistry, "holds", holds)


def refuse_at_once(patch: pytest.MonkeyPatch) -> None:
    """Refuse each caller once, if its retry falls so late that it may be served."""
    known: set[str] = set()

    def submit(
        self: Admission, request: PlacementRequest, on_placed: Any, on_refused: Any
    ) -> Any:
        now_s = self._clock()
        rest_s = self._endpoint_registry.failing_s(request, now_s)
        if not rest_s or request.own_part in known:
            return original_submit(self, request, on_placed, on_refused)
        delay_s = min(rest_s, RETRY_AFTER_SHARE * (request.deadline_s - now_s))
        if delay_s < rest_s - (MAX_FAILING_S - MIN_FAILING_S):
            return original_submit(self, request, on_placed, on_refused)
        known.add(request.own_part)
        if len(known) % SENT_ONE_IN == 0:
            return original_submit(self, request, on_placed, on_refused)
        on_refused(RefusedError("endpoints fail", retry_after_s=delay_s))
        return None

    send_at_once(patch)
    patch.setattr(Admission, "submit", submit)
