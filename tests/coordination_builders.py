from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import cast

from shallotroad.gateway.cache_survey import CacheSurvey
from shallotroad.gateway.coordination.coordinator import Coordinator
from shallotroad.gateway.coordination.datagrams import Line
from shallotroad.gateway.coordination.placement_client import Placer
from shallotroad.gateway.membership import Membership
from tests.gateway_builders import Clock
from tests.gateway_builders import Desk
from tests.gateway_builders import make_desk


if TYPE_CHECKING:
    from collections.abc import Callable


class LoopClock(Clock):
    """The event loop's own time, as gateways see it."""

    def __call__(self) -> float:
        return asyncio.get_running_loop().time()


class Network:
    """Carries datagrams between the lines of one test; some can be lost."""

    def __init__(self) -> None:
        self.lines: dict[tuple[str, int], Line] = {}
        self.silent: set[str] = set()
        self.lose: Callable[[bytes], bool] = lambda _: False
        self.sent: list[bytes] = []

    def carry(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append(data)
        line = self.lines.get(address)
        if {sender, address[0]} & self.silent or self.lose(data) or line is None:
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(line.datagram_received, data, (sender, 1))


class Transport:
    """The sending end of one line."""

    def __init__(self, *, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._network.carry(self._host, data, address)


class Surveyed(CacheSurvey):
    """A survey that a test begins and ends: there are no engines to ask."""

    asking = False

    def pending(self, service: str) -> bool:
        return self.asking

    def finish(self) -> None:
        self.asking = False
        self.on_done()


class Entry(NamedTuple):
    """One gateway's placement parts on a test's network; its host is its name."""

    desk: Desk
    membership: Membership
    placer: Placer
    coordinator: Coordinator
    leaving: list[bool]
    survey: Surveyed


def make_entry(network: Network, name: str, *, cores: float = 1.0) -> Entry:
    clock = LoopClock()
    desk = make_desk(name=name, clock=clock)
    membership = Membership(
        name=name,
        address=f"{name}:1",
        incarnation=1,
        seeds=(),
        cores=cores,
        datagram_port=1,
    )
    line = Line(membership=membership, clock=clock)
    survey = Surveyed(fleet=desk.fleet, clock=clock)
    placer = Placer(
        admission=desk.admission,
        fleet=desk.fleet,
        membership=membership,
        survey=survey,
        send=line.send,
        clock=clock,
    )
    leaving: list[bool] = []
    coordinator = Coordinator(
        admission=desk.admission,
        fleet=desk.fleet,
        clock=clock,
        leaving=lambda: bool(leaving),
        survey=survey,
    )
    line.serve(coordinator=coordinator, placer=placer)
    line.connection_made(cast("Any", Transport(network=network, host=name)))
    network.lines[(name, 1)] = line
    return Entry(desk, membership, placer, coordinator, leaving, survey)


def make_entries(network: Network, count: int) -> list[Entry]:
    """Return entries that know each other; the first one coordinates, then the second.

    They have ever less processor, in this order.
    """
    now_s = asyncio.get_running_loop().time()
    entries = [
        make_entry(network, f"g{n}", cores=float(count - n)) for n in range(count)
    ]
    for one in entries:
        one.membership.beat()
        for other in entries:
            one.membership.merge(other.membership.table(), now_s)
    for one in entries:
        for other in entries:
            one.membership.merge(other.membership.table(), now_s)
    return entries
