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


def make_profile(data_centre: str = "a") -> RequestProfile:
    return RequestProfile(data_centre, PARTS, 9_000, 10_000, gap_tolerant=False)


def test_a_cached_prefix_outweighs_a_short_backlog_but_not_a_long_one() -> None:
    cached, empty = make_load("e1"), make_load("e2")
    cached.record_parts(PARTS[:1])
    profile = make_profile()

    def cheapest() -> str:
        views = [view_engine(x, frozenset(), NOW_S) for x in (cached, empty)]
        first = next(rank_engines(profile, views, recently_used_tokens=8_000))
        return first.view.load.record.identifier

    cached.record_dispatch(200.0, NOW_S)
    assert cheapest() == "e1"
    cached.record_dispatch(9_000.0, NOW_S)
    assert cheapest() == "e2"


def test_an_engine_in_the_same_data_centre_ranks_before_an_equal_remote_one() -> None:
    near, far = make_load("e1"), make_load("e2", data_centre="b")
    views = [view_engine(x, frozenset(), NOW_S) for x in (far, near)]
    profile = make_profile()._replace(parts=PARTS[1:])
    first = next(rank_engines(profile, views, recently_used_tokens=0))
    assert first.view.load is near


def test_an_engine_with_many_failures_ranks_after_one_with_a_backlog() -> None:
    healthy, failing = make_load("e1"), make_load("e2")
    for _ in range(5):
        failing.record_failure(NOW_S)
    healthy.record_dispatch(500.0, NOW_S)
    views = [view_engine(x, frozenset(), NOW_S) for x in (failing, healthy)]
    first = next(rank_engines(make_profile(), views, recently_used_tokens=0))
    assert first.view.load is healthy


def test_recent_parts_expire_and_are_bounded_in_number() -> None:
    recent = RecentParts()
    recent.record(PARTS, NOW_S)
    assert recent.recently_used_tokens(PARTS, NOW_S - 1.0) == 9_000
    assert recent.recently_used_tokens(PARTS, NOW_S + 1.0) == 0
    recent.record([PromptPart(f"p{n}", 1) for n in range(MAX_PARTS)], NOW_S)
    assert recent.recently_used_tokens(PARTS, NOW_S - 1.0) == 0


def test_no_engine_is_ranked_where_none_is_left() -> None:
    """Guards against an error where the last candidate of a prompt is gone."""
    assert list(rank_engines(make_profile(), [], recently_used_tokens=0)) == []
