"""A coordinator stops or dies while requests of other gateways wait in its queue.

Each request must be placed elsewhere, or refused before its last start time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.exceptions import RefusedError
from tests.coordination_builders import GatewayFixture
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateways
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_long_prompt_job


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.job import Job
    from shallotroad.policy.placement import Placement

# A resubmission, two submissions without a reply, and the time to place.
HANDOVER_S = 0.3 + 2 * 0.1 + 0.1


def fill_engines(gateway: GatewayFixture) -> Callable[[], None]:
    """Leave no room at the engines, as this gateway knows; return what makes room."""
    fixture = gateway.admission_fixture
    dispatched = [
        (load, load.record_dispatch(1.0, fixture.clock()))
        for load in fixture.endpoint_registry.loads.values()
        for _ in range(load.record.slots)
    ]

    def empty_engines() -> None:
        for load, due_s in dispatched:
            load.record_end(due_s, started=False, now_s=fixture.clock())
        fixture.admission.dispatch_queued()

    return empty_engines


def stop(gateway: GatewayFixture) -> None:
    """Let a gateway drain; the others have not heard of it yet."""
    gateway.draining.append(True)
    gateway.membership.leave()


async def place_queued(
    gateway: GatewayFixture, coordinator: GatewayFixture, job: Job | None = None
) -> asyncio.Task[Placement]:
    """Start a placement and wait until it is queued at the coordinator."""
    job = job or make_gateway_job(now_s=gateway.admission_fixture.clock())
    task = asyncio.create_task(gateway.placement_client.place(job))
    await asyncio.sleep(0.05)
    assert coordinator.admission_fixture.admission.queue_length == 1
    assert not task.done()
    return task


async def test_a_draining_coordinator_still_places_what_it_has_queued() -> None:
    """Guards against a queued request that its draining coordinator forgets."""
    gateways = make_gateways(Network(), 4)
    empty_engines = fill_engines(gateways[0])
    waiting = await place_queued(gateways[3], gateways[0])
    stop(gateways[0])
    await asyncio.sleep(0.7)
    assert not waiting.done()
    empty_engines()
    await asyncio.wait_for(waiting, HANDOVER_S)
    assert gateways[0].coordinator.remote_in_flight_count == 1


@pytest.mark.parametrize("drains_first", [False, True])
async def test_a_request_queued_at_a_coordinator_that_ends_goes_to_the_next(
    drains_first: bool,
) -> None:
    """Guards against a request that waits for a coordinator that has ended."""
    network = Network()
    gateways = make_gateways(network, 4)
    fill_engines(gateways[0])
    waiting = await place_queued(gateways[3], gateways[0])
    if drains_first:
        stop(gateways[0])
        await asyncio.sleep(0.2)
    network.partitioned.add("g0")
    await asyncio.wait_for(waiting, HANDOVER_S)
    assert gateways[1].coordinator.remote_in_flight_count == 1


async def test_a_coordinator_killed_right_after_it_queued_a_request() -> None:
    """Guards against a wait without end after the only reply was ``Queued``."""
    network = Network()
    gateways = make_gateways(network, 4)
    fill_engines(gateways[0])

    def is_killed_by_its_reply(data: bytes) -> bool:
        if data.startswith(b'["hold"'):
            network.partitioned.add("g0")
        return False

    network.should_drop = is_killed_by_its_reply
    job = make_gateway_job(now_s=gateways[3].admission_fixture.clock())
    await asyncio.wait_for(gateways[3].placement_client.place(job), HANDOVER_S)
    assert gateways[1].coordinator.remote_in_flight_count == 1


@pytest.mark.parametrize("ended", [(), ("g1",), ("g0", "g1", "g2")])
async def test_a_request_is_placed_when_every_gateway_stops_at_once(
    ended: tuple[str, ...],
) -> None:
    """Guards against a request lost between coordinators that all stop."""
    network = Network()
    gateways = make_gateways(network, 4)
    fill_engines(gateways[0])
    waiting = await place_queued(gateways[3], gateways[0])
    for gateway in gateways:
        stop(gateway)
    network.partitioned.update(ended)
    await asyncio.sleep(0.1)
    if "g0" not in ended:
        network.partitioned.add("g0")
    await asyncio.wait_for(waiting, HANDOVER_S + 3 * 0.2)
    job = make_gateway_job(now_s=gateways[3].admission_fixture.clock())
    await asyncio.wait_for(gateways[3].placement_client.place(job), 0.7)


async def test_the_last_gateway_that_stops_places_its_own_requests() -> None:
    """Guards against a stopping gateway that knows no coordinator, itself included."""
    (gateway,) = make_gateways(Network(), 1)
    stop(gateway)
    job = make_gateway_job(now_s=gateway.admission_fixture.clock())
    await asyncio.wait_for(gateway.placement_client.place(job), 0.1)


async def test_a_request_without_room_anywhere_is_refused_when_all_stop() -> None:
    """Guards against silence where no gateway has room and all of them stop."""
    network = Network()
    gateways = make_gateways(network, 4)
    for gateway in gateways:
        fill_engines(gateway)
    clock = gateways[3].admission_fixture.clock
    job = make_gateway_job(now_s=clock())
    last_start_s = job.last_start_s(clock())
    waiting = await place_queued(gateways[3], gateways[0], job)
    for gateway in gateways:
        stop(gateway)
    network.partitioned |= {"g0", "g1", "g2"}
    with pytest.raises(RefusedError):
        await waiting
    assert clock() <= max(last_start_s, job.last_start_s(clock())) + 0.2
    assert clock() < job.end_s


async def test_a_coordinator_that_drains_during_its_survey_hands_over() -> None:
    """Guards against a request that waits for the survey of a stopping coordinator."""
    gateways = make_gateways(Network(), 4)
    gateways[0].survey.in_progress = True
    job = make_long_prompt_job("t1", "o1", gateways[3].admission_fixture.clock())
    waiting = asyncio.create_task(gateways[3].placement_client.place(job))
    await asyncio.sleep(0.05)
    stop(gateways[0])
    gateways[0].survey.finish()
    await asyncio.wait_for(waiting, 0.1)
    assert gateways[1].coordinator.remote_in_flight_count == 1


async def test_a_queued_request_whose_engines_are_removed_is_refused_in_time() -> None:
    """Guards against a queued request that waits for engines that are gone."""
    gateways = make_gateways(Network(), 2)
    fill_engines(gateways[0])
    clock = gateways[1].admission_fixture.clock
    job = make_gateway_job(now_s=clock())
    waiting = await place_queued(gateways[1], gateways[0], job)
    for gateway in gateways:
        catalog = gateway.admission_fixture.catalog
        for name in list(catalog.endpoints):
            catalog.remove_endpoint(name, may_return=False)
    with pytest.raises(RefusedError):
        await waiting
    assert clock() < job.end_s
