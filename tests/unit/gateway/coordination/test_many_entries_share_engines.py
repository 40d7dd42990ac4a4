"""Pattern: many entries send to the same engines at the same moment.

Each entry alone sees a small part of the load, and reports of it are late:
all of them would choose the same engine, and each would have a prompt read
again. One coordinator decides for all.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from shallotroad.platform.headers import PromptPart
from tests.coordination_builders import Network
from tests.coordination_builders import make_entries
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_guide_job
from tests.gateway_builders import make_request


async def test_a_burst_over_many_entries_does_not_crowd_one_engine() -> None:
    entries = make_entries(Network(), 30)
    now_s = entries[0].desk.clock()
    requests = [
        make_request(prompt_parts=(PromptPart(f"o{number}", 1000),))
        for number in range(30)
    ]
    placings = [
        entry.placer.place(make_gateway_job(now_s=now_s, request=request))
        for entry, request in zip(entries, requests, strict=True)
    ]
    placed = await asyncio.gather(*placings)
    engines = Counter(candidate.load.record.identifier for candidate in placed)
    express = entries[0].desk.fleet.express("chat")
    assert max(engines.values()) <= len(entries) / len(express) + 2


async def test_a_prefix_is_read_once_whichever_entry_it_comes_to() -> None:
    entries = make_entries(Network(), 30)
    engines = set()
    for number, entry in enumerate(entries[:8]):
        job = make_guide_job("hot", f"o{number}", entry.desk.clock())
        candidate = await entry.placer.place(job)
        engines.add(candidate.load.record.identifier)
        candidate.load.start(candidate.due_s, entry.desk.clock())
        entry.placer.started(candidate, 10.0)
        await asyncio.sleep(0.15)  # the engine reads on
    assert len(engines) == 1


async def test_the_most_urgent_of_all_entries_takes_the_room_that_comes_free() -> None:
    entries = make_entries(Network(), 4)
    clock = entries[0].desk.clock
    for load in entries[0].desk.fleet.loads.values():
        for _ in range(load.record.slots):
            load.start(load.begin(1.0, clock()), clock())
    low = make_gateway_job(now_s=clock())
    low.tier = 2
    high = make_gateway_job(now_s=clock())
    tasks = [
        asyncio.create_task(entries[2].placer.place(low)),
        asyncio.create_task(entries[3].placer.place(high)),
    ]
    await asyncio.sleep(0.05)
    assert entries[0].desk.admission.waiting == 2
    load = entries[0].desk.fleet.loads["e0"]
    load.end(0.0, started=True, now_s=clock())
    entries[0].desk.admission.pump()
    await asyncio.sleep(0.05)
    assert tasks[1].done()
    assert not tasks[0].done()
    tasks[0].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(0.02)
    assert entries[0].desk.admission.waiting == 0


async def test_the_account_follows_starts_and_ends_at_other_entries() -> None:
    entries = make_entries(Network(), 3)
    clock = entries[0].desk.clock
    candidate = await entries[2].placer.place(make_gateway_job(now_s=clock()))
    load = entries[0].desk.fleet.loads[candidate.load.record.identifier]
    assert (load.running, load.unstarted) == (1, 1)
    entries[2].placer.started(candidate, 50.0)
    await asyncio.sleep(0.02)
    assert (load.running, load.unstarted) == (1, 0)
    entries[2].placer.ended(candidate, success=True)
    await asyncio.sleep(0.02)
    assert load.running == 0
