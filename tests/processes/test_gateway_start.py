"""All gateways restart at the same time while callers keep sending requests.

A gateway on a small instance needs over a second to start. Callers that connect in the
meantime wait in the backlog of its listener. Requests of callers that disconnect before
the start is complete must not be executed.
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

START_TIMEOUT_S = 10.0
DISCONNECTING_CALLERS = 20


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    new_harness = GatewayHarness(tmp_path)
    await new_harness.store.start()
    new_harness.publish(1)
    yield new_harness
    await new_harness.close()


async def connect(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect as soon as the port is open, with a timeout of START_TIMEOUT_S."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                return await asyncio.open_connection(HOST, port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.005)


def encode_request(path: str, request_id: str) -> bytes:
    head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    return (
        f"POST {path} HTTP/1.1\r\n{head}X-Request-Id: {request_id}\r\n"
        "Content-Length: 1\r\n\r\nx"
    ).encode()


async def test_the_callers_port_is_open_before_large_modules_are_imported(
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


async def test_a_caller_that_waits_for_the_start_is_served(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.start(wait=False)
    reader, writer = await connect(harness.ports["g1"]["front"])
    writer.write(encode_request("/book/1", "q1"))
    async with asyncio.timeout(START_TIMEOUT_S):
        assert b" 200 " in await reader.readline()
    writer.close()


async def test_requests_of_callers_that_disconnect_before_the_start_are_not_executed(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.add_endpoint("m1", "model", "stream")
    await harness.start(wait=False)
    port = harness.ports["g1"]["front"]
    _, writer = await connect(port)
    writer.close()
    harness.send_signal("g1", signal.SIGSTOP)
    for number in range(DISCONNECTING_CALLERS):
        _, writer = await connect(port)
        path = ("/book/1", "/chat/1")[number % 2]
        writer.write(encode_request(path, f"q{number}"))
        await writer.drain()
        writer.close()
        await writer.wait_closed()
    harness.send_signal("g1", signal.SIGCONT)
    await harness.wait_ready("g1")
    assert (await harness.send_request("/book/1", "last", body=b"x")).status == 200
    await asyncio.sleep(1.0)
    assert harness.endpoints["s1"].executed_ids == ["last"]
    assert harness.endpoints["m1"].executed_ids == []
