from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.membership import CROSS_DATA_CENTRE_SHARE
from shallotroad.gateway.membership import MEMBER_TIMEOUT_S
from shallotroad.gateway.membership import MIN_COORDINATOR_HEARTBEATS
from shallotroad.gateway.membership import NEWCOMER_HEARTBEATS
from shallotroad.gateway.membership import Membership
from tests.gateway_builders import make_rng


if TYPE_CHECKING:
    from random import Random

SIZES = [(9, 9, 9), (6, 6, 6, 6, 5), (2, 2, 1), (20, 3, 4), (8,), (100, 100, 100)]


def make_member(
    name: str,
    seeds: tuple[str, ...] = (),
    *,
    cores: float = 1.0,
    data_centre: str = "",
    incarnation: int = 1,
) -> Membership:
    return Membership(
        name=name,
        address=f"{name}:1",
        incarnation=incarnation,
        seeds=seeds,
        cores=cores,
        data_centre=data_centre,
    )


def make_data_centres(sizes: tuple[int, ...]) -> dict[str, Membership]:
    """Return members by address, with the given number in each data centre."""
    return {
        f"m{centre}-{number}:1": make_member(
            f"m{centre}-{number}", ("m0-0:1",), data_centre=f"d{centre}"
        )
        for centre, size in enumerate(sizes)
        for number in range(size)
    }


def exchange_round(members: dict[str, Membership], rng: Random, now_s: float) -> int:
    """Let each member exchange once; return the exchanges across data centres."""
    crossings = 0
    for own_address, member in members.items():
        member.increment_heartbeat()
        for address in member.choose_exchange_addresses(1, rng, now_s):
            crossings += own_address.partition("-")[0] != address.partition("-")[0]
            members[address].merge(member.snapshot(), now_s)
            member.merge(members[address].snapshot(), now_s)
    return crossings


@pytest.mark.parametrize("sizes", SIZES)
def test_all_members_find_each_other_through_one_seed_within_eight_rounds(
    sizes: tuple[int, ...],
) -> None:
    members = make_data_centres(sizes)
    rng = make_rng()
    now_s = 0.0
    for _ in range(8):
        now_s += 0.6
        exchange_round(members, rng, now_s)
    assert all(len(m.live_names(now_s)) == len(members) for m in members.values())


@pytest.mark.parametrize("sizes", SIZES[:-1])
def test_no_member_times_out_while_all_exchange(sizes: tuple[int, ...]) -> None:
    members = make_data_centres(sizes)
    rng = make_rng()
    now_s = 0.0
    for number in range(300):
        now_s += 0.6
        exchange_round(members, rng, now_s)
        if number > 8:
            assert all(
                len(m.live_names(now_s)) == len(members) for m in members.values()
            )


def test_most_exchanges_stay_in_the_data_centre() -> None:
    members = make_data_centres((9, 9, 9))
    rng = make_rng()
    for number in range(10):
        exchange_round(members, rng, 0.6 * number)
    crossings = sum(exchange_round(members, rng, 6.0) for _ in range(40))
    assert crossings < 1.3 * CROSS_DATA_CENTRE_SHARE * 40 * len(members)


def test_timed_out_and_draining_members_are_not_live() -> None:
    one, two, three = make_member("m1"), make_member("m2"), make_member("m3")
    one.merge(two.snapshot(), 0.0)
    three.leave()
    one.merge(three.snapshot(), 0.0)
    assert one.live_names(0.1) == ["m1", "m2"]
    assert one.live_names(MEMBER_TIMEOUT_S + 0.1) == ["m1"]


def test_repeated_gossip_does_not_revive_a_timed_out_member() -> None:
    one, two = make_member("m1"), make_member("m2")
    snapshot = two.snapshot()
    one.merge(snapshot, 0.0)
    one.merge(snapshot, 10.0)
    assert one.live_names(10.0) == ["m1"]


def exchange_all(members: list[Membership], now_s: float) -> None:
    for one in members:
        for other in members:
            one.merge(other.snapshot(), now_s)


def test_all_members_rank_coordinators_in_the_same_order() -> None:
    members = [make_member(f"m{n}") for n in range(9)]
    exchange_all(members, 0.0)
    ranks = [member.rank_coordinators("chat", 0.1) for member in members]
    assert all(rank == ranks[0] for rank in ranks)
    assert ranks[0] != members[0].rank_coordinators("other", 0.1)


def test_the_member_with_the_most_cores_coordinates() -> None:
    members = [make_member(f"m{n}", cores=0.4) for n in range(9)]
    members.append(make_member("big", cores=2.1))
    exchange_all(members, 0.0)
    assert members[0].rank_coordinators("chat", 0.1)[0] == "big"


def test_a_member_that_has_just_started_does_not_coordinate() -> None:
    old, new = make_member("old"), make_member("new", cores=2.0)
    for _ in range(MIN_COORDINATOR_HEARTBEATS):
        old.increment_heartbeat()
    exchange_all([old, new], 0.0)
    assert old.rank_coordinators("chat", 0.1) == ["old", "new"]
    assert new.rank_coordinators("chat", 0.1) == ["old", "new"]


@pytest.mark.parametrize(("cores", "takes_over"), [(1.5, False), (3.0, True)])
def test_a_restarted_member_takes_over_early_only_with_far_more_cores(
    cores: float, takes_over: bool
) -> None:
    old = make_member("stays", cores=1.0)
    restarted = make_member("returns", cores=cores, incarnation=20_000)
    for _ in range(NEWCOMER_HEARTBEATS - 1):
        old.increment_heartbeat()
        restarted.increment_heartbeat()
    exchange_all([old, restarted], 0.0)
    assert (old.rank_coordinators("chat", 0.1)[0] == "returns") is takes_over
    assert old.rank_coordinators("chat", 0.1) == restarted.rank_coordinators(
        "chat", 0.1
    )
    old.increment_heartbeat()
    restarted.increment_heartbeat()
    exchange_all([old, restarted], 0.6)
    assert old.rank_coordinators("chat", 0.7)[0] == "returns"


def test_timed_out_and_draining_members_do_not_coordinate() -> None:
    one, two, three = make_member("m1"), make_member("m2"), make_member("m3")
    three.leave()
    exchange_all([one, two, three], 0.0)
    assert set(one.rank_coordinators("chat", 0.1)) == {"m1", "m2"}
    assert one.rank_coordinators("chat", MEMBER_TIMEOUT_S + 0.1) == ["m1"]
    assert three.rank_coordinators("chat", MEMBER_TIMEOUT_S + 0.1) == []


def test_a_member_cut_off_from_most_others_sees_no_majority() -> None:
    members = [make_member(f"m{n}") for n in range(5)]
    exchange_all(members, 0.0)
    assert members[0].sees_half(0.1)
    assert not members[0].sees_half(MEMBER_TIMEOUT_S + 0.1)
