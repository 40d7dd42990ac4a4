from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import cast

from shallotroad.gateway.cache_survey import CacheSurvey
from shallotroad.gateway.coordination.coordinator import Coordinator
from shallotroad.gateway.coordination.datagrams import CoordinationProtocol
from shallotroad.gateway.coordination.placement_client import PlacementClient
from shallotroad.gateway.endpoint_statements import EndpointStatements
from shallotroad.gateway.membership import Membership
from shallotroad.gateway.metrics import GatewayMetrics
from tests.gateway_builders import AdmissionFixture
from tests.gateway_builders import Clock
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_record


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.policy.cells import Cell


class LoopClock(Clock):
    """A clock that follows the event loop's time."""

    def __call__(self) -> float:
        return asyncio.get_running_loop().time()


class Network:
    """In-memory network for the datagrams of one test's gateways.

    It drops all datagrams from and to hosts in ``partitioned``, and those for which
    ``should_drop`` returns true.
    """

    def __init__(self) -> None:
        self.protocols: dict[tuple[str, int], CoordinationProtocol] = {}
        self.partitioned: set[str] = set()
        self.should_drop: Callable[[bytes], bool] = lambda _: False
        self.sent: list[bytes] = []

    def deliver(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append(data)
        protocol = self.protocols.get(address)
        if (
            {sender, address[0]} & self.partitioned
            or self.should_drop(data)
            or protocol is None
        ):
            return
        loop = asyncio.get_running_loop()
        loop.call_soon(protocol.datagram_received, data, (sender, 1))


class FakeTransport:
    """Datagram transport of one host on the network."""

    def __init__(self, *, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._network.deliver(self._host, data, address)


class FakeCacheSurvey(CacheSurvey):
    """A survey that a test starts and finishes, without any engines."""

    in_progress = False

    def __init__(
        self, *, endpoint_registry: EndpointRegistry, clock: Callable[[], float]
    ) -> None:
        super().__init__(
            endpoint_registry=endpoint_registry, has_engine=lambda _: True, clock=clock
        )
        self.requested: list[Cell] = []

    def refresh_if_stale(self, cell: Cell) -> bool:
        self.requested.append(cell)
        return self.in_progress

    def finish(self) -> None:
        self.in_progress = False
        self.on_done()


class GatewayFixture(NamedTuple):
    """The components of one gateway that place requests, on a test's network.

    The gateway's host on the network is its name. It drains once ``draining`` holds a
    true value.
    """

    admission_fixture: AdmissionFixture
    membership: Membership
    placement_client: PlacementClient
    coordinator: Coordinator
    draining: list[bool]
    survey: FakeCacheSurvey
    statements: EndpointStatements


def make_gateway(
    network: Network,
    name: str,
    *,
    cores: float = 1.0,
    data_centre: str = "",
    started_s: float = -math.inf,
) -> GatewayFixture:
    clock = LoopClock()
    admission_fixture = make_admission_fixture(
        name=name,
        clock=clock,
        rate_sharers=lambda cell: placement_client.rate_sharers(cell),
    )
    membership = Membership(
        name=name,
        address=f"{name}:1",
        incarnation=1,
        seeds=(),
        cores=cores,
        datagram_port=1,
        data_centre=data_centre,
        started_s=started_s,
    )
    protocol = CoordinationProtocol(membership=membership, clock=clock)
    survey = FakeCacheSurvey(
        endpoint_registry=admission_fixture.endpoint_registry, clock=clock
    )
    placement_client = PlacementClient(
        admission=admission_fixture.admission,
        endpoint_registry=admission_fixture.endpoint_registry,
        membership=membership,
        survey=survey,
        engine_models=admission_fixture.engine_models,
        send=protocol.send,
        clock=clock,
    )
    draining: list[bool] = []
    coordinator = Coordinator(
        admission=admission_fixture.admission,
        endpoint_registry=admission_fixture.endpoint_registry,
        clock=clock,
        draining=lambda: bool(draining),
        survey=survey,
        engine_models=admission_fixture.engine_models,
        report_interval_s=placement_client.report_interval_s,
    )
    protocol.set_handlers(coordinator=coordinator, placement_client=placement_client)
    statements = EndpointStatements(
        endpoint_registry=admission_fixture.endpoint_registry,
        coordinators=placement_client.coordinators,
        live_names=membership.live_names,
        send=protocol.send,
        metrics=GatewayMetrics(),
        clock=clock,
    )
    protocol.on_stated = statements.merge
    protocol.connection_made(cast("Any", FakeTransport(network=network, host=name)))
    network.protocols[(name, 1)] = protocol
    return GatewayFixture(
        admission_fixture,
        membership,
        placement_client,
        coordinator,
        draining,
        survey,
        statements,
    )


def make_gateways(
    network: Network, count: int, *, data_centres: Sequence[str] = ("",)
) -> list[GatewayFixture]:
    """Return gateways g0, g1, ... that know each other, spread over data centres.

    Each has one core less than the one before, so they coordinate in this order of
    preference.
    """
    now_s = asyncio.get_running_loop().time()
    gateways = [
        make_gateway(
            network,
            f"g{n}",
            cores=float(count - n),
            data_centre=data_centres[n % len(data_centres)],
        )
        for n in range(count)
    ]
    for gateway in gateways:
        gateway.membership.increment_heartbeat()
        for other in gateways:
            gateway.membership.merge(other.membership.snapshot(), now_s)
    for gateway in gateways:
        for other in gateways:
            gateway.membership.merge(other.membership.snapshot(), now_s)
    return gateways


def put_engines(gateway: GatewayFixture, counts: dict[str, int]) -> None:
    """Replace a gateway's engines by so many in each data centre."""
    fixture = gateway.admission_fixture
    for name in list(fixture.endpoint_registry.loads):
        fixture.endpoint_registry.remove(name)
    for data_centre, count in counts.items():
        for number in range(count):
            name = f"{data_centre}{number}"
            fixture.endpoint_registry.put(make_record(name, data_centre=data_centre))
