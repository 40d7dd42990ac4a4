"""Who gives way when callers hold too much, without connections or a network."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import cast

import pytest

from shallotroad.http_server.memory_account import CONNECTION_LIMIT
from shallotroad.http_server.memory_account import LIMIT_REACHED
from shallotroad.http_server.memory_account import MAX_PROCESS_SHARE
from shallotroad.http_server.memory_account import MAX_ROOM_WAIT_S
from shallotroad.http_server.memory_account import NO_PROGRESS
from shallotroad.http_server.memory_account import NO_ROOM
from shallotroad.http_server.memory_account import PROCESS_BYTES
from shallotroad.http_server.memory_account import STALL_S
from shallotroad.http_server.memory_account import MemoryAccount
from shallotroad.http_server.memory_account import Usage


if TYPE_CHECKING:
    from shallotroad.http_server.connection import ServerConnection

LIMIT_BYTES = 1_000_000


class Caller:
    """What the account sees of a connection."""

    def __init__(
        self, account: MemoryAccount, *, tier: int = 0, can_refuse: bool = True
    ) -> None:
        self.account = account
        self.tier = tier
        self.can_refuse = can_refuse
        self.unused = False
        self.served_requests = 0
        self.unused_since_s = 0.0
        self.ends: list[str] = []
        self.room_bytes = 0
        self.stalls = False

    @property
    def connection(self) -> ServerConnection:
        return cast("ServerConnection", self)

    def holds(self, held_bytes: int, room_bytes: int = 0) -> Caller:
        self.account.update(self.connection, Usage(held_bytes, room_bytes))
        return self

    def refuse(self, reason: str) -> None:
        self.ends.append(reason)
        self.can_refuse = False
        self.holds(0)

    def abort(self, reason: str) -> None:
        self.ends.append(reason)

    def room_given(self, needed_bytes: int) -> None:
        self.room_bytes = needed_bytes
        self.holds(0, needed_bytes)

    def record_progress(self, now_s: float) -> None:
        pass

    def forget_progress(self) -> None:
        pass

    def stalled(self, now_s: float) -> bool:
        return self.stalls


@pytest.fixture
async def account() -> MemoryAccount:
    return MemoryAccount(max_bytes=LIMIT_BYTES, max_connections=10)


def connect(
    account: MemoryAccount, *, tier: int = 0, can_refuse: bool = True
) -> Caller:
    caller = Caller(account, tier=tier, can_refuse=can_refuse)
    assert account.add(caller.connection)
    return caller


async def test_the_largest_request_gives_way_first(account: MemoryAccount) -> None:
    small, large, new = (connect(account) for _ in range(3))
    small.holds(100_000)
    large.holds(700_000)
    new.holds(300_000)
    assert (small.ends, large.ends, new.ends) == ([], [LIMIT_REACHED], [])
    assert account.held_bytes == 400_000


async def test_the_lowest_tier_gives_way_first_among_similar_requests(
    account: MemoryAccount,
) -> None:
    callers = [connect(account, tier=tier) for tier in (0, 2, 1)]
    for caller, held_bytes in zip(callers, (400_000, 300_000, 350_000), strict=True):
        caller.holds(held_bytes)
    assert [caller.ends for caller in callers] == [[], [LIMIT_REACHED], []]


async def test_a_forwarded_request_is_kept(account: MemoryAccount) -> None:
    forwarded = connect(account, can_refuse=False).holds(800_000)
    new = connect(account).holds(300_000)
    assert (forwarded.ends, new.ends) == ([], [LIMIT_REACHED])


async def test_connections_are_compared_rarely_while_none_can_give_way(
    account: MemoryAccount, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Comparing all of them for each read would take all of the processor's time.
    monkeypatch.setattr(account, "max_connections", 100)
    comparisons = 0

    class Forwarded(Caller):
        def stalled(self, now_s: float) -> bool:
            nonlocal comparisons
            comparisons += 1
            return False

    callers = [Forwarded(account, can_refuse=False) for _ in range(50)]
    for caller in callers:
        assert account.add(caller.connection)
        caller.holds(40_000)
    for held_bytes in range(40_000, 41_000):
        callers[0].holds(held_bytes)
    assert comparisons <= 100
    new = connect(account).holds(20_000)
    assert new.ends == [LIMIT_REACHED]


async def test_a_stalled_request_gives_way_before_a_larger_one(
    account: MemoryAccount,
) -> None:
    stalled, moving = connect(account), connect(account)
    stalled.stalls = True
    stalled.holds(300_000)
    moving.holds(800_000)
    assert (stalled.ends, moving.ends) == ([LIMIT_REACHED], [])


async def test_waiting_bodies_get_room_by_tier_and_then_in_their_order(
    account: MemoryAccount,
) -> None:
    held = connect(account).holds(800_000)
    late, low, high = connect(account), connect(account, tier=1), connect(account)
    for caller in (low, high, late):
        assert not account.request_room(caller.connection, 400_000)
    held.holds(0)
    assert [c.room_bytes for c in (high, late, low)] == [400_000, 400_000, 0]
    account.remove(high.connection)
    assert low.room_bytes == 400_000


async def test_a_body_over_the_limit_of_the_account_is_read_alone(
    account: MemoryAccount,
) -> None:
    # It is refused for its size or its growth, and does not wait for ever.
    first, second = connect(account), connect(account)
    assert account.request_room(first.connection, 5_000_000)
    first.holds(0, 5_000_000)
    assert not account.request_room(second.connection, 5_000_000)


async def test_only_large_callers_without_progress_are_closed_in_contention(
    account: MemoryAccount,
) -> None:
    callers = [connect(account) for _ in range(4)]
    for caller, held_bytes in zip(
        callers, (500_000, 300_000, 1_000, 100_000), strict=True
    ):
        caller.holds(held_bytes)
    for caller in callers[1:3]:
        caller.stalls = True
    account.check_progress()
    assert [c.ends for c in callers] == [[], [NO_PROGRESS], [], []]


async def test_callers_without_progress_stay_when_there_is_no_contention(
    account: MemoryAccount,
) -> None:
    caller = connect(account).holds(600_000)
    caller.stalls = True
    account.check_progress()
    assert caller.ends == []


async def test_a_caller_that_does_not_read_is_closed_in_contention(
    account: MemoryAccount,
) -> None:
    # Its request may have run, so that it can't be refused.
    caller = connect(account, can_refuse=False).holds(800_000)
    caller.stalls = True
    account.check_progress()
    assert caller.ends == [NO_PROGRESS]


async def test_a_body_that_waits_too_long_is_refused(
    account: MemoryAccount, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    connect(account).holds(800_000)
    waiting = connect(account)
    account.request_room(waiting.connection, 400_000)
    account.check_progress()
    assert waiting.ends == []
    monkeypatch.setattr(loop, "time", lambda: started_s + MAX_ROOM_WAIT_S + 1)
    account.check_progress()
    assert waiting.ends == [NO_ROOM]


async def test_unused_connections_give_way_to_new_ones(account: MemoryAccount) -> None:
    callers = [connect(account) for _ in range(10)]
    served, newer, older = callers[2:5]
    served.unused = newer.unused = older.unused = True
    served.served_requests, newer.unused_since_s = 1, 5.0
    for _ in range(3):
        connect(account)
    assert older.ends == newer.ends == served.ends == [CONNECTION_LIMIT]
    assert sum(len(caller.ends) for caller in callers) == 3
    assert not account.add(Caller(account).connection)
    assert account.connections == 10


@pytest.mark.parametrize("memory_mb", [120, 160, 200, 300, 552])
def test_the_limit_follows_from_the_memory_and_descriptors_of_the_process(
    memory_mb: int,
) -> None:
    account = MemoryAccount.for_process(memory_mb=memory_mb, descriptors=1024)
    usable_bytes = MAX_PROCESS_SHARE * memory_mb * 1_000_000
    assert PROCESS_BYTES + account.max_bytes < usable_bytes
    assert account.max_bytes > 3 * 4_194_304
    # Each of them may need a connection to an endpoint.
    assert 2 * account.max_connections < 1024


def test_stalled_callers_are_closed_before_waiting_bodies_are_refused() -> None:
    assert STALL_S < MAX_ROOM_WAIT_S
