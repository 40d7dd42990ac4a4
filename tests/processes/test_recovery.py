from __future__ import annotations

import asyncio

import pytest
from devtools import sample_fleet as sample
from devtools.engine_model import expected_answer
from devtools.processes import ProcessFailedError
from devtools.sample_fleet import start_fleet

from tests.helpers import entry_url
from tests.helpers import eventually
from tests.helpers import send_chat


POISON = "POISON-PILL"


@pytest.mark.parametrize("without", ["", "poison"])
async def test_poison_request_is_refused_after_second_crash(without: str) -> None:
    """Guards against a request that crashes one endpoint after the other.

    The request crashes each engine that runs it, and its caller sends it again four
    times. Other requests must complete.
    """
    fleet = start_fleet(
        engines=4, services=0, disabled=without, engine_options=("--poison", POISON)
    )
    try:
        bystanders = [
            asyncio.create_task(
                send_chat(entry_url(fleet), f"by {n} LENGTH=200", max_tokens=400)
            )
            for n in range(6)
        ]
        await asyncio.sleep(0.5)
        urls = (entry_url(fleet), entry_url(fleet, "entry-2"))
        codes = []
        for number in range(4):
            response = await send_chat(urls[number % 2], f"{POISON} LENGTH=5")
            codes.append(response.code)
            responses = await asyncio.gather(*bystanders)
        crashed = sum(
            fleet.handles[f"engine-{n}"].process.poll() is not None for n in range(1, 5)
        )
        again = await asyncio.gather(
            *(
                send_chat(urls[1], f"by {n} LENGTH=200", max_tokens=400)
                for n in range(6)
            )
        )
    finally:
        fleet.close()
    if without:
        assert crashed > 2
        return
    assert crashed == 2
    assert codes == ["poison"] * 4
    for n, response in enumerate(responses):
        assert response.text == expected_answer(f"by {n} LENGTH=200", 400), response
    for n, response in enumerate(again):
        assert response.text == expected_answer(f"by {n} LENGTH=200", 400), response


async def test_restarted_engine_starts_at_minimum_concurrency() -> None:
    fleet = start_fleet(engines=1, services=0, entries=1)
    try:
        port = fleet.handles["engine-1"].port
        fleet.kill("engine-1")
        refused = await send_chat(entry_url(fleet), "down LENGTH=5")
        fleet.start_engine("engine-1", port=port)
        await eventually(lambda: bool(fleet.dump("assistant-1")["accepting"]))
        limit = fleet.dump("assistant-1")["permits"]["limit"]
        served = await send_chat(entry_url(fleet), "up LENGTH=5")
    finally:
        fleet.close()
    assert refused.outcome == "not-run"
    assert limit == 2
    assert served.outcome == "done"


async def test_session_outranks_lagging_instance_list() -> None:
    """A dead agent is still listed, and a working agent is no longer listed."""
    fleet = start_fleet(engines=2, services=0, entries=1)
    try:
        fleet.kill("assistant-1")
        fleet.deregister_instance("assistant-2")
        await asyncio.sleep(2)
        response = await send_chat(entry_url(fleet), "evidence LENGTH=10")
    finally:
        fleet.close()
    assert response.text == expected_answer("evidence LENGTH=10", 128)


async def test_restarted_agent_serves_again() -> None:
    fleet = start_fleet(engines=1, services=0, entries=2)
    try:
        port = fleet.handles["assistant-1"].port
        engine = fleet.handles["engine-1"]
        fleet.kill("assistant-1")
        fleet.start_agent(
            "assistant-1", sample.DATA_CENTRES[1], engine, [sample.MODEL], port=port
        )
        await eventually(
            lambda: all(
                fleet.dump(name)["peers"][0]["accepting"]
                for name in ("entry-1", "entry-2")
            ),
            timeout_s=10.0,
        )
        response = await send_chat(entry_url(fleet, "entry-2"), "fresh LENGTH=10")
    finally:
        fleet.close()
    assert response.outcome == "done"


async def test_entry_with_wrong_fleet_key_is_not_ready() -> None:
    """Agents refuse the sessions of an entry that has another fleet key."""
    fleet = start_fleet(engines=1, services=0, entries=1)
    try:
        path = fleet.folder / "entry-1.toml"
        settings = path.read_text().replace("development-fleet-key", "wrong")
        fleet.kill("entry-1")
        fleet.start_from_text("entry-1", "entry", settings)
        with pytest.raises(ProcessFailedError):
            fleet.wait_http(fleet.handles["entry-1"], "/readyz", timeout_s=6.0)
    finally:
        fleet.close()
