"""A real gateway process with stand-ins for the callers, store and endpoints."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import HOST
from devtools.dependency_standins import RouteSpec
from devtools.dependency_standins import wait_until
from devtools.gateway_harness import HEADERS
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1)
    yield gateway_harness
    await gateway_harness.close()


def source_only_environment() -> dict[str, str]:
    """Return an environment whose import path contains only the source folder."""
    source = Path(__file__).parents[2] / "src"
    return {**os.environ, "PYTHONPATH": str(source)}


def expected_events(count: int, request_id: str) -> bytes:
    return b"".join(
        f"id: {n}\ndata: {request_id}-{n}\n\n".encode() for n in range(1, count + 1)
    )


async def test_requests_and_streams_get_their_complete_response(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.add_endpoint("m1", "model", "stream")
    await harness.start()
    booking = await harness.send_request("/book/1", "q1", body=b"slot")
    assert (booking.status, booking.body) == (200, b"s1 q1")
    assert booking.headers["X-Replica-Signature"] == "s1"
    chat = await harness.send_request("/chat/1", "q2", body=b"hello")
    assert (chat.status, chat.body, chat.complete) == (
        200,
        expected_events(6, "q2"),
        True,
    )
    (request,) = harness.endpoints["s1"].received
    assert request.body == b"slot"
    assert request.headers["x-tenant"] == "clinic"
    assert "authorization" not in request.headers


async def test_a_non_repeatable_request_that_may_have_run_is_not_retried(
    harness: GatewayHarness,
) -> None:
    for name in ("s1", "s2"):
        await harness.add_endpoint(name, "shop", "reset")
    await harness.start()
    response = await harness.send_request("/book/1", "q1", body=b"slot")
    assert response.status == 502
    assert sum(len(e.received) for e in harness.endpoints.values()) == 1


async def test_a_request_that_a_full_endpoint_did_not_run_is_refused_or_retried(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "full")
    await harness.start()
    refused = await harness.send_request("/book/1", "q1", body=b"slot")
    assert refused.status == 503
    assert float(refused.headers["Retry-After"]) >= 0
    await harness.add_endpoint("s2", "shop", "ok")
    await asyncio.sleep(0.5)
    responses = [
        await harness.send_request("/book/1", f"p{n}", body=b"s") for n in range(3)
    ]
    assert [response.status for response in responses] == [200, 200, 200]


async def test_a_safe_request_is_retried_after_an_unknown_outcome(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "reset")
    await harness.add_endpoint("s2", "shop", "ok")
    await harness.start()
    responses = [await harness.send_request("/stock/1", f"q{n}") for n in range(4)]
    assert {response.status for response in responses} == {200}


async def test_a_late_second_response_reaches_no_caller(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "late")
    await harness.start()
    for number in range(6):
        response = await harness.send_request("/stock/1", f"q{number}")
        assert response.body == f"s1 q{number}".encode()
        await asyncio.sleep(0.02 * number)


async def test_an_unsigned_response_is_not_a_success(harness: GatewayHarness) -> None:
    await harness.add_endpoint("s1", "shop", "unsigned")
    await harness.start()
    assert (await harness.send_request("/book/1", "q1", body=b"x")).status == 502


async def test_the_caller_receives_the_endpoint_error_when_every_attempt_fails(
    harness: GatewayHarness,
) -> None:
    for name in ("s1", "s2"):
        await harness.add_endpoint(name, "shop", "error")
    await harness.start()
    response = await harness.send_request("/stock/1", "q1")
    assert response.status == 500
    assert response.headers["X-Replica-Signature"] in harness.endpoints
    assert sum(len(e.received) for e in harness.endpoints.values()) == 2


async def test_the_caller_receives_the_endpoint_error_when_the_retry_is_lost(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "error")
    await harness.add_endpoint("s2", "shop", "reset")
    await harness.start()
    responses = [await harness.send_request("/stock/1", f"q{n}") for n in range(4)]
    assert {response.status for response in responses} == {500}


async def test_an_error_response_to_a_resumed_stream_leaves_it_incomplete(
    harness: GatewayHarness,
) -> None:
    for name in ("m1", "m2"):
        await harness.add_endpoint(name, "model", "cut")
    await harness.start()
    task = asyncio.create_task(harness.send_request("/notes/1", "q1", body=b"hello"))
    await wait_until(lambda: any(e.received for e in harness.endpoints.values()))
    for endpoint in harness.endpoints.values():
        if not endpoint.received:
            endpoint.mode = "error"
    response = await task
    assert not response.complete
    assert response.body == expected_events(2, "q1")


async def test_an_interrupted_stream_does_not_look_complete(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("m1", "model", "cut")
    await harness.start()
    response = await harness.send_request("/chat/1", "q1", body=b"hello")
    assert not response.complete
    assert response.body == expected_events(2, "q1")


async def test_a_resumable_stream_continues_at_another_endpoint(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("m1", "model", "cut")
    await harness.add_endpoint("m2", "model", "cut")
    await harness.start()
    task = asyncio.create_task(harness.send_request("/notes/1", "q1", body=b"hello"))
    await wait_until(lambda: any(e.received for e in harness.endpoints.values()))
    for endpoint in harness.endpoints.values():
        if not endpoint.received:
            endpoint.mode = "stream"
    response = await task
    assert response.complete
    assert response.body == expected_events(6, "q1")


async def test_a_caller_who_disconnects_cancels_the_request(
    harness: GatewayHarness,
) -> None:
    endpoint = await harness.add_endpoint("m1", "model", "stream")
    endpoint.event_count = 200
    await harness.start()
    task = asyncio.create_task(harness.send_request("/chat/1", "q1", body=b"hello"))
    await wait_until(lambda: bool(endpoint.received))
    task.cancel()
    await wait_until(lambda: endpoint.aborted_connections > 0, timeout_s=1.0)


async def test_sigterm_lets_responses_finish_and_ends_the_process(
    harness: GatewayHarness,
) -> None:
    endpoint = await harness.add_endpoint("m1", "model", "stream")
    endpoint.event_count = 40
    await harness.start()
    task = asyncio.create_task(harness.send_request("/chat/1", "q1", body=b"hello"))
    await wait_until(lambda: bool(endpoint.received))
    harness.send_signal("g1", signal.SIGTERM)
    await asyncio.sleep(0.2)
    assert not await harness.is_ready()
    late_response = await harness.send_request("/chat/1", "q2", body=b"hello")
    assert (await task).complete
    assert late_response.complete
    assert late_response.headers["Connection"] == "close"
    assert await asyncio.wait_for(harness.processes["g1"].wait(), 8) == 0


def test_signal_handlers_are_installed_before_heavy_imports() -> None:
    code = (
        "import shallotroad.gateway.main, signal, sys\n"
        "assert signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL\n"
        "assert not {'aiohttp', 'asyncio', 'uvloop'} & set(sys.modules)\n"
    )
    subprocess.run(
        [sys.executable, "-S", "-c", code], env=source_only_environment(), check=True
    )


async def test_sigterm_at_any_time_during_the_start_exits_cleanly(
    harness: GatewayHarness,
) -> None:
    for number in range(8):
        name = f"g{number}"
        await harness.start(name, wait=False)
        await wait_until(partial(harness.handles_signal, name, signal.SIGTERM), 10)
        await asyncio.sleep(0.1 * number)
        harness.send_signal(name, signal.SIGTERM)
    codes = [await asyncio.wait_for(p.wait(), 20) for p in harness.processes.values()]
    assert codes == [0] * 8


async def test_a_request_gets_a_response_at_the_timeout_of_its_route(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "mute")
    harness.publish(2, [RouteSpec("/book/", "unsafe", "shop", 400, 1)])
    await harness.start()
    started_s = asyncio.get_running_loop().time()
    response = await harness.send_request("/book/1", "q1", body=b"x")
    assert response.status == 504
    assert 0.35 < asyncio.get_running_loop().time() - started_s < 0.9


async def test_a_new_configuration_applies_soon_and_an_older_one_is_ignored(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.start()
    harness.publish(5, [RouteSpec("/stock/", "safe", "shop")])
    await asyncio.sleep(1.0)
    assert (await harness.send_request("/book/1", "q1", body=b"x")).status == 404
    harness.publish(3)
    harness.store.compact()
    await asyncio.sleep(1.5)
    assert (await harness.send_request("/book/1", "q2", body=b"x")).status == 404
    assert (await harness.send_request("/stock/1", "q3")).status == 200


async def test_a_gateway_that_starts_without_the_store_gets_its_state_from_a_peer(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.start("g1")
    harness.store.down = True
    await harness.start("g2", [harness.ports["g1"]["control"]])
    response = await harness.send_request("/stock/1", "q1", name="g2")
    assert response.status == 200


async def test_a_gateway_without_a_configuration_refuses_requests(
    harness: GatewayHarness,
) -> None:
    harness.store.down = True
    await harness.start(wait=False)
    await wait_until(
        lambda: any(line["event"] == "started" for line in harness.read_log()), 10
    )
    assert not await harness.is_ready()
    assert (await harness.send_request("/stock/1", "q1")).status == 503


async def test_an_address_taken_over_by_another_endpoint_does_not_run_the_request(
    harness: GatewayHarness,
) -> None:
    endpoint = await harness.add_endpoint("s1", "shop", "ok")
    await harness.start()
    endpoint.name = "s9"
    response = await harness.send_request("/book/1", "q1", body=b"x")
    assert response.status == 503


async def test_each_finished_request_has_one_log_line_with_its_inputs(
    harness: GatewayHarness,
) -> None:
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.start()
    await harness.send_request("/stock/1", "q1")
    await harness.send_request("/none/1", "q2")
    await asyncio.sleep(0.5)
    lines = [line for line in harness.read_log() if line["event"] == "request finished"]
    by_id = {line["request"]: line for line in lines}
    assert by_id["q1"]["attempts"][0]["endpoint"] == "s1"
    assert by_id["q1"]["version"] == 1
    assert by_id["q2"]["outcome"] == "rejected 404"
    assert len(lines) == 2


async def test_an_idle_connection_is_closed_while_other_responses_finish(
    harness: GatewayHarness,
) -> None:
    endpoint = await harness.add_endpoint("m1", "model", "stream")
    await harness.add_endpoint("s1", "shop", "ok")
    endpoint.event_count = 90
    slow_stream_route = RouteSpec("/chat/", "streaming", "model", 9000, 1)
    harness.publish(2, [slow_stream_route, RouteSpec("/stock/", "safe", "shop")])
    await harness.start()
    stream = asyncio.create_task(
        harness.send_request(
            "/chat/1", "q1", body=b"hello", extra_headers={"X-Deadline-Ms": "9000"}
        )
    )
    await wait_until(lambda: bool(endpoint.received))
    reader, writer = await asyncio.open_connection(HOST, harness.ports["g1"]["front"])
    head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    writer.write(f"GET /stock/1 HTTP/1.1\r\n{head}X-Request-Id: q2\r\n\r\n".encode())
    assert b"200" in await reader.readline()
    harness.send_signal("g1", signal.SIGTERM)
    async with asyncio.timeout(4):
        while await reader.read(4096):
            pass
    assert not stream.done()
    stream.cancel()
    writer.close()
