from __future__ import annotations

import asyncio
import time

import pytest
from devtools import sample_fleet as sample
from devtools.processes import HOST
from devtools.processes import LocalFleet
from devtools.processes import http_json
from devtools.sample_fleet import start_fleet

from tests.helpers import Response
from tests.helpers import entry_url
from tests.helpers import eventually
from tests.helpers import send_chat


MAX_BATCH = 8
MAX_BATCH_COLD = 2
FIRST_TARGET_S = 1.8


def small_fleet(disabled: str = "", **options: str) -> LocalFleet:
    arguments = [part for pair in options.items() for part in pair]
    return start_fleet(
        engines=1, services=0, disabled=disabled, engine_options=tuple(arguments)
    )


async def drafts(fleet: LocalFleet, count: int, tokens: int) -> list[Response]:
    urls = (entry_url(fleet), entry_url(fleet, "entry-2"))
    return await asyncio.gather(
        *(
            send_chat(
                urls[n % 2],
                f"draft {n} LENGTH={tokens}",
                max_tokens=2000,
                headers={"X-Request-Class": "draft"},
            )
            for n in range(count)
        )
    )


@pytest.mark.parametrize("without", ["", "permits"])
async def test_cold_endpoint_gets_no_more_than_it_bears(without: str) -> None:
    """Two entries send thirty drafts to an endpoint that has just started."""
    fleet = small_fleet(without, **{"--cold-s": "60"})
    try:
        responses = asyncio.create_task(drafts(fleet, 30, 20))
        await asyncio.sleep(1.0)
        most = fleet.stats("engine-1")["most_running"]
        await responses
        outcomes = [response.outcome for response in responses.result()]
        most_ever = fleet.stats("engine-1")["most_running"]
    finally:
        fleet.close()
    assert (most <= MAX_BATCH_COLD + 1) == (not without)
    assert (most_ever <= MAX_BATCH) == (not without)
    assert set(outcomes) == {"done"}, responses.result()


async def test_warm_endpoint_that_turns_cold_is_relieved() -> None:
    """Permits fall to the floor and running drafts pause when tokens slow down."""
    fleet = small_fleet()
    try:
        await drafts(fleet, 40, 10)
        load = asyncio.create_task(drafts(fleet, 12, 400))
        await eventually(lambda: fleet.dump("assistant-1")["permits"]["limit"] >= 6)
        await asyncio.sleep(1.0)
        fault_url = f"http://{HOST}:{fleet.handles['engine-1'].port}/mood"
        await asyncio.to_thread(http_json, fault_url, {"cold_s": 20})
        await eventually(
            lambda: fleet.stats("engine-1")["running"] <= MAX_BATCH_COLD,
            timeout_s=6.0,
            what="running above what a cold engine bears is paused",
        )
        await asyncio.to_thread(http_json, fault_url, {"cold_s": 0})
        responses = await load
    finally:
        fleet.close()
    assert {response.outcome for response in responses} == {"done"}


@pytest.mark.parametrize("without", ["", "tiers,pause"])
async def test_quick_chat_goes_before_running_drafts(without: str) -> None:
    """The endpoint is full of long drafts when quick questions come."""
    fleet = small_fleet(without)
    try:
        await drafts(fleet, 40, 10)
        load = asyncio.create_task(drafts(fleet, 30, 400))
        await asyncio.sleep(1.5)
        started_s = time.monotonic()
        quick = await asyncio.gather(
            *(send_chat(entry_url(fleet), f"quick {n} LENGTH=5") for n in range(5))
        )
        taken_s = time.monotonic() - started_s
        pauses = fleet.stats("engine-1")["pauses"]
        responses = await load
    finally:
        fleet.close()
    in_time = taken_s <= FIRST_TARGET_S and {r.outcome for r in quick} == {"done"}
    assert in_time == (not without)
    assert (pauses > 0) == (not without)
    assert {response.outcome for response in responses} == {"done"}, responses


@pytest.mark.parametrize("without", ["", "turn"])
async def test_draft_is_not_starved_by_endless_upper_tiers(without: str) -> None:
    """Summaries above capacity for 12 s; one draft still gets its turn."""
    fleet = small_fleet(without)

    async def summaries() -> None:
        async def one(number: int) -> None:
            await send_chat(
                entry_url(fleet),
                f"summary {number} LENGTH=100",
                headers={"X-Request-Class": "summary"},
                max_tokens=200,
            )

        async with asyncio.TaskGroup() as group:
            for number in range(14 * 12):
                group.create_task(one(number))
                await asyncio.sleep(1 / 14)

    try:
        load = asyncio.create_task(summaries())
        await asyncio.sleep(2.0)
        draft = asyncio.create_task(drafts(fleet, 1, 20))
        done, _ = await asyncio.wait([draft], timeout=9.5)
        in_time = bool(done)
        await load
        await draft
    finally:
        fleet.close()
    assert in_time == (not without)


async def test_early_refusal_says_when_to_come_back() -> None:
    """What can't start in time is refused at once, and was not run."""
    fleet = small_fleet()
    try:
        fleet.publish(
            sample.team_values(
                classes=[
                    {
                        "name": "urgent",
                        "tier": 0,
                        "models": [sample.MODEL],
                        "first_token_ms": 500,
                        "between_tokens_ms": 100,
                        "deadline_s": 1.0,
                        "max_tokens": 2000,
                        "preemptible": False,
                    }
                ]
            )
        )
        await eventually(lambda: fleet.dump("entry-1")["revision"] == 2)
        responses = await asyncio.gather(
            *(
                send_chat(entry_url(fleet), f"u {n} LENGTH=300", max_tokens=2000)
                for n in range(30)
            )
        )
        generated = fleet.stats("engine-1")["generated"]
    finally:
        fleet.close()
    done = [r for r in responses if r.outcome == "done"]
    refused = [r for r in responses if r.outcome == "not-run"]
    assert len(done) + len(refused) == 30
    assert refused
    assert {r.code for r in refused} <= {"deadline", "busy", "shed"}
    assert all("Retry-After" in r.headers for r in refused)
    assert generated == 300 * len(done)
