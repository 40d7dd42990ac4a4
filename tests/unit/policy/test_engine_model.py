"""Estimates of engines' speeds from samples that others' prompts and faults distort."""

from __future__ import annotations

import random

import pytest

from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.engine_model import EngineModel
from shallotroad.policy.engine_model import EngineModelEstimator
from shallotroad.policy.engine_model import Fit
from shallotroad.policy.engine_model import Prefill
from shallotroad.policy.engine_model import StepTimer
from shallotroad.policy.engine_model import is_valid_model
from shallotroad.policy.engine_model import relative_prefill


PROMPTS = (500, 1_000, 2_000, 4_000, 8_000, 12_000)
OVERHEAD_MS = 26.0


class ObservedEngines:
    """Engines with a factor each over the nominal prefill time, and their estimator."""

    def __init__(self, factors: dict[str, float], *, seed: int = 1) -> None:
        self.factors = factors
        self.estimator = EngineModelEstimator()
        self.in_force = NOMINAL_MODEL
        self.overhead_ms = OVERHEAD_MS
        self.now_s = 100.0
        self.started_at_ms = 1
        self.rng = random.Random(seed)
        self.fit: Fit | None = None

    def serve_alone(self, seconds: float, prompts: tuple[int, ...] = PROMPTS) -> None:
        """Let each engine serve ten single prompts a second, some of them delayed."""
        for _ in range(round(seconds * 10)):
            self.now_s += 0.1
            for name, factor in self.factors.items():
                tokens = self.rng.choice(prompts)
                observed_ms = self.overhead_ms + factor * NOMINAL_MODEL.prefill_ms(
                    tokens
                )
                if self.rng.random() < 0.25:
                    observed_ms += self.rng.expovariate(1 / 200.0)
                prefill = Prefill(tokens, 0, self.now_s - observed_ms / 1000, True)
                self._record(name, prefill, observed_ms)

    def serve_overload(self, seconds: float) -> None:
        """Let each engine serve prompts that have all waited behind others."""
        end_s = self.now_s + seconds
        first_events = []
        for name, factor in self.factors.items():
            at_s = self.now_s
            while at_s < end_s:
                tokens = self.rng.choice(PROMPTS)
                at_s += factor * NOMINAL_MODEL.prefill_ms(tokens) / 1000
                first_events.append((at_s, name, tokens))
        for at_s, name, tokens in sorted(first_events):
            self.now_s = at_s
            wait_s = self.rng.uniform(1.0, 3.0)
            self._record(name, Prefill(tokens, 0, at_s - wait_s, False), wait_s * 1000)

    def _record(self, name: str, prefill: Prefill, observed_ms: float) -> None:
        self.estimator.record_first_event(
            name, self.started_at_ms, prefill, observed_ms, self.now_s
        )
        if self.estimator.is_fit_due(self.now_s):
            self.fit = self.estimator.fit(self.in_force, len(self.factors), self.now_s)
            if self.fit is not None:
                learned = self.estimator.learned
                self.in_force = self.fit.model if learned else NOMINAL_MODEL

    @property
    def ratio(self) -> float:
        """Prefill time of the model in force by the nominal one."""
        return relative_prefill(self.in_force, NOMINAL_MODEL)


def make_equal(factor: float, count: int = 6) -> dict[str, float]:
    return {f"e{number}": factor for number in range(count)}


def test_the_nominal_model_has_the_figures_of_earlier_versions() -> None:
    """Guards against changed decisions where engines fit the nominal model."""
    assert NOMINAL_MODEL == (50.0, 2_000_000.0, 100.0, 10.0)
    pairs = 3_000 * (500 + 3_000 / 2)
    assert NOMINAL_MODEL.prefill_ms(3_000, 500) == 3_000 / 50.0 + pairs / 2_000_000.0


@pytest.mark.parametrize("factor", [0.2, 1 / 3, 3.0])
def test_the_model_is_learned_within_two_seconds(factor: float) -> None:
    engines = ObservedEngines(make_equal(factor))
    engines.serve_alone(2.0)
    assert engines.estimator.learned
    assert 0.8 * factor < engines.ratio < 1.2 * factor
    assert abs(engines.in_force.first_event_overhead_ms - OVERHEAD_MS) < 20


@pytest.mark.parametrize("factor", [0.2, 1 / 3])
def test_the_model_is_learned_under_steady_overload(factor: float) -> None:
    """Guards against a model that the queue behind a wrong one keeps in force."""
    engines = ObservedEngines(make_equal(factor))
    engines.serve_overload(2.0)
    assert engines.estimator.learned
    assert 0.8 * factor < engines.ratio < 1.2 * factor


@pytest.mark.parametrize("factor", [0.6, 0.8, 1.0, 1.3, 1.8])
def test_engines_near_the_nominal_model_keep_it(factor: float) -> None:
    engines = ObservedEngines(make_equal(factor))
    engines.serve_alone(20.0)
    assert engines.fit is not None
    assert engines.in_force == NOMINAL_MODEL


