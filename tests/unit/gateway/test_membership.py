from __future__ import annotations

from shallotroad.gateway.membership import DEAD_S
from shallotroad.gateway.membership import Membership
from tests.gateway_builders import make_rng


def make_member(name: str, seeds: tuple[str, ...] = ()) -> Membership:
    return Membership(name=name, address=f"{name}:1", incarnation=1, seeds=seeds)


def test_all_find_each_other_through_one_seed_with_few_exchanges() -> None:
    members = {f"m{n}:1": make_member(f"m{n}", ("m0:1",)) for n in range(30)}
    rng = make_rng()
    now_s = 0.0
    for _ in range(8):
        now_s += 0.6
        for member in members.values():
            member.beat()
            for address in member.targets(1, rng, now_s):
                members[address].merge(member.table(), now_s)
                member.merge(members[address].table(), now_s)
    assert all(len(member.live(now_s)) == 30 for member in members.values())


def test_a_silent_member_is_dead_and_one_that_left_is_not_live() -> None:
    one, two, three = make_member("m1"), make_member("m2"), make_member("m3")
    one.merge(two.table(), 0.0)
    three.leave()
    one.merge(three.table(), 0.0)
    assert one.live(0.1) == ["m1", "m2"]
    assert one.live(DEAD_S + 0.1) == ["m1"]


def test_old_gossip_does_not_revive_a_dead_member() -> None:
    one, two = make_member("m1"), make_member("m2")
    table = two.table()
    one.merge(table, 0.0)
    one.merge(table, 10.0)
    assert one.live(10.0) == ["m1"]
