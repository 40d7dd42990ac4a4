"""Many gateways send to the same engines at the same moment.

Each gateway alone sees a small part of the load, and reports of the rest arrive late.
Without a coordinator, all of them would choose the same engine, and each would have
the same prefix read again.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from shallotroad.platform.headers import PromptPart
from shallotroad.policy.cells import Cell
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateways
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_long_prompt_job
from tests.gateway_builders import make_request


async def test_a_burst_through_many_gateways_is_spread_over_the_engines() -> None:
    gateways = make_gateways(Network(), 30)
    now_s = gateways[0].admission_fixture.clock()
    requests = [
        make_request(prompt_parts=(PromptPart(f"o{number}", 1000),))
        for number in range(30)
    ]
    placements = [
        gateway.placement_client.place(make_gateway_job(now_s=now_s, request=request))
        for gateway, request in zip(gateways, requests, strict=True)
    ]
    placed = await asyncio.gather(*placements)
    engines = Counter(placement.load.record.identifier for placement in placed)
    reserved = gateways[0].admission_fixture.endpoint_registry.reserved_endpoints(
        Cell("chat")
    )
    assert max(engines.values()) <= len(gateways) / len(reserved) + 2


async def test_requests_with_one_prefix_use_one_engine_from_any_gateway() -> None:
    gateways = make_gateways(Network(), 30)
    engines = set()
    for number, gateway in enumerate(gateways[:8]):
        job = make_long_prompt_job(
            "hot", f"o{number}", gateway.admission_fixture.clock()
        )
        placement = await gateway.placement_client.place(job)
        engines.add(placement.load.record.identifier)
        placement.load.record_first_event(
            placement.due_s, gateway.admission_fixture.clock()
        )
        gateway.placement_client.record_first_event(placement, 10.0)
        await asyncio.sleep(0.15)  # time for the prefill
    assert len(engines) == 1


async def test_a_free_slot_goes_to_the_highest_priority_of_all_gateways() -> None:
    gateways = make_gateways(Network(), 4)
    clock = gateways[0].admission_fixture.clock
    for load in gateways[0].admission_fixture.endpoint_registry.loads.values():
        for _ in range(load.record.slots):
            load.record_first_event(load.record_dispatch(1.0, clock()), clock())
    low = make_gateway_job(now_s=clock())
    low.tier = 2
    high = make_gateway_job(now_s=clock())
    tasks = [
        asyncio.create_task(gateways[2].placement_client.place(low)),
        asyncio.create_task(gateways[3].placement_client.place(high)),
    ]
    await asyncio.sleep(0.05)
    assert gateways[0].admission_fixture.admission.queue_length == 2
    load = gateways[0].admission_fixture.endpoint_registry.loads["e0"]
    load.record_end(0.0, started=True, now_s=clock())
    gateways[0].admission_fixture.admission.dispatch_queued()
    await asyncio.sleep(0.05)
    assert tasks[1].done()
    assert not tasks[0].done()
    tasks[0].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(0.02)
    assert gateways[0].admission_fixture.admission.queue_length == 0


async def test_a_coordinator_counts_first_events_and_ends_at_other_gateways() -> None:
    gateways = make_gateways(Network(), 3)
    clock = gateways[0].admission_fixture.clock
    placement = await gateways[2].placement_client.place(
        make_gateway_job(now_s=clock())
    )
    load = gateways[0].admission_fixture.endpoint_registry.loads[
        placement.load.record.identifier
    ]
    assert (load.running, load.awaiting_first_event) == (1, 1)
    gateways[2].placement_client.record_first_event(placement, 50.0)
    await asyncio.sleep(0.02)
    assert (load.running, load.awaiting_first_event) == (1, 0)
    gateways[2].placement_client.record_end(placement, success=True)
    await asyncio.sleep(0.02)
    assert load.running == 0
