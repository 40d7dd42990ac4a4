"""Models of the engines of all services: learned here, or received by gossip.

The coordinator of a cell, and a gateway that places its own requests, learns from the
first events of the requests that it placed. Gossip carries the models in force to all
gateways. A service whose engines fit the nominal model has no row.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.observability.event_log import log_event
from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.engine_model import SWITCH_OFF_ABOVE
from shallotroad.policy.engine_model import SWITCH_OFF_BELOW
from shallotroad.policy.engine_model import EngineModel
from shallotroad.policy.engine_model import EngineModelEstimator
from shallotroad.policy.engine_model import is_same_model
from shallotroad.policy.engine_model import is_valid_model
from shallotroad.policy.engine_model import relative_prefill


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.engine_model import Fit
    from shallotroad.policy.engine_model import Prefill

MAX_ROWS = 64
MAX_SERVICE_NAME = 200
# Older models tell little of the engines of now.
MAX_ROW_AGE_S = 600.0
MIN_ROW_SAMPLES = 8
MAX_ROW_SAMPLES = 1_000_000
# A row takes precedence if it is more recent by this; smaller differences are the
# transit times of the exchanges.
MIN_AGE_DIFFERENCE_S = 0.5
# A model that still fits is confirmed this often.
CONFIRM_INTERVAL_S = 3.0
# The model of another coordinator that was confirmed within this time is not replaced:
# cells of one service may have different engines, which their factors cover.
HOLD_S = 15.0
DROPPED_LOG_INTERVAL_S = 1.0


class ModelInForce(NamedTuple):
    """A model with its origin.

    ``measured_s`` is the monotonic time at which it was learned or confirmed;
    ``own`` is whether this gateway learned it.
    """

    model: EngineModel
    measured_s: float
    samples: int
    own: bool


class EngineModels:
    """The model in force of each service.

    ``on_changed`` is called after a model has changed, with the service and the ratio
    of the new to the old prefill time of a typical prompt.

    Parameters
    ----------
    has_engine : callable
        Returns whether a service is known and has model engines.
    """

    def __init__(
        self,
        *,
        endpoint_registry: EndpointRegistry,
        has_engine: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        self._endpoint_registry = endpoint_registry
        self._has_engine = has_engine
        self._clock = clock
        self._estimators: dict[str, EngineModelEstimator] = {}
        self._in_force: dict[str, ModelInForce] = {}
        self._dropped_logged_s = -math.inf
        self.changes = 0
        self.dropped_rows = 0
        self.on_changed: Callable[[str, float], None] = lambda _service, _ratio: None

    def model(self, service: str) -> EngineModel:
        """Return the model in force of a service."""
        return self._endpoint_registry.engine_model(service)

    def learned_count(self) -> int:
        """Return the number of services whose learned model is in force."""
        return sum(state.model != NOMINAL_MODEL for state in self._in_force.values())

    def _estimator(self, service: str) -> EngineModelEstimator:
        estimator = self._estimators.get(service)
        if estimator is None:
            estimator = self._estimators[service] = EngineModelEstimator()
        return estimator

    # Learning

    def record_step(self, load: EndpointLoad, step_ms: float) -> None:
        """Record the shortest decode step of a stream of an engine; 0 for none."""
        if step_ms > 0:
            self._estimator(load.record.service).record_step(step_ms)

    def record_first_event(
        self, load: EndpointLoad, prefill: Prefill, first_event_ms: float
    ) -> None:
        """Record the first event of a streamed request that was placed here.

        ``first_event_ms`` is the time from its sending to the event.
        """
        record = load.record
        now_s = self._clock()
        estimator = self._estimator(record.service)
        estimator.record_first_event(
            record.identifier, record.started_at_ms, prefill, first_event_ms, now_s
        )
        if estimator.is_fit_due(now_s):
            self._fit(record.service, estimator, now_s)

    def _fit(self, service: str, estimator: EngineModelEstimator, now_s: float) -> None:
        """Renew the estimate of a service, and adopt it if it is in force."""
        endpoints = self._endpoint_registry.service_endpoints(service)
        estimator.retain(endpoints)
        in_force = self.model(service)
        was_learned = estimator.learned
        fit = estimator.fit(in_force, len(endpoints), now_s)
        if fit is None:
            return
        state = self._in_force.get(service)
        held = state is not None and not state.own and now_s - state.measured_s < HOLD_S
        if not estimator.learned:
            if not was_learned:
                return
            if held:
                estimator.learned = True
                return
            self._adopt(
                service, ModelInForce(NOMINAL_MODEL, now_s, fit.samples, True), fit
            )
            return
        difference = relative_prefill(fit.model, in_force)
        represented = SWITCH_OFF_ABOVE < difference < SWITCH_OFF_BELOW
        if state is not None and (
            held
            or (not state.own and represented)
            or is_same_model(fit.model, in_force)
        ):
            if represented and now_s - state.measured_s >= CONFIRM_INTERVAL_S:
                self._in_force[service] = state._replace(measured_s=now_s)
            return
        self._adopt(service, ModelInForce(fit.model, now_s, fit.samples, True), fit)

    def _adopt(self, service: str, state: ModelInForce, fit: Fit | None) -> None:
        """Put a model into force."""
        before = self.model(service)
        self._in_force[service] = state
        if state.model == before:
            return
        factors: dict[str, float] = {}
        if fit is not None:
            scale = relative_prefill(fit.model, state.model)
            factors = {name: value * scale for name, value in fit.factors.items()}
        self._endpoint_registry.use_engine_model(service, state.model, factors)
        self.changes += 1
        model = state.model
        log_event(
            "engine model changed",
            service=service,
            learned=model != NOMINAL_MODEL,
            source="own" if state.own else "gateway",
            tokens_per_ms=round(model.prefill_tokens_per_ms, 1),
            pairs_per_ms=round(model.attention_pairs_per_ms),
            overhead_ms=round(model.first_event_overhead_ms, 1),
            step_ms=round(model.decode_step_ms, 2),
            samples=state.samples,
            prefill_ratio=round(relative_prefill(model, before), 3),
        )
        self.on_changed(service, relative_prefill(model, before))

    # Exchange

    def rows(self) -> list[list[Any]]:
        """Return the rows for a gossip exchange, empty while all models are nominal.

        Each has the service, the age in milliseconds, the four figures of the model and
        the number of samples.
        """
        now_s = self._clock()
        recent = sorted(
            (
                (now_s - state.measured_s, service)
                for service, state in self._in_force.items()
                if now_s - state.measured_s < MAX_ROW_AGE_S
            ),
        )
        rows = []
        for age_s, service in recent[:MAX_ROWS]:
            state = self._in_force[service]
            rows.append([service, round(age_s * 1000), *state.model, state.samples])
        return rows

    def merge(self, rows: object) -> None:
        """Merge the rows of another gateway.

        ``rows`` is None from gateways of earlier versions. Rows that are malformed,
        old or absurd are dropped.
        """
        if rows is None:
            return
        if not isinstance(rows, list):
            self._log_dropped("not a list", rows)
            return
        now_s = self._clock()
        for row in rows[:MAX_ROWS]:
            try:
                service, state = _decode_row(row, now_s)
            except (TypeError, ValueError, OverflowError) as error:
                self._log_dropped(str(error), row)
                continue
            if not self._has_engine(service):
                continue  # This gateway may learn of the service later.
            known = self._in_force.get(service)
            if (
                known is not None
                and state.measured_s <= known.measured_s + MIN_AGE_DIFFERENCE_S
            ):
                continue
            if known is not None and known.own and state.model == known.model:
                state = state._replace(own=True)
            self._estimator(service).follow(learned=state.model != NOMINAL_MODEL)
            self._adopt(service, state, None)

    def _log_dropped(self, reason: str, row: object) -> None:
        self.dropped_rows += 1
        now_s = self._clock()
        if now_s - self._dropped_logged_s >= DROPPED_LOG_INTERVAL_S:
            self._dropped_logged_s = now_s
            log_event("engine model row dropped", why=reason, row=repr(row)[:200])


def _number(value: object) -> float:
    """Return a number of a row.

    Raises
    ------
    TypeError, ValueError, OverflowError
        When it is not a finite number.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("not a number")
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("not finite")
    return number


def _decode_row(row: object, now_s: float) -> tuple[str, ModelInForce]:
    """Return the service and the model of a row.

    Later versions may append fields.

    Raises
    ------
    TypeError, ValueError, OverflowError
        When the row is malformed, old or out of bounds.
    """
    if not isinstance(row, list) or len(row) < 7:
        raise TypeError("not a row")
    service, age_ms, *rest = row
    if not isinstance(service, str) or not 0 < len(service) <= MAX_SERVICE_NAME:
        raise ValueError("not a service")
    age_s = _number(age_ms) / 1000
    if not 0 <= age_s < MAX_ROW_AGE_S:
        raise ValueError("age out of bounds")
    model = EngineModel(*(_number(figure) for figure in rest[:4]))
    if not is_valid_model(model):
        raise ValueError("figures out of bounds")
    samples = _number(rest[4])
    if not MIN_ROW_SAMPLES <= samples <= MAX_ROW_SAMPLES:
        raise ValueError("samples out of bounds")
    return service, ModelInForce(model, now_s - age_s, int(samples), False)
