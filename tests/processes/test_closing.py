from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest
from devtools import sample_fleet as sample
from devtools.engine_model import expected_answer
from devtools.sample_fleet import start_fleet

from tests.helpers import entry_url
from tests.helpers import eventually
from tests.helpers import send_chat


if TYPE_CHECKING:
    from devtools.processes import LocalFleet


CLOSED_WITHIN_S = 3.0
FIRST, SECOND = sample.DATA_CENTRES
CLOSE_SECOND = {"fleet": sample.fleet_value(closed_data_centres=[SECOND])}
REOPEN = {"fleet": sample.fleet_value()}


async def send_chats(fleet: LocalFleet, count: int, entry: str = "entry-1") -> None:
    await asyncio.gather(
        *(
            send_chat(entry_url(fleet, entry), f"some {n} LENGTH=5")
            for n in range(count)
        )
    )


@pytest.mark.parametrize("without", ["", "entry-check,agent-check"])
async def test_closed_data_centre_gets_no_new_requests(without: str) -> None:
    """Engine 1 is in the second data centre; the requests running there complete.

    After it reopens, its limit starts at the floor again.
    """
    fleet = start_fleet(engines=2, services=0, disabled=without)
    try:
        prompt = "running LENGTH=400"
        running = [
            asyncio.create_task(
                send_chat(entry_url(fleet), f"{prompt} {n}", max_tokens=1000)
            )
            for n in range(4)
        ]
        await asyncio.sleep(0.5)
        fleet.publish(CLOSE_SECOND)
        await asyncio.sleep(CLOSED_WITHIN_S)
        before = fleet.stats("engine-1")["requests"]
        await send_chats(fleet, 20)
        after = fleet.stats("engine-1")["requests"]
        responses = await asyncio.gather(*running)
        fleet.publish(REOPEN)
        await eventually(lambda: bool(fleet.dump("assistant-1")["accepting"]))
        await asyncio.sleep(1)
        limit = fleet.dump("assistant-1")["permits"]["limit"]
        await send_chats(fleet, 20)
        reopened = fleet.stats("engine-1")["requests"]
    finally:
        fleet.close()
    assert (after == before) == (not without)
    for n, response in enumerate(responses):
        assert response.text == expected_answer(f"{prompt} {n}", 1000)
    assert limit == 2 or without
    assert reopened > after


@pytest.mark.parametrize("without", ["", "agent-check"])
async def test_agent_refuses_requests_of_an_entry_that_missed_the_closure(
    without: str,
) -> None:
    """A suspended entry resumes with an old configuration and new requests.

    It would send them to the closed endpoint; the agent must refuse them.
    """
    fleet = start_fleet(engines=1, services=0, disabled=without)
    try:
        fleet.send_signal("entry-1", signal.SIGSTOP)
        late = [
            asyncio.create_task(send_chat(entry_url(fleet), f"late {n} LENGTH=5"))
            for n in range(5)
        ]
        fleet.publish(CLOSE_SECOND)
        await eventually(lambda: fleet.dump("assistant-1")["revision"] == 2)
        await asyncio.sleep(CLOSED_WITHIN_S)
        before = fleet.stats("engine-1")["requests"]
        fleet.send_signal("entry-1", signal.SIGCONT)
        responses = await asyncio.gather(*late)
        ran = fleet.stats("engine-1")["requests"] - before
    finally:
        fleet.close()
    if not without:
        assert ran == 0
        assert {r.outcome for r in responses} == {"not-run"}


async def test_request_is_refused_when_all_its_endpoints_are_closed() -> None:
    fleet = start_fleet(engines=1, services=0, entries=1)
    try:
        fleet.publish(CLOSE_SECOND)
        await eventually(lambda: fleet.dump("entry-1")["revision"] == 2)
        response = await send_chat(entry_url(fleet), "nowhere LENGTH=5")
        ran = fleet.stats("engine-1")["requests"]
    finally:
        fleet.close()
    assert (response.status, response.outcome) == (503, "not-run")
    assert ran == 0


@pytest.mark.parametrize("without", ["", "drain"])
async def test_stopping_agent_completes_running_requests(without: str) -> None:
    fleet = start_fleet(engines=1, services=0, entries=1, disabled=without)
    try:
        prompt = "leaving LENGTH=900"
        task = asyncio.create_task(send_chat(entry_url(fleet), prompt, max_tokens=1000))
        await asyncio.sleep(1)
        stopping = asyncio.create_task(asyncio.to_thread(fleet.stop, "assistant-1"))
        await asyncio.sleep(1)
        before = fleet.stats("engine-1")["requests"]
        refused = await send_chat(entry_url(fleet), "new LENGTH=5")
        after = fleet.stats("engine-1")["requests"]
        response = await task
        exit_code = await stopping
    finally:
        fleet.close()
    assert (response.text == expected_answer(prompt, 1000)) == (not without)
    assert refused.outcome == "not-run"
    assert before == after
    assert exit_code == 0


async def test_stopping_entry_completes_running_requests() -> None:
    fleet = start_fleet(engines=1, services=0, entries=1)
    try:
        prompt = "leaving LENGTH=200"
        task = asyncio.create_task(send_chat(entry_url(fleet), prompt, max_tokens=1000))
        await asyncio.sleep(1)
        exit_code = await asyncio.to_thread(fleet.stop, "entry-1")
        response = await task
    finally:
        fleet.close()
    assert response.text == expected_answer(prompt, 1000)
    assert exit_code == 0


async def test_agent_listed_as_leaving_gets_no_new_requests() -> None:
    """The platform lists the agent as leaving before the agent itself drains."""
    fleet = start_fleet(engines=2, services=0, entries=1)
    try:
        port = fleet.handles["assistant-1"].port
        fleet.register_instance(
            "assistant-1",
            "agent",
            SECOND,
            port,
            serves=[sample.MODEL],
            state="leaving",
        )
        await asyncio.sleep(CLOSED_WITHIN_S)
        before = fleet.stats("engine-1")["requests"]
        await send_chats(fleet, 20)
        after = fleet.stats("engine-1")["requests"]
    finally:
        fleet.close()
    assert before == after
