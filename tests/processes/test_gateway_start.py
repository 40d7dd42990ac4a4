"""All gateways are down at once and start again while callers go on.

A small machine needs over a second to start. Callers who come meanwhile wait in
the queue of its port; those who have left by then are not served.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import HOST
from devtools.gateway_harness import HEADERS
from devtools.gateway_harness import GatewayHarness
from devtools.processes import free_port


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

START_S = 10.0
CALLERS_WHO_LEAVE = 20


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    made = GatewayHarness(tmp_path)
    await made.store.start()
    made.publish(1)
    yield made
    await made.close()


async def connect(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect as soon as the port is open."""
    async with asyncio.timeout(START_S):
        while True:
            try:
                return await asyncio.open_connection(HOST, port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.005)


def request(path: str, request_id: str) -> bytes:
    head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    return (
        f"POST {path} HTTP/1.1\r\n{head}X-Request-Id: {request_id}\r\n"
        "Content-Length: 1\r\n\r\nx"
    ).encode()


async def test_the_callers_port_is_open_before_anything_heavy_is_imported(
    tmp_path: Path,
) -> None:
    (tmp_path / "uvloop.py").write_text("import time\ntime.sleep(60)\n")
    ports = {kind: free_port() for kind in ("front", "ready")}
    settings = tmp_path / "g1.toml"
    settings.write_text(
        f'node-name = "g1"\nip = "{HOST}"\nzone = "a"\nregion = "r"\n'
        f'[listen]\nfront = "{HOST}:{ports["front"]}"\n'
        f'ready = "{HOST}:{ports["ready"]}"\n'
        f'[provider]\naddress = "{HOST}:1"\n'
    )
    source = Path(__file__).parents[2] / "src"
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "shallotroad.gateway.main",
        env={
            **os.environ,
            "PYTHONPATH": f"{tmp_path}:{source}",
            "SHALLOTROAD_CONFIG": str(settings),
        },
    )
    try:
        _, writer = await connect(ports["front"])
        writer.close()
    finally:
        process.kill()
        await process.wait()


async def test_a_caller_who_waits_for_the_start_is_served(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.start(wait=False)
    reader, writer = await connect(harness.ports["g1"]["front"])
    writer.write(request("/book/1", "q1"))
    async with asyncio.timeout(START_S):
        assert b" 200 " in await reader.readline()
    writer.close()


async def test_a_caller_who_has_left_before_the_start_is_not_served(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.add_endpoint("m1", "model", "stream")
    await harness.start(wait=False)
    port = harness.ports["g1"]["front"]
    _, writer = await connect(port)
    writer.close()
    harness.send_signal("g1", signal.SIGSTOP)
    for number in range(CALLERS_WHO_LEAVE):
        _, writer = await connect(port)
        path = ("/book/1", "/chat/1")[number % 2]
        writer.write(request(path, f"q{number}"))
        await writer.drain()
        writer.close()
        await writer.wait_closed()
    harness.send_signal("g1", signal.SIGCONT)
    await harness.wait_ready("g1")
    assert (await harness.send_request("/book/1", "last", body=b"x")).status == 200
    await asyncio.sleep(1.0)
    assert harness.endpoints["s1"].executed_ids == ["last"]
    assert harness.endpoints["m1"].executed_ids == []
