"""Two real gateways whose requests for engines one of them places."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest
from devtools.gateway_bench import GatewayBench


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

PROMPT = {"X-Token-Usage": "9000,50", "X-Prompt-Prefix": "aa:8000,{}:1000"}


@pytest.fixture
async def bench(tmp_path: Path) -> AsyncIterator[GatewayBench]:
    made = GatewayBench(tmp_path)
    await made.store.start()
    made.publish(1)
    yield made
    await made.close()


async def start_pair(bench: GatewayBench) -> tuple[str, str]:
    """Start two gateways; return the coordinator of the model and the other."""
    await bench.start("g1")
    await bench.start("g2", seeds=[bench.ports["g1"]["control"]])
    async with asyncio.timeout(10):
        while True:
            dumps = {name: await bench.dump(name) for name in ("g1", "g2")}
            firsts = {d["coordinators"].get("model", [""])[0] for d in dumps.values()}
            known = all(len(d["live_entries"]) == 2 for d in dumps.values())
            if known and len(firsts) == 1:
                break
            await asyncio.sleep(0.1)
    (first,) = firsts
    return first, "g2" if first == "g1" else "g1"


def headers(own: str) -> dict[str, str]:
    return {name: value.format(own) for name, value in PROMPT.items()}


async def test_a_prefix_is_read_once_whichever_gateway_it_comes_to(
    bench: GatewayBench,
) -> None:
    for name in ("m1", "m2", "m3"):
        await bench.add_endpoint(name, "model", "stream")
    first, other = await start_pair(bench)
    for number, name in enumerate((first, other, other, first)):
        reply = await bench.ask(
            "/chat/1", f"q{number}", body=b"x", name=name, more=headers(f"b{number}")
        )
        assert reply.whole
    used = [name for name, endpoint in bench.endpoints.items() if endpoint.seen]
    assert len(used) == 1


async def test_requests_go_on_when_the_coordinator_is_killed(
    bench: GatewayBench,
) -> None:
    for name in ("m1", "m2"):
        await bench.add_endpoint(name, "model", "stream")
    first, other = await start_pair(bench)
    assert (await bench.ask("/chat/1", "q0", name=other, more=headers("b0"))).whole
    bench.send_signal(first, signal.SIGKILL)
    for number in range(1, 4):
        reply = await bench.ask(
            "/chat/1", f"q{number}", name=other, more=headers(f"b{number}")
        )
        assert (reply.status, reply.whole) == (200, True)
    await asyncio.sleep(0.5)
    events = {line["event"] for line in bench.log(other)}
    assert "coordinator lost" in events


async def test_a_new_coordinator_learns_what_the_engines_have_cached(
    bench: GatewayBench,
) -> None:
    for name in ("m1", "m2", "m3"):
        await bench.add_endpoint(name, "model", "stream")
    bench.endpoints["m2"].cached = [("aa", 8000)]
    await bench.start("g1")
    for number in range(3):
        reply = await bench.ask("/chat/1", f"q{number}", more=headers(f"b{number}"))
        assert reply.whole
    assert len(bench.endpoints["m2"].seen) == 3
