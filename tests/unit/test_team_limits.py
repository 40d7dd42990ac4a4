from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc.aio
import pytest

from shallotroad.config.fleet_config import RateLimit
from shallotroad.discovery.client import Instance
from shallotroad.entry import team_limits as module
from shallotroad.entry.team_limits import TeamLimits
from shallotroad.entry.team_limits import limit_owner
from shallotroad.protocol.rpc import make_server


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.protocol.peer_pb2 import TakeReply
    from shallotroad.protocol.peer_pb2 import TakeRequest

LIMITS = RateLimit(requests_per_s=50, burst_requests=20)
KEY = "k"


def rows(addresses: Sequence[str]) -> list[Instance]:
    return [
        Instance(f"e{number}", "entry", "d", address, "live")
        for number, address in enumerate(addresses)
    ]


class Fleet:
    """Entries' limits behind real gRPC servers on loopback."""

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
        self.listed = rows(addresses)

    async def stop(self) -> None:
        for limits in self.limits:
            await limits.close()
        for server in self.servers:
            await server.stop(0)


async def admitted(fleet: Fleet, seconds: float, shares: Sequence[int]) -> int:
    """Send far above the limit, spread over entries; return what was admitted."""
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
    """Whatever entry the requests come to, the team gets its limit, once."""
    fleet = Fleet()
    await fleet.start(3)
    try:
        count = await admitted(fleet, 2.0, shares)
    finally:
        await fleet.stop()
    whole = LIMITS.requests_per_s * 2.0 + LIMITS.burst_requests
    assert count <= whole * 1.15
    assert count >= whole * 0.5


async def test_requests_at_once_waste_no_lease() -> None:
    """A burst within the limit is admitted whole, though all ask at once."""
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
    """The home is cut off: it admits the limit, the others their shares."""
    fleet = Fleet()
    await fleet.start(3)
    owner = limit_owner("t", fleet.listed)
    assert owner is not None
    number = int(owner.name[1:])
    await fleet.servers[number].stop(0)
    try:
        count = await admitted(fleet, 2.0, (2, 2, 2))
    finally:
        await fleet.stop()
    whole = LIMITS.requests_per_s * 2.0 + LIMITS.burst_requests
    assert count <= 2 * whole
    assert count >= whole * 0.5


async def test_silent_home_is_not_asked_again_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet()
    await fleet.start(2)
    asked = 0

    async def never(*_: object, **__: object) -> TakeReply:
        nonlocal asked
        asked += 1
        raise grpc.aio.AioRpcError(
            grpc.StatusCode.DEADLINE_EXCEEDED,
            grpc.aio.Metadata(),
            grpc.aio.Metadata(),
        )

    owner = limit_owner("t", fleet.listed)
    assert owner is not None
    other = 1 - int(owner.name[1:])
    monkeypatch.setattr(module, "acquire_quota", never)
    try:
        for _ in range(20):
            await fleet.limits[other].acquire("t", LIMITS)
    finally:
        await fleet.stop()
    assert asked == 1


def test_home_moves_only_with_its_entry() -> None:
    listed = rows([f"127.0.0.1:{n}" for n in range(20)])
    owners = {f"t{n}": limit_owner(f"t{n}", listed) for n in range(200)}
    gone = listed[7]
    rest = [row for row in listed if row is not gone]
    moved = [t for t, owner in owners.items() if limit_owner(t, rest) != owner]
    assert all(owners[team] == gone for team in moved)


def request_of(team: str, wanted: int) -> TakeRequest:
    from shallotroad.protocol.peer_pb2 import TakeRequest

    return TakeRequest(team=team, wanted=wanted)


def test_home_grants_no_more_than_a_lease() -> None:
    limits = TeamLimits(
        name="e0",
        entries=list,
        limits_of=lambda _: RateLimit(requests_per_s=1, burst_requests=10_000),
        fleet_key=KEY,
    )
    reply = limits.grant(request_of("t", 5_000))
    assert reply.granted == module.LEASE_MAX_REQUESTS
