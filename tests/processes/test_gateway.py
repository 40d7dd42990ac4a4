"""A real gateway process between stand-ins of the users' machines."""

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
from devtools.gateway_bench import HEADERS
from devtools.gateway_bench import GatewayBench
from devtools.machine_standins import HOST
from devtools.machine_standins import RouteSpec
from devtools.machine_standins import until


if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def bench(tmp_path: Path) -> AsyncIterator[GatewayBench]:
    made = GatewayBench(tmp_path)
    await made.store.start()
    made.publish(1)
    yield made
    await made.close()


def own_path() -> dict[str, str]:
    """Return an environment in which only this package can be imported."""
    source = Path(__file__).parents[2] / "src"
    return {**os.environ, "PYTHONPATH": str(source)}


def events(count: int, request_id: str) -> bytes:
    return b"".join(
        f"id: {n}\ndata: {request_id}-{n}\n\n".encode() for n in range(1, count + 1)
    )


async def test_each_kind_of_request_is_served_whole(bench: GatewayBench) -> None:
    await bench.add_endpoint("s1", "shop", "ok")
    await bench.add_endpoint("m1", "model", "stream")
    await bench.start()
    booked = await bench.ask("/book/1", "q1", body=b"slot")
    assert (booked.status, booked.body) == (200, b"s1 q1")
    assert booked.headers["X-Replica-Signature"] == "s1"
    chat = await bench.ask("/chat/1", "q2", body=b"hello")
    assert (chat.status, chat.body, chat.whole) == (200, events(6, "q2"), True)
    (seen,) = bench.endpoints["s1"].seen
    assert seen.body == b"slot"
    assert seen.headers["x-tenant"] == "clinic"
    assert "authorization" not in seen.headers


async def test_a_request_that_may_have_run_once_is_never_sent_again(
    bench: GatewayBench,
) -> None:
    for name in ("s1", "s2"):
        await bench.add_endpoint(name, "shop", "reset")
    await bench.start()
    reply = await bench.ask("/book/1", "q1", body=b"slot")
    assert reply.status == 502
    assert sum(len(e.seen) for e in bench.endpoints.values()) == 1


async def test_a_proven_refusal_is_sent_on_and_told_as_not_run(
    bench: GatewayBench,
) -> None:
    await bench.add_endpoint("s1", "shop", "full")
    await bench.start()
    refused = await bench.ask("/book/1", "q1", body=b"slot")
    assert refused.status == 503
    assert float(refused.headers["Retry-After"]) >= 0
    await bench.add_endpoint("s2", "shop", "ok")
    await asyncio.sleep(0.5)
    replies = [await bench.ask("/book/1", f"p{n}", body=b"s") for n in range(3)]
    assert [reply.status for reply in replies] == [200, 200, 200]


async def test_a_safe_request_is_repeated_after_an_unknown_end(
    bench: GatewayBench,
) -> None:
    await bench.add_endpoint("s1", "shop", "reset")
    await bench.add_endpoint("s2", "shop", "ok")
    await bench.start()
    replies = [await bench.ask("/stock/1", f"q{n}") for n in range(4)]
    assert {reply.status for reply in replies} == {200}


async def test_a_late_second_answer_reaches_nobody(bench: GatewayBench) -> None:
    await bench.add_endpoint("s1", "shop", "late")
    await bench.start()
    for number in range(6):
        reply = await bench.ask("/stock/1", f"q{number}")
        assert reply.body == f"s1 q{number}".encode()
        await asyncio.sleep(0.02 * number)


async def test_an_unsigned_answer_is_no_success(bench: GatewayBench) -> None:
    await bench.add_endpoint("s1", "shop", "unsigned")
    await bench.start()
    assert (await bench.ask("/book/1", "q1", body=b"x")).status == 502


async def test_the_endpoints_own_failure_is_told_when_nothing_better_comes(
    bench: GatewayBench,
) -> None:
    for name in ("s1", "s2"):
        await bench.add_endpoint(name, "shop", "error")
    await bench.start()
    reply = await bench.ask("/stock/1", "q1")
    assert reply.status == 500
    assert reply.headers["X-Replica-Signature"] in bench.endpoints
    assert sum(len(e.seen) for e in bench.endpoints.values()) == 2


