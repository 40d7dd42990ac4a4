"""Endpoints that fail the requests that they run while their health check succeeds.

Each endpoint has a circuit breaker. Closed: it is used like any other. Open: requests
go to the other endpoints while those have room. Probing: a few requests are sent, those
that may be repeated first, and more after successes. A circuit opens when the outcomes
of its endpoint fit a share of failures far above the usual one of its service. The test
is a cumulative sum of log likelihood ratios (CUSUM), which needs several outcomes. It
compares failures with the requests sent and not with complete responses: a stream that
ends now tells of the time when it began.

The same test over all endpoints of a service, by their 5xx responses alone, tells that
the service as a whole fails. Lost connections and silence don't count there, because a
loss of power and overload cause them at many endpoints at once.
Then no endpoint is better than the others, and circuits are not used. A request that
may run only once is held in the queue until the service recovers. When its wait ends
first, it is refused if its caller's own retry then has a better chance, or sent. The
retry of a refused caller is always sent. So are some of the other requests, which show
the recovery, and all once ``MAX_FAILING_S`` have passed since the failures were found.

All times are monotonic, in seconds.
"""

from __future__ import annotations

import math
from enum import Enum
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from shallotroad.policy.placement import EngineView

# Share of failures for which the test is most sensitive. Half of it is the least that
# can open a circuit of a service that otherwise rarely fails.
FAILING_SHARE = 0.45
# The usual share is assumed to be this much higher than its average, and at least
# MIN_USUAL_SHARE, so that ordinary clusters of failures open no circuit.
USUAL_SHARE_MARGIN = 1.5
MIN_USUAL_SHARE = 0.05
# Usual share of a service before its outcomes are known, as high as that of services
# that often fail, so that these open no circuit at the start of a process.
INITIAL_USUAL_SHARE = 0.14
# Weight of a request in the average of the usual share, so low that a failure of some
# seconds is detected before it counts as usual. The first ones weigh more.
USUAL_SHARE_SAMPLE_WEIGHT = 0.001
INITIAL_USUAL_SHARE_REQUESTS = 50
# Log likelihood ratio at which the test decides: after four failures at least, so that
# a crash or a few lost requests decide nothing.
DECISION_LOG_RATIO = 8.0
# Without outcomes, the sum halves in this time.
LOG_RATIO_HALF_LIFE_S = 10.0
# Failures of one endpoint within this time have one cause, such as a lost process, and
# count once.
SAME_CAUSE_S = 0.05
# A service fails as a whole only if at least this share of the endpoints that were sent
# requests in the last RECENT_S also sent errors.
MIN_FAILING_ENDPOINTS_SHARE = 1 / 3
RECENT_S = 1.5
# An endpoint with so many requests and no error does not fail; if more than this share
# of the endpoints with so many requests do not, single endpoints fail.
SOUND_REQUESTS = 4
MAX_SOUND_SHARE = 1 / 3
# A service that fails has recovered once the log likelihood ratio is below this: after
# thirteen requests without a failure, or more if there were some.
RECOVERY_LOG_RATIO = 1.0
# Expected duration of a failure of all endpoints of a service.
MIN_FAILING_S = 3.0
MAX_FAILING_S = 5.0
# Callers honour a Retry-After up to a third of the time that they have left.
RETRY_AFTER_REMAINING_SHARE = 0.3
# Of the requests that would be held, one in so many is sent.
SENT_ONE_IN = 10
# A request that is not to be refused is sent this long before its wait ends.
SEND_MARGIN_S = 0.1
# A request with the same part of its own that arrived this much later is a retry.
# Clocks and delays of messages shift the arrival of the same request by less, and
# requests are held for longer before they are refused.
RETRY_ARRIVAL_S = 0.2
# A caller whose request is held is remembered for this long.
REMEMBERED_S = 20.0
MAX_REMEMBERED = 4_096
# Time from the opening of a circuit to the first probe; a failed one doubles it.
MIN_OPEN_S = 0.5
MAX_OPEN_S = 4.0
# A circuit closes after so many successful probes in a row.
CLOSING_SUCCESSES = 5
# If no request that may be repeated has become a probe for this long, another may.
PROBE_PATIENCE_S = 1.0
# A probe without an outcome for this long no longer prevents others.
PROBE_TIMEOUT_S = 3.0
# No request but probes uses an endpoint that fails more than this share: a refusal
# leaves its caller a better chance.
MAX_ACCEPTED_FAILURE_SHARE = 0.5
# A request that may run only once avoids open circuits for this share of its objective.
AVOIDANCE_OBJECTIVE_SHARE = 0.5
# An endpoint that accepts no connection is avoided for this long.
CONNECT_FAILURE_AVOIDANCE_S = 1.0
# A refused connection, as another gateway reports it, is not believed for this long
# after the endpoint gave an answer while it counted as unreachable.
DOUBTED_S = 30.0


