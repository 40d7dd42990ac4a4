"""Pattern: the coordinator is killed, cut off, leaves, or its words are lost."""

from __future__ import annotations

import asyncio

import pytest

from shallotroad.gateway.coordination.coordinator import SILENT_S
from tests.coordination_builders import Entry
from tests.coordination_builders import Network
from tests.coordination_builders import make_entries
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_guide_job
from tests.gateway_builders import make_record


def counted(entry: Entry) -> int:
    return sum(load.running for load in entry.desk.fleet.loads.values())


async def test_the_next_coordinator_answers_while_the_first_is_silent() -> None:
    network = Network()
    entries = make_entries(network, 4)
    network.silent.add("g0")
    clock = entries[3].desk.clock
    begun_s = clock()
    await entries[3].placer.place(make_gateway_job(now_s=clock()))
    assert clock() - begun_s < 0.3
    assert entries[1].coordinator.granted == 1
    begun_s = clock()
    await entries[3].placer.place(make_gateway_job(now_s=clock()))
    assert clock() - begun_s < 0.05  # the silent one is not asked again at once


async def test_a_third_coordinator_answers_when_two_are_lost_together() -> None:
    network = Network()
    entries = make_entries(network, 6)
    network.silent |= {"g0", "g1"}
    clock = entries[5].desk.clock
    begun_s = clock()
    jobs = [make_guide_job(f"t{n}", f"o{n}", clock()) for n in range(3)]
    await asyncio.gather(*(entries[5].placer.place(job) for job in jobs))
    assert clock() - begun_s < 0.6
    assert entries[2].coordinator.granted == 3


async def test_a_loss_that_one_request_notices_moves_all_the_others() -> None:
    network = Network()
    entries = make_entries(network, 4)
    network.silent.add("g0")
    placer, clock = entries[3].placer, entries[3].desk.clock
    begun_s = clock()
    first = asyncio.create_task(placer.place(make_gateway_job(now_s=clock())))
    await asyncio.sleep(0.15)
    await placer.place(make_gateway_job(now_s=clock()))
    await first
    assert clock() - begun_s < 0.25
    assert entries[1].coordinator.granted == 2


async def test_a_coordinator_that_is_asked_first_knows_the_open_work() -> None:
    network = Network()
    entries = make_entries(network, 6)
    clock = entries[5].desk.clock
    for _ in range(3):
        await entries[5].placer.place(make_gateway_job(now_s=clock()))
    network.silent |= {"g0", "g1"}
    await entries[5].placer.place(make_gateway_job(now_s=clock()))
    assert counted(entries[2]) == 4


async def test_long_prompts_wait_until_the_caches_are_known() -> None:
    entries = make_entries(Network(), 4)
    entries[0].survey.asking = True
    placer, clock = entries[3].placer, entries[3].desk.clock
    await placer.place(make_gateway_job(now_s=clock()))
    job = make_guide_job("t1", "o1", clock())
    waiting = asyncio.create_task(placer.place(job))
    await asyncio.sleep(0.15)
    assert not waiting.done()
    entries[0].survey.finish()
    await asyncio.sleep(0.05)
    assert waiting.done()


async def test_an_entry_that_is_cut_off_places_by_itself() -> None:
    network = Network()
    entries = make_entries(network, 4)
    network.silent.add("g3")
    clock = entries[3].desk.clock
    begun_s = clock()
    await entries[3].placer.place(make_gateway_job(now_s=clock()))
    assert clock() - begun_s < 0.7  # three coordinators were asked
    assert counted(entries[3]) == 1


async def test_a_coordinator_that_leaves_hands_over_at_once() -> None:
    entries = make_entries(Network(), 4)
    entries[0].leaving.append(True)
    clock = entries[3].desk.clock
    begun_s = clock()
    await entries[3].placer.place(make_gateway_job(now_s=clock()))
    assert clock() - begun_s < 0.05
    assert entries[1].coordinator.granted == 1


async def test_a_coordinator_that_declines_once_is_asked_again() -> None:
    entries = make_entries(Network(), 4)
    clock = entries[3].desk.clock
    known = entries[0].desk.catalog
    for name in list(known.endpoints):
        known.remove_endpoint(name, expires_at_s=0.0, now_s=clock())
    await entries[3].placer.place(make_gateway_job(now_s=clock()))
    assert counted(entries[3]) == 1  # decided by itself
    for number in range(6):
        known.put_endpoint(make_record(f"e{number}", port=9000 + number))
    await entries[3].placer.place(make_gateway_job(now_s=clock()))
    assert entries[0].coordinator.granted == 1