async def test_an_endpoint_failure_is_told_when_the_repeat_is_lost(
    bench: GatewayBench,
) -> None:
    await bench.add_endpoint("s1", "shop", "error")
    await bench.add_endpoint("s2", "shop", "reset")
    await bench.start()
    replies = [await bench.ask("/stock/1", f"q{n}") for n in range(4)]
    assert {reply.status for reply in replies} == {500}


async def test_a_failure_in_place_of_the_rest_of_a_stream_is_no_answer(
    bench: GatewayBench,
) -> None:
    for name in ("m1", "m2"):
        await bench.add_endpoint(name, "model", "cut")
    await bench.start()
    task = asyncio.create_task(bench.ask("/notes/1", "q1", body=b"hello"))
    await until(lambda: any(e.seen for e in bench.endpoints.values()))
    for endpoint in bench.endpoints.values():
        if not endpoint.seen:
            endpoint.mode = "error"
    reply = await task
    assert not reply.whole
    assert reply.body == events(2, "q1")


async def test_half_a_stream_never_looks_complete(bench: GatewayBench) -> None:
    await bench.add_endpoint("m1", "model", "cut")
    await bench.start()
    reply = await bench.ask("/chat/1", "q1", body=b"hello")
    assert not reply.whole
    assert reply.body == events(2, "q1")


async def test_a_resumable_stream_goes_on_at_another_endpoint(
    bench: GatewayBench,
) -> None:
    await bench.add_endpoint("m1", "model", "cut")
    await bench.add_endpoint("m2", "model", "cut")
    await bench.start()
    task = asyncio.create_task(bench.ask("/notes/1", "q1", body=b"hello"))
    await until(lambda: any(e.seen for e in bench.endpoints.values()))
    for endpoint in bench.endpoints.values():
        if not endpoint.seen:
            endpoint.mode = "stream"
    reply = await task
    assert reply.whole
    assert reply.body == events(6, "q1")


async def test_a_caller_who_leaves_cancels_the_work(bench: GatewayBench) -> None:
    endpoint = await bench.add_endpoint("m1", "model", "stream")
    endpoint.events = 200
    await bench.start()
    task = asyncio.create_task(bench.ask("/chat/1", "q1", body=b"hello"))
    await until(lambda: bool(endpoint.seen))
    task.cancel()
    await until(lambda: endpoint.cancelled > 0, timeout_s=1.0)


async def test_sigterm_cuts_no_answer_and_ends_the_process(bench: GatewayBench) -> None:
    endpoint = await bench.add_endpoint("m1", "model", "stream")
    endpoint.events = 40
    await bench.start()
    task = asyncio.create_task(bench.ask("/chat/1", "q1", body=b"hello"))
    await until(lambda: bool(endpoint.seen))
    bench.send_signal("g1", signal.SIGTERM)
    await asyncio.sleep(0.2)
    assert not await bench.ready()
    again = await bench.ask("/chat/1", "q2", body=b"hello")
    assert (await task).whole
    assert again.whole
    assert again.headers["Connection"] == "close"
    assert await asyncio.wait_for(bench.processes["g1"].wait(), 8) == 0


def test_the_handlers_stand_before_anything_heavy_is_imported() -> None:
    code = (
        "import shallotroad.gateway.main, signal, sys\n"
        "assert signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL\n"
        "assert not {'aiohttp', 'asyncio', 'uvloop'} & set(sys.modules)\n"
    )
    subprocess.run([sys.executable, "-S", "-c", code], env=own_path(), check=True)


async def test_sigterm_at_any_moment_of_the_start_ends_cleanly(
    bench: GatewayBench,
) -> None:
    for number in range(8):
        name = f"g{number}"
        await bench.start(name, wait=False)
        await until(partial(bench.handles_signal, name, signal.SIGTERM), 10)
        await asyncio.sleep(0.1 * number)
        bench.send_signal(name, signal.SIGTERM)
    codes = [await asyncio.wait_for(p.wait(), 20) for p in bench.processes.values()]
    assert codes == [0] * 8


