"""Planned operations while requests wait, are queued or are half read.

Each whole request must get its answer or a truthful refusal; one that waits for
something that is taken away must not wait in silence.
"""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import time
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import HOST
from devtools.dependency_standins import RouteSpec
from devtools.dependency_standins import wait_until
from devtools.gateway_harness import KEY
from devtools.gateway_harness import ROUTES
from devtools.gateway_harness import GatewayHarness
from devtools.soak_callers import BODY
from devtools.soak_callers import IncomingResponse
from devtools.soak_callers import encode_request
from devtools.soak_callers import persistent
from devtools.soak_callers import run_socket_caller
from devtools.soak_faults import SHORT_LIMITS
from devtools.soak_faults import SoakRun


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from devtools.soak_callers import Call

# A request may wait for a quarter of it.
DEADLINE_MS = 9000
LONG_ROUTES = [route._replace(timeout_ms=DEADLINE_MS) for route in ROUTES]
# By then a gateway applies a configuration and has noticed what it removes.
PROPAGATION_S = 0.5
GRACE_S = 6.0  # ``GatewayHarness`` writes it.
# After it a stopping gateway refuses new requests and closes idle connections.
BALANCER_LINGER_S = 2.6
# The gateway adds 1 s to the timeouts of callers.
SHORT_TIMEOUT_S = 1.1
FINAL_REFUSALS = (401, 404, 503)


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    new_harness = GatewayHarness(tmp_path)
    await new_harness.store.start()
    new_harness.publish(1, LONG_ROUTES)
    yield new_harness
    await new_harness.close()


