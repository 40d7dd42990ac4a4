"""Model of one endpoint's load, prefill speed, failures and cached prompt parts.

A gateway counts its own requests and those that other gateways report to it or that
it places for them as the coordinator of a service (see ``gateway.coordination``). A
report lists the requests of its sender for all services with engines, and goes to the
coordinators concerned and to the gateways that are next in rank.

A request is gap-tolerant if the event gap limit of its route
(``Route.max_event_gap_ms``, the maximum time between two events of a stream) is at
least ``GAP_TOLERANT_RATIO`` times the lowest limit of the service's streams; see
``Configuration.is_gap_tolerant``. Any other stream is gap-sensitive, also that of a
route without a limit.

The model has two measures of prefill work. The backlog is the expected time until the
engine has prefilled the prompts sent to it; it ends when no request awaits its first
event. The prefill debt is the prefill work sent to the engine beyond
its prefill share of its time; first events do not clear it, and only the placement of
gap-tolerant requests depends on it. The prefill share follows the answers that the
service's gap-tolerant requests expect: the longer they are for the time that their
callers have, the more of an engine's time is left for decode, and more still while the
engine's streams lag behind (``decode_pace.py``).
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from shallotroad.policy.decode_pace import DecodeFactor
from shallotroad.policy.endpoint_statement import MAX_LEAVING_S
from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.engine_model import relative_prefill
from shallotroad.policy.failing_endpoints import Circuit
from shallotroad.policy.failing_endpoints import Fault
from shallotroad.policy.failing_endpoints import ServiceFailures
from shallotroad.policy.failing_endpoints import default_fault


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from shallotroad.catalog.endpoint import EndpointRecord
    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.endpoint_statement import EndpointStatement
    from shallotroad.policy.engine_model import EngineModel

# Weight of a new sample in the moving average of the slowness.
SLOWNESS_SAMPLE_WEIGHT = 0.15
# Limits of a sample of the slowness.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 10.0
# Largest and smallest fraction of an engine's time that is planned for prefill. The
# rest decodes the running streams, whose answers must be whole in time.
MAX_PREFILL_SHARE = 0.9
MIN_PREFILL_SHARE = 0.4
# Largest factor on the planned decode time of an engine of the model's prefill speed.
MAX_DECODE_FACTOR_AT_NOMINAL_SPEED = 2.0
# Fraction of an engine's KV cache that may hold prompt parts. At 1.0, nothing is set
# aside for running requests.
CACHE_SHARE = 1.0
FAILURE_HALF_LIFE_S = 3.0
# Half-life of the recent work that decides how many engines are reserved.
WORK_HALF_LIFE_S = 4.0
# Engine time that one token of an additional stream adds to a decode step, as a share
# of the step.
GAP_SENSITIVE_STEPS_PER_TOKEN = 0.015
MAX_PARTS = 4096


def decode_share(
    tokens: int, time_s: float, model: EngineModel = NOMINAL_MODEL
) -> float:
    """Return the share of an engine's time that answers need to become whole in time.

    While an engine decodes for a share ``d`` of its time, each of its streams gets
    ``d / decode_step_ms`` tokens in a millisecond. The result may exceed 1.

    Parameters
    ----------
    tokens : int
        Expected tokens of an answer.
    time_s : float
        Time from its first event until its caller's deadline.
    model : EngineModel
        Model of the service's engines.
    """
    decode_s = tokens * model.decode_step_ms / 1000.0
    return decode_s / max(0.001, time_s)


def prefill_share(needed_decode_share: float) -> float:
    """Return the share of an engine's time that is left for prefill."""
    return min(MAX_PREFILL_SHARE, max(MIN_PREFILL_SHARE, 1.0 - needed_decode_share))


def expected_answer_s(
    tokens: int, planned_prefill_share: float, model: EngineModel = NOMINAL_MODEL
) -> float:
    """Return how long an answer's decode takes at an engine's planned prefill share."""
    return tokens * model.decode_step_ms / 1000.0 / (1.0 - planned_prefill_share)