@pytest.mark.parametrize("tokens", [500, 1_000, 2_000])
def test_a_low_overhead_with_equal_prompts_is_no_sign_of_fast_prefill(
    tokens: int,
) -> None:
    """With prompts of one length, a low overhead looks like fast prefill."""
    engines = ObservedEngines(make_equal(1.0))
    engines.overhead_ms = 5.0
    engines.serve_alone(10.0, (tokens,))
    assert engines.in_force == NOMINAL_MODEL


@pytest.mark.parametrize("odd_factor", [0.005, 0.1, 10.0, 200.0])
@pytest.mark.parametrize("factor", [1.0, 0.3])
def test_one_odd_endpoint_does_not_shift_the_model(
    factor: float, odd_factor: float
) -> None:
    engines = ObservedEngines({**make_equal(factor, 4), "odd": odd_factor})
    engines.serve_alone(5.0)
    assert engines.estimator.learned == (factor < 0.5)
    assert engines.fit is not None
    learned_ratio = relative_prefill(engines.fit.model, NOMINAL_MODEL)
    assert 0.85 * factor < learned_ratio < 1.15 * factor
    for name in make_equal(factor, 4):
        assert 0.8 < engines.fit.factors[name] < 1.25


def test_an_unreachable_endpoint_does_not_prevent_learning() -> None:
    engines = ObservedEngines(make_equal(0.3, 5))
    engines.estimator.record_first_event(
        "cold", 1, Prefill(4_000, 0, engines.now_s, True), 9_000.0, engines.now_s
    )
    engines.serve_alone(2.0)
    assert engines.estimator.learned


def test_engines_with_different_factors_have_these_factors() -> None:
    factors = {"a": 0.7, "b": 0.7, "c": 1.7}
    engines = ObservedEngines({name: f * 50 / 157 for name, f in factors.items()})
    engines.serve_alone(3.0)
    assert engines.estimator.learned
    assert engines.fit is not None
    ratio = engines.fit.factors["c"] / engines.fit.factors["a"]
    assert 0.85 < ratio / (1.7 / 0.7) < 1.15


def test_a_change_of_speed_near_a_threshold_does_not_switch_back_and_forth() -> None:
    engines = ObservedEngines(make_equal(0.45))
    engines.serve_alone(3.0)
    assert engines.estimator.learned
    switches = 0
    learned = True
    for _ in range(20):
        factor = engines.rng.uniform(0.47, 0.55)
        engines.factors = make_equal(factor)
        engines.serve_alone(1.0)
        switches += engines.estimator.learned != learned
        learned = engines.estimator.learned
    assert switches == 0
    engines.factors = make_equal(1.0)
    engines.serve_alone(15.0)
    assert engines.in_force == NOMINAL_MODEL


def test_a_restarted_endpoint_starts_without_samples() -> None:
    """Guards against a release whose old samples hide the new speed."""
    engines = ObservedEngines(make_equal(0.3))
    engines.serve_alone(5.0)
    engines.started_at_ms = 2
    engines.factors = make_equal(0.15)
    engines.serve_alone(2.0)
    assert 0.12 < engines.ratio < 0.18


def test_steps_beside_prefills_do_not_raise_the_decode_step() -> None:
    engines = ObservedEngines(make_equal(0.3))
    for _ in range(100):
        engines.estimator.record_step(60.0)
    engines.serve_alone(2.0)
    assert engines.in_force.decode_step_ms <= 2.0 * 0.3 * 10.0 * 1.1


def test_the_shortest_step_of_a_stream_is_reported_once() -> None:
    steps = StepTimer(tokens_per_event=4)
    now_s = 10.0
    for gap_ms in [*[40.0] * 9, *[20.0] * 8, *[60.0] * 8]:
        steps.record_events(1, now_s)
        now_s += gap_ms / 1000
    assert steps.take() == pytest.approx(5.0)
    assert steps.take() == 0.0


@pytest.mark.parametrize("first_event_ms", [-1.0, 0.0, 1e9, 1e308])
def test_absurd_times_are_no_samples(first_event_ms: float) -> None:
    """A message of another gateway may contain any finite number."""
    engines = ObservedEngines(make_equal(0.3))
    engines.serve_alone(1.0)
    for _ in range(200):
        engines.now_s += 0.001
        prefill = Prefill(1_000, 0, engines.now_s - 0.01, True)
        engines._record("e0", prefill, first_event_ms)
    engines.serve_alone(2.0)
    assert engines.estimator.learned
    assert 0.25 < engines.ratio < 0.36


@pytest.mark.parametrize(
    "model",
    [
        EngineModel(0.0, 1e6, 100.0, 10.0),
        EngineModel(50.0, -1e6, 100.0, 10.0),
        EngineModel(50.0, 1e6, float("inf"), 10.0),
        EngineModel(50.0, 1e6, 100.0, float("nan")),
        EngineModel(1e9, 1e6, 100.0, 10.0),
    ],
)
def test_absurd_figures_are_not_a_valid_model(model: EngineModel) -> None:
    assert not is_valid_model(model)
