"""Pattern: the coordinator is killed, cut off, leaves, or its words are lost."""

from __future__ import annotations

import asyncio

import pytest

from shallotroad.gateway.coordination.coordinator import GATEWAY_TIMEOUT_S
from tests.coordination_builders import GatewayFixture
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateways
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_long_prompt_job
from tests.gateway_builders import make_record


def counted(gateway: GatewayFixture) -> int:
    return sum(
        load.running
        for load in gateway.admission_fixture.endpoint_registry.loads.values()
    )


async def test_the_next_coordinator_answers_while_the_first_is_silent() -> None:
    network = Network()
    gateways = make_gateways(network, 4)
    network.partitioned.add("g0")
    clock = gateways[3].admission_fixture.clock
    begun_s = clock()
    await gateways[3].placement_client.place(make_gateway_job(now_s=clock()))
    assert clock() - begun_s < 0.3
    assert gateways[1].coordinator.granted == 1
    begun_s = clock()
    await gateways[3].placement_client.place(make_gateway_job(now_s=clock()))
    assert clock() - begun_s < 0.05  # the silent one is not asked again at once


async def test_a_third_coordinator_answers_when_two_are_lost_together() -> None:
    network = Network()
    gateways = make_gateways(network, 6)
    network.partitioned |= {"g0", "g1"}
    clock = gateways[5].admission_fixture.clock
    begun_s = clock()
    jobs = [make_long_prompt_job(f"t{n}", f"o{n}", clock()) for n in range(3)]
    await asyncio.gather(*(gateways[5].placement_client.place(job) for job in jobs))
    assert clock() - begun_s < 0.6
    assert gateways[2].coordinator.granted == 3


async def test_a_loss_that_one_request_notices_moves_all_the_others() -> None:
    network = Network()
    gateways = make_gateways(network, 4)
    network.partitioned.add("g0")
    placement_client, clock = (
        gateways[3].placement_client,
        gateways[3].admission_fixture.clock,
    )
    begun_s = clock()
    first = asyncio.create_task(placement_client.place(make_gateway_job(now_s=clock())))
    await asyncio.sleep(0.15)
    await placement_client.place(make_gateway_job(now_s=clock()))
    await first
    assert clock() - begun_s < 0.25
    assert gateways[1].coordinator.granted == 2


async def test_a_coordinator_that_is_asked_first_knows_the_open_work() -> None:
    network = Network()
    gateways = make_gateways(network, 6)
    clock = gateways[5].admission_fixture.clock
    for _ in range(3):
        await gateways[5].placement_client.place(make_gateway_job(now_s=clock()))
    network.partitioned |= {"g0", "g1"}
    await gateways[5].placement_client.place(make_gateway_job(now_s=clock()))
    assert counted(gateways[2]) == 4


async def test_long_prompts_wait_until_the_caches_are_known() -> None:
    gateways = make_gateways(Network(), 4)
    gateways[0].survey.in_progress = True
    placement_client, clock = (
        gateways[3].placement_client,
        gateways[3].admission_fixture.clock,
    )
    await placement_client.place(make_gateway_job(now_s=clock()))
    job = make_long_prompt_job("t1", "o1", clock())
    waiting = asyncio.create_task(placement_client.place(job))
    await asyncio.sleep(0.15)
    assert not waiting.done()
    gateways[0].survey.finish()
    await asyncio.sleep(0.05)
    assert waiting.done()


async def test_an_entry_that_is_cut_off_places_by_itself() -> None:
    network = Network()
    gateways = make_gateways(network, 4)
    network.partitioned.add("g3")
    clock = gateways[3].admission_fixture.clock
    begun_s = clock()
    await gateways[3].placement_client.place(make_gateway_job(now_s=clock()))
    assert clock() - begun_s < 0.7  # three coordinators were asked
    assert counted(gateways[3]) == 1


async def test_a_coordinator_that_leaves_hands_over_at_once() -> None:
    gateways = make_gateways(Network(), 4)
    gateways[0].draining.append(True)
    clock = gateways[3].admission_fixture.clock
    begun_s = clock()
    await gateways[3].placement_client.place(make_gateway_job(now_s=clock()))
    assert clock() - begun_s < 0.05
    assert gateways[1].coordinator.granted == 1


async def test_a_coordinator_that_declines_once_is_asked_again() -> None:
    gateways = make_gateways(Network(), 4)
    clock = gateways[3].admission_fixture.clock
    known = gateways[0].admission_fixture.catalog
    for name in list(known.endpoints):
        known.remove_endpoint(name, expires_at_s=0.0, now_s=clock())
    await gateways[3].placement_client.place(make_gateway_job(now_s=clock()))
    assert counted(gateways[3]) == 1  # decided by itself
    for number in range(6):
        known.put_endpoint(make_record(f"e{number}", port=9000 + number))
    await gateways[3].placement_client.place(make_gateway_job(now_s=clock()))
    assert gateways[0].coordinator.granted == 1