async def test_a_timeout_of_the_route_ends_with_an_answer(bench: GatewayBench) -> None:
    await bench.add_endpoint("s1", "shop", "mute")
    bench.publish(2, [RouteSpec("/book/", "unsafe", "shop", 400, 1)])
    await bench.start()
    began_s = asyncio.get_running_loop().time()
    reply = await bench.ask("/book/1", "q1", body=b"x")
    assert reply.status == 504
    assert 0.35 < asyncio.get_running_loop().time() - began_s < 0.9


async def test_a_new_version_is_in_force_soon_and_an_old_one_never_again(
    bench: GatewayBench,
) -> None:
    await bench.add_endpoint("s1", "shop", "ok")
    await bench.start()
    bench.publish(5, [RouteSpec("/stock/", "safe", "shop")])
    await asyncio.sleep(1.0)
    assert (await bench.ask("/book/1", "q1", body=b"x")).status == 404
    bench.publish(3)
    bench.store.forget_history()
    await asyncio.sleep(1.5)
    assert (await bench.ask("/book/1", "q2", body=b"x")).status == 404
    assert (await bench.ask("/stock/1", "q3")).status == 200


async def test_a_gateway_that_starts_without_the_store_learns_from_a_peer(
    bench: GatewayBench,
) -> None:
    await bench.add_endpoint("s1", "shop", "ok")
    await bench.start("g1")
    bench.store.down = True
    await bench.start("g2", [bench.ports["g1"]["control"]])
    reply = await bench.ask("/stock/1", "q1", name="g2")
    assert reply.status == 200


async def test_without_any_configuration_the_answer_says_not_run(
    bench: GatewayBench,
) -> None:
    bench.store.down = True
    await bench.start(wait=False)
    await until(lambda: any(line["event"] == "started" for line in bench.log()), 10)
    assert not await bench.ready()
    assert (await bench.ask("/stock/1", "q1")).status == 503


async def test_an_address_that_now_belongs_to_another_endpoint_runs_nothing(
    bench: GatewayBench,
) -> None:
    endpoint = await bench.add_endpoint("s1", "shop", "ok")
    await bench.start()
    endpoint.name = "s9"
    reply = await bench.ask("/book/1", "q1", body=b"x")
    assert reply.status == 503


async def test_each_finished_request_has_one_line_with_its_inputs(
    bench: GatewayBench,
) -> None:
    await bench.add_endpoint("s1", "shop", "ok")
    await bench.start()
    await bench.ask("/stock/1", "q1")
    await bench.ask("/none/1", "q2")
    await asyncio.sleep(0.5)
    lines = [x for x in bench.log() if x["event"] == "request finished"]
    by_id = {line["request"]: line for line in lines}
    assert by_id["q1"]["attempts"][0]["endpoint"] == "s1"
    assert by_id["q1"]["version"] == 1
    assert by_id["q2"]["outcome"] == "rejected 404"
    assert len(lines) == 2


async def test_a_kept_connection_is_closed_while_other_answers_finish(
    bench: GatewayBench,
) -> None:
    endpoint = await bench.add_endpoint("m1", "model", "stream")
    await bench.add_endpoint("s1", "shop", "ok")
    endpoint.events = 90
    patient = RouteSpec("/chat/", "streaming", "model", 9000, 1)
    bench.publish(2, [patient, RouteSpec("/stock/", "safe", "shop")])
    await bench.start()
    stream = asyncio.create_task(
        bench.ask("/chat/1", "q1", body=b"hello", more={"X-Deadline-Ms": "9000"})
    )
    await until(lambda: bool(endpoint.seen))
    reader, writer = await asyncio.open_connection(HOST, bench.ports["g1"]["front"])
    head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    writer.write(f"GET /stock/1 HTTP/1.1\r\n{head}X-Request-Id: q2\r\n\r\n".encode())
    assert b"200" in await reader.readline()
    bench.send_signal("g1", signal.SIGTERM)
    async with asyncio.timeout(4):
        while await reader.read(4096):
            pass
    assert not stream.done()
    stream.cancel()
    writer.close()