class Fault(IntEnum):
    """How an endpoint failed a request, as it is sent in messages."""

    NONE = 0
    ERROR = 1
    """A response with status 5xx."""
    UNREACHABLE = 2
    """It refused the connection, so that nothing was sent."""
    LOST = 3
    """No complete or valid response: a lost connection or silence."""


def default_fault(failure_weight: float) -> Fault:
    """Return the fault of an outcome of which only the weight is known."""
    return Fault.LOST if failure_weight >= 1.0 else Fault.NONE


class CircuitState(Enum):
    """State of a circuit; the values appear in the log and in metrics."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class CircuitChange(NamedTuple):
    """A change to log. ``endpoint`` is empty if the service as a whole changed."""

    service: str
    endpoint: str
    state: str
    failure_share: float


class FailureTest:
    """Sequential test for a share of failures far above the usual one.

    Attributes
    ----------
    log_ratio : float
        Log likelihood ratio of a failing and a usual share, at least 0.
    updated_s : float
        Time of the last failure.
    """

    __slots__ = ("_failures", "_requests", "log_ratio", "updated_s")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget all requests."""
        self.log_ratio = 0.0
        self._requests = 0
        self._failures = 0
        self.updated_s = 0.0

    @property
    def failure_share(self) -> float:
        """Share of failures since the log likelihood ratio was last 0."""
        return min(1.0, self._failures / max(1, self._requests))

    @property
    def decided(self) -> bool:
        """Whether the share is far above the usual one."""
        return self.log_ratio >= DECISION_LOG_RATIO

    def record_request(self, usual_share: float) -> None:
        """Record a request that is sent."""
        if self.log_ratio <= 0.0:
            return
        self._requests += 1
        self.log_ratio += _request_step(usual_share)
        if self.log_ratio <= 0.0:
            self.reset()

    def record_failure(self, usual_share: float, now_s: float) -> None:
        """Record the failure of a request that was recorded when it was sent."""
        decay = math.exp2((self.updated_s - now_s) / LOG_RATIO_HALF_LIFE_S)
        self.updated_s = now_s
        step = math.log(_failing_share(usual_share) / usual_share)
        if self.log_ratio > 0.0:
            step -= _request_step(usual_share)
        else:
            self._requests = 1
        self._failures += 1
        self.log_ratio = min(DECISION_LOG_RATIO, self.log_ratio * decay + step)


def _failing_share(usual_share: float) -> float:
    return max(FAILING_SHARE, 2 * usual_share)


def _request_step(usual_share: float) -> float:
    """Return what a request without a failure adds to the log likelihood ratio."""
    return math.log((1 - _failing_share(usual_share)) / (1 - usual_share))


