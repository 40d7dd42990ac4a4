"""Speed of the model engines of a service, and its estimate from observed prefills.

The model of a service gives the expected times of an engine with the factor 1
(``EndpointLoad.slowness``). The nominal model applies until the observed prefills of a
service are far from it.

A prefill is observed in two ways. If no other prompt awaited its first event at the
engine when a request was placed, the time to the first event is the overhead plus the
prefill. Otherwise the time since the engine's previous first event is the prefill
alone: the engine was busy all this time. Neither uses the expected backlog, so an
engine that is wrongly taken to be slow does not keep that estimate by the queue that it
causes.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple


class EngineModel(NamedTuple):
    """Speeds of an engine.

    Parameters
    ----------
    prefill_tokens_per_ms : float
        Prompt tokens prefilled in a millisecond, without attention.
    attention_pairs_per_ms : float
        Speed of attention, whose time is added to that of the tokens. Each uncached
        token is paired with all tokens before it, cached or not: n uncached tokens
        after c cached ones make n * (c + n / 2) pairs.
    first_event_overhead_ms : float
        Time to the first event of an idle engine apart from the prefill: set-up, one
        decode step and the network.
    decode_step_ms : float
        Duration of a decode step with usual load and no prefill.
    """

    prefill_tokens_per_ms: float
    attention_pairs_per_ms: float
    first_event_overhead_ms: float
    decode_step_ms: float

    def prefill_ms(self, tokens: int, cached: int = 0) -> float:
        """Return the prefill time of a prompt at an engine of factor 1.

        ``tokens`` are the uncached tokens; ``cached`` the tokens before them that the
        engine has cached and that attention still covers.
        """
        pairs = tokens * (cached + tokens / 2)
        return tokens / self.prefill_tokens_per_ms + pairs / self.attention_pairs_per_ms


# Typical of eight-way parallel model engines, with about 30 streams.
NOMINAL_MODEL = EngineModel(
    prefill_tokens_per_ms=50.0,
    attention_pairs_per_ms=2_000_000.0,
    first_event_overhead_ms=100.0,
    decode_step_ms=10.0,
)
# No real engine is outside these bounds.
MIN_MODEL = EngineModel(1.0, 10_000.0, 1.0, 0.2)
MAX_MODEL = EngineModel(5_000.0, 1_000_000_000.0, 1_000.0, 500.0)
MODEL_DIGITS = 5
# Prompt by which two models are compared where no prompts were observed.
TYPICAL_PROMPT_TOKENS = 4_000

# Prefill time of a typical prompt, relative to the nominal one, outside of which the
# learned model comes into force: the factor of an endpoint is at least 0.5.
SWITCH_ON_BELOW = 0.5
SWITCH_ON_ABOVE = 2.0
# Within these it goes out of force again.
SWITCH_OFF_ABOVE = 0.6
SWITCH_OFF_BELOW = 1.67
# So many fits in a row must give the same verdict.
FITS_TO_SWITCH_ON = 2
FITS_TO_SWITCH_OFF = 5

MAX_FIRST_EVENT_MS = 600_000.0
# A sample has half of its weight after this time.
SAMPLE_HALF_LIFE_S = 5.0
SAMPLES_PER_ENDPOINT = 24
MAX_FIT_SAMPLES = 240
MIN_FIT_SAMPLES = 12
MIN_SAMPLES_PER_ENDPOINT = 3
# A service with fewer endpoints needs samples of all of them, so that one endpoint does
# not decide for others.
MIN_FIT_ENDPOINTS = 3
# Samples of idle engines without which the model may not become slow: the wait for
# a free slot among the streams looks like slow prefill.
MIN_ALONE_SAMPLES = 6
# Delays only lengthen a sample, so a quantile below the median is fitted.
FIT_QUANTILE = 0.4
# Prefills behind others are summed until they reach this nominal time, because an
# engine may finish some of them in one step or in another order.
MIN_RUN_NOMINAL_MS = 60.0
# Overheads that are tried. One network and one step are rarely above the last.
OVERHEADS_MS = (5.0, 15.0, 25.0, 35.0, 50.0, 70.0, 100.0, 140.0, 200.0)
# Overheads explain the samples about as well as the best one up to this factor of loss.
NEAR_BEST_LOSS = 1.1
# Weight of the doubt about an overhead, by the logarithm of its disproportion.
OVERHEAD_DOUBT = 0.02
# Relative costs of attention that are tried besides the nominal one, and the factor of
# the loss below which one is taken.
ATTENTION_COSTS = (0.4, 0.7, 1.6, 2.5)
BETTER_LOSS = 0.9
# Decode steps: this quantile of the latest samples, within these factors of what the
# prefill speed suggests. Prefills of others lengthen the samples, few streams shorten
# them.
STEP_QUANTILE = 0.25
MIN_RELATIVE_STEP = 0.5
MAX_RELATIVE_STEP = 2.0
MAX_STEP_SAMPLES = 64
MIN_STEP_SAMPLES = 8
EVENTS_PER_STEP_SAMPLE = 4
# Models that differ by less are not exchanged.
SAME_MODEL_TOLERANCE = 0.1

REFIT_INTERVAL_S = 0.5
# A fit that did not change the estimate doubles the time to the next one, up to this.
MAX_REFIT_INTERVAL_S = 4.0


def clamp_model(model: EngineModel) -> EngineModel:
    """Return the model within ``MIN_MODEL`` and ``MAX_MODEL``.

    The figures are rounded, so that those sent in messages equal them.
    """
    return EngineModel(
        *(
            float(f"{min(highest, max(lowest, value)):.{MODEL_DIGITS}g}")
            for value, lowest, highest in zip(model, MIN_MODEL, MAX_MODEL, strict=True)
        )
    )


def is_valid_model(model: EngineModel) -> bool:
    """Return whether all figures are within ``MIN_MODEL`` and ``MAX_MODEL``."""
    return all(
        lowest <= value <= highest
        for value, lowest, highest in zip(model, MIN_MODEL, MAX_MODEL, strict=True)
    )


def relative_prefill(model: EngineModel, other: EngineModel) -> float:
    """Return the prefill time of a typical prompt by that with another model."""
    if model == other:
        return 1.0
    tokens = TYPICAL_PROMPT_TOKENS
    return model.prefill_ms(tokens) / other.prefill_ms(tokens)


def is_same_model(model: EngineModel, other: EngineModel) -> bool:
    """Return whether two models differ by no more than the estimate's own noise."""
    tolerance = 1.0 + SAME_MODEL_TOLERANCE
    overhead_change_ms = abs(
        model.first_event_overhead_ms - other.first_event_overhead_ms
    )
    ratio = relative_prefill(model, other)
    steps = model.decode_step_ms / other.decode_step_ms
    return (
        1 / tolerance <= ratio <= tolerance
        and 1 / (1 + 2 * SAME_MODEL_TOLERANCE) <= steps <= 1 + 2 * SAME_MODEL_TOLERANCE
        and overhead_change_ms <= 10.0
    )


