from __future__ import annotations

import asyncio
import signal

import pytest
from devtools.sample_fleet import start_fleet

from tests.helpers import Response
from tests.helpers import call_service
from tests.helpers import entry_url
from tests.helpers import eventually
from tests.helpers import request_idempotency_key


async def book(url: str, key: str, **data: object) -> Response:
    return await call_service(url, "/bookings", key=key, data={"booking": "b", **data})


@pytest.mark.parametrize("without", ["", "records"])
async def test_resend_while_running_and_after_entry_killed(without: str) -> None:
    """The entry dies while the booking runs; the caller re-sends elsewhere."""
    fleet = start_fleet(engines=0, disabled=without)
    try:
        one = entry_url(fleet)
        two = entry_url(fleet, "entry-2")
        key = await request_idempotency_key(one)
        first = asyncio.create_task(book(one, key, delay_s=2))
        await eventually(lambda: fleet.stats("shop-1")["runs"] == {"b": 1})
        fleet.kill("entry-1")
        again = await book(two, key, delay_s=2)
        with pytest.raises(Exception):  # noqa: B017
            await first
        runs = fleet.stats("shop-1")["runs"]["b"]
    finally:
        fleet.close()
    assert again.outcome == "done"
    assert runs == (2 if without else 1)


@pytest.mark.parametrize("without", ["", "incarnation"])
async def test_agent_killed_while_booking_runs(without: str) -> None:
    """The home dies in the booking; its successor must not run the key."""
    fleet = start_fleet(engines=0, disabled=without)
    try:
        url = entry_url(fleet)
        key = await request_idempotency_key(url)
        first = asyncio.create_task(book(url, key, delay_s=1))
        await eventually(lambda: fleet.stats("shop-1")["runs"] == {"b": 1})
        service = fleet.handles["shop-1"]
        port = fleet.handles["shop-agent-1"].port
        fleet.kill("shop-agent-1")
        fleet.start_agent("shop-agent-1", "amman-2", service, ["shop"], port=port)
        lost = await first
        again = await book(entry_url(fleet, "entry-2"), key)
        runs = fleet.stats("shop-1")["runs"]["b"]
    finally:
        fleet.close()
    assert lost.outcome == "unknown"
    assert again.outcome == ("done" if without else "unknown"), again
    assert runs == (2 if without else 1)


async def test_agent_frozen_and_woken_late() -> None:
    """A frozen home wakes up with an old offer; the key still runs once."""
    fleet = start_fleet(engines=0)
    try:
        url = entry_url(fleet)
        key = await request_idempotency_key(url)
        fleet.send_signal("shop-agent-1", signal.SIGSTOP)
        first = asyncio.create_task(book(url, key))
        await asyncio.sleep(2)
        second = asyncio.create_task(book(entry_url(fleet, "entry-2"), key))
        await asyncio.sleep(3)
        fleet.send_signal("shop-agent-1", signal.SIGCONT)
        responses = await asyncio.gather(first, second)
        last = await book(url, key)
        runs = fleet.stats("shop-1")["runs"]["b"]
    finally:
        fleet.close()
    assert {r.outcome for r in responses} <= {"done", "unknown"}
    assert last.outcome == "done"
    assert runs == 1


async def test_service_crashes_after_the_run() -> None:
    """The service runs the booking and dies before it answers."""
    fleet = start_fleet(engines=0)
    try:
        url = entry_url(fleet)
        key = await request_idempotency_key(url)
        crashed = await book(url, key, crash=True)
        port = fleet.handles["shop-1"].port
        fleet.kill("shop-1")
        fleet.start_service("shop-1", port=port)
        again = await book(url, key, crash=True)
        runs = fleet.stats("shop-1")["runs"]
    finally:
        fleet.close()
    assert crashed.outcome == "unknown"
    assert again.outcome == "unknown"
    assert runs == {}


async def test_told_not_run_is_final() -> None:
    """A key that was refused stays refused; the answer brings a fresh one."""
    fleet = start_fleet(engines=0)
    try:
        url = entry_url(fleet)
        key = await request_idempotency_key(url)
        port = fleet.handles["shop-1"].port
        fleet.kill("shop-1")
        refused = await book(url, key)
        fleet.start_service("shop-1", port=port)
        await eventually(lambda: bool(fleet.dump("shop-agent-1")["accepting"]))
        again = await book(entry_url(fleet, "entry-2"), key)
        fresh = await request_idempotency_key(url)
        done = await book(url, fresh)
        runs = fleet.stats("shop-1")["runs"]
    finally:
        fleet.close()
    assert refused.outcome == "not-run"
    assert again.outcome == "not-run"
    assert again.headers["Idempotency-Key"] != key
    assert done.outcome == "done"
    assert runs == {"b": 1}


async def test_key_is_bound_to_its_request() -> None:
    fleet = start_fleet(engines=0)
    try:
        url = entry_url(fleet)
        key = await request_idempotency_key(url)
        await book(url, key)
        reused = await call_service(url, "/bookings", key=key, data={"booking": "c"})
        forged = await book(url, key[:-4] + "AAAA")
        runs = fleet.stats("shop-1")["runs"]
    finally:
        fleet.close()
    assert (reused.code, reused.outcome) == ("key_reused", "unknown")
    assert (forged.status, forged.outcome) == (409, "unknown")
    assert runs == {"b": 1}
