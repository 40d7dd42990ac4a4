"""A gateway process follows a store that comes back from a copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from devtools.gateway_harness import ROUTES
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

# The default propagation time.
PROPAGATION_S = 2.0


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.store.era = 4
    gateway_harness.publish(1)
    await gateway_harness.add_endpoint("s0", "shop", "ok")
    await gateway_harness.start("g1")
    yield gateway_harness
    await gateway_harness.close()


# Guards against CONFIG: what a restored store holds is taken for old.
async def test_a_version_under_a_revision_given_out_again_is_in_force(
    harness: GatewayHarness,
) -> None:
    harness.publish(2)
    await asyncio.sleep(PROPAGATION_S)
    harness.store.restore(1)
    harness.publish(3, ROUTES[:1])
    await asyncio.sleep(PROPAGATION_S)
    assert (await harness.send_request("/stock/1", "q1")).status == 404
    dump = await harness.dump()
    assert (dump["version"], dump["store"]["era"]) == (3, 5)


async def test_a_lost_version_is_in_force_until_it_is_written_again(
    harness: GatewayHarness,
) -> None:
    harness.publish(2, ROUTES[:1])
    await asyncio.sleep(PROPAGATION_S)
    lost = harness.store.restore(1)
    await asyncio.sleep(1.0)
    assert (await harness.send_request("/stock/1", "q1")).status == 404
    harness.store.put("op/config", lost["op/config"])
    await asyncio.sleep(6.0)
    assert (await harness.dump())["version"] == 2