async def test_a_successor_learns_the_open_work_from_reports() -> None:
    entries = make_entries(Network(), 4)
    clock = entries[3].desk.clock
    for _ in range(3):
        await entries[3].placer.place(make_gateway_job(now_s=clock()))
    assert counted(entries[1]) == 0
    entries[3].placer.report()
    await asyncio.sleep(0.02)
    assert counted(entries[1]) == counted(entries[0]) == 3


async def test_prompts_that_were_read_are_no_debt_to_a_successor() -> None:
    entries = make_entries(Network(), 4)
    clock = entries[3].desk.clock
    for number in range(3):
        job = make_guide_job(f"t{number}", f"o{number}", clock())
        candidate = await entries[3].placer.place(job)
        candidate.load.start(candidate.due_s, clock())
        entries[3].placer.started(candidate, 300.0)
    entries[3].placer.report()
    await asyncio.sleep(0.02)
    loads = entries[1].desk.fleet.loads.values()
    assert counted(entries[1]) == 3
    assert sum(load.debt_ms(clock()) for load in loads) == 0.0


async def test_a_report_heals_a_lost_end() -> None:
    network = Network()
    entries = make_entries(network, 3)
    clock = entries[2].desk.clock
    candidate = await entries[2].placer.place(make_gateway_job(now_s=clock()))
    network.lose = lambda data: data.startswith(b'["end"')
    entries[2].placer.ended(candidate, success=True)
    await asyncio.sleep(0.02)
    assert counted(entries[0]) == 1
    entries[2].placer.report()
    await asyncio.sleep(0.02)
    assert counted(entries[0]) == 0


@pytest.mark.parametrize("kind", [b'["ask"', b'["grant"'])
async def test_a_question_outlives_a_lost_datagram_and_is_counted_once(
    kind: bytes,
) -> None:
    network = Network()
    entries = make_entries(network, 3)
    lost: list[bytes] = []

    def first_of_its_kind(data: bytes) -> bool:
        if data.startswith(kind) and not lost:
            lost.append(data)
            return True
        return False

    network.lose = first_of_its_kind
    job = make_gateway_job(now_s=entries[2].desk.clock())
    await entries[2].placer.place(job)
    assert lost
    assert entries[0].coordinator.granted == 1
    assert counted(entries[0]) == 1


async def test_the_work_of_an_entry_that_died_is_forgotten() -> None:
    network = Network()
    entries = make_entries(network, 3)
    clock = entries[2].desk.clock
    await entries[2].placer.place(make_gateway_job(now_s=clock()))
    network.silent.add("g2")
    entries[0].coordinator.expire()
    assert counted(entries[0]) == 1
    await asyncio.sleep(SILENT_S + 0.1)
    entries[0].coordinator.expire()
    assert counted(entries[0]) == 0


async def test_an_endpoint_that_the_entry_knows_to_leave_is_not_used() -> None:
    entries = make_entries(Network(), 3)
    clock = entries[2].desk.clock
    fleet = entries[2].desk.fleet
    for name in ("e0", "e1", "e2", "e3", "e4"):
        fleet.put(fleet.loads[name].record._replace(draining=True))
    candidate = await entries[2].placer.place(make_gateway_job(now_s=clock()))
    assert candidate.load.record.identifier == "e5"


async def test_a_caller_that_leaves_takes_its_question_back() -> None:
    entries = make_entries(Network(), 3)
    clock = entries[0].desk.clock
    for load in entries[0].desk.fleet.loads.values():
        for _ in range(load.record.slots):
            load.begin(1.0, clock())
    task = asyncio.create_task(entries[2].placer.place(make_gateway_job(now_s=clock())))
    await asyncio.sleep(0.05)
    assert entries[0].desk.admission.waiting == 1
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await asyncio.sleep(0.02)
    assert entries[0].desk.admission.waiting == 0


async def test_an_entry_cut_off_from_most_takes_no_cold_endpoint_for_itself() -> None:
    entries = make_entries(Network(), 5)
    lone = entries[4]
    assert lone.placer.cold_owners("chat") == ["g0"]
    await asyncio.sleep(0)
    for name in ("g0", "g1", "g2", "g3"):
        member = lone.membership._members[name]
        lone.membership._members[name] = member._replace(heard_s=-100.0)
    assert len(lone.placer.cold_owners("chat")) == 5
