from __future__ import annotations

from typing import Any

from shallotroad.gateway.load_reports import LoadReports
from tests.gateway_builders import Desk
from tests.gateway_builders import make_desk
from tests.gateway_builders import make_guide_job
from tests.gateway_builders import make_rng


class Wire:
    """Collects datagrams."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, _: Any) -> None:
        self.sent.append(data)


def make_reports(desk: Desk) -> tuple[LoadReports, Wire]:
    desk.membership.merge([["entry-2", "127.0.0.2:1", 1, 1, False]], desk.clock())
    reports = LoadReports(
        port=7000,
        fleet=desk.fleet,
        membership=desk.membership,
        clock=desk.clock,
        rng=make_rng(),
    )
    wire = Wire()
    reports.connection_made(wire)  # type: ignore[arg-type]
    return reports, wire


async def test_a_peer_learns_load_debt_and_cached_parts() -> None:
    sender, receiver = make_desk(), make_desk()
    reports, wire = make_reports(sender)
    reports.send()
    job = make_guide_job("thing", "own", sender.clock())
    candidate = await sender.admission.place(job)
    reports.placed(candidate.load.record.identifier, job.placing.parts)
    reports.send()
    taken, _ = make_reports(receiver)
    for datagram in wire.sent:
        taken.datagram_received(datagram, ("127.0.0.1", 7000))
    load = receiver.fleet.loads[candidate.load.record.identifier]
    assert load.all_running(receiver.clock()) == 1
    assert load.backlog_ms(receiver.clock()) > 100
    assert load.cached_tokens(job.placing.parts) == 17_000


async def test_an_idle_entry_sends_nothing() -> None:
    desk = make_desk()
    reports, wire = make_reports(desk)
    reports.send()
    assert wire.sent == []


def test_malformed_datagrams_are_ignored() -> None:
    reports, _ = make_reports(make_desk())
    for data in (b"", b"\xff", b"[1]", b'["x", 3, []]', b'["x", {"e0": [1]}, []]'):
        reports.datagram_received(data, ("127.0.0.1", 7000))
