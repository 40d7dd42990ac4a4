"""Pattern: a burst of long prompts beside quick questions.

Long prompts make an engine's steps long, so streams that bear only short
pauses are kept on other engines; prompts wait at the entry, and a prefix is
read again only where that is cheaper than waiting.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import pytest

from shallotroad.gateway.exceptions import RefusedError
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_guide_job


async def test_quick_questions_avoid_engines_that_read_long_prompts() -> None:
    fixture = make_admission_fixture()
    guides = [make_guide_job(f"t{n}", f"o{n}", fixture.clock()) for n in range(4)]
    busy = {
        (
            await fixture.admission.place(guide.placement_request(fixture.clock()))
        ).load.record.identifier
        for guide in guides
    }
    quick = [make_gateway_job(now_s=fixture.clock()) for _ in range(8)]
    used = {
        (
            await fixture.admission.place(job.placement_request(fixture.clock()))
        ).load.record.identifier
        for job in quick
    }
    assert not busy & used


async def test_a_late_long_prompt_spares_a_reserved_engine_with_many_streams() -> None:
    fixture = make_admission_fixture(endpoints=2)
    (reserved,) = fixture.endpoint_registry.reserved("chat")
    (other,) = set(fixture.endpoint_registry.loads) - {reserved}
    load = fixture.endpoint_registry.loads[reserved]
    for _ in range(20):
        load.record_first_event(
            load.record_dispatch(1.0, fixture.clock()), fixture.clock()
        )
    fixture.endpoint_registry.loads[other].record_dispatch(9_000.0, fixture.clock())
    guide = make_guide_job("t", "o", fixture.clock())
    fixture.clock.now_s += 2.0  # nearly its whole objective
    task = asyncio.create_task(
        fixture.admission.place(guide.placement_request(fixture.clock()))
    )
    await asyncio.sleep(0.01)
    assert not task.done()
    for _ in range(20):
        load.record_end(0.0, started=True, now_s=fixture.clock())
    fixture.admission.dispatch_queued()
    assert (await task).load is load


async def test_long_prompts_wait_at_the_entry_when_engines_are_read_full() -> None:
    fixture = make_admission_fixture()
    jobs = [make_guide_job(f"t{n}", f"o{n}", fixture.clock()) for n in range(40)]
    tasks = [
        asyncio.create_task(
            fixture.admission.place(job.placement_request(fixture.clock()))
        )
        for job in jobs
    ]
    await asyncio.sleep(0.01)
    started = [task for task in tasks if task.done()]
    assert 4 <= len(started) <= 20
    assert fixture.admission.queue_length == len(tasks) - len(started)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert fixture.admission.queue_length == 0


async def test_a_prefix_stays_where_it_is_cached_under_a_burst() -> None:
    fixture = make_admission_fixture()
    where: Counter[str] = Counter()
    for number in range(12):
        fixture.clock.now_s += 0.12
        job = make_guide_job("hot", f"o{number}", fixture.clock())
        placement = await fixture.admission.place(
            job.placement_request(fixture.clock())
        )
        where[placement.load.record.identifier] += 1
        placement.load.record_first_event(placement.due_s, fixture.clock())
    assert len(where) == 1


async def test_prefixes_spread_over_engines_when_none_is_cached() -> None:
    fixture = make_admission_fixture()
    where: Counter[str] = Counter()
    for number in range(16):
        fixture.clock.now_s += 0.3
        job = make_guide_job(f"t{number}", f"o{number}", fixture.clock())
        placement = await fixture.admission.place(
            job.placement_request(fixture.clock())
        )
        where[placement.load.record.identifier] += 1
        placement.load.record_first_event(placement.due_s, fixture.clock())
    assert len(where) >= 4
    assert max(where.values()) <= 6


async def test_a_waiting_job_is_refused_truthfully_when_its_time_is_over() -> None:
    fixture = make_admission_fixture(endpoints=1)
    for load in fixture.endpoint_registry.loads.values():
        for _ in range(load.record.slots):
            load.record_dispatch(1.0, fixture.clock())
    job = make_gateway_job(now_s=fixture.clock())
    job.timeout_s = fixture.clock() + 0.05
    with pytest.raises(RefusedError):
        await fixture.admission.place(job.placement_request(fixture.clock()))
    assert fixture.admission.queue_length == 0


async def test_the_more_urgent_job_takes_the_room_that_comes_free() -> None:
    fixture = make_admission_fixture(endpoints=1)
    (load,) = fixture.endpoint_registry.loads.values()
    dues = [
        load.record_dispatch(1.0, fixture.clock()) for _ in range(load.record.slots)
    ]
    low = make_gateway_job(now_s=fixture.clock())
    low.tier = 2
    high = make_gateway_job(now_s=fixture.clock())
    tasks = [
        asyncio.create_task(
            fixture.admission.place(low.placement_request(fixture.clock()))
        ),
        asyncio.create_task(
            fixture.admission.place(high.placement_request(fixture.clock()))
        ),
    ]
    await asyncio.sleep(0.01)
    load.record_end(dues[0], started=False, now_s=fixture.clock())
    fixture.admission.dispatch_queued()
    await asyncio.sleep(0.01)
    assert tasks[1].done()
    assert not tasks[0].done()
    tasks[0].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_job_placed_in_the_moment_of_its_timeout_keeps_its_place() -> None:
    fixture = make_admission_fixture(endpoints=1)
    (load,) = fixture.endpoint_registry.loads.values()
    dues = [
        load.record_dispatch(1.0, fixture.clock()) for _ in range(load.record.slots)
    ]
    job = make_gateway_job(now_s=fixture.clock())
    job.timeout_s = fixture.clock() + 0.1
    task = asyncio.create_task(
        fixture.admission.place(job.placement_request(fixture.clock()))
    )
    await asyncio.sleep(0.01)

    def make_room() -> None:
        load.record_end(dues[0], started=False, now_s=fixture.clock())
        fixture.admission.dispatch_queued()

    asyncio.get_running_loop().call_soon(make_room)
    time.sleep(0.1)  # noqa: ASYNC251 - the timeout falls due in the same turn
    placement = await task
    placement.load.record_end(placement.due_s, started=False, now_s=fixture.clock())
    assert load.running == len(dues) - 1
