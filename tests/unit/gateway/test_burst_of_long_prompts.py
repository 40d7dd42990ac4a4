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
from tests.gateway_builders import make_desk
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_guide_job


async def test_quick_questions_avoid_engines_that_read_long_prompts() -> None:
    desk = make_desk()
    guides = [make_guide_job(f"t{n}", f"o{n}", desk.clock()) for n in range(4)]
    busy = {
        (await desk.admission.place(guide.demand(desk.clock()))).load.record.identifier
        for guide in guides
    }
    quick = [make_gateway_job(now_s=desk.clock()) for _ in range(8)]
    used = {
        (await desk.admission.place(job.demand(desk.clock()))).load.record.identifier
        for job in quick
    }
    assert not busy & used


async def test_a_late_long_prompt_spares_a_reserved_engine_with_many_streams() -> None:
    desk = make_desk(endpoints=2)
    (reserved,) = desk.fleet.express("chat")
    (other,) = set(desk.fleet.loads) - {reserved}
    load = desk.fleet.loads[reserved]
    for _ in range(20):
        load.start(load.begin(1.0, desk.clock()), desk.clock())
    desk.fleet.loads[other].begin(9_000.0, desk.clock())
    guide = make_guide_job("t", "o", desk.clock())
    desk.clock.now_s += 2.0  # nearly its whole objective
    task = asyncio.create_task(desk.admission.place(guide.demand(desk.clock())))
    await asyncio.sleep(0.01)
    assert not task.done()
    for _ in range(20):
        load.end(0.0, started=True, now_s=desk.clock())
    desk.admission.pump()
    assert (await task).load is load


async def test_long_prompts_wait_at_the_entry_when_engines_are_read_full() -> None:
    desk = make_desk()
    jobs = [make_guide_job(f"t{n}", f"o{n}", desk.clock()) for n in range(40)]
    tasks = [
        asyncio.create_task(desk.admission.place(job.demand(desk.clock())))
        for job in jobs
    ]
    await asyncio.sleep(0.01)
    started = [task for task in tasks if task.done()]
    assert 4 <= len(started) <= 20
    assert desk.admission.waiting == len(tasks) - len(started)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert desk.admission.waiting == 0


async def test_a_prefix_stays_where_it_is_cached_under_a_burst() -> None:
    desk = make_desk()
    where: Counter[str] = Counter()
    for number in range(12):
        desk.clock.now_s += 0.12
        job = make_guide_job("hot", f"o{number}", desk.clock())
        candidate = await desk.admission.place(job.demand(desk.clock()))
        where[candidate.load.record.identifier] += 1
        candidate.load.start(candidate.due_s, desk.clock())
    assert len(where) == 1


async def test_prefixes_spread_over_engines_when_none_is_cached() -> None:
    desk = make_desk()
    where: Counter[str] = Counter()
    for number in range(16):
        desk.clock.now_s += 0.3
        job = make_guide_job(f"t{number}", f"o{number}", desk.clock())
        candidate = await desk.admission.place(job.demand(desk.clock()))
        where[candidate.load.record.identifier] += 1
        candidate.load.start(candidate.due_s, desk.clock())
    assert len(where) >= 4
    assert max(where.values()) <= 6


async def test_a_waiting_job_is_refused_truthfully_when_its_time_is_over() -> None:
    desk = make_desk(endpoints=1)
    for load in desk.fleet.loads.values():
        for _ in range(load.record.slots):
            load.begin(1.0, desk.clock())
    job = make_gateway_job(now_s=desk.clock())
    job.timeout_s = desk.clock() + 0.05
    with pytest.raises(RefusedError):
        await desk.admission.place(job.demand(desk.clock()))
    assert desk.admission.waiting == 0


async def test_the_more_urgent_job_takes_the_room_that_comes_free() -> None:
    desk = make_desk(endpoints=1)
    (load,) = desk.fleet.loads.values()
    dues = [load.begin(1.0, desk.clock()) for _ in range(load.record.slots)]
    low = make_gateway_job(now_s=desk.clock())
    low.tier = 2
    high = make_gateway_job(now_s=desk.clock())
    tasks = [
        asyncio.create_task(desk.admission.place(low.demand(desk.clock()))),
        asyncio.create_task(desk.admission.place(high.demand(desk.clock()))),
    ]
    await asyncio.sleep(0.01)
    load.end(dues[0], started=False, now_s=desk.clock())
    desk.admission.pump()
    await asyncio.sleep(0.01)
    assert tasks[1].done()
    assert not tasks[0].done()
    tasks[0].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_job_placed_in_the_moment_of_its_timeout_keeps_its_place() -> None:
    desk = make_desk(endpoints=1)
    (load,) = desk.fleet.loads.values()
    dues = [load.begin(1.0, desk.clock()) for _ in range(load.record.slots)]
    job = make_gateway_job(now_s=desk.clock())
    job.timeout_s = desk.clock() + 0.1
    task = asyncio.create_task(desk.admission.place(job.demand(desk.clock())))
    await asyncio.sleep(0.01)

    def make_room() -> None:
        load.end(dues[0], started=False, now_s=desk.clock())
        desk.admission.pump()

    asyncio.get_running_loop().call_soon(make_room)
    time.sleep(0.1)  # noqa: ASYNC251 - the timeout falls due in the same turn
    candidate = await task
    candidate.load.end(candidate.due_s, started=False, now_s=desk.clock())
    assert load.running == len(dues) - 1
