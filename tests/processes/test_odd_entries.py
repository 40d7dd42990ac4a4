"""Odd entries of another writer stand among those of the endpoints.

Operators of similar systems saw instances end again and again, or stop following the
list. The gateways must go on, follow the store, and use what is sound.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

GATEWAYS = ("g1", "g2")


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1)
    await gateway_harness.add_endpoint("s0", "shop", "ok")
    yield gateway_harness
    await gateway_harness.close()


def nest(depth: int) -> Any:
    value: Any = "x"
    for _ in range(depth):
        value = [value]
    return value


def put_odd_entries(harness: GatewayHarness) -> None:
    sound = harness.endpoints["s0"].registration()
    odd: dict[str, Any] = {
        "nested": nest(900),
        "nested-field": {**sound, "zone": nest(900)},
        "large-start": {**sound, "born": 2**70},
        "large-number": {**sound, "born": 1e300},
        "large-slots": {**sound, "slots": 1e308},
        "long-cold": {**sound, "cold-remaining-ms": 1e300},
        "port": {**sound, "address": "127.0.0.1:70000"},
        "no-port": {**sound, "address": "127.0.0.1:"},
        "head\r\nX-Tenant: other": sound,
        "with\0nul": sound,
        "": sound,
        "text": "text",
    }
    for name, value in odd.items():
        harness.store.put(f"servers/{name}", value)
    harness.store.put("op/evacuate/", nest(900))
    harness.store.put("op/config", {"version": 1e300, "tenants": nest(900)})


# Guards against processes that end by themselves, or stop following the list of the
# endpoints, because of one entry in it.
@pytest.mark.parametrize("before_start", [True, False])
async def test_odd_entries_end_no_gateway_and_sound_ones_are_followed(
    harness: GatewayHarness, *, before_start: bool
) -> None:
    if before_start:
        put_odd_entries(harness)
        # The store has the sound configuration again, as it keeps only the newest.
        harness.publish(2)
    for name in GATEWAYS:
        seeds = [ports["control"] for ports in harness.ports.values()]
        await harness.start(name, seeds)
    if not before_start:
        put_odd_entries(harness)
    await asyncio.sleep(1.5)
    harness.store.put(
        "servers/s0", {**harness.endpoints["s0"].registration(), "state": "draining"}
    )
    later = await harness.add_endpoint("s1", "shop", "ok")
    await asyncio.sleep(1.0)
    for number in range(12):
        name = GATEWAYS[number % len(GATEWAYS)]
        response = await harness.send_request(
            f"/stock/{number}", f"q{number}", name=name
        )
        assert response.status == 200
    assert len(later.received) == 12
    for name in GATEWAYS:
        assert harness.processes[name].returncode is None
        assert not any("malformed exchange" in str(x) for x in harness.read_log(name))
