"""Two gateway processes, one of which coordinates the placements of both."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

PROMPT = {"X-Token-Usage": "9000,50", "X-Prompt-Prefix": "aa:8000,{}:1000"}


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    new_harness = GatewayHarness(tmp_path)
    await new_harness.store.start()
    new_harness.publish(1)
    yield new_harness
    await new_harness.close()


async def start_pair(harness: GatewayHarness) -> tuple[str, str]:
    """Start two gateways; return the model's coordinator and the other gateway."""
    await harness.start("g1")
    await harness.start("g2", seeds=[harness.ports["g1"]["control"]])
    async with asyncio.timeout(10):
        while True:
            dumps = {name: await harness.dump(name) for name in ("g1", "g2")}
            coordinators = {
                d["coordinators"].get("model", [""])[0] for d in dumps.values()
            }
            known = all(len(d["live_entries"]) == 2 for d in dumps.values())
            if known and len(coordinators) == 1:
                break
            await asyncio.sleep(0.1)
    (coordinator,) = coordinators
    return coordinator, "g2" if coordinator == "g1" else "g1"


def prompt_headers(own_prefix: str) -> dict[str, str]:
    return {name: value.format(own_prefix) for name, value in PROMPT.items()}


async def test_requests_with_one_prefix_share_an_endpoint_across_gateways(
    harness: GatewayHarness,
) -> None:
    for name in ("m1", "m2", "m3"):
        await harness.add_endpoint(name, "model", "stream")
    coordinator, other = await start_pair(harness)
    for number, name in enumerate((coordinator, other, other, coordinator)):
        response = await harness.send_request(
            "/chat/1",
            f"q{number}",
            body=b"x",
            name=name,
            extra_headers=prompt_headers(f"b{number}"),
        )
        assert response.complete
    used = [name for name, endpoint in harness.endpoints.items() if endpoint.received]
    assert len(used) == 1


async def test_requests_succeed_after_the_coordinator_is_killed(
    harness: GatewayHarness,
) -> None:
    for name in ("m1", "m2"):
        await harness.add_endpoint(name, "model", "stream")
    coordinator, other = await start_pair(harness)
    assert (
        await harness.send_request(
            "/chat/1", "q0", name=other, extra_headers=prompt_headers("b0")
        )
    ).complete
    harness.send_signal(coordinator, signal.SIGKILL)
    for number in range(1, 4):
        response = await harness.send_request(
            "/chat/1",
            f"q{number}",
            name=other,
            extra_headers=prompt_headers(f"b{number}"),
        )
        assert (response.status, response.complete) == (200, True)
    await asyncio.sleep(0.5)
    events = {line["event"] for line in harness.read_log(other)}
    assert "coordinator lost" in events


async def test_a_new_coordinator_uses_the_prefixes_that_engines_have_cached(
    harness: GatewayHarness,
) -> None:
    for name in ("m1", "m2", "m3"):
        await harness.add_endpoint(name, "model", "stream")
    harness.endpoints["m2"].cached_prefixes = [("aa", 8000)]
    await harness.start("g1")
    for number in range(3):
        response = await harness.send_request(
            "/chat/1", f"q{number}", extra_headers=prompt_headers(f"b{number}")
        )
        assert response.complete
    assert len(harness.endpoints["m2"].received) == 3
