from __future__ import annotations

import asyncio
import signal

import pytest
from devtools import sample_fleet as sample
from devtools.engine_model import expected_answer
from devtools.fault_proxy import Fault
from devtools.fault_proxy import FaultProxy
from devtools.processes import HOST
from devtools.processes import LocalFleet

from tests.helpers import entry_url
from tests.helpers import eventually
from tests.helpers import send_chat


PROMPT = "whole LENGTH=300"
EXPECTED = expected_answer(PROMPT, 1000)


async def start_behind_proxy(disabled: str = "") -> tuple[LocalFleet, FaultProxy]:
    """Start one engine whose agent entries reach through the proxy."""
    fleet = LocalFleet(disabled=disabled)
    fleet.start_platform()
    fleet.publish(sample.initial_values())
    engine = fleet.start_engine("engine-1")
    agent = fleet.start_agent(
        "assistant-1", sample.DATA_CENTRES[0], engine, [sample.MODEL], register=False
    )
    proxy = FaultProxy(target_host=HOST, target_port=agent.port)
    await proxy.start()
    fleet.register_instance(
        "assistant-1",
        "agent",
        sample.DATA_CENTRES[0],
        proxy.port,
        serves=[sample.MODEL],
    )
    for name in ("entry-1", "entry-2"):
        fleet.start_entry(name, sample.DATA_CENTRES[0], wait=False)
    await asyncio.to_thread(fleet.wait_all_ready)
    return fleet, proxy


@pytest.mark.parametrize("without", ["", "resume"])
async def test_silent_connection_is_replaced(without: str) -> None:
    """Open connections go silent for good; nothing is generated twice."""
    fleet, proxy = await start_behind_proxy(without)
    try:
        task = asyncio.create_task(send_chat(entry_url(fleet), PROMPT, max_tokens=1000))
        await asyncio.sleep(1.0)
        proxy.silence_open_connections()
        response = await task
        generated = fleet.stats("engine-1")["requests"]
    finally:
        fleet.close()
        await proxy.close()
    assert response.text == EXPECTED
    assert generated == (2 if without else 1)


@pytest.mark.parametrize(
    "fault",
    [Fault.LOSE_REQUESTS, Fault.LOSE_RESPONSES, Fault.CUT],
    ids=lambda f: f.value,
)
async def test_short_fault_between_entry_and_agent(fault: Fault) -> None:
    """Loss in one direction, or a cut, for two seconds within an answer."""
    fleet, proxy = await start_behind_proxy()
    try:
        task = asyncio.create_task(send_chat(entry_url(fleet), PROMPT, max_tokens=1000))
        await asyncio.sleep(1.0)
        if fault is Fault.CUT:
            proxy.disconnect()
        proxy.fault = fault
        await asyncio.sleep(2.0)
        proxy.clear_faults()
        response = await task
        generated = fleet.stats("engine-1")["generated"]
    finally:
        fleet.close()
        await proxy.close()
    assert response.text == EXPECTED
    assert generated == 300


async def test_caller_goes_on_through_another_entry() -> None:
    """The caller's line drops; it goes on by Last-Event-ID elsewhere."""
    fleet, proxy = await start_behind_proxy()
    try:
        first = await send_chat(
            entry_url(fleet), PROMPT, max_tokens=1000, stop_after_tokens=100
        )
        fleet.kill("entry-1")
        rest = await send_chat(
            entry_url(fleet, "entry-2"),
            PROMPT,
            max_tokens=1000,
            headers={"Last-Event-ID": first.last_event_id},
        )
        stolen = await send_chat(
            entry_url(fleet, "entry-2"),
            PROMPT,
            headers={
                "Last-Event-ID": first.last_event_id,
                "Authorization": f"Bearer {sample.OTHER_KEY}",
            },
        )
        generated = fleet.stats("engine-1")["generated"]
    finally:
        fleet.close()
        await proxy.close()
    assert first.text + rest.text == EXPECTED
    assert generated == 300
    assert stolen.text == ""
    assert stolen.outcome == "unknown"


@pytest.mark.parametrize("without", ["", "continuation"])
async def test_engine_killed_in_the_middle(without: str) -> None:
    """The answer goes on at another endpoint from the delivered text."""
    fleet = sample.start_fleet(engines=2, services=0, entries=1, disabled=without)
    try:
        task = asyncio.create_task(send_chat(entry_url(fleet), PROMPT, max_tokens=1000))
        await asyncio.sleep(1.5)
        victim = max(
            ("engine-1", "engine-2"), key=lambda n: fleet.stats(n)["generated"]
        )
        spared = "engine-2" if victim == "engine-1" else "engine-1"
        fleet.kill(victim)
        response = await task
        generated = fleet.stats(spared)["generated"]
    finally:
        fleet.close()
    assert (response.text == EXPECTED) == (not without)
    assert (generated == 300) == bool(without)


@pytest.mark.parametrize("without", ["", "silence-detection"])
async def test_agent_frozen_in_the_middle(without: str) -> None:
    """A frozen agent is given up; another endpoint goes on."""
    fleet = sample.start_fleet(engines=2, services=0, entries=1, disabled=without)
    try:
        task = asyncio.create_task(send_chat(entry_url(fleet), PROMPT, max_tokens=1000))
        await asyncio.sleep(1.5)
        busy = max((1, 2), key=lambda n: fleet.stats(f"engine-{n}")["generated"])
        fleet.send_signal(f"assistant-{busy}", signal.SIGSTOP)
        done, _ = await asyncio.wait([task], timeout=15)
        finished = bool(done)
        if not done:
            task.cancel()
        fleet.send_signal(f"assistant-{busy}", signal.SIGCONT)
        if finished:
            await eventually(
                lambda: fleet.stats(f"engine-{busy}")["running"] == 0,
                what="the given up attempt is cancelled",
            )
    finally:
        fleet.close()
    assert finished == (not without)
    if finished:
        assert task.result().text == EXPECTED


async def test_answers_reach_their_own_callers() -> None:
    """Many answers at once, through two entries: each caller gets its own."""
    fleet = sample.start_fleet(engines=2, services=0)
    try:
        prompts = [f"caller {number} LENGTH={20 + number}" for number in range(40)]
        urls = (entry_url(fleet), entry_url(fleet, "entry-2"))
        responses = await asyncio.gather(
            *(send_chat(urls[n % 2], prompt) for n, prompt in enumerate(prompts))
        )
    finally:
        fleet.close()
    for prompt, response in zip(prompts, responses, strict=True):
        assert response.text == expected_answer(prompt, 128), response


async def test_offer_lost_on_a_connection_that_lives_on() -> None:
    """Whole batches vanish towards the agent; the gap is noticed."""
    fleet, proxy = await start_behind_proxy()
    try:
        await send_chat(entry_url(fleet), "warm LENGTH=5")
        proxy.fault = Fault.LOSE_REQUESTS
        task = asyncio.create_task(send_chat(entry_url(fleet), "lost LENGTH=20"))
        await asyncio.sleep(0.3)
        proxy.clear_faults()
        response = await asyncio.wait_for(task, 10)
        generated = fleet.stats("engine-1")["generated"]
    finally:
        fleet.close()
        await proxy.close()
    assert response.text == expected_answer("lost LENGTH=20", 128)
    assert generated == 25
