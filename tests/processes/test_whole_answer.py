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
    """Start one engine and two entries that reach its agent through a proxy."""
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
async def test_response_resumes_after_connection_goes_silent(without: str) -> None:
    """Guards against a response that waits for ever on a dead connection.

    The proxy stops forwarding on the open connections without closing them. The entry
    must reconnect and resume the attempt, so that nothing is generated twice.
    """
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
async def test_response_survives_short_connection_fault(fault: Fault) -> None:
    """Bytes are lost in one direction, or connections cut, for 2 s of a response."""
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


async def test_caller_resumes_through_another_entry() -> None:
    """Guards against a response that is lost with the caller's entry.

    The caller disconnects, its entry is killed, and the caller resumes at the other
    entry with Last-Event-ID. A caller of another team must not get the response.
    """
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
async def test_response_continues_after_engine_is_killed(without: str) -> None:
    """Another endpoint continues the answer from the text that was delivered."""
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
async def test_response_continues_after_agent_is_suspended(without: str) -> None:
    """The entry fails attempts at a suspended agent; another endpoint continues."""
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
                what="the abandoned attempt is cancelled",
            )
    finally:
        fleet.close()
    assert finished == (not without)
    if finished:
        assert task.result().text == EXPECTED


async def test_each_caller_receives_its_own_response() -> None:
    """Guards against responses mixed up among 40 concurrent callers at two entries."""
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


async def test_offer_lost_on_open_connection_is_sent_again() -> None:
    """Guards against an offer that is lost without an error.

    The proxy drops batches towards the agent but keeps the connection open. The gap in
    the batch numbers must end the session, and the offer be sent again.
    """
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
