from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc.aio
import pytest

from shallotroad.config.fleet_config import RateLimit
from shallotroad.discovery.client import Instance
from shallotroad.entry import team_limits
from shallotroad.entry.team_limits import TeamLimits
from shallotroad.entry.team_limits import limit_owner
from shallotroad.protocol.rpc import make_server


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.protocol.peer_pb2 import TakeReply
    from shallotroad.protocol.peer_pb2 import TakeRequest

LIMITS = RateLimit(requests_per_s=50, burst_requests=20)
KEY = "k"


def make_instances(addresses: Sequence[str]) -> list[Instance]:
    return [
        Instance(f"e{number}", "entry", "d", address, "live")
        for number, address in enumerate(addresses)
    ]


class Fleet:
    """Team limits of several entries, behind real gRPC servers on loopback."""

    def __init__(self) -> None:
        self.limits: list[TeamLimits] = []
        self.servers: list[grpc.aio.Server] = []
        self.listed: list[Instance] = []

    async def start(self, count: int) -> None:
        addresses = []
        for number in range(count):
            limits = TeamLimits(
                name=f"e{number}",
                entries=lambda: self.listed,
                limits_of=lambda _: LIMITS,
                fleet_key=KEY,
            )
            server = make_server(
                pull=lambda _: pytest.fail("no pull"), take=limits.grant, fleet_key=KEY
            )
            port = server.add_insecure_port("127.0.0.1:0")
            await server.start()
            addresses.append(f"127.0.0.1:{port}")
            self.limits.append(limits)
            self.servers.append(server)
        self.listed = make_instances(addresses)

    async def stop(self) -> None:
        for limits in self.limits:
            await limits.close()
        for server in self.servers:
            await server.stop(0)


async def count_admitted(fleet: Fleet, seconds: float, shares: Sequence[int]) -> int:
    """Send far more than the limit, spread over entries; return the number admitted."""
    count = 0
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        for number, share in enumerate(shares):
            for _ in range(share):
                wait_s = await fleet.limits[number].acquire("t", LIMITS)
                count += wait_s == 0
        await asyncio.sleep(0.01)
    return count


@pytest.mark.parametrize("shares", [(1, 1, 1), (3, 0, 0), (0, 1, 4)])
async def test_limit_holds_over_all_entries(shares: tuple[int, ...]) -> None:
    """A team gets its limit once, however its requests are spread over entries."""
    fleet = Fleet()
    await fleet.start(3)
    try:
        count = await count_admitted(fleet, 2.0, shares)
    finally:
        await fleet.stop()
    permitted = LIMITS.requests_per_s * 2.0 + LIMITS.burst_requests
    assert count <= permitted * 1.15
    assert count >= permitted * 0.5


async def test_simultaneous_burst_within_limit_is_admitted() -> None:
    """Guards against simultaneous requests that replace each other's lease."""
    fleet = Fleet()
    await fleet.start(2)
    try:
        waits = await asyncio.gather(
            *(
                fleet.limits[n % 2].acquire("t", LIMITS)
                for n in range(LIMITS.burst_requests)
            )
        )
    finally:
        await fleet.stop()
    assert set(waits) == {0.0}


async def test_partition_admits_less_than_twice_the_limit() -> None:
    """With the owner unreachable, it admits the limit and the others their shares."""
    fleet = Fleet()
    await fleet.start(3)
    owner = limit_owner("t", fleet.listed)
    assert owner is not None
    number = int(owner.name[1:])
    await fleet.servers[number].stop(0)
    try:
        count = await count_admitted(fleet, 2.0, (2, 2, 2))
    finally:
        await fleet.stop()
    permitted = LIMITS.requests_per_s * 2.0 + LIMITS.burst_requests
    assert count <= 2 * permitted
    assert count >= permitted * 0.5


async def test_unreachable_owner_is_not_asked_again_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet()
    await fleet.start(2)
    calls = 0

    async def time_out(*_: object, **__: object) -> TakeReply:
        nonlocal calls
        calls += 1
        raise grpc.aio.AioRpcError(
            grpc.StatusCode.DEADLINE_EXCEEDED,
            grpc.aio.Metadata(),
            grpc.aio.Metadata(),
        )

    owner = limit_owner("t", fleet.listed)
    assert owner is not None
    other = 1 - int(owner.name[1:])
    monkeypatch.setattr(team_limits, "acquire_quota", time_out)
    try:
        for _ in range(20):
            await fleet.limits[other].acquire("t", LIMITS)
    finally:
        await fleet.stop()
    assert calls == 1


def test_owner_changes_only_when_its_entry_leaves() -> None:
    listed = make_instances([f"127.0.0.1:{n}" for n in range(20)])
    owners = {f"t{n}": limit_owner(f"t{n}", listed) for n in range(200)}
    gone = listed[7]
    rest = [instance for instance in listed if instance is not gone]
    moved = [t for t, owner in owners.items() if limit_owner(t, rest) != owner]
    assert all(owners[team] == gone for team in moved)


def make_request(team: str, wanted: int) -> TakeRequest:
    from shallotroad.protocol.peer_pb2 import TakeRequest

    return TakeRequest(team=team, wanted=wanted)


def test_owner_grants_at_most_one_lease() -> None:
    limits = TeamLimits(
        name="e0",
        entries=list,
        limits_of=lambda _: RateLimit(requests_per_s=1, burst_requests=10_000),
        fleet_key=KEY,
    )
    reply = limits.grant(make_request("t", 5_000))
    assert reply.granted == team_limits.MAX_LEASE_REQUESTS
