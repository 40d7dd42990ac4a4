"""Many losses, long names and changing evidence at the crash monitor and exchange."""

from __future__ import annotations

import asyncio

import pytest

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.gateway.gossip import decode_state
from shallotroad.gateway.gossip import encode_state
from shallotroad.policy.crash_correlation import Incarnation
from tests.crash_builders import CrashFixture
from tests.crash_builders import LossyNetwork
from tests.crash_builders import loop_time
from tests.crash_builders import make_crash_fixture
from tests.crash_builders import make_prompt_job
from tests.gateway_builders import make_record
from tests.virtual_time import VirtualTimePolicy


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


def lose(fixture: CrashFixture, endpoint: str, part: str, body: str) -> None:
    """Let a crash of an endpoint take a request with a part."""
    job = make_prompt_job(part, body=body.encode())
    fixture.monitor.watch(job, make_record(endpoint)).record_connection_lost()


# Guards against facts that were dropped for others, come back as news and are sent on
# for ever.
@pytest.mark.parametrize("crashes", [20, 34, 48])
async def test_broadcast_ends_after_many_losses(crashes: int) -> None:
    network = LossyNetwork(count=4, delay_s=0.01)
    gateways = list(network.gateways.values())
    for number in range(crashes):
        gateway = gateways[number % len(gateways)]
        requests = [(f"p{number}-{i}", f"request:{number}-{i}") for i in range(16)]
        incarnation = Incarnation(f"e{number}", 1)
        facts = gateway.correlation.record_crash(incarnation, requests, loop_time())
        gateway.exchange.publish(facts)
    counts = []
    for _ in range(3):
        before = network.datagrams
        await asyncio.sleep(1.0)
        network.exchange_round()
        counts.append(network.datagrams - before)
    assert counts[-1] == 0


# Guards against a suspension that pauses when an answer changes its keys.
async def test_a_suspension_does_not_pause_when_its_keys_change() -> None:
    fixture = make_crash_fixture()
    for number in range(5):
        await asyncio.sleep(1.0)
        job = make_prompt_job("first", "deadly", body=f"{number}".encode())
        watch = fixture.monitor.watch(job, make_record(f"e{number}"))
        watch.record_connection_lost()
    await asyncio.sleep(5.0)
    with pytest.raises(RefusedError):
        fixture.monitor.check(make_prompt_job("first", "deadly", body=b"x"))
    fixture.monitor.record_answer(make_prompt_job("first", body=b"sound"))
    for number in range(30):
        with pytest.raises(RefusedError):
            fixture.monitor.check(
                make_prompt_job("first", "deadly", body=f"y{number}".encode())
            )
        await asyncio.sleep(0.01)


# Guards against a deadly request that is not kept among many that wait at one engine.
async def test_a_deadly_request_among_many_waiting_ones_is_found() -> None:
    fixture = make_crash_fixture()
    for number in range(8):
        await asyncio.sleep(1.0)
        for i in range(20):
            lose(fixture, f"e{number}", f"s{number}{i}", f"{number}.{i}")
        lose(fixture, f"e{number}", "deadly", f"{number}")
    await asyncio.sleep(1.0)
    assert [set(v.keys) for v in fixture.monitor.suspended] == [{"deadly"}]


# Guards against an exchange of gossip that its receiver rejects as too large.
@pytest.mark.parametrize("character", ["x", "\xe9", '"'])
async def test_the_largest_exchange_can_be_decoded(character: str) -> None:
    (gateway,) = LossyNetwork(count=1, delay_s=0.01).gateways.values()
    for number in range(12):
        requests = [
            (
                *(f"{number}{i}{k}".ljust(160, character) for k in range(15)),
                f"request:{number}{i}",
            )
            for i in range(16)
        ]
        incarnation = Incarnation(f"e{number}", 1)
        gateway.correlation.record_crash(incarnation, requests, loop_time())
    rows = gateway.exchange.rows()
    assert rows
    members = [
        [f"gateway-{i:03}", "10.0.0.1:8000", 1_700_000_000_000, 12_345, False, 1.0]
        for i in range(900)
    ]
    decode_state(encode_state({"members": members, "revision": 3, "crashes": rows}))


# Guards against a part that is taken for the fingerprint of a request.
async def test_a_part_named_like_a_fingerprint_is_suspended() -> None:
    fixture = make_crash_fixture()
    for number in range(4):
        await asyncio.sleep(1.0)
        lose(fixture, f"e{number}", "request:deadly", f"{number}")
    await asyncio.sleep(1.0)
    with pytest.raises(RefusedError):
        fixture.monitor.check(make_prompt_job("request:deadly", body=b"x"))


# Guards against an endpoint whose crashes are never classified again after an error.
async def test_an_error_of_the_connection_test_ends_only_one_classification() -> None:
    async def fail(host: str, port: int) -> bool:
        raise UnicodeError(f"{host}:{port}")

    fixture = make_crash_fixture(accepts=fail)
    lose(fixture, "e1", "p", "1")
    await asyncio.sleep(1.0)
    assert fixture.monitor._lost == {}


# Guards against a trial that is counted although its request is refused.
async def test_no_trial_is_consumed_by_a_refused_job() -> None:
    fixture = make_crash_fixture()
    for number in range(3):
        await asyncio.sleep(1.0)
        lose(fixture, f"e{number}", "b", f"a{number}")
    await asyncio.sleep(5.0)
    for number in range(3):
        await asyncio.sleep(1.0)
        lose(fixture, f"f{number}", "a", f"b{number}")
    await asyncio.sleep(6.0)
    with pytest.raises(RefusedError):
        fixture.monitor.check(make_prompt_job("a", "b", body=b"both"))
    assert fixture.correlation._trials == {}