class Caller:
    """A caller that sends one request in parts."""

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: bytes,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._request = request

    def send(self, size: int | None = None) -> None:
        """Send the next ``size`` bytes of the request, or the rest."""
        end = len(self._request) if size is None else size
        self._writer.write(self._request[:end])
        self._request = self._request[end:]

    def send_half_of_body(self) -> None:
        """Send all but the second half of the body."""
        self.send(len(self._request) - len(BODY) // 2)

    async def response(self) -> IncomingResponse:
        """Return the response, which is incomplete if the connection ends."""
        response = IncomingResponse()
        try:
            async with asyncio.timeout(10):
                await response.receive(self._reader)
        except (asyncio.IncompleteReadError, OSError):
            pass
        self._writer.close()
        return response


async def connect(
    harness: GatewayHarness, path: str, request_id: str, name: str = "g1"
) -> Caller:
    reader, writer = await asyncio.open_connection(HOST, harness.ports[name]["front"])
    request = encode_request(request_id, path, deadline_ms=DEADLINE_MS)
    return Caller(reader=reader, writer=writer, request=request)


async def start_gateways(harness: GatewayHarness, count: int) -> list[str]:
    """Start gateways that know each other; the model's coordinator comes first."""
    names = [f"g{number}" for number in range(1, count + 1)]
    for name in names:
        await harness.start(name, [p["control"] for p in harness.ports.values()])
    async with asyncio.timeout(15):
        while True:
            dumps = [await harness.dump(name) for name in names]
            rankings = [d["coordinators"].get("model", [""]) for d in dumps]
            known = all(len(d["live_entries"]) == count for d in dumps)
            if known and len({ranking[0] for ranking in rankings}) == 1:
                first = str(rankings[0][0])
                return [first, *(name for name in names if name != first)]
            await asyncio.sleep(0.1)


async def occupy_engine(harness: GatewayHarness, name: str) -> asyncio.Task[int]:
    """Start the only engine with one slot, and send it a stream of 1.2 s."""
    endpoint = await harness.add_endpoint("m1", "model", "stream")
    endpoint.event_gap_s = 0.2
    record = endpoint.registration(slots=1, sequence=2)
    harness.store.put("servers/m1", record)
    await asyncio.sleep(2 * PROPAGATION_S)
    caller = await connect(harness, "/chat/1", "first", name)
    caller.send()
    await wait_until(lambda: len(endpoint.received) == 1)

    async def status() -> int:
        response = await caller.response()
        return response.status if response.complete else 0

    return asyncio.create_task(status())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
async def test_a_request_queued_at_a_coordinator_that_stops_is_served(
    harness: GatewayHarness, number: signal.Signals
) -> None:
    """Guards against a request lost in the queue of a coordinator that stops."""
    coordinator, other = await start_gateways(harness, 2)
    first = await occupy_engine(harness, other)
    caller = await connect(harness, "/chat/1", "queued", other)
    caller.send()
    await asyncio.sleep(0.1)
    assert len(harness.endpoints["m1"].received) == 1
    harness.send_signal(coordinator, number)
    response = await caller.response()
    assert await first == 200
    assert (response.status, response.complete) == (200, True)


async def test_queued_requests_are_served_when_all_gateways_stop_at_once(
    harness: GatewayHarness,
) -> None:
    """Guards against queued requests lost when their coordinator's successor stops."""
    names = await start_gateways(harness, 3)
    first = await occupy_engine(harness, names[2])
    callers = [await connect(harness, "/chat/1", name, name) for name in names[1:]]
    for caller in callers:
        caller.send()
    await asyncio.sleep(0.1)
    for name in names:
        harness.send_signal(name, signal.SIGTERM)
    responses = [await caller.response() for caller in callers]
    assert await first == 200
    assert all(response.complete for response in responses)
    # The second one may have to wait for longer than it can.
    assert sorted(response.status for response in responses) in ([200] * 2, [200, 503])


@pytest.mark.parametrize("delay_s", [0.5, 3.0, 5.0])
async def test_a_body_that_ends_after_the_stop_signal_gets_a_response(
    harness: GatewayHarness, delay_s: float
) -> None:
    """Guards against a request dropped because its body was half read at the stop."""
    endpoint = await harness.add_endpoint("s1", "shop", "ok")
    await harness.start()
    caller = await connect(harness, "/book/1", "q1")
    caller.send_half_of_body()
    harness.send_signal("g1", signal.SIGTERM)
    await asyncio.sleep(delay_s)
    caller.send()
    response = await caller.response()
    assert (response.status, response.complete) == (200, True)
    assert endpoint.executed_ids == ["q1"]


async def test_shorter_timeouts_spare_requests_that_are_under_way(
    harness: GatewayHarness,
) -> None:
    """Guards against new timeouts that end requests which began under longer ones.

    They are half read, queued, or wait for their response.
    """
    await harness.start()
    first = await occupy_engine(harness, "g1")
    await harness.add_endpoint("s1", "shop", "ok")
    await asyncio.sleep(0.1)
    queued = await connect(harness, "/notes/1", "queued")
    queued.send()
    half_head = await connect(harness, "/book/1", "head")
    half_head.send(20)
    half_body = await connect(harness, "/book/1", "body")
    half_body.send_half_of_body()
    await asyncio.sleep(0.1)
    routes = [route._replace(timeout_ms=300) for route in LONG_ROUTES]
    harness.publish(2, routes, limits=SHORT_LIMITS)
    harness.change_settings("g1", budget_slack=30)
    harness.send_signal("g1", signal.SIGHUP)
    await asyncio.sleep(PROPAGATION_S)
    assert (await harness.dump())["version"] == 2
    await asyncio.sleep(SHORT_TIMEOUT_S)
    for caller in (half_head, half_body):
        caller.send()
    responses = [await c.response() for c in (queued, half_head)]
    assert await first == 200
    assert [(r.status, r.complete) for r in responses] == [(200, True)] * 2
    # Its body took longer than the timeout of its route in force then.
    response = await half_body.response()
    assert (response.status, response.complete) == (504, True)


async def test_an_idle_timeout_that_was_shortened_ends_no_request(
    harness: GatewayHarness,
) -> None:
    """Guards against an idle timer that ends a request on its connection.

    The response takes longer than the idle timeout.
    """
    await harness.start()
    endpoint = await harness.add_endpoint("m1", "model", "stream")
    endpoint.event_gap_s = 0.3
    harness.publish(2, LONG_ROUTES, limits=SHORT_LIMITS)
    await asyncio.sleep(PROPAGATION_S)
    caller = await connect(harness, "/chat/1", "q1")
    await asyncio.sleep(SHORT_TIMEOUT_S - 0.2)
    caller.send()
    response = await caller.response()
    assert (response.status, response.complete) == (200, True)


@pytest.mark.parametrize("removed", ["route", "service", "key"])
async def test_a_configuration_without_what_a_request_uses_leaves_no_silence(
    harness: GatewayHarness, removed: str
) -> None:
    """Guards against silence after the route, service or key of a request is removed.

    A request that was placed or queued is served; one that was half read is served or
    refused.
    """
    await harness.start()
    first = await occupy_engine(harness, "g1")
    queued = await connect(harness, "/chat/1", "queued")
    queued.send()
    half_body = await connect(harness, "/chat/1", "body")
    half_body.send_half_of_body()
    await asyncio.sleep(0.1)
    shop = RouteSpec("/chat/", "unsafe", "shop", max_attempts=1)
    routes = {
        "route": LONG_ROUTES[:2],
        "service": [*LONG_ROUTES[:2], shop],
        "key": LONG_ROUTES,
    }
    keys = {"other": "clinic"} if removed == "key" else {KEY: "clinic"}
    harness.publish(2, routes[removed], keys=keys)
    await asyncio.sleep(PROPAGATION_S)
    half_body.send()
    response = await half_body.response()
    assert response.complete
    assert response.status in FINAL_REFUSALS
    assert await first == 200
    response = await queued.response()
    assert (response.status, response.complete) == (200, True)


@pytest.mark.parametrize("drains_first", [False, True])
async def test_an_endpoint_removed_while_a_request_waits_for_it(
    harness: GatewayHarness, drains_first: bool
) -> None:
    """Guards against a request that waits for an endpoint that is gone.

    It is refused, or served by an endpoint that may yet register again. The request
    that runs there is served.
    """
    await harness.start()
    first = await occupy_engine(harness, "g1")
    queued = await connect(harness, "/chat/1", "queued")
    queued.send()
    await asyncio.sleep(0.1)
    endpoint = harness.endpoints["m1"]
    if drains_first:
        draining = endpoint.registration(slots=1, sequence=3, state="draining")
        harness.store.put("servers/m1", draining)
        await asyncio.sleep(0.1)
    harness.store.put("servers/m1", None)
    assert await first == 200
    response = await queued.response()
    assert response.complete
    assert response.status in ((503,) if drains_first else (200, 503))
    expected_ids = ["first", "queued"] if response.status == 200 else ["first"]
    assert endpoint.executed_ids == expected_ids


async def test_an_endpoint_removed_while_a_connection_to_it_is_opened(
    harness: GatewayHarness,
) -> None:
    """Guards against a request lost with the pool of an endpoint that is removed.

    The endpoint's backlog is full, so that the connection stays half open.
    """
    await harness.start()
    endpoint = await harness.add_endpoint("s1", "shop", "ok")
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        port = listener.getsockname()[1]
        record = endpoint.registration(address=f"{HOST}:{port}", sequence=2)
        harness.store.put("servers/s1", record)
        await asyncio.sleep(PROPAGATION_S)
        caller = await connect(harness, "/book/1", "q1")
        caller.send()
        await asyncio.sleep(0.1)
        harness.store.put("servers/s1", None)
        await asyncio.sleep(0.05)
        await harness.add_endpoint("s2", "shop", "ok")
        response = await caller.response()
        for filler in fillers:
            filler.close()
    assert response.complete
    assert response.status in (200, 503)
    executed = harness.endpoints["s2"].executed_ids
    assert executed == (["q1"] if response.status == 200 else [])


async def pause_in_series(harness: GatewayHarness, rng: random.Random) -> None:
    """Suspend a gateway for up to 0.3 s again and again, as if it had little CPU."""
    process = harness.processes["g1"]
    while process.returncode is None:
        harness.send_signal("g1", signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.1, 0.3))
        harness.send_signal("g1", signal.SIGCONT)
        await asyncio.sleep(rng.uniform(0.02, 0.1))


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_a_stop_with_little_cpu_leaves_no_request_without_an_answer(
    harness: GatewayHarness, seed: int
) -> None:
    """Guards against requests dropped by a stop while the event loop lags."""
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.add_endpoint("m1", "model", "stream")
    await harness.start()
    run = SoakRun(harness=harness)
    rng = random.Random(seed)
    calls: list[Call] = []
    end_s = time.monotonic() + GRACE_S + 1.0
    async with asyncio.TaskGroup() as group:
        for number in range(12):
            caller_rng = random.Random(f"{seed}:{number}")
            label = f"{seed}x{number}"
            group.create_task(
                run_socket_caller(run, caller_rng, label, end_s, calls, persistent)
            )
        await asyncio.sleep(0.5)
        harness.send_signal("g1", signal.SIGTERM)
        group.create_task(pause_in_series(harness, rng))
    assert [call for call in calls if call.unanswered] == []
    assert harness.processes["g1"].returncode == 0


async def test_a_request_that_came_before_idle_connections_are_closed(
    harness: GatewayHarness,
) -> None:
    """Guards against a request dropped unread because the event loop lagged.

    The gateway is suspended when it would close its idle connections.
    """
    await harness.add_endpoint("s1", "shop", "ok")
    await harness.start()
    caller = await connect(harness, "/book/1", "q1")
    await asyncio.sleep(0.1)
    harness.send_signal("g1", signal.SIGTERM)
    await asyncio.sleep(BALANCER_LINGER_S - 0.3)
    harness.send_signal("g1", signal.SIGSTOP)
    caller.send()
    await asyncio.sleep(0.6)
    harness.send_signal("g1", signal.SIGCONT)
    response = await caller.response()
    assert response.complete
    assert response.status in (200, 503)
