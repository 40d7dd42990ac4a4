"""Counts how often each whole request was lost in crashes since it was last answered.

A request that crashes each endpoint that runs it is lost with each of them, and never
answered. No request explains the losses of another one, so requests that crash
endpoints at the same time don't hide each other.

Equal requests of many callers are lost together in a power loss, all of them sent
before it, and a request that is sent again at once can be lost in a chain of crashes
that another request causes. After such a chain, a request that was answered shortly
before goes on alone, at one endpoint at a time: its next answer clears it, and a loss
shows that it is the cause itself.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from shallotroad.policy.crash_correlation import LostRequest

# Crashes after which a request is suspended. One that was answered less than
# ANSWERED_BEFORE_S before the first of them is most likely sound, so it runs alone
# first if they form a chain, and else must be lost at more moments.
MIN_CRASHES = 3
MIN_MOMENTS_IF_ANSWERED = 5
ANSWERED_BEFORE_S = 60.0
# A request that is sent within this time after a loss is sent again because of it.
RETRY_SPAN_S = 1.0
# Losses at one endpoint within this time are one crash: it takes longer to start again.
CRASH_SPAN_S = 1.0
# Crashes within this time have one cause, such as the power loss of a data centre.
MOMENT_S = 0.2
MAX_REQUESTS = 4_096
MAX_LOSSES_OF_A_REQUEST = 64


class LossOrder(IntEnum):
    """How an attempt that was lost follows the earlier losses of its request."""

    INDEPENDENT = 0
    # It was sent within ``RETRY_SPAN_S`` after one.
    RETRIED = 1
    # It ran alone after some.
    ALONE = 2


class RequestCrashes(NamedTuple):
    """The crashes for which a request is suspended, or runs alone if ``alone``.

    The time is monotonic.
    """

    fingerprint: str
    crashes: int
    last_crash_s: float
    alone: bool


class LossEvidence(NamedTuple):
    """How often a request was lost since its last answer.

    ``order`` is the highest of the losses. ``answered_before`` says whether it was
    answered less than ``ANSWERED_BEFORE_S`` before the first loss.
    """

    crashes: int
    moments: int
    order: LossOrder
    answered_before: bool

    @property
    def suspended(self) -> bool:
        """Whether the request is suspended."""
        if self.answered_before and self.order is not LossOrder.ALONE:
            return self.moments >= MIN_MOMENTS_IF_ANSWERED
        return self.crashes >= MIN_CRASHES

    @property
    def runs_alone(self) -> bool:
        """Whether the request is not suspended but runs alone."""
        return (
            self.crashes >= MIN_CRASHES
            and self.order is LossOrder.RETRIED
            and not self.suspended
        )


class RequestLosses:
    """The losses of whole requests by fingerprint, and when each was last answered.

    Losses and answers may be recorded in any order.
    """

    def __init__(self) -> None:
        self._losses: dict[str, list[LostRequest]] = {}
        self._answers_s: dict[str, float] = {}
        self._suspects: dict[str, RequestCrashes] = {}

    def __len__(self) -> int:
        return len(self._losses)

    def suspended(self) -> list[RequestCrashes]:
        """Return the requests that are suspended."""
        return [request for request in self._suspects.values() if not request.alone]

    def suspects_without(
        self, explained: Callable[[LostRequest], bool]
    ) -> list[RequestCrashes]:
        """Return the suspects that are such also without explained losses."""
        remaining = (
            self._count(key, [x for x in self._losses[key] if not explained(x)])
            for key in self._suspects
        )
        return [request for request in remaining if request is not None]

    def repeated_losses(self) -> list[LostRequest]:
        """Return the losses of the requests that were lost more than once."""
        return [
            loss
            for losses in self._losses.values()
            if len(losses) > 1
            for loss in losses
        ]

    def losses(self, fingerprint: str) -> Sequence[LostRequest]:
        """Return the losses of a request since its last answer."""
        return self._losses.get(fingerprint, ())

    def evidence(self, fingerprint: str) -> LossEvidence:
        """Return how often the request was lost since its last answer."""
        return self._evidence(fingerprint, self._losses.get(fingerprint, []))

    def has_loss(self, fingerprint: str, until_s: float) -> bool:
        """Return whether the request was lost since its last answer."""
        return any(x.at_s <= until_s for x in self._losses.get(fingerprint, ()))

    def is_retry(self, fingerprint: str, sent_s: float) -> bool:
        """Return whether the request was sent again because of a loss."""
        losses = self._losses.get(fingerprint, ())
        return any(0 <= sent_s - loss.at_s < RETRY_SPAN_S for loss in losses)

    def record_loss(self, fingerprint: str, loss: LostRequest) -> None:
        """Record that the request was lost in a crash."""
        if loss.at_s <= self._answers_s.get(fingerprint, -math.inf):
            return
        losses = [*self._losses.get(fingerprint, ()), loss]
        losses.sort(key=lambda x: (x.at_s, x.source))
        self._losses[fingerprint] = losses[-MAX_LOSSES_OF_A_REQUEST:]
        self._assess(fingerprint)
        if len(self._losses) > MAX_REQUESTS:
            self._drop_one()

    def record_answer(self, fingerprint: str, at_s: float) -> None:
        """Record that the request was answered, so that earlier losses don't count."""
        if at_s <= self._answers_s.get(fingerprint, -math.inf):
            return
        self._answers_s.pop(fingerprint, None)
        self._answers_s[fingerprint] = at_s
        if len(self._answers_s) > MAX_REQUESTS:
            del self._answers_s[next(iter(self._answers_s))]
        if fingerprint in self._losses:
            self._keep_after(fingerprint, at_s)

    def expire(self, before_s: float) -> None:
        """Forget what is older."""
        self._answers_s = {k: s for k, s in self._answers_s.items() if s >= before_s}
        for fingerprint in list(self._losses):
            self._keep_after(fingerprint, before_s)

    def _keep_after(self, fingerprint: str, at_s: float) -> None:
        kept = [loss for loss in self._losses[fingerprint] if loss.at_s > at_s]
        if kept:
            self._losses[fingerprint] = kept
            self._assess(fingerprint)
        else:
            self._forget(fingerprint)

    def _forget(self, fingerprint: str) -> None:
        del self._losses[fingerprint]
        self._suspects.pop(fingerprint, None)

    def _drop_one(self) -> None:
        """Forget the request that was lost first, but last the suspects."""
        others = (key for key in self._losses if key not in self._suspects)
        self._forget(next(others, next(iter(self._losses))))

    def _assess(self, fingerprint: str) -> None:
        """Find out whether the request is a suspect: suspended, or one to run alone."""
        request = self._count(fingerprint, self._losses[fingerprint])
        if request is None:
            self._suspects.pop(fingerprint, None)
        else:
            self._suspects[fingerprint] = request

    def _count(
        self, fingerprint: str, losses: list[LostRequest]
    ) -> RequestCrashes | None:
        """Return the crashes among losses in the order of their time, if enough."""
        evidence = self._evidence(fingerprint, losses)
        if not (evidence.suspended or evidence.runs_alone):
            return None
        return RequestCrashes(
            fingerprint=fingerprint,
            crashes=evidence.crashes,
            last_crash_s=losses[-1].at_s,
            alone=evidence.runs_alone,
        )

    def _evidence(self, fingerprint: str, losses: list[LostRequest]) -> LossEvidence:
        """Return the evidence of losses in the order of their time."""
        answered_s = self._answers_s.get(fingerprint, -math.inf)
        return LossEvidence(
            crashes=_crashes(losses),
            moments=_moments(losses),
            order=max((loss.order for loss in losses), default=LossOrder.INDEPENDENT),
            answered_before=bool(losses)
            and answered_s >= losses[0].at_s - ANSWERED_BEFORE_S,
        )


def _crashes(losses: list[LostRequest]) -> int:
    """Return the number of crashes among losses in the order of their time."""
    count = 0
    first_s: dict[str, float] = {}
    for loss in losses:
        endpoint = loss.endpoint.endpoint
        if loss.at_s - first_s.get(endpoint, -math.inf) > CRASH_SPAN_S:
            first_s[endpoint] = loss.at_s
            count += 1
    return count


def _moments(losses: list[LostRequest]) -> int:
    """Return the number of crash moments among losses in the order of their time."""
    count = 0
    first_s = -math.inf
    for loss in losses:
        if loss.at_s - first_s > MOMENT_S:
            first_s = loss.at_s
            count += 1
    return count