class EndpointLoad:
    """Running requests, prefill backlog, slowness, failures and cached parts.

    All times are monotonic.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint's latest registration.
    now_s : float
        Current time in seconds.
    service_failures : ServiceFailures or None
        The outcomes of all endpoints of its service; None for those of this one alone.

    Attributes
    ----------
    running : int
        Requests in flight.
    awaiting_first_event : int
        Requests in flight whose first event has not arrived.
    cold_until_s : float
        Time until which the endpoint counts as cold, so that its rate of requests is
        limited; 0 if it never was. ``EndpointRegistry.put`` sets it from the
        remaining cold time in a registration.
    avoided_until_s : float
        Time until which the endpoint is used only if no other one is usable; 0 if it
        never was avoided. ``Forwarder`` sets it after a failed connection.
    prefill_share : float
        Fraction of the engine's time that is planned for prefill. ``Admission`` sets
        it from the requests for the service.
    model : EngineModel
        Model of the service's engines; ``use_model`` changes it.
    slowness : float
        Factor by which the endpoint is slower than the prefill speed of ``model``.
    statement : EndpointStatement or None
        What it last said of itself; None before that.
    leaving_until_s : float
        Time until which it counts as leaving, because it said so in an answer; 0 if it
        never did.
    quiet_until_s : float
        Time until which it wants no requests of this gateway, whatever others may send;
        0 if it never asked for that.
    circuit : Circuit
        Its circuit breaker.
    kv_cache_tokens : int
        Capacity of the engine's KV cache; 0 when it is unknown. ``Admission`` sets it
        from the configuration when it places a request there.
    """

    def __init__(
        self,
        *,
        record: EndpointRecord,
        now_s: float,
        model: EngineModel = NOMINAL_MODEL,
        service_failures: ServiceFailures | None = None,
    ) -> None:
        self.record = record
        self.model = model
        self.circuit = Circuit(
            endpoint=record.identifier,
            service_failures=service_failures or ServiceFailures(),
        )
        self.running = 0
        self.awaiting_first_event = 0
        self.last_seen_s = now_s
        self.cold_until_s = 0.0
        self.slowness = 1.0
        self.prefill_share = MAX_PREFILL_SHARE
        self._gap_sensitive_work_ms = 0.0
        self._other_work_ms = 0.0
        self._work_decayed_s = now_s
        self._prefills_end_s = now_s
        self._first_events_due_s: list[float] = []
        self._debt_ms = 0.0
        self._debt_updated_s = now_s
        self._part_tokens = 0
        self._decode_factor = DecodeFactor()
        self._failure_weight = 0.0
        self._success_weight = 0.0
        self._outcomes_decayed_s = now_s
        self._parts: OrderedDict[str, int] = OrderedDict()
        self.kv_cache_tokens = 0
        self.avoided_until_s = 0.0
        self.statement: EndpointStatement | None = None
        self.leaving_until_s = 0.0
        self.quiet_until_s = 0.0

    # Statements

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second that the endpoint takes from all gateways; None: any."""
        return self.statement.limit_per_s if self.statement is not None else None

    def apply_statement(self, statement: EndpointStatement) -> bool:
        """Keep a statement if it is the latest; return whether it changes anything.

        One that an earlier incarnation of the endpoint has made is ignored.
        """
        if statement.started_at_ms != self.record.started_at_ms:
            return False
        changed = False
        if statement.leaving and statement.said_s >= self.leaving_until_s:
            self.leaving_until_s = statement.said_s + MAX_LEAVING_S
            changed = True
        if self.statement is None or statement.said_s > self.statement.said_s:
            changed = changed or statement.limit_per_s != self.limit_per_s
            self.statement = statement
        return changed

    def forget_statements(self) -> None:
        """Forget what an earlier incarnation has said."""
        self.statement = None
        self.leaving_until_s = 0.0
        self.quiet_until_s = 0.0

    def is_leaving(self, now_s: float) -> bool:
        """Return whether it takes no more requests, as it announced or said."""
        return self.record.draining or now_s < self.leaving_until_s

    # Work

    def record_dispatch(
        self, prefill_ms: float, now_s: float, *, gap_sensitive_tokens: int = 0
    ) -> float:
        """Record a request that is sent, and add its prompt to the backlog.

        Parameters
        ----------
        prefill_ms : float
            Expected prefill time of its prompt.
        now_s : float
            Monotonic time in seconds.
        gap_sensitive_tokens : int
            Expected tokens of the answer if its stream is gap-sensitive; 0
            otherwise.

        Returns
        -------
        float
            Monotonic time at which its first event is expected: the end of its prefill
            after the backlog, plus the model's overhead. Pass it to
            ``record_first_event`` and ``record_end`` to identify the request; requests
            with equal times are interchangeable.
        """
        self.running += 1
        self.awaiting_first_event += 1
        self.circuit.record_request(now_s)
        if gap_sensitive_tokens:
            work_ms = prefill_ms + self.decode_work_ms(gap_sensitive_tokens)
            self._record_work(now_s, gap_sensitive_ms=work_ms, other_ms=0.0)
        else:
            self._record_work(now_s, gap_sensitive_ms=0.0, other_ms=prefill_ms)
        self._debt_ms = self.debt_ms(now_s) + prefill_ms
        self._prefills_end_s = max(now_s, self._prefills_end_s) + prefill_ms / 1000.0
        due_s = self._prefills_end_s + self.model.first_event_overhead_ms / 1000.0
        self._first_events_due_s.append(due_s)
        return due_s

    def decode_work_ms(self, tokens: int) -> float:
        """Return the engine time that the decode of so many tokens adds."""
        return GAP_SENSITIVE_STEPS_PER_TOKEN * self.model.decode_step_ms * tokens

    def record_first_event(self, due_s: float, now_s: float) -> None:
        """Record the first event of a request.

        ``due_s`` is the result of its ``record_dispatch``. Once no request awaits
        its first event, the backlog is empty.

        Raises
        ------
        ValueError
            When no request that awaits its first event has this ``due_s``.
        """
        self.circuit.record_first_event()
        self._remove_awaiting(due_s, now_s)

    def _remove_awaiting(self, due_s: float, now_s: float) -> None:
        self.awaiting_first_event -= 1
        self._first_events_due_s.remove(due_s)
        if self.awaiting_first_event == 0:
            self._prefills_end_s = now_s

    def record_end(self, due_s: float, *, started: bool, now_s: float) -> None:
        """Record the end of a request.

        ``due_s`` is the result of its ``record_dispatch``; ``started`` says whether
        ``record_first_event`` was called for it. If not, it awaits its first event no
        longer: the backlog keeps the request's prefill until no request awaits its
        first event. The prefill debt keeps it in any case.

        Raises
        ------
        ValueError
            When ``started`` is False and no request that awaits its first event has
            this ``due_s``. With ``started``, ``due_s`` is not used.
        """
        self.running -= 1
        if not started:
            self._remove_awaiting(due_s, now_s)

    def backlog_ms(self, now_s: float) -> float:
        """Return the expected time to prefill the prompts that wait there.

        It falls with the time that passes and is 0 while no request awaits its first
        event. If the earliest first event that is due has not arrived in time, the
        time by which it is late is added.
        """
        if self.awaiting_first_event == 0:
            return 0.0
        overdue_s = max(0.0, now_s - min(self._first_events_due_s))
        return (max(0.0, self._prefills_end_s - now_s) + overdue_s) * 1000.0

    def debt_ms(self, now_s: float) -> float:
        """Return the prefill debt: prefill work placed ahead of the engine's share.

        The debt rises by the prefill time of each dispatched request and falls by
        ``prefill_share`` of the time that passes, not below 0; the rest of the engine's
        time is left for the decode of running streams. Unlike the backlog, it is not
        cleared by first events. Only the placement of gap-tolerant requests uses it.
        """
        worked_off_ms = (now_s - self._debt_updated_s) * 1000.0 * self.prefill_share
        self._debt_ms = max(0.0, self._debt_ms - worked_off_ms)
        self._debt_updated_s = now_s
        return self._debt_ms

    def _record_work(
        self, now_s: float, *, gap_sensitive_ms: float, other_ms: float
    ) -> None:
        """Decay the recent work to ``now_s`` and add new work."""
        factor = math.exp2(-(now_s - self._work_decayed_s) / WORK_HALF_LIFE_S)
        self._work_decayed_s = now_s
        self._gap_sensitive_work_ms = (
            self._gap_sensitive_work_ms * factor + gap_sensitive_ms
        )
        self._other_work_ms = self._other_work_ms * factor + other_ms

    def recent_work_ms(self, now_s: float) -> tuple[float, float]:
        """Return the recent work of gap-sensitive streams and of all other requests.

        The others are gap-tolerant streams and all requests without a stream. Both
        values are in milliseconds of engine time and decay with ``WORK_HALF_LIFE_S``.
        Only the first includes decode besides prefill.
        """
        self._record_work(now_s, gap_sensitive_ms=0.0, other_ms=0.0)
        return self._gap_sensitive_work_ms, self._other_work_ms

    # Prefill speed

    def prefill_ms(self, tokens: int, cached: int = 0) -> float:
        """Return the expected prefill time of a prompt: the model's times slowness.

        The parameters are those of ``EngineModel.prefill_ms``.
        """
        return self.model.prefill_ms(tokens, cached) * self.slowness

    def use_model(
        self, model: EngineModel, now_s: float, slowness: float | None = None
    ) -> None:
        """Replace the model of the service's engines.

        The work that is placed is converted to the new expected times. Without a
        ``slowness``, the speed of this engine stays the same between learned models.
        Otherwise the slowness is 1: the one before may have been at its limit.
        """
        if model == self.model:
            return
        ratio = relative_prefill(model, self.model)
        if slowness is None:
            nominal = NOMINAL_MODEL in (model, self.model)
            slowness = 1.0 if nominal else self.slowness / ratio
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        work_ratio = ratio * slowness / self.slowness
        self.debt_ms(now_s)
        self._record_work(now_s, gap_sensitive_ms=0.0, other_ms=0.0)
        self._debt_ms *= work_ratio
        self._gap_sensitive_work_ms *= work_ratio
        self._other_work_ms *= work_ratio
        if self._prefills_end_s > now_s:
            self._prefills_end_s = now_s + (self._prefills_end_s - now_s) * work_ratio
        self.model = model
        self.slowness = slowness

    def update_slowness(
        self,
        expected_ms: float,
        observed_ms: float,
        assumed_slowness: float,
        model: EngineModel = NOMINAL_MODEL,
    ) -> None:
        """Adjust the slowness to an observed prefill.

        The sample is ``assumed_slowness`` times the observed by the expected time, both
        with the overhead of ``model`` added, limited to between 0.5 and
        ``MAX_SLOWNESS``.

        Parameters
        ----------
        expected_ms : float
            Expected backlog and prefill time at dispatch.
        observed_ms : float
            Time to the first event less the overhead of ``model``.
        assumed_slowness : float
            Slowness at dispatch, which ``expected_ms`` contains.
        model : EngineModel
            Model at dispatch, which ``expected_ms`` contains.
        """
        ratio = (observed_ms + model.first_event_overhead_ms) / (
            expected_ms + model.first_event_overhead_ms
        )
        if model != self.model:
            ratio *= relative_prefill(model, self.model)
        sample = min(MAX_SLOWNESS, max(MIN_SLOWNESS, assumed_slowness * ratio))
        self.slowness += SLOWNESS_SAMPLE_WEIGHT * (sample - self.slowness)

    # Decode pace

    def record_lag(self, lag: float) -> None:
        """Record how far a stream lags, as ``StreamPace.take_lag`` returns it."""
        self._decode_factor.record_lag(lag)

    def plan_prefill_share(self, needed_tokens_per_ms: float) -> None:
        """Set ``prefill_share`` to what the decode of running streams leaves.

        Parameters
        ----------
        needed_tokens_per_ms : float
            Tokens that each stream needs in a millisecond to be whole in time.
        """
        # An engine that prefills slowly may decode slowly as well.
        max_factor = MAX_DECODE_FACTOR_AT_NOMINAL_SPEED * max(1.0, self.slowness)
        factor = min(max_factor, self._decode_factor.value)
        self.prefill_share = prefill_share(
            needed_tokens_per_ms * self.model.decode_step_ms * factor
        )

    # Failures

    def _decay_outcomes(self, now_s: float) -> None:
        factor = math.exp2(-(now_s - self._outcomes_decayed_s) / FAILURE_HALF_LIFE_S)
        self._failure_weight *= factor
        self._success_weight *= factor
        self._outcomes_decayed_s = now_s

    def record_success(self, now_s: float) -> None:
        """Record a complete response."""
        self._decay_outcomes(now_s)
        self._success_weight += 1.0
        self.circuit.record_success(now_s)

    def record_failure(
        self, now_s: float, weight: float = 1.0, fault: Fault | None = None
    ) -> None:
        """Record a failure caused by the endpoint itself.

        ``weight`` is 1 for a full failure and less for weaker evidence. ``fault`` is
        what the circuit breaker counts; None if only the weight is known.
        """
        self._decay_outcomes(now_s)
        self._failure_weight += weight
        if fault is None:
            fault = default_fault(weight)
        if fault in (Fault.ERROR, Fault.LOST):
            self.circuit.record_failure(now_s, error=fault is Fault.ERROR)

    def failure_share(self, now_s: float) -> float:
        """Return the recent share of failures, from 0 to below 1.

        Outcomes decay with ``FAILURE_HALF_LIFE_S``. One assumed success keeps a
        single failure from counting as a share of 1.
        """
        self._decay_outcomes(now_s)
        return self._failure_weight / (
            self._failure_weight + self._success_weight + 1.0
        )

    # Cached prompt parts

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading parts that the engine has cached."""
        tokens = 0
        for part in parts:
            if part.identifier not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def record_parts(self, parts: Iterable[PromptPart]) -> None:
        """Record that the engine uses the parts now, and so caches them.

        The least recently used parts are evicted when they exceed ``CACHE_SHARE`` of
        ``kv_cache_tokens`` or number more than ``MAX_PARTS``. While ``kv_cache_tokens``
        is 0, only the latter limit applies.
        """
        for part in parts:
            self._part_tokens += part.tokens - self._parts.pop(part.identifier, 0)
            self._parts[part.identifier] = part.tokens
        max_tokens = (
            self.kv_cache_tokens * CACHE_SHARE if self.kv_cache_tokens else math.inf
        )
        while self._part_tokens > max_tokens or len(self._parts) > MAX_PARTS:
            _, tokens = self._parts.popitem(last=False)
            self._part_tokens -= tokens

    def replace_parts(self, parts: Iterable[PromptPart]) -> None:
        """Replace the cached parts by those that the engine itself reports."""
        self._parts.clear()
        self._part_tokens = 0
        self.record_parts(parts)

    def restart(self, record: EndpointRecord, now_s: float) -> None:
        """Reset speeds, cached parts, failures and statements for a new incarnation.

        Running requests, backlog, prefill debt, recent work and the weight of successes
        are kept, and so are ``cold_until_s`` and ``avoided_until_s``. The callers still
        record the ends of requests that were sent to the earlier incarnation.
        """
        self.record = record
        self.last_seen_s = now_s
        self.forget_statements()
        self.slowness = 1.0
        self._decode_factor = DecodeFactor()
        self._parts.clear()
        self._part_tokens = 0
        self._failure_weight = 0.0
        self.circuit.reset()
