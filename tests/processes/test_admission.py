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
MAX_CHAT_S = 1.8


def start_small_fleet(disabled: str = "", **options: str) -> LocalFleet:
    arguments = [part for pair in options.items() for part in pair]
    return start_fleet(
        engines=1, services=0, disabled=disabled, engine_options=tuple(arguments)
    )


async def send_drafts(fleet: LocalFleet, count: int, tokens: int) -> list[Response]:
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
async def test_cold_endpoint_runs_no_more_than_its_permits(without: str) -> None:
    """Two entries send 30 drafts to an endpoint that has just started and is cold.

    Without permits it would run all of them at once and slow down.
    """
    fleet = start_small_fleet(without, **{"--cold-s": "60"})
    try:
        responses = asyncio.create_task(send_drafts(fleet, 30, 20))
        await asyncio.sleep(1.0)
        max_running_cold = fleet.stats("engine-1")["most_running"]
        await responses
        outcomes = [response.outcome for response in responses.result()]
        max_running = fleet.stats("engine-1")["most_running"]
    finally:
        fleet.close()
    assert (max_running_cold <= MAX_BATCH_COLD + 1) == (not without)
    assert (max_running <= MAX_BATCH) == (not without)
    assert set(outcomes) == {"done"}, responses.result()


async def test_jobs_above_the_limit_pause_when_the_endpoint_turns_cold() -> None:
    """Slow tokens collapse the limit to the floor, and drafts above it are paused."""
    fleet = start_small_fleet()
    try:
        await send_drafts(fleet, 40, 10)
        load = asyncio.create_task(send_drafts(fleet, 12, 400))
        await eventually(lambda: fleet.dump("assistant-1")["permits"]["limit"] >= 6)
        await asyncio.sleep(1.0)
        engine_fault_url = f"http://{HOST}:{fleet.handles['engine-1'].port}/mood"
        await asyncio.to_thread(http_json, engine_fault_url, {"cold_s": 20})
        await eventually(
            lambda: fleet.stats("engine-1")["running"] <= MAX_BATCH_COLD,
            timeout_s=6.0,
            what="jobs above the capacity of a cold engine are paused",
        )
        await asyncio.to_thread(http_json, engine_fault_url, {"cold_s": 0})
        responses = await load
    finally:
        fleet.close()
    assert {response.outcome for response in responses} == {"done"}


@pytest.mark.parametrize("without", ["", "tiers,pause"])
async def test_chat_requests_preempt_running_drafts(without: str) -> None:
    """Long drafts use all permits of the endpoint when short chat requests arrive."""
    fleet = start_small_fleet(without)
    try:
        await send_drafts(fleet, 40, 10)
        load = asyncio.create_task(send_drafts(fleet, 30, 400))
        await asyncio.sleep(1.5)
        started_s = time.monotonic()
        chats = await asyncio.gather(
            *(send_chat(entry_url(fleet), f"quick {n} LENGTH=5") for n in range(5))
        )
        taken_s = time.monotonic() - started_s
        pauses = fleet.stats("engine-1")["pauses"]
        responses = await load
    finally:
        fleet.close()
    in_time = taken_s <= MAX_CHAT_S and {r.outcome for r in chats} == {"done"}
    assert in_time == (not without)
    assert (pauses > 0) == (not without)
    assert {response.outcome for response in responses} == {"done"}, responses


@pytest.mark.parametrize("without", ["", "turn"])
async def test_draft_is_not_starved_by_continuous_load_of_a_higher_tier(
    without: str,
) -> None:
    """A draft starts in the aging slot during 12 s of summaries above capacity."""
    fleet = start_small_fleet(without)

    async def send_summaries() -> None:
        async def send_summary(number: int) -> None:
            await send_chat(
                entry_url(fleet),
                f"summary {number} LENGTH=100",
                headers={"X-Request-Class": "summary"},
                max_tokens=200,
            )

        async with asyncio.TaskGroup() as group:
            for number in range(14 * 12):
                group.create_task(send_summary(number))
                await asyncio.sleep(1 / 14)

    try:
        load = asyncio.create_task(send_summaries())
        await asyncio.sleep(2.0)
        draft = asyncio.create_task(send_drafts(fleet, 1, 20))
        done, _ = await asyncio.wait([draft], timeout=9.5)
        in_time = bool(done)
        await load
        await draft
    finally:
        fleet.close()
    assert in_time == (not without)


async def test_early_refusal_has_a_retry_after_header_and_runs_nothing() -> None:
    """Requests that can't start in time are refused before they run."""
    fleet = start_small_fleet()
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
