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
async def test_retry_after_entry_is_killed_does_not_run_call_again(
    without: str,
) -> None:
    """An entry is killed while a call runs; the caller retries at another entry.

    The owner of the key must return the recorded response instead of running the
    call twice, as it does with idempotency records disabled.
    """
    fleet = start_fleet(engines=0, disabled=without)
    try:
        one = entry_url(fleet)
        two = entry_url(fleet, "entry-2")
        key = await request_idempotency_key(one)
        first = asyncio.create_task(book(one, key, delay_s=2))
        await eventually(lambda: fleet.stats("shop-1")["runs"] == {"b": 1})
        fleet.kill("entry-1")
        retried = await book(two, key, delay_s=2)
        with pytest.raises(Exception):  # noqa: B017
            await first
        runs = fleet.stats("shop-1")["runs"]["b"]
    finally:
        fleet.close()
    assert retried.outcome == "done"
    assert runs == (2 if without else 1)


@pytest.mark.parametrize("without", ["", "incarnation"])
async def test_call_does_not_run_again_after_its_agent_restarts(without: str) -> None:
    """The agent that owns the key is killed while the call runs, and restarts.

    The new process has no record of the call. The incarnation in the key must
    keep it from running the call again.
    """
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
        retried = await book(entry_url(fleet, "entry-2"), key)
        runs = fleet.stats("shop-1")["runs"]["b"]
    finally:
        fleet.close()
    assert lost.outcome == "unknown"
    assert retried.outcome == ("done" if without else "unknown"), retried
    assert runs == (2 if without else 1)


async def test_call_runs_once_when_its_agent_resumes_after_suspension() -> None:
    """A suspended agent resumes with an old offer after the caller has retried."""
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


async def test_call_does_not_run_again_after_service_crash() -> None:
    """The service runs the call and crashes before it responds.

    The outcome stays unknown, and a retry must not run the call at the restarted
    service, whose counts start empty.
    """
    fleet = start_fleet(engines=0)
    try:
        url = entry_url(fleet)
        key = await request_idempotency_key(url)
        crashed = await book(url, key, crash=True)
        port = fleet.handles["shop-1"].port
        fleet.kill("shop-1")
        fleet.start_service("shop-1", port=port)
        retried = await book(url, key, crash=True)
        runs = fleet.stats("shop-1")["runs"]
    finally:
        fleet.close()
    assert crashed.outcome == "unknown"
    assert retried.outcome == "unknown"
    assert runs == {}


async def test_refused_key_never_runs() -> None:
    """A call must not run after its caller has received ``not-run``.

    The caller may already have sent it with a new key, which the refusal of a
    retry with the old key carries.
    """
    fleet = start_fleet(engines=0)
    try:
        url = entry_url(fleet)
        key = await request_idempotency_key(url)
        port = fleet.handles["shop-1"].port
        fleet.kill("shop-1")
        refused = await book(url, key)
        fleet.start_service("shop-1", port=port)
        await eventually(lambda: bool(fleet.dump("shop-agent-1")["accepting"]))
        retried = await book(entry_url(fleet, "entry-2"), key)
        fresh = await request_idempotency_key(url)
        done = await book(url, fresh)
        runs = fleet.stats("shop-1")["runs"]
    finally:
        fleet.close()
    assert refused.outcome == "not-run"
    assert retried.outcome == "not-run"
    assert retried.headers["Idempotency-Key"] != key
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