class Prefill(NamedTuple):
    """The prompt of a streamed request that was placed on an engine.

    Parameters
    ----------
    tokens, cached : int
        Uncached tokens, and cached tokens before them.
    placed_s : float
        Monotonic time of the placement.
    alone : bool
        Whether no other request awaited its first event at the engine then.
    """

    tokens: int
    cached: int
    placed_s: float
    alone: bool


class PrefillSample(NamedTuple):
    """An observed prefill, of one prompt or of several in a row.

    Parameters
    ----------
    tokens, pairs : float
        Uncached tokens and attention pairs.
    alone : bool
        Whether ``observed_ms`` contains the overhead of a first event.
    observed_ms : float
        Observed time.
    at_s : float
        Monotonic time of the observation.
    """

    tokens: float
    pairs: float
    alone: bool
    observed_ms: float
    at_s: float


class EndpointSamples:
    """Latest samples of one incarnation of an endpoint.

    ``run_tokens`` and ``run_pairs`` are the prefills since ``run_began_s`` that do not
    make a sample yet.
    """

    def __init__(self, *, started_at_ms: int) -> None:
        self.started_at_ms = started_at_ms
        self.samples: deque[PrefillSample] = deque(maxlen=SAMPLES_PER_ENDPOINT)
        self._last_first_event_s = -math.inf
        self._run_began_s = 0.0
        self._run_tokens = 0.0
        self._run_pairs = 0.0

    def record(self, prefill: Prefill, first_event_ms: float, now_s: float) -> bool:
        """Record the first event of a request; return whether it made a sample."""
        if not 0 < first_event_ms < MAX_FIRST_EVENT_MS:
            return False
        tokens = float(prefill.tokens)
        pairs = tokens * (prefill.cached + tokens / 2)
        waited = prefill.placed_s <= self._last_first_event_s
        if prefill.alone or not waited:
            self._begin_run(now_s)
        self._last_first_event_s = now_s
        if prefill.alone:
            if tokens <= 0:
                return False
            self.samples.append(
                PrefillSample(tokens, pairs, True, first_event_ms, now_s)
            )
            return True
        if not waited:
            return False
        self._run_tokens += tokens
        self._run_pairs += pairs
        nominal_ms = _work_ms(self._run_tokens, self._run_pairs, 1.0)
        observed_ms = (now_s - self._run_began_s) * 1000.0
        if nominal_ms < MIN_RUN_NOMINAL_MS or observed_ms <= 0:
            return False
        self.samples.append(
            PrefillSample(self._run_tokens, self._run_pairs, False, observed_ms, now_s)
        )
        self._begin_run(now_s)
        return True

    def _begin_run(self, now_s: float) -> None:
        self._run_began_s = now_s
        self._run_tokens = self._run_pairs = 0.0


