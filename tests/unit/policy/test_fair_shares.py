"""Teams that compete for the engines of a cell get equal shares of their time."""

from __future__ import annotations

import math
from collections import Counter

from shallotroad.policy.cells import Cell
from shallotroad.policy.fair_shares import COMPETITION_MEMORY_S
from shallotroad.policy.fair_shares import MAX_TEAMS
from shallotroad.policy.fair_shares import FairShares
from shallotroad.policy.fair_shares import TierKey


KEY = TierKey(Cell("chat"), 1, 2)
LATER_KEY = TierKey(Cell("chat"), 2, 2)


class Waiting:
    def __init__(
        self,
        team: str,
        *,
        key: TierKey = KEY,
        work_ms: float = 100.0,
        precedes: bool = False,
        arrival_s: float = 0.0,
    ) -> None:
        self.tier_key = key
        self.team = team
        self.work_ms = work_ms
        self.precedes = precedes
        self.arrival_s = arrival_s
        self.waits_since_s = math.inf
        self.virtual_start_ms = 0.0


def teams(waiting: list[Waiting]) -> str:
    return "".join(item.team for item in waiting)


def serve(shares: FairShares, waiting: list[Waiting], count: int) -> Counter[str]:
    """Place so many requests, one in each dispatch; return the work of each team."""
    work: Counter[str] = Counter()
    for number in range(count):
        now_s = number * 0.01
        waiting[:] = shares.order(waiting, now_s)
        item = waiting.pop(0)
        shares.charge(item.tier_key, item.team, item.work_ms, now_s)
        work[item.team] += round(item.work_ms)
    return work


def test_a_queue_of_one_team_keeps_its_order_and_no_state() -> None:
    shares = FairShares()
    waiting = [Waiting("a"), Waiting("b", key=LATER_KEY), Waiting("a")]
    assert shares.order(waiting, 0.0) == waiting
    assert not shares.tiers


def test_one_team_with_many_requests_alternates_with_the_others() -> None:
    waiting = [Waiting("a") for _ in range(6)] + [Waiting("b"), Waiting("c")]
    assert teams(FairShares().order(waiting, 0.0)) == "abcaaaaa"


def test_the_work_is_shared_and_not_the_number_of_requests() -> None:
    waiting = [Waiting("a", work_ms=300.0) for _ in range(200)]
    waiting += [Waiting("b", work_ms=100.0) for _ in range(200)]
    work = serve(FairShares(), waiting, 80)
    assert abs(work["a"] - work["b"]) <= 300


def test_tiers_come_before_shares() -> None:
    waiting = [Waiting("a"), Waiting("a"), Waiting("b"), Waiting("c", key=LATER_KEY)]
    assert teams(FairShares().order(waiting, 0.0)) == "abac"


def test_the_requests_of_a_team_keep_their_order() -> None:
    waiting = [Waiting("a", arrival_s=float(n)) for n in range(5)] + [Waiting("b")]
    ordered = [i for i in FairShares().order(waiting, 0.0) if i.team == "a"]
    assert ordered == waiting[:5]


def test_an_interrupted_stream_comes_before_the_shares_of_all_teams() -> None:
    shares = FairShares()
    shares.order([Waiting("a"), Waiting("b")], 0.0)
    shares.charge(KEY, "a", 1_000.0, 0.0)
    waiting = [Waiting("b"), Waiting("a", precedes=True), Waiting("a")]
    assert teams(shares.order(waiting, 0.0)) == "aba"


# Guards against a team that saves a claim while it sends nothing.
def test_an_idle_team_gathers_no_credit() -> None:
    shares = FairShares()
    waiting = [Waiting(team) for _ in range(50) for team in "ab"]
    serve(shares, waiting, 40)
    waiting = [Waiting(team) for _ in range(10) for team in "ab"]
    waiting += [Waiting("c") for _ in range(10)]
    assert "cc" not in teams(shares.order(waiting, 0.5)[:6])


# Guards against a debt for time that no other team wanted.
def test_a_team_alone_gathers_no_debt() -> None:
    shares = FairShares()
    shares.order([Waiting("a"), Waiting("b")], 0.0)
    for _ in range(20):
        shares.order([Waiting("a"), Waiting("a")], 0.1)
        shares.charge(KEY, "a", 100.0, 0.1)
    ordered = shares.order([Waiting(t) for t in "aaabbb"], 0.2)
    assert teams(ordered) in {"ababab", "bababa", "baabab"}


# Guards against a team whose requests no engine may take and that blocks the rest.
def test_a_team_that_is_never_placed_gathers_a_bounded_claim() -> None:
    shares = FairShares()
    blocked = [Waiting("x") for _ in range(3)]
    waiting = [Waiting(team) for _ in range(200) for team in "ab"]
    for number in range(300):
        ordered = shares.order([*blocked, *waiting], number * 0.01)
        item = next(i for i in ordered if i.team != "x")
        waiting.remove(item)
        shares.charge(KEY, item.team, item.work_ms, number * 0.01)
    waiting = [Waiting(t) for t in "ab" for _ in range(100)] + [
        Waiting("x") for _ in range(200)
    ]
    work = serve(shares, waiting, 120)
    assert min(work["a"], work["b"]) > 0


def test_a_refused_or_withdrawn_request_is_not_charged() -> None:
    shares = FairShares()
    for number in range(20):
        shares.order([Waiting("a"), Waiting("b")], number * 0.01)
    assert teams(shares.order([Waiting("b"), Waiting("a")], 0.3)) == "ba"


def test_a_request_may_use_what_those_behind_it_may() -> None:
    waiting = [
        Waiting("a", arrival_s=1.0),
        Waiting("a", arrival_s=2.0),
        Waiting("b", arrival_s=3.0),
    ]
    ordered = FairShares().order(waiting, 3.0)
    assert [item.waits_since_s for item in ordered] == [1.0, 2.0, 2.0]


def test_the_share_of_a_team_is_what_the_others_leave() -> None:
    shares = FairShares()
    shares.order([Waiting("a"), Waiting("b")], 0.0)
    tier = shares.tier(KEY)
    assert tier is not None
    assert tier.capacity_share("a", 0.0) == 0.5
    shares.charge(KEY, "a", 900.0, 0.0)
    shares.charge(KEY, "b", 100.0, 0.0)
    assert math.isclose(tier.capacity_share("a", 0.0), 0.9)
    assert math.isclose(tier.capacity_share("b", 0.0), 0.5)


def test_state_is_bounded_and_forgotten() -> None:
    shares = FairShares()
    for batch in range(4):
        waiting = [Waiting(f"t{batch}-{n}") for n in range(MAX_TEAMS)]
        shares.order(waiting, 0.0)
        for item in waiting:
            shares.charge(KEY, item.team, 100.0, 0.0)
    tier = shares.tiers[KEY]
    assert len(tier._team_ms) <= MAX_TEAMS
    assert len(tier._used_ms) <= MAX_TEAMS
    shares.order([], COMPETITION_MEMORY_S + 0.1)
    assert not shares.tiers
