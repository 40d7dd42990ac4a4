"""What one gateway learns of crashes reaches all others within a second, at a bound.

Datagrams are lost or arrive twice here; the exchange of gossip brings what is missing.
"""

from __future__ import annotations

import asyncio

import pytest

from shallotroad.gateway.crash_exchange import FACTS_PER_DATAGRAM
from shallotroad.gateway.crash_exchange import FAN_OUT
from shallotroad.gateway.crash_exchange import KEEPERS
from shallotroad.policy.crash_correlation import Incarnation
from tests.crash_builders import LossyNetwork
from tests.crash_builders import loop_time
from tests.virtual_time import VirtualTimePolicy


MAX_DATAGRAM_BYTES = 1_400
# Contact time of the platform is 3 s.
CONVERGENCE_S = 1.0
EXCHANGE_INTERVAL_S = 0.6


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("gateways", [2, 5, 68, 300])
async def test_all_gateways_suspend_a_part_within_a_second(
    gateways: int, loss: float
) -> None:
    network = LossyNetwork(count=gateways, delay_s=0.02, loss=loss, seed=3)
    first = network.gateways["g0"]
    for number in range(3):
        await asyncio.sleep(1.0)
        facts = first.correlation.record_crash(
            Incarnation(f"e{number}", 1), [("deadly", f"request:{number}")], loop_time()
        )
        first.exchange.publish(facts)
    network.datagrams = 0
    elapsed_s = 0.0
    while elapsed_s < CONVERGENCE_S:
        await asyncio.sleep(0.2)
        elapsed_s += 0.2
        if elapsed_s % EXCHANGE_INTERVAL_S < 0.2:
            network.exchange_round()
    lacking = [
        name
        for name, gateway in network.gateways.items()
        if not gateway.correlation.verdicts(loop_time())
    ]
    assert lacking == []
    assert network.datagrams <= 2 * FAN_OUT * gateways
    assert network.largest_datagram <= MAX_DATAGRAM_BYTES


async def test_a_crash_with_many_requests_takes_few_small_datagrams() -> None:
    network = LossyNetwork(count=9, delay_s=0.02, seed=1)
    gateway = network.gateways["g0"]
    requests = [(f"part{n:012}", f"request:{n:024}") for n in range(16)]
    facts = gateway.correlation.record_crash(
        Incarnation("i-0123456789", 1_792_178_439_991), requests, loop_time()
    )
    gateway.exchange.publish(facts)
    await asyncio.sleep(0.06)
    assert network.datagrams == FAN_OUT * 16 // FACTS_PER_DATAGRAM
    assert network.largest_datagram <= MAX_DATAGRAM_BYTES


async def test_a_gateway_that_starts_later_learns_of_it_by_one_exchange() -> None:
    network = LossyNetwork(count=2, delay_s=0.02, loss=1.0, seed=1)
    first, second = network.gateways.values()
    for number in range(300):
        await asyncio.sleep(1.0)
        parts = f"deadly{number}" if number > 2 else "deadly"
        first.correlation.record_crash(
            Incarnation(f"e{number}", 1),
            [(parts, f"request:{number}")],
            loop_time(),
        )
    second.exchange.merge(first.exchange.rows())
    assert [set(v.keys) for v in second.correlation.verdicts(loop_time())] == [
        {"deadly"}
    ]


async def test_a_gateway_that_starts_later_learns_of_a_request_by_one_exchange() -> (
    None
):
    network = LossyNetwork(count=2, delay_s=0.02, loss=1.0, seed=1)
    first, second = network.gateways.values()
    for number in range(300):
        await asyncio.sleep(1.0)
        key = "request:bad" if number in (1, 7, 9) else f"request:{number}"
        first.correlation.record_crash(
            Incarnation(f"e{number}", 1), [(key,)], loop_time()
        )
    second.exchange.merge(first.exchange.rows())
    assert [set(v.keys) for v in second.correlation.verdicts(loop_time())] == [
        {"request:bad"}
    ]


@pytest.mark.parametrize(
    "rows", [None, 3, "x", [1], [None, [], ["lost"]], [["new", 1]]]
)
async def test_rows_of_other_versions_are_ignored(rows: object) -> None:
    network = LossyNetwork(count=2, delay_s=0.02, seed=1)
    gateway = network.gateways["g0"]
    gateway.exchange.merge(rows)
    assert gateway.exchange.rows() == []


# Guards against a power loss whose thousands of lost streams are told to all gateways.
async def test_the_first_loss_of_a_request_is_sent_to_its_keepers_only() -> None:
    network = LossyNetwork(count=68, delay_s=0.02, seed=1)
    gateway = network.gateways["g0"]
    streams = [(f"request:{number:024}",) for number in range(200)]
    facts = gateway.correlation.record_crash(Incarnation("e1", 1), streams, loop_time())
    gateway.exchange.publish(facts)
    await asyncio.sleep(1.0)
    # Each keeper tells the other keepers, as it can't know that they were told.
    assert network.datagrams <= KEEPERS * KEEPERS * len(streams)
    knowing = [g for g in network.gateways.values() if g.correlation.has_losses]
    assert len(knowing) > KEEPERS


@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("gateways", [2, 5, 68, 300])
async def test_losses_at_different_gateways_suspend_a_request_at_all(
    gateways: int, loss: float
) -> None:
    network = LossyNetwork(count=gateways, delay_s=0.02, loss=loss, seed=3)
    for number in range(3):
        await asyncio.sleep(1.0)
        noticing = network.gateways[f"g{number % gateways}"]
        facts = noticing.correlation.record_crash(
            Incarnation(f"e{number}", 1), [("request:bad",)], loop_time()
        )
        noticing.exchange.publish(facts)
    for _ in range(2):
        await asyncio.sleep(CONVERGENCE_S / 2)
        network.exchange_round()
    lacking = [
        name
        for name, gateway in network.gateways.items()
        if not gateway.correlation.verdicts(loop_time())
    ]
    assert lacking == []
    assert network.largest_datagram <= MAX_DATAGRAM_BYTES
