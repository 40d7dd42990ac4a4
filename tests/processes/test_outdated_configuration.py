"""A gateway without the store gets requests that a newer configuration may allow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

# More than the propagation time that the settings state by default.
OUTAGE_S = 3.0
UNKNOWN_ROUTE: tuple[str, dict[str, str]] = ("/new/1", {})
UNKNOWN_KEY = ("/stock/1", {"Authorization": "Token k2"})


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1)
    await gateway_harness.add_endpoint("s0", "shop", "ok")
    await gateway_harness.start("g1")
    await asyncio.sleep(1.0)
    yield gateway_harness
    await gateway_harness.close()


# Guards against CONFIG: 401 or 404 for what a version allows that is not known yet.
async def test_what_a_newer_configuration_may_allow_is_not_rejected(
    harness: GatewayHarness,
) -> None:
    async def statuses() -> list[int]:
        requests = (UNKNOWN_ROUTE, UNKNOWN_KEY)
        responses = [
            await harness.send_request(path, f"r{number}", extra_headers=headers)
            for number, (path, headers) in enumerate(requests)
        ]
        return [response.status for response in responses]

    assert await statuses() == [404, 401]
    harness.store.down = True
    await asyncio.sleep(OUTAGE_S)
    assert await statuses() == [503, 503]
    served = await harness.send_request("/stock/1", "r9")
    assert served.status == 200
    harness.store.down = False
    await asyncio.sleep(OUTAGE_S)
    assert await statuses() == [404, 401]
