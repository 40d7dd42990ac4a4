"""Keys that explain crashes, and facts that arrive in any order, twice or malformed."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from shallotroad.policy.crash_correlation import FACT_TTL_S
from shallotroad.policy.crash_correlation import FIRST_TRIAL_DELAY_S
from shallotroad.policy.crash_correlation import MAX_LOST_REQUESTS
from shallotroad.policy.crash_correlation import MAX_TRIALS_OF_A_KEY
from shallotroad.policy.crash_correlation import CrashCorrelation
from shallotroad.policy.crash_correlation import Incarnation
from shallotroad.policy.crash_correlation import LostRequest
from shallotroad.policy.crash_correlation import Proof
from shallotroad.policy.crash_correlation import Trial
from shallotroad.policy.crash_correlation import decode_fact
from shallotroad.policy.crash_correlation import encode_fact
from shallotroad.policy.request_losses import LossOrder


if TYPE_CHECKING:
    from shallotroad.policy.crash_correlation import Fact

NOW_S = 1000.0

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda children: st.lists(children, max_size=4),
    max_leaves=6,
)


def crash(
    correlation: CrashCorrelation, number: int, at_s: float, *requests: str
) -> None:
    """Record a crash of an engine that lost these requests, keys joined by blanks."""
    keys = [tuple(request.split()) for request in requests]
    correlation.record_crash(Incarnation(f"e{number}", 1), keys, at_s)


def suspended(correlation: CrashCorrelation, now_s: float = NOW_S) -> list[set[str]]:
    return [set(verdict.keys) for verdict in correlation.verdicts(now_s)]


def test_the_part_that_all_crashes_share_is_suspended() -> None:
    correlation = CrashCorrelation(source="g")
    correlation.record_answer(["first"], NOW_S - 9)
    for number, own in enumerate("abc"):
        crash(correlation, number, NOW_S + number, f"first deadly request:{own}", own)
    assert suspended(correlation) == [{"deadly"}]


def test_crashes_at_one_moment_are_one_cause() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(9):
        crash(correlation, number, NOW_S + number / 100, f"part request:{number}")
    assert suspended(correlation) == []


def test_an_answer_clears_the_crashes_before_it() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(3):
        crash(correlation, number, NOW_S + number, f"part request:{number}")
    assert suspended(correlation) == [{"part"}]
    correlation.record_answer(["part"], NOW_S + 4)
    assert suspended(correlation) == []


def test_a_part_that_was_answered_before_needs_more_crashes() -> None:
    correlation = CrashCorrelation(source="g")
    correlation.record_answer(["part"], NOW_S - 5)
    for number in range(4):
        crash(correlation, number, NOW_S + number, f"part request:{number}")
    assert suspended(correlation) == []
    crash(correlation, 4, NOW_S + 4, "part request:4")
    assert suspended(correlation) == [{"part"}]


def test_parts_that_always_occur_together_are_suspended_together_only() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(3):
        crash(correlation, number, NOW_S + number, f"first deadly request:{number}")
    assert suspended(correlation) == [{"first", "deadly"}]
    correlation.record_answer(["first"], NOW_S + 4)
    assert suspended(correlation) == [{"deadly"}]


def test_a_request_that_crashes_engines_suspends_no_other_request() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(3):
        crash(correlation, number, NOW_S + number, "part request:same")
    assert suspended(correlation) == [{"request:same"}]


# Guards against bad requests that are lost beside each other and hide each other.
def test_two_requests_that_are_lost_in_the_same_crashes_are_both_suspended() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(3):
        requests = ["part request:one", "part request:two"]
        crash(correlation, number, NOW_S + number, *requests)
    assert suspended(correlation)[:2] == [{"request:one"}, {"request:two"}]


# Guards against a verdict on a whole request that another verdict takes back.
def test_a_crash_of_another_request_leaves_a_suspension_in_force() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(3):
        crash(correlation, number, NOW_S + number, "part request:one")
    for number in range(3, 8):
        requests = ["part request:one", "part request:two"]
        crash(correlation, number, NOW_S + number, *requests)
        assert {"request:one"} in suspended(correlation)


# Guards against a sound part that is blamed for the crashes of whole requests.
def test_a_part_is_not_blamed_for_the_crashes_of_a_suspended_request() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(4):
        requests = ["part request:bad", f"part request:{number}"]
        crash(correlation, number, NOW_S + number, *requests)
    assert suspended(correlation) == [{"request:bad"}]
    crash(correlation, 4, NOW_S + 4, "part request:4")
    assert suspended(correlation) == [{"request:bad"}, {"part"}]


def test_a_bystander_of_every_crash_is_explained_by_the_deadly_part() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(4):
        requests = [f"deadly request:{number}"]
        if number:
            requests.append("other request:waiting")
        crash(correlation, number, NOW_S + number, *requests)
    assert suspended(correlation) == [{"deadly"}]


def test_trials_are_few_and_further_and_further_apart() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(3):
        crash(correlation, number, NOW_S + number, f"part request:{number}")
    delays_s = []
    last_s = NOW_S + 2
    for _ in range(MAX_TRIALS_OF_A_KEY):
        (verdict,) = correlation.verdicts(NOW_S)
        trial_s = correlation.next_trial_s(verdict)
        delays_s.append(trial_s - last_s)
        last_s = trial_s
        assert correlation.begin_trial(verdict, trial_s)
    assert delays_s == [FIRST_TRIAL_DELAY_S * 2**n for n in range(MAX_TRIALS_OF_A_KEY)]
    (verdict,) = correlation.verdicts(NOW_S)
    assert correlation.next_trial_s(verdict) == float("inf")
    assert correlation.verdicts(NOW_S + FACT_TTL_S + 3) == []


def test_the_number_of_losses_is_bounded() -> None:
    correlation = CrashCorrelation(source="g")
    for number in range(2 * MAX_LOST_REQUESTS):
        crash(correlation, number, NOW_S + number / 10, f"p{number} request:{number}")
    assert len(correlation.facts(10**6, NOW_S)) <= MAX_LOST_REQUESTS


times_s = st.integers(0, 60).map(lambda tenth: NOW_S + tenth / 3)
keys = st.sampled_from(["a", "b", "c", "request:1", "request:2"])
facts_of_any_kind = st.one_of(
    st.builds(
        LostRequest,
        source=st.uuids().map(str),
        endpoint=st.builds(
            Incarnation, st.sampled_from(["e1", "e2", "e3", "e4"]), st.integers(1, 2)
        ),
        keys=st.lists(keys, min_size=1, max_size=3, unique=True).map(tuple),
        at_s=times_s,
        order=st.sampled_from(LossOrder),
    ),
    st.builds(Proof, source=st.uuids().map(str), key=keys, at_s=times_s),
    st.builds(Trial, key=keys, number=st.integers(1, 3), at_s=times_s),
)


@settings(max_examples=300, deadline=None)
@given(facts=st.lists(facts_of_any_kind, max_size=12), seed=st.integers(0, 9))
def test_gateways_that_exchange_all_facts_agree(facts: list[Fact], seed: int) -> None:
    rng = random.Random(seed)
    one, two = CrashCorrelation(source="g1"), CrashCorrelation(source="g2")
    now_s = NOW_S + 30
    for fact in facts:
        one.apply(fact, now_s)
    for fact in rng.sample(facts, len(facts)) + facts[:3]:
        two.apply(fact, now_s)
    for _ in range(3):
        for fact in one.facts(999, now_s):
            two.apply(fact, now_s)
        for fact in two.facts(999, now_s):
            one.apply(fact, now_s)
    assert suspended(one, now_s) == suspended(two, now_s)
    assert [two.apply(fact, now_s) for fact in one.facts(999, now_s)] == [[]] * len(
        one.facts(999, now_s)
    )


@settings(max_examples=300, deadline=None)
@given(fact=facts_of_any_kind)
def test_decode_reverses_encode(fact: Fact) -> None:
    now_s = NOW_S + 30
    decoded = decode_fact(orjson.loads(orjson.dumps(encode_fact(fact, now_s))), now_s)
    assert decoded is not None
    assert decoded._replace(at_s=0.0) == fact._replace(at_s=0.0)
    assert decoded.at_s == pytest.approx(fact.at_s, abs=0.002)


@settings(max_examples=500, deadline=None)
@given(
    fact=facts_of_any_kind,
    position=st.integers(0, 6),
    value=json_values,
    whole=json_values,
)
def test_a_row_with_any_value_leaves_the_correlation_usable(
    fact: Fact, position: int, value: Any, whole: Any
) -> None:
    row = encode_fact(fact, NOW_S + 30)
    row[position % len(row)] = value
    correlation = CrashCorrelation(source="g")
    for malformed in (row, whole):
        decoded = decode_fact(malformed, NOW_S + 30)
        if decoded is not None:
            correlation.apply(decoded, NOW_S + 30)
    correlation.verdicts(NOW_S + 30)
    correlation.record_answer(["a"], NOW_S + 31)
    orjson.dumps([encode_fact(f, NOW_S) for f in correlation.facts(99, NOW_S + 30)])


# Guards against gateways that list the same suspended requests in different orders, as
# their losses arrived.
def test_suspended_requests_have_the_same_order_at_all_gateways() -> None:
    found = []
    for keys in (["request:1", "request:2"], ["request:2", "request:1"]):
        correlation = CrashCorrelation(source="g")
        for key in keys:
            for number in range(3):
                crash(correlation, number, NOW_S + number, key)
        found.append(suspended(correlation))
    assert found[0] == found[1]
