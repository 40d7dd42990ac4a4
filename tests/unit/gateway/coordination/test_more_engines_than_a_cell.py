"""A deployment with more engines than one coordinator can look at for each request.

Each cell of engines has a coordinator of its own in its data centre. What shares a
prompt part meets there, the loss of a coordinator concerns the callers of its cell, and
a cell without room passes requests on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.membership import CONVERGENCE_S
from shallotroad.policy.cells import MAX_CELL_ENGINES
from shallotroad.policy.cells import Cell
from tests.coordination_builders import GatewayFixture
from tests.coordination_builders import LoopClock
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateway
from tests.coordination_builders import make_gateways
from tests.coordination_builders import put_engines
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_long_prompt_job
from tests.gateway_builders import make_prompt_request
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from shallotroad.gateway.job import Job
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement import Placement
    from shallotroad.policy.placement_request import PlacementRequest

ENGINES = {"a": 120, "b": 60}


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


def make_fleet(network: Network) -> list[GatewayFixture]:
    """Return ten gateways, the even ones in data centre a, the others in b."""
    gateways = make_gateways(network, 10, data_centres=("a", "b"))
    for gateway in gateways:
        put_engines(gateway, ENGINES)
    return gateways


def make_job(gateway: GatewayFixture, shared: str, own: str) -> Job:
    data_centre = "a" if int(gateway.membership.name[1:]) % 2 == 0 else "b"
    return make_long_prompt_job(
        shared, own, gateway.admission_fixture.clock(), data_centre=data_centre
    )


def cell_of(gateway: GatewayFixture, placement: Placement) -> Cell:
    return gateway.admission_fixture.endpoint_registry.cell_of(placement.load)


async def place(gateway: GatewayFixture, shared: str, own: str) -> Placement:
    job = make_job(gateway, shared, own)
    return await gateway.placement_client.place(job)


def start(gateway: GatewayFixture, placement: Placement) -> None:
    clock = gateway.admission_fixture.clock
    placement.load.record_first_event(placement.due_s, clock())
    gateway.placement_client.record_first_event(placement, 10.0)


async def test_all_gateways_agree_on_cells_and_their_coordinators() -> None:
    gateways = make_fleet(Network())
    registry = gateways[0].admission_fixture.endpoint_registry
    names = registry.cells("chat").names
    assert len(names) == 3
    for name in names:
        cell = Cell("chat", name)
        assert len(registry.active_loads(cell)) <= 1.5 * MAX_CELL_ENGINES
        rankings = {tuple(g.placement_client.coordinators(cell)) for g in gateways}
        assert len(rankings) == 1
        coordinator = next(iter(rankings))[0]
        assert int(coordinator[1:]) % 2 == (cell.data_centre == "b")


async def test_a_prefix_is_read_once_in_each_data_centre() -> None:
    gateways = make_fleet(Network())
    engines: dict[str, set[str]] = {"a": set(), "b": set()}
    for number, gateway in enumerate(gateways):
        placement = await place(gateway, "hot", f"o{number}")
        start(gateway, placement)
        record = placement.load.record
        assert record.data_centre == ("a" if number % 2 == 0 else "b")
        engines[record.data_centre].add(record.identifier)
        await asyncio.sleep(0.2)  # time for the prefill
    assert [len(names) for names in engines.values()] == [1, 1]


async def test_the_loss_of_a_coordinator_delays_only_the_callers_of_its_cell() -> None:
    network = Network()
    gateways = make_fleet(network)
    clock = gateways[0].admission_fixture.clock
    lost = gateways[9].placement_client.coordinators(Cell("chat", "b/0"))[0]
    network.partitioned.add(lost)
    callers = [gateway for gateway in gateways if gateway.membership.name != lost]
    delays_s: dict[str, list[float]] = {"a": [], "b": []}
    for number in range(18):
        gateway = callers[number % len(callers)]
        before_s = clock()
        placement = await place(gateway, f"t{number}", f"o{number}")
        start(gateway, placement)
        delays_s[placement.load.record.data_centre].append(clock() - before_s)
        await asyncio.sleep(0.05)
    assert max(delays_s["a"]) < 0.05
    assert max(delays_s["b"]) < 0.5
    assert sum(delay_s > 0.05 for delay_s in delays_s["b"]) <= len(callers)


async def test_a_full_cell_passes_requests_on() -> None:
    network = Network()
    gateways = make_fleet(network)
    cells = gateways[0].admission_fixture.endpoint_registry.cells("chat")
    assert cells.host("b") == "b"
    clock = gateways[0].admission_fixture.clock
    for gateway in gateways:
        registry = gateway.admission_fixture.endpoint_registry
        for load in registry.active_loads(Cell("chat", "b/0")):
            load.record_dispatch(9_000.0, clock())
    gateway = gateways[1]
    before_s = clock()
    placement = await place(gateway, "t", "o")
    assert cell_of(gateway, placement).data_centre == "a"
    assert clock() - before_s < 0.5 * 2.5
    before_s = clock()
    chat = make_gateway_job(
        now_s=clock(),
        request=make_prompt_request("c", 300, "d", 700),
        data_centre="b",
    )
    await gateway.placement_client.place(chat)
    assert clock() - before_s < 0.1  # The cell is known to be full.


async def test_a_closed_data_centre_is_served_by_the_cells_of_the_others() -> None:
    gateways = make_fleet(Network())
    for gateway in gateways:
        gateway.admission_fixture.catalog.closed_data_centres.add("b")
    placement = await place(gateways[1], "t", "o")
    assert placement.load.record.data_centre == "a"


async def test_a_request_looks_at_few_cells_however_many_there_are() -> None:
    gateways = make_gateways(Network(), 2, data_centres=("a", "b"))
    for gateway in gateways:
        put_engines(gateway, {"a": 800, "b": 800})
    registry = gateways[0].admission_fixture.endpoint_registry
    assert len(registry.cells("chat").names) == 32
    looked_at: set[str] = set()
    usable_loads = registry.usable_loads

    def record(request: PlacementRequest) -> list[EndpointLoad]:
        looked_at.add(request.cell_name)
        return usable_loads(request)

    registry.usable_loads = record  # type: ignore[method-assign]
    for number in range(10):
        looked_at.clear()
        placement = await place(gateways[0], f"t{number}", f"o{number}")
        start(gateways[0], placement)
        assert len(looked_at) == 2


async def test_gateways_that_all_start_alone_do_not_survey_every_cell() -> None:
    clock = LoopClock()
    starting = make_gateway(Network(), "g0", data_centre="a", started_s=clock())
    put_engines(starting, ENGINES)
    for number in range(8):
        start(starting, await place(starting, f"t{number}", f"o{number}"))
    assert starting.survey.requested == []
    await asyncio.sleep(CONVERGENCE_S)
    start(starting, await place(starting, "t", "o"))
    assert len(starting.survey.requested) == 1


async def test_a_starting_gateway_surveys_an_undivided_service() -> None:
    clock = LoopClock()
    starting = make_gateway(Network(), "g0", data_centre="a", started_s=clock())
    start(starting, await place(starting, "t", "o"))
    assert starting.survey.requested == [Cell("chat")]