class StepTimer:
    """Shortest duration of a decode step that the events of one stream show."""

    def __init__(self, *, tokens_per_event: int) -> None:
        self._tokens_per_event = max(1, tokens_per_event)
        self._began_s = 0.0
        self._events = 0
        self._shortest_ms = 0.0

    def record_events(self, count: int, now_s: float) -> None:
        """Record events that arrived together; ``now_s`` is monotonic, in seconds."""
        if not self._began_s:
            self._began_s = now_s
            return
        self._events += count
        if self._events < EVENTS_PER_STEP_SAMPLE:
            return
        tokens = self._events * self._tokens_per_event
        step_ms = (now_s - self._began_s) * 1000.0 / tokens
        if not self._shortest_ms or step_ms < self._shortest_ms:
            self._shortest_ms = step_ms
        self._began_s = now_s
        self._events = 0

    def take(self) -> float:
        """Return the shortest step since the last call, 0 if there was none."""
        shortest_ms, self._shortest_ms = self._shortest_ms, 0.0
        return shortest_ms


class Fit(NamedTuple):
    """Result of a fit to the samples of a service.

    Parameters
    ----------
    model : EngineModel
        The estimate.
    factors : dict of str to float
        Slowness of each endpoint with enough samples, relative to the model.
    low, high : float
        Prefill time of a typical prompt relative to the nominal one, at the overheads
        that explain the samples about equally well: the lowest and the highest.
    samples : int
        Number of samples.
    """

    model: EngineModel
    factors: dict[str, float]
    low: float
    high: float
    samples: int


def _work_ms(tokens: float, pairs: float, attention_cost: float) -> float:
    """Return a nominal prefill time with another relative cost of attention."""
    return (
        tokens / NOMINAL_MODEL.prefill_tokens_per_ms
        + attention_cost * pairs / NOMINAL_MODEL.attention_pairs_per_ms
    )


# Weight, nominal time, whether the overhead is contained, and observed time.
_Row = tuple[float, float, bool, float]


def _slope(rows: list[_Row], overhead_ms: float) -> tuple[float, float]:
    """Return the factor that fits an endpoint's samples, and the loss.

    The factor is a weighted quantile, which minimises the loss of the quantile
    regression through the origin.
    """
    ratios = sorted(
        ((observed - overhead_ms * alone) / work, weight * work)
        for weight, work, alone, observed in rows
    )
    wanted = FIT_QUANTILE * sum(weight for _, weight in ratios)
    slope = ratios[-1][0]
    for ratio, weight in ratios:
        wanted -= weight
        if wanted <= 0:
            slope = ratio
            break
    loss = sum(
        weight * (FIT_QUANTILE - (ratio < slope)) * (ratio - slope)
        for ratio, weight in ratios
    )
    return slope, loss


def _fit_slopes(
    rows: dict[str, list[_Row]], overhead_ms: float
) -> tuple[dict[str, float], float]:
    """Return the factor of each endpoint over the nominal time, and the whole loss."""
    slopes = {}
    loss = 0.0
    for endpoint, endpoint_rows in rows.items():
        slopes[endpoint], endpoint_loss = _slope(endpoint_rows, overhead_ms)
        loss += endpoint_loss
    return slopes, loss


def _doubtful_loss(fit: tuple[float, dict[str, float], float, float]) -> float:
    """Return a loss that is larger for an overhead out of proportion to the prefill."""
    overhead_ms, _, loss, middle = fit
    relative_overhead = overhead_ms / NOMINAL_MODEL.first_event_overhead_ms
    doubt = abs(math.log(relative_overhead / middle))
    return (loss + 1e-9) * (1.0 + OVERHEAD_DOUBT * doubt)


