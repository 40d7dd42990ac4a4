"""A burst of long prompts beside short, gap-sensitive requests.

Long prompts prolong the steps of an engine and stall its other streams.
Gap-sensitive streams are therefore placed on other engines, prompts are queued
at the gateway, and a prefix is prefilled on a second engine only where that
costs less than queueing.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.policy.cells import Cell
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_long_prompt_job


if TYPE_CHECKING:
    from shallotroad.gateway.job import Job
    from shallotroad.policy.placement import Placement
    from tests.gateway_builders import AdmissionFixture


async def place_while_time_passes(fixture: AdmissionFixture, job: Job) -> Placement:
    """Place a job; the test's clock runs while it is queued."""
    task = asyncio.create_task(
        fixture.admission.place(job.placement_request(fixture.clock()))
    )
    await asyncio.sleep(0)
    while not task.done():
        fixture.clock.now_s += 0.01
        fixture.admission.dispatch_queued()
        await asyncio.sleep(0)
    return await task


async def test_gap_sensitive_requests_avoid_engines_that_prefill_long_prompts() -> None:
    fixture = make_admission_fixture()
    long_prompt_jobs = [
        make_long_prompt_job(f"t{n}", f"o{n}", fixture.clock()) for n in range(4)
    ]
    engines_with_long_prompts = {
        (
            await fixture.admission.place(
                long_prompt_job.placement_request(fixture.clock())
            )
        ).load.record.identifier
        for long_prompt_job in long_prompt_jobs
    }
    gap_sensitive_jobs = [make_gateway_job(now_s=fixture.clock()) for _ in range(8)]
    engines_of_gap_sensitive_jobs = {
        (
            await fixture.admission.place(job.placement_request(fixture.clock()))
        ).load.record.identifier
        for job in gap_sensitive_jobs
    }
    assert not engines_with_long_prompts & engines_of_gap_sensitive_jobs


async def test_a_late_long_prompt_avoids_a_reserved_engine_with_many_streams() -> None:
    fixture = make_admission_fixture(endpoints=2)
    (reserved,) = fixture.endpoint_registry.reserved_endpoints(Cell("chat"))
    (other,) = set(fixture.endpoint_registry.loads) - {reserved}
    load = fixture.endpoint_registry.loads[reserved]
    for _ in range(20):
        load.record_first_event(
            load.record_dispatch(1.0, fixture.clock()), fixture.clock()
        )
    fixture.endpoint_registry.loads[other].record_dispatch(9_000.0, fixture.clock())
    long_prompt_job = make_long_prompt_job("t", "o", fixture.clock())
    long_prompt_job.attempts.append("e9")  # A retry is not refused early.
    fixture.clock.now_s += 2.0  # 2.0 s of its objective of 2.5 s have passed
    task = asyncio.create_task(
        fixture.admission.place(long_prompt_job.placement_request(fixture.clock()))
    )
    await asyncio.sleep(0.01)
    assert not task.done()
    for _ in range(20):
        load.record_end(0.0, started=True, now_s=fixture.clock())
    fixture.admission.dispatch_queued()
    assert (await task).load is load


async def test_long_prompts_are_queued_when_engines_are_at_their_limit() -> None:
    fixture = make_admission_fixture()
    jobs = [make_long_prompt_job(f"t{n}", f"o{n}", fixture.clock()) for n in range(40)]
    tasks = [
        asyncio.create_task(
            fixture.admission.place(job.placement_request(fixture.clock()))
        )
        for job in jobs
    ]
    await asyncio.sleep(0.01)
    ended = [task for task in tasks if task.done()]
    started = [task for task in ended if task.exception() is None]
    assert 4 <= len(started) <= 20
    assert fixture.admission.queue_length == len(tasks) - len(ended)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert fixture.admission.queue_length == 0


async def test_a_prefix_stays_on_the_engine_that_has_it_cached_during_a_burst() -> None:
    fixture = make_admission_fixture()
    placements_by_engine: Counter[str] = Counter()
    for number in range(12):
        fixture.clock.now_s += 0.12
        job = make_long_prompt_job("hot", f"o{number}", fixture.clock())
        placement = await place_while_time_passes(fixture, job)
        placements_by_engine[placement.load.record.identifier] += 1
        placement.load.record_first_event(placement.due_s, fixture.clock())
    assert len(placements_by_engine) == 1


async def test_prefixes_spread_over_engines_when_none_is_cached() -> None:
    fixture = make_admission_fixture()
    placements_by_engine: Counter[str] = Counter()
    for number in range(16):
        fixture.clock.now_s += 0.3
        job = make_long_prompt_job(f"t{number}", f"o{number}", fixture.clock())
        placement = await fixture.admission.place(
            job.placement_request(fixture.clock())
        )
        placements_by_engine[placement.load.record.identifier] += 1
        placement.load.record_first_event(placement.due_s, fixture.clock())
    assert len(placements_by_engine) >= 4
    assert max(placements_by_engine.values()) <= 6


async def test_a_queued_job_is_refused_when_its_latest_start_has_passed() -> None:
    fixture = make_admission_fixture(endpoints=1)
    for load in fixture.endpoint_registry.loads.values():
        for _ in range(load.record.slots):
            load.record_dispatch(1.0, fixture.clock())
    job = make_gateway_job(now_s=fixture.clock())
    job.timeout_s = fixture.clock() + 0.05
    with pytest.raises(RefusedError):
        await fixture.admission.place(job.placement_request(fixture.clock()))
    assert fixture.admission.queue_length == 0


async def test_a_freed_slot_goes_to_the_more_urgent_job() -> None:
    fixture = make_admission_fixture(endpoints=1)
    (load,) = fixture.endpoint_registry.loads.values()
    due_times_s = [
        load.record_dispatch(1.0, fixture.clock()) for _ in range(load.record.slots)
    ]
    low_priority_job = make_gateway_job(now_s=fixture.clock())
    low_priority_job.tier = 2
    high_priority_job = make_gateway_job(now_s=fixture.clock())
    tasks = [
        asyncio.create_task(
            fixture.admission.place(low_priority_job.placement_request(fixture.clock()))
        ),
        asyncio.create_task(
            fixture.admission.place(
                high_priority_job.placement_request(fixture.clock())
            )
        ),
    ]
    await asyncio.sleep(0.01)
    load.record_end(due_times_s[0], started=False, now_s=fixture.clock())
    fixture.admission.dispatch_queued()
    await asyncio.sleep(0.01)
    assert tasks[1].done()
    assert not tasks[0].done()
    tasks[0].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_job_placed_just_as_its_timeout_expires_keeps_its_placement() -> None:
    fixture = make_admission_fixture(endpoints=1)
    (load,) = fixture.endpoint_registry.loads.values()
    due_times_s = [
        load.record_dispatch(1.0, fixture.clock()) for _ in range(load.record.slots)
    ]
    job = make_gateway_job(now_s=fixture.clock())
    job.timeout_s = fixture.clock() + 0.1
    task = asyncio.create_task(
        fixture.admission.place(job.placement_request(fixture.clock()))
    )
    await asyncio.sleep(0.01)

    def free_slot() -> None:
        load.record_end(due_times_s[0], started=False, now_s=fixture.clock())
        fixture.admission.dispatch_queued()

    asyncio.get_running_loop().call_soon(free_slot)
    time.sleep(0.1)  # noqa: ASYNC251 - the timeout expires in the same loop turn
    placement = await task
    placement.load.record_end(placement.due_s, started=False, now_s=fixture.clock())
    assert load.running == len(due_times_s) - 1