async def test_a_successor_learns_the_open_work_from_reports() -> None:
    gateways = make_gateways(Network(), 4)
    clock = gateways[3].admission_fixture.clock
    for _ in range(3):
        await gateways[3].placement_client.place(make_gateway_job(now_s=clock()))
    assert counted(gateways[1]) == 0
    gateways[3].placement_client.report()
    await asyncio.sleep(0.02)
    assert counted(gateways[1]) == counted(gateways[0]) == 3


async def test_prompts_that_were_read_are_no_debt_to_a_successor() -> None:
    gateways = make_gateways(Network(), 4)
    clock = gateways[3].admission_fixture.clock
    for number in range(3):
        job = make_long_prompt_job(f"t{number}", f"o{number}", clock())
        placement = await gateways[3].placement_client.place(job)
        placement.load.record_first_event(placement.due_s, clock())
        gateways[3].placement_client.started(placement, 300.0)
    gateways[3].placement_client.report()
    await asyncio.sleep(0.02)
    loads = gateways[1].admission_fixture.endpoint_registry.loads.values()
    assert counted(gateways[1]) == 3
    assert sum(load.debt_ms(clock()) for load in loads) == 0.0


async def test_a_report_heals_a_lost_end() -> None:
    network = Network()
    gateways = make_gateways(network, 3)
    clock = gateways[2].admission_fixture.clock
    placement = await gateways[2].placement_client.place(
        make_gateway_job(now_s=clock())
    )
    network.should_drop = lambda data: data.startswith(b'["end"')
    gateways[2].placement_client.ended(placement, success=True)
    await asyncio.sleep(0.02)
    assert counted(gateways[0]) == 1
    gateways[2].placement_client.report()
    await asyncio.sleep(0.02)
    assert counted(gateways[0]) == 0


@pytest.mark.parametrize("kind", [b'["ask"', b'["grant"'])
async def test_a_question_outlives_a_lost_datagram_and_is_counted_once(
    kind: bytes,
) -> None:
    network = Network()
    gateways = make_gateways(network, 3)
    lost: list[bytes] = []

    def first_of_its_kind(data: bytes) -> bool:
        if data.startswith(kind) and not lost:
            lost.append(data)
            return True
        return False

    network.should_drop = first_of_its_kind
    job = make_gateway_job(now_s=gateways[2].admission_fixture.clock())
    await gateways[2].placement_client.place(job)
    assert lost
    assert gateways[0].coordinator.granted == 1
    assert counted(gateways[0]) == 1


async def test_the_work_of_an_entry_that_died_is_forgotten() -> None:
    network = Network()
    gateways = make_gateways(network, 3)
    clock = gateways[2].admission_fixture.clock
    await gateways[2].placement_client.place(make_gateway_job(now_s=clock()))
    network.partitioned.add("g2")
    gateways[0].coordinator.evict_timed_out()
    assert counted(gateways[0]) == 1
    await asyncio.sleep(GATEWAY_TIMEOUT_S + 0.1)
    gateways[0].coordinator.evict_timed_out()
    assert counted(gateways[0]) == 0


async def test_an_endpoint_that_the_entry_knows_to_leave_is_not_used() -> None:
    gateways = make_gateways(Network(), 3)
    clock = gateways[2].admission_fixture.clock
    endpoint_registry = gateways[2].admission_fixture.endpoint_registry
    for name in ("e0", "e1", "e2", "e3", "e4"):
        endpoint_registry.put(
            endpoint_registry.loads[name].record._replace(draining=True)
        )
    placement = await gateways[2].placement_client.place(
        make_gateway_job(now_s=clock())
    )
    assert placement.load.record.identifier == "e5"


async def test_a_caller_that_leaves_takes_its_question_back() -> None:
    gateways = make_gateways(Network(), 3)
    clock = gateways[0].admission_fixture.clock
    for load in gateways[0].admission_fixture.endpoint_registry.loads.values():
        for _ in range(load.record.slots):
            load.record_dispatch(1.0, clock())
    task = asyncio.create_task(
        gateways[2].placement_client.place(make_gateway_job(now_s=clock()))
    )
    await asyncio.sleep(0.05)
    assert gateways[0].admission_fixture.admission.queue_length == 1
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await asyncio.sleep(0.02)
    assert gateways[0].admission_fixture.admission.queue_length == 0


async def test_an_entry_cut_off_from_most_takes_no_cold_endpoint_for_itself() -> None:
    gateways = make_gateways(Network(), 5)
    lone = gateways[4]
    assert lone.placement_client.cold_owners("chat") == ["g0"]
    await asyncio.sleep(0)
    for name in ("g0", "g1", "g2", "g3"):
        member = lone.membership._members[name]
        lone.membership._members[name] = member._replace(last_seen_s=-100.0)
    assert len(lone.placement_client.cold_owners("chat")) == 5