def _middle(slopes: dict[str, float], reference: float) -> float:
    """Return the factor of a service from those of its endpoints.

    It is the median, of an even number the faster of the middle ones. Of two endpoints,
    the one nearer to the model in force is taken, because either may be the odd one.
    """
    ordered = sorted(max(1e-3, slope) for slope in slopes.values())
    if len(ordered) == 2:
        return min(ordered, key=lambda slope: abs(math.log(slope / reference)))
    return ordered[(len(ordered) - 1) // 2]


class EngineModelEstimator:
    """Learns the model of one service, and decides whether it is in force.

    Attributes
    ----------
    learned : bool
        Whether the learned model is in force instead of the nominal one.
    """

    def __init__(self) -> None:
        self.learned = False
        self._endpoints: dict[str, EndpointSamples] = {}
        self._steps_ms: deque[float] = deque(maxlen=MAX_STEP_SAMPLES)
        self._next_fit_s = 0.0
        self._interval_s = REFIT_INTERVAL_S
        self._last_fit: Fit | None = None
        self._fits_in_favour = 0

    def record_first_event(
        self,
        endpoint: str,
        started_at_ms: int,
        prefill: Prefill,
        first_event_ms: float,
        now_s: float,
    ) -> None:
        """Record the first event of a streamed request.

        ``started_at_ms`` identifies the incarnation of the endpoint; samples of an
        earlier one are dropped.
        """
        samples = self._endpoints.get(endpoint)
        if samples is None or samples.started_at_ms != started_at_ms:
            samples = EndpointSamples(started_at_ms=started_at_ms)
            self._endpoints[endpoint] = samples
            self._interval_s = REFIT_INTERVAL_S
            self._next_fit_s = min(self._next_fit_s, now_s + REFIT_INTERVAL_S)
        samples.record(prefill, first_event_ms, now_s)

    def record_step(self, step_ms: float) -> None:
        """Record the shortest decode step of a stream."""
        if MIN_MODEL.decode_step_ms <= step_ms <= MAX_MODEL.decode_step_ms:
            self._steps_ms.append(step_ms)

    def follow(self, *, learned: bool) -> None:
        """Take over the decision of another gateway."""
        if learned != self.learned:
            self.learned = learned
            self._fits_in_favour = 0

    def retain(self, endpoints: set[str]) -> None:
        """Drop the samples of all other endpoints."""
        for name in self._endpoints.keys() - endpoints:
            del self._endpoints[name]

    def is_fit_due(self, now_s: float) -> bool:
        """Return whether the estimate is to be renewed now."""
        return now_s >= self._next_fit_s

    def fit(self, in_force: EngineModel, endpoints: int, now_s: float) -> Fit | None:
        """Renew the estimate and decide which model is in force.

        Parameters
        ----------
        in_force : EngineModel
            The model in force until now.
        endpoints : int
            Number of the endpoints of the service.

        Returns
        -------
        Fit or None
            None without enough samples.
        """
        fit = self._fit(in_force, endpoints, now_s)
        last, self._last_fit = self._last_fit, fit
        pending = fit is not None and self._decide(fit)
        settled = (
            not pending
            and fit is not None
            and last is not None
            and is_same_model(fit.model, last.model)
        )
        self._interval_s = (
            min(MAX_REFIT_INTERVAL_S, 2 * self._interval_s)
            if settled
            else REFIT_INTERVAL_S
        )
        self._next_fit_s = now_s + self._interval_s
        return fit

    def _decide(self, fit: Fit) -> bool:
        """Count a fit for or against the learned model; return whether it counted."""
        if self.learned:
            in_favour = fit.low > SWITCH_OFF_ABOVE and fit.high < SWITCH_OFF_BELOW
            needed = FITS_TO_SWITCH_OFF
        else:
            in_favour = fit.high < SWITCH_ON_BELOW or fit.low > SWITCH_ON_ABOVE
            needed = FITS_TO_SWITCH_ON
        self._fits_in_favour = self._fits_in_favour + 1 if in_favour else 0
        if self._fits_in_favour >= needed:
            self._fits_in_favour = 0
            self.learned = not self.learned
        return in_favour

    def _rows(
        self, attention_cost: float, now_s: float, *, alone_only: bool = False
    ) -> dict[str, list[_Row]]:
        """Return the weighted samples of the endpoints that have enough of them."""
        latest = max(
            MIN_SAMPLES_PER_ENDPOINT,
            min(SAMPLES_PER_ENDPOINT, MAX_FIT_SAMPLES // max(1, len(self._endpoints))),
        )
        rows = {}
        for endpoint, kept in self._endpoints.items():
            endpoint_rows = [
                (
                    math.exp2((sample.at_s - now_s) / SAMPLE_HALF_LIFE_S) + 1e-9,
                    max(0.1, _work_ms(sample.tokens, sample.pairs, attention_cost)),
                    sample.alone,
                    sample.observed_ms,
                )
                for sample in list(kept.samples)[-latest:]
                if sample.alone or not alone_only
            ]
            if len(endpoint_rows) >= (1 if alone_only else MIN_SAMPLES_PER_ENDPOINT):
                rows[endpoint] = endpoint_rows
        return rows

    def _fit(self, in_force: EngineModel, endpoints: int, now_s: float) -> Fit | None:
        rows = self._rows(1.0, now_s)
        count = sum(len(endpoint_rows) for endpoint_rows in rows.values())
        if count < MIN_FIT_SAMPLES or len(rows) < min(MIN_FIT_ENDPOINTS, endpoints):
            return None
        reference = relative_prefill(in_force, NOMINAL_MODEL)
        alone = sum(row[2] for kept in rows.values() for row in kept)
        overheads_ms = OVERHEADS_MS if alone else (in_force.first_event_overhead_ms,)
        fits = [
            (overhead_ms, *_fit_slopes(rows, overhead_ms))
            for overhead_ms in overheads_ms
        ]
        least = min(loss for _, _, loss in fits)
        near = [
            (overhead_ms, slopes, loss, _middle(slopes, reference))
            for overhead_ms, slopes, loss in fits
            if loss <= NEAR_BEST_LOSS * least + 1e-9
        ]
        # Equal prompts fit any overhead; then it is as far from the nominal overhead as
        # the prefill is from the nominal prefill.
        overhead_ms, slopes, loss, middle = min(near, key=_doubtful_loss)
        low = min(fit[3] for fit in near)
        high = max(fit[3] for fit in near)
        if low > SWITCH_ON_ABOVE and not self.learned:
            low = self._lowest_alone(reference, now_s)
        cost, slopes, middle = self._fit_attention(
            slopes, loss, middle, overhead_ms, reference, now_s
        )
        model = clamp_model(
            EngineModel(
                NOMINAL_MODEL.prefill_tokens_per_ms / middle,
                NOMINAL_MODEL.attention_pairs_per_ms / middle / cost,
                overhead_ms,
                self._step_ms(middle),
            )
        )
        factors = {endpoint: slope / middle for endpoint, slope in slopes.items()}
        return Fit(model, factors, low, high, count)

    def _lowest_alone(self, reference: float, now_s: float) -> float:
        """Return the lowest factor of a service by the samples of idle engines."""
        rows = self._rows(1.0, now_s, alone_only=True)
        if sum(len(endpoint_rows) for endpoint_rows in rows.values()) < (
            MIN_ALONE_SAMPLES
        ):
            return 1.0
        slopes, _ = _fit_slopes(rows, OVERHEADS_MS[-1])
        return _middle(slopes, reference)

    def _fit_attention(
        self,
        slopes: dict[str, float],
        loss: float,
        middle: float,
        overhead_ms: float,
        reference: float,
        now_s: float,
    ) -> tuple[float, dict[str, float], float]:
        """Return the relative cost of attention with the factors that belong to it.

        The nominal cost is kept unless another one explains the samples better.
        """
        best = (1.0, slopes, middle)
        least = BETTER_LOSS * loss
        for cost in ATTENTION_COSTS:
            other_slopes, other_loss = _fit_slopes(self._rows(cost, now_s), overhead_ms)
            if other_loss < least:
                least = other_loss
                best = (cost, other_slopes, _middle(other_slopes, reference))
        return best

    def _step_ms(self, prefill_factor: float) -> float:
        """Return the decode step, given the prefill time by the nominal one."""
        suggested_ms = NOMINAL_MODEL.decode_step_ms * prefill_factor
        if len(self._steps_ms) < MIN_STEP_SAMPLES:
            return suggested_ms
        ordered = sorted(self._steps_ms)
        return min(
            MAX_RELATIVE_STEP * suggested_ms,
            max(
                MIN_RELATIVE_STEP * suggested_ms,
                ordered[int(STEP_QUANTILE * len(ordered))],
            ),
        )