class ServiceFailures:
    """Outcomes of all endpoints of a service, as far as this process knows them.

    Parameters
    ----------
    service : str
        Its name, for ``on_change``.
    on_change : callable
        Is called at each change of its state and of the circuits of its endpoints.

    Attributes
    ----------
    failing_since_s : float or None
        When it was found that the service as a whole fails; None while it does not.
    recovered_s : float
        When all endpoints were last found to have recovered.
    """

    def __init__(
        self,
        *,
        service: str = "",
        on_change: Callable[[CircuitChange], None] = lambda _: None,
    ) -> None:
        self.service = service
        self.on_change = on_change
        self.failing_since_s: float | None = None
        self.last_failing_since_s = -math.inf
        self.recovered_s = -math.inf
        self._average_share = INITIAL_USUAL_SHARE
        self._sample_weight = 1 / INITIAL_USUAL_SHARE_REQUESTS
        self._test = FailureTest()
        self._last_request_s: dict[str, float] = {}
        self._last_error_s: dict[str, float] = {}
        # Requests and errors of each endpoint since the test began to rise.
        self._counts: dict[str, list[int]] = {}
        self._undecided = 0
        self._held_arrivals_s: dict[str, float] = {}

    @property
    def usual_share(self) -> float:
        """Share of failures that is usual for the service, with a margin."""
        share = USUAL_SHARE_MARGIN * self._average_share
        return min(FAILING_SHARE, max(MIN_USUAL_SHARE, share))

    def add(self, endpoint: str) -> None:
        """Count an endpoint among those that could be used."""
        self._last_request_s.setdefault(endpoint, -math.inf)

    def forget(self, endpoint: str) -> None:
        """Forget the outcomes of an endpoint that is gone or whose circuit opens."""
        self._counts.pop(endpoint, None)
        self._last_request_s.pop(endpoint, None)
        self._last_error_s.pop(endpoint, None)

    def record_request(self, endpoint: str, now_s: float) -> None:
        """Record a request that is sent to an endpoint whose circuit is closed."""
        self._last_request_s[endpoint] = now_s
        if self._test.log_ratio:
            self._counts.setdefault(endpoint, [0, 0])[0] += 1
            self._test.record_request(self.usual_share)
            if not self._test.log_ratio:
                self._counts.clear()
        if self.failing_since_s is None:
            weight = self._sample_weight
            self._average_share *= 1 - weight
            if weight > USUAL_SHARE_SAMPLE_WEIGHT:
                self._sample_weight = weight / (1 + weight)
        elif self._test.log_ratio <= RECOVERY_LOG_RATIO:
            self.recovered_s = now_s
            self._end()

    def record_failure(self, endpoint: str, now_s: float, *, error: bool) -> None:
        """Record a failure of an endpoint whose circuit is closed.

        ``error`` is set for a 5xx response.
        """
        if self.failing_since_s is None:
            self._average_share += self._sample_weight
        if not error:
            return
        self._last_error_s[endpoint] = now_s
        self._counts.setdefault(endpoint, [1, 0])[1] += 1
        self._test.record_failure(self.usual_share, now_s)
        if self.failing_since_s is not None:
            if not self._most_fail(now_s):
                self._end()
        elif self._test.decided and self._most_fail(now_s):
            self._begin_to_fail(now_s)

    def _begin_to_fail(self, now_s: float) -> None:
        # A run of successes by chance ends no failure, so MAX_FAILING_S goes on.
        if now_s > self.recovered_s + MAX_FAILING_S:
            self.last_failing_since_s = now_s
        self.failing_since_s = self.last_failing_since_s
        share = self._test.failure_share
        self.on_change(CircuitChange(self.service, "", "failing", share))

    def _end(self) -> None:
        """End the failure of the service, also if only single endpoints fail."""
        share = self._test.failure_share
        self.failing_since_s = None
        self._test.reset()
        self._counts.clear()
        self.on_change(CircuitChange(self.service, "", "recovered", share))

    def _most_fail(self, now_s: float) -> bool:
        """Return whether the recent failures are spread over the endpoints."""
        since_s = now_s - RECENT_S
        recent = sum(at_s >= since_s for at_s in self._last_request_s.values())
        failing = sum(at_s >= since_s for at_s in self._last_error_s.values())
        # Of several endpoints, one that fails tells nothing of those not used lately.
        known = len(self._last_request_s)
        if failing < min(known, max(2, MIN_FAILING_ENDPOINTS_SHARE * recent)):
            return False
        errors = [
            e for requests, e in self._counts.values() if requests >= SOUND_REQUESTS
        ]
        return errors.count(0) <= MAX_SOUND_SHARE * len(errors)

    def expected_rest_s(self, now_s: float) -> float:
        """Return how long the service is still expected to fail; 0.0 if it does not."""
        if self.failing_since_s is None:
            return 0.0
        return max(0.0, self.failing_since_s + MAX_FAILING_S - now_s)

    def holds(
        self,
        *,
        caller: str,
        arrival_s: float,
        last_start_s: float,
        deadline_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a request that may run only once is not to be sent now.

        Parameters
        ----------
        caller : str
            What the request has in common with its caller's retry; empty if that is not
            known. Then it is not refused, as its retry could be refused as well.
        arrival_s : float
            Time of its arrival, which tells a retry.
        last_start_s : float
            Time at which it is refused if it is still held then.
        deadline_s : float
            Time until which its caller waits.
        """
        if not self.expected_rest_s(now_s):
            return False
        if now_s >= last_start_s - SEND_MARGIN_S:
            longest_s = RETRY_AFTER_REMAINING_SHARE * (deadline_s - now_s)
            assert self.failing_since_s is not None
            recovers_s = self.failing_since_s + MIN_FAILING_S
            if not caller or now_s + longest_s < recovers_s:
                return False
        return self._is_held(caller, arrival_s, now_s)

    def _is_held(self, caller: str, arrival_s: float, now_s: float) -> bool:
        """Return whether a request is held, and remember it if it is new."""
        # Without a name, the arrival identifies the request.
        name = caller or f"at {arrival_s}"
        held = self._held_arrivals_s
        known_s = held.get(name, -math.inf)
        if known_s > now_s - REMEMBERED_S:
            return arrival_s < known_s + RETRY_ARRIVAL_S
        self._undecided += 1
        if self._undecided % SENT_ONE_IN == 0:
            return False
        if len(held) >= MAX_REMEMBERED:
            self._held_arrivals_s = held = {
                name: at_s for name, at_s in held.items() if at_s > now_s - REMEMBERED_S
            }
            if len(held) >= MAX_REMEMBERED:
                return False
        held[name] = arrival_s
        return True


class Circuit:
    """Circuit breaker of one endpoint.

    Parameters
    ----------
    endpoint : str
        Its identifier.
    service_failures : ServiceFailures
        The outcomes of its service, which this adds to.
    """

    def __init__(self, *, endpoint: str, service_failures: ServiceFailures) -> None:
        self._endpoint = endpoint
        self._service = service_failures
        service_failures.add(endpoint)
        self._state = CircuitState.CLOSED
        self._test = FailureTest()
        self._last_failure_s = -math.inf
        self._opened_s = -math.inf
        self._open_s = MIN_OPEN_S
        self._probe_from_s = 0.0
        self._last_probe_s = -math.inf
        self._probes = 0
        self._successes = 0
        self._unreachable_until_s = -math.inf
        self._doubted_until_s = -math.inf

    @property
    def service_failures(self) -> ServiceFailures:
        """The outcomes of its service."""
        return self._service

    @property
    def state(self) -> CircuitState:
        """Its state; a circuit that opened when the service as a whole failed closes.

        While the service fails, all circuits count as closed.
        """
        service = self._service
        if self._state is not CircuitState.CLOSED:
            if self._opened_s >= service.last_failing_since_s - RECENT_S and (
                service.last_failing_since_s >= self._opened_s
            ):
                self._set_state(CircuitState.CLOSED)
            elif service.failing_since_s is not None:
                return CircuitState.CLOSED
        return self._state

    @property
    def is_closed(self) -> bool:
        """Whether the endpoint is used like any other."""
        return self._state is CircuitState.CLOSED or self.state is CircuitState.CLOSED

    @property
    def failure_share(self) -> float:
        """Share of failures that opened it."""
        return self._test.failure_share

    def reset(self) -> None:
        """Close it, for a new incarnation of the endpoint."""
        if self._state is not CircuitState.CLOSED:
            self._set_state(CircuitState.CLOSED)
        self._test.reset()
        self._unreachable_until_s = -math.inf

    def _set_state(self, state: CircuitState) -> None:
        share = self._test.failure_share
        self._state = state
        if state is CircuitState.CLOSED:
            self._test.reset()
            self._open_s = MIN_OPEN_S
        self._service.on_change(
            CircuitChange(self._service.service, self._endpoint, state.value, share)
        )

    def record_request(self, now_s: float) -> None:
        """Record a request that is sent, as a probe if the circuit is not closed."""
        if self.is_closed:
            self._service.record_request(self._endpoint, now_s)
            self._test.record_request(self._service.usual_share)
        elif now_s >= self._probe_from_s:
            self._probes += 1
            self._last_probe_s = now_s
            if self._state is CircuitState.OPEN:
                self._set_state(CircuitState.PROBING)

    def record_first_event(self) -> None:
        """Record a first event; if that of a probe, it counts as a success.

        The response may still be an error, whose failure follows at once.
        """
        if self._state is CircuitState.CLOSED or not self._probes:
            return
        self._probes -= 1
        self._successes += 1
        if self._successes >= CLOSING_SUCCESSES:
            self._set_state(CircuitState.CLOSED)

    def record_success(self, now_s: float) -> None:
        """Record a complete response."""
        if now_s < self._unreachable_until_s:
            self._doubted_until_s = now_s + DOUBTED_S

    def record_failure(self, now_s: float, *, error: bool) -> None:
        """Record a failure that the endpoint itself caused.

        ``error`` is set for a 5xx response, not for a lost connection or silence.
        """
        if now_s < self._last_failure_s + SAME_CAUSE_S:
            return
        self._last_failure_s = now_s
        if self.is_closed:
            self._service.record_failure(self._endpoint, now_s, error=error)
            self._record_failure_when_closed(now_s)
        elif self._probes or self._successes:
            self._probes = max(0, self._probes - 1)
            self._open_s = min(MAX_OPEN_S, 2 * self._open_s)
            self._wait_for_probe(now_s)
            if self._state is not CircuitState.OPEN:
                self._set_state(CircuitState.OPEN)

    def _record_failure_when_closed(self, now_s: float) -> None:
        if self._test.updated_s < self._service.recovered_s:
            self._test.reset()  # what it counted was the failure of the service
        self._test.record_failure(self._service.usual_share, now_s)
        if self._test.decided and self._service.failing_since_s is None:
            self._opened_s = now_s
            self._probes = 0
            self._wait_for_probe(now_s)
            self._service.forget(self._endpoint)
            self._set_state(CircuitState.OPEN)

    def _wait_for_probe(self, now_s: float) -> None:
        self._successes = 0
        self._probe_from_s = now_s + self._open_s

    def may_probe(self, now_s: float, *, repeatable: bool) -> bool:
        """Return whether a request may be sent although the circuit is not closed."""
        if self._probes and now_s >= self._last_probe_s + PROBE_TIMEOUT_S:
            self._probes = 0
        from_s = self._probe_from_s
        if not repeatable:
            from_s = max(from_s, self._last_probe_s) + PROBE_PATIENCE_S
        return now_s >= from_s and self._probes < 2**self._successes

    def believe_unreachable(self, until_s: float, now_s: float) -> bool:
        """Return whether to believe another gateway that the endpoint is unreachable.

        Its own link may be broken: not believed for a while after the endpoint gave an
        answer during the time for which it was believed before.
        """
        if now_s < self._doubted_until_s:
            return False
        self._unreachable_until_s = until_s
        return True


def avoid_open_circuits(
    views: Sequence[EngineView],
    *,
    repeatable: bool,
    waited_share: float,
    now_s: float,
    has_room: Callable[[EngineView], bool],
) -> list[EngineView]:
    """Return the endpoints that a request may use, with respect to their circuits.

    At most half of the endpoints are avoided, unless the rest has room: a larger part
    that fails tells nothing of single endpoints.

    Parameters
    ----------
    views : sequence of EngineView
        The endpoints that may serve the request otherwise.
    repeatable : bool
        Whether the request may be sent again if its endpoint fails it.
    waited_share : float
        Time since its arrival, as a share of its objective.
    has_room : callable
        Returns whether an endpoint may be sent the request now.
    """
    failing = [view for view in views if not view.load.circuit.is_closed]
    if not failing:
        return list(views)
    for view in failing:
        if view.load.circuit.may_probe(now_s, repeatable=repeatable) and has_room(view):
            return [view]
    rest = [view for view in views if view.load.circuit.is_closed]
    if any(has_room(view) for view in rest):
        return rest
    if len(failing) > len(views) // 2:
        return list(views)
    avoided = failing
    if repeatable or waited_share > AVOIDANCE_OBJECTIVE_SHARE:
        avoided = [
            view
            for view in avoided
            if view.load.circuit.failure_share > MAX_ACCEPTED_FAILURE_SHARE
        ]
    return [view for view in views if view not in avoided]
