from __future__ import annotations

from shallotroad.platform.headers import PromptPart
from shallotroad.policy.placement import RequestProfile
from shallotroad.policy.placement import rank_engines
from shallotroad.policy.placement import view_engine
from shallotroad.policy.recent_parts import MAX_PARTS
from shallotroad.policy.recent_parts import RecentParts
from tests.gateway_builders import make_load


NOW_S = 100.0
PARTS = (PromptPart("shared", 8_000), PromptPart("own", 1_000))


def make_profile(centre: str = "a") -> RequestProfile:
    return RequestProfile(centre, PARTS, 9_000, 10_000, gap_tolerant=False)


def test_a_cached_prefix_is_worth_a_short_wait_but_not_a_long_one() -> None:
    cached, empty = make_load("e1"), make_load("e2")
    cached.record_parts(PARTS[:1])
    profile = make_profile()

    def cheapest() -> str:
        views = [view_engine(x, frozenset(), NOW_S) for x in (cached, empty)]
        first = next(rank_engines(profile, views, warm_tokens=8_000))
        return first.view.load.record.identifier

    cached.record_dispatch(200.0, NOW_S)
    assert cheapest() == "e1"
    cached.record_dispatch(9_000.0, NOW_S)
    assert cheapest() == "e2"


def test_the_own_data_centre_is_preferred_among_equals() -> None:
    near, far = make_load("e1"), make_load("e2", data_centre="b")
    views = [view_engine(x, frozenset(), NOW_S) for x in (far, near)]
    profile = make_profile()._replace(parts=PARTS[1:])
    first = next(rank_engines(profile, views, warm_tokens=0))
    assert first.view.load is near


def test_an_engine_that_fails_much_is_left_out() -> None:
    sound, failing = make_load("e1"), make_load("e2")
    for _ in range(5):
        failing.record_failure(NOW_S)
    sound.record_dispatch(500.0, NOW_S)
    views = [view_engine(x, frozenset(), NOW_S) for x in (failing, sound)]
    first = next(rank_engines(make_profile(), views, warm_tokens=0))
    assert first.view.load is sound


def test_parts_are_warm_only_for_a_while_and_bounded_in_number() -> None:
    recent = RecentParts()
    recent.record(PARTS, NOW_S)
    assert recent.warm_tokens(PARTS, NOW_S - 1.0) == 9_000
    assert recent.warm_tokens(PARTS, NOW_S + 1.0) == 0
    recent.record([PromptPart(f"p{n}", 1) for n in range(MAX_PARTS)], NOW_S)
    assert recent.warm_tokens(PARTS, NOW_S - 1.0) == 0
