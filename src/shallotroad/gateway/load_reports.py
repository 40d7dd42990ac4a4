"""Small datagrams in which entries tell each other of their load.

A lost datagram costs a little accuracy only: the next one holds the whole
load again. What was placed where is told once.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import orjson
from loguru import logger

from shallotroad.platform.headers import PromptPart
from shallotroad.policy.endpoint_load import LoadReport


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from shallotroad.gateway.fleet import Fleet
    from shallotroad.gateway.membership import Membership

REPORT_S = 0.2
NAME_CHARACTERS = 6  # of an endpoint's name, enough to tell a service's apart
MOST_PEERS = 64  # told in one round; more are told in turn, at random
PEERS_AT_FULL_RATE = 12  # with more, rounds are rarer, so that links stay free
MOST_PLACEMENTS = 30  # in one datagram of about 1 KB
NOTED_TOKENS = 200  # shorter parts are as fast to read as to tell of


class LoadReports(asyncio.DatagramProtocol):
    """Sends this entry's load and takes that of its peers."""

    def __init__(
        self,
        *,
        port: int,
        fleet: Fleet,
        membership: Membership,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._port = port
        self._fleet = fleet
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._transport: asyncio.DatagramTransport | None = None
        self._placements: list[list[object]] = []
        self._told: dict[str, LoadReport] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def placed(self, endpoint: str, parts: tuple[PromptPart, ...]) -> None:
        """Tell the peers that an endpoint now caches the parts."""
        noted = [p for p in parts if p.tokens >= NOTED_TOKENS]
        if noted and len(self._placements) < MOST_PLACEMENTS:
            self._placements.append(
                [_short(endpoint), *([p.identifier, p.tokens] for p in noted)]
            )

    def datagram_received(self, data: bytes, _: tuple[str | Any, int]) -> None:
        """Take a peer's report."""
        try:
            sender, loads, placements = orjson.loads(data)
            now_s = self._clock()
            by_name = {_short(name): x for name, x in self._fleet.loads.items()}
            for name, load in by_name.items():
                if name in loads:
                    load.report(sender, LoadReport(*loads[name]), now_s)
            for name, *parts in placements:
                known = by_name.get(name)
                if known is not None:
                    known.note_parts([PromptPart(*part) for part in parts], now_s)
        except (AttributeError, TypeError, ValueError) as error:
            logger.bind(why=repr(error)).warning("malformed load report")

    def _report(self) -> bytes | None:
        now_s = self._clock()
        loads = {}
        for identifier, load in self._fleet.loads.items():
            report = load.own_report(now_s)
            if load.running or self._told.get(identifier, report) != report:
                loads[_short(identifier)] = list(report)
            self._told[identifier] = report
        if not loads and not self._placements:
            return None
        placements, self._placements = self._placements, []
        return orjson.dumps([self._membership.name, loads, placements])

    def send(self) -> None:
        """Report to some peers, unless there is nothing to tell."""
        report = self._report()
        if report is None or self._transport is None:
            return
        hosts = self._membership.hosts(self._clock())
        for host in self._rng.sample(hosts, min(MOST_PEERS, len(hosts))):
            self._transport.sendto(report, (host, self._port))

    async def send_regularly(self) -> None:
        """Report until cancelled."""
        while True:
            peers = min(MOST_PEERS, len(self._membership.hosts(self._clock())))
            pause_s = REPORT_S * max(1.0, peers / PEERS_AT_FULL_RATE)
            await asyncio.sleep(pause_s * self._rng.uniform(0.9, 1.1))
            self.send()


def _short(endpoint: str) -> str:
    return endpoint[-NAME_CHARACTERS:]


async def open_load_reports(reports: LoadReports, host: str, port: int) -> None:
    """Bind the datagram socket."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: reports, local_addr=(host, port))
