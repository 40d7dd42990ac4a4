"""A seeded run that throws several failures together at mixed traffic.

The oracles are the stand-ins' own counters and the callers' records, not the
router's word.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from typing import NamedTuple

import aiohttp
import click

from devtools import chaos_faults as faults
from devtools import sample_fleet as sample
from devtools.chaos_callers import BookingResult
from devtools.chaos_callers import ChatResult
from devtools.chaos_callers import book_until_outcome_known
from devtools.chaos_callers import send_chat
from devtools.fault_proxy import FaultProxy
from devtools.processes import HOST
from devtools.processes import LocalFleet


RUN_S = 24.0
CONVERGENCE_TIMEOUT_S = 25.0
CLOSED_AFTER_S = 4.0
CLOSED_FOR_S = 4.0
CHAT_EVERY_S = 0.25
BOOKING_EVERY_S = 0.5
MAX_RUNNING = 8


class Violation(NamedTuple):
    """A promise that was broken, and what shows it."""

    invariant: str
    detail: str


async def _start(chaos: faults.ChaosFleet) -> None:
    fleet = chaos.fleet
    await asyncio.to_thread(fleet.start_platform)
    await asyncio.to_thread(fleet.publish, sample.initial_values())
    for number in range(1, 4):
        engine = fleet.start_engine(f"engine-{number}", wait=False)
        await _start_agent(chaos, f"assistant-{number}", number, engine.name)
    fleet.start_service("shop-1", wait=False)
    await _start_agent(chaos, "shop-agent-1", 1, "shop-1")
    for name in ("entry-1", "entry-2"):
        fleet.start_entry(name, sample.DATA_CENTRES[0], wait=False)
    await asyncio.to_thread(fleet.wait_all_ready)


async def _start_agent(
    chaos: faults.ChaosFleet, name: str, number: int, endpoint: str
) -> None:
    fleet = chaos.fleet
    handle = fleet.handles[endpoint]
    serves = [sample.MODEL if handle.role == "engine" else sample.SERVICE]
    centre = faults.centre_of(number)
    agent = fleet.start_agent(name, centre, handle, serves, register=False, wait=False)
    proxy = FaultProxy(target_host=HOST, target_port=agent.port)
    await proxy.start()
    chaos.proxies[name] = proxy
    await chaos.register_agent(name, centre, serves)


async def _close_a_centre(
    chaos: faults.ChaosFleet, violations: list[Violation]
) -> None:
    """Close a data centre in the run and watch that no new work comes there."""
    await asyncio.sleep(RUN_S * 0.4)
    async with chaos.restarting:
        centre = faults.centre_of(2)
        await faults.publish_fleet(chaos, (centre,))
        await asyncio.sleep(CLOSED_AFTER_S)
        before = chaos.fleet.stats("engine-2")["requests"]
        await asyncio.sleep(CLOSED_FOR_S)
        after = chaos.fleet.stats("engine-2")["requests"]
        await faults.publish_fleet(chaos, ())
    if after != before:
        detail = f"{after - before} requests came to a closed data centre"
        violations.append(Violation("closed data centre gets no new work", detail))


async def _inject_faults(chaos: faults.ChaosFleet, rng: random.Random) -> None:
    end_s = time.monotonic() + RUN_S
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            for _ in range(rng.choice((1, 1, 2, 2, 3))):
                action = rng.choice(faults.FAULTS)
                click.echo(f"  fault {action.__name__}")
                group.create_task(action(chaos, rng))
            await asyncio.sleep(rng.uniform(1.0, 4.0))


async def _watch_revisions(
    chaos: faults.ChaosFleet, violations: list[Violation], stop: asyncio.Event
) -> None:
    highest: dict[str, int] = {}
    while not stop.is_set():
        for name in ("entry-1", "assistant-1", "assistant-2"):
            handle = chaos.fleet.handles.get(name)
            if handle is None:
                continue
            try:
                revision = await asyncio.to_thread(
                    lambda name=name: chaos.fleet.dump(name)["revision"]  # type: ignore[misc]
                )
            except (OSError, KeyError, ValueError):
                continue
            key = f"{name}:{handle.process.pid}"
            if revision < highest.get(key, 0):
                detail = f"{name} went from {highest[key]} to {revision}"
                violations.append(Violation("configuration never reverts", detail))
            highest[key] = max(revision, highest.get(key, 0))
        await asyncio.sleep(0.2)


async def _callers(
    chaos: faults.ChaosFleet, seed: int
) -> tuple[list[ChatResult], list[BookingResult]]:
    rng = random.Random(f"{seed}:callers")
    urls = [
        f"http://{HOST}:{chaos.fleet.handles[name].port}"
        for name in ("entry-1", "entry-2")
    ]
    chats = []
    bookings = []
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    timeout = aiohttp.ClientTimeout(total=60, sock_read=25)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        for number in range(int(RUN_S / CHAT_EVERY_S)):
            order = rng.sample(urls, 2)
            kind = rng.choices(("chat", "summary", "draft"), (6, 2, 1))[0]
            chats.append(
                asyncio.create_task(
                    send_chat(session, order[0], kind, f"{seed}-{number}")
                )
            )
            if number % int(BOOKING_EVERY_S / CHAT_EVERY_S) == 0:
                name = f"booking-{number}"
                bookings.append(
                    asyncio.create_task(book_until_outcome_known(session, order, name))
                )
            await asyncio.sleep(CHAT_EVERY_S)
        done_chats = await asyncio.gather(*chats)
        done_bookings = await asyncio.gather(*bookings)
    return done_chats, done_bookings


def _check_chats(chats: list[ChatResult], seen: set[str]) -> list[Violation]:
    violations = []
    for item in chats:
        if item.outcome == "done" and item.text != item.expected:
            detail = f"{item.name}: {len(item.text)} of {len(item.expected)} bytes"
            violations.append(Violation("each caller gets its whole answer", detail))
        if item.outcome == "not-run" and item.tag in seen:
            violations.append(Violation("told not-run was not run", item.name))
        if item.outcome == "not-run" and item.kind == "chat" and item.code == "shed":
            violations.append(Violation("a quick chat is not shed", item.name))
        if item.outcome == "silent":
            violations.append(Violation("every request ends", item.name))
    return violations


def _check_bookings(
    bookings: list[BookingResult], runs: dict[str, int]
) -> list[Violation]:
    violations = []
    for item in bookings:
        ran = runs.get(item.name, 0)
        if ran > 1:
            violations.append(Violation("at most once", f"{item.name} ran {ran} times"))
        if item.outcome == "not-run" and ran:
            violations.append(Violation("told not-run was not run", item.name))
        if item.outcome == "done" and not ran:
            violations.append(Violation("told done was run", item.name))
    return violations


async def _check_converged(chaos: faults.ChaosFleet) -> list[Violation]:
    names = ("entry-1", "entry-2", "assistant-1", "assistant-2", "assistant-3")
    end_s = time.monotonic() + CONVERGENCE_TIMEOUT_S
    revisions: dict[str, int] = {}
    while time.monotonic() < end_s:
        for name in names:
            try:
                dump = await asyncio.to_thread(chaos.fleet.dump, name)
            except (OSError, ValueError, KeyError):
                revisions[name] = -1
                continue
            revisions[name] = dump["revision"]
        if set(revisions.values()) == {chaos.last_valid_revision}:
            return []
        await asyncio.sleep(0.3)
    detail = f"{revisions}, published {chaos.last_valid_revision}"
    return [Violation("in force everywhere", detail)]


def _check_engines(chaos: faults.ChaosFleet) -> tuple[list[Violation], set[str]]:
    violations = []
    seen: set[str] = set()
    for number in range(1, 4):
        stats = chaos.fleet.stats(f"engine-{number}")
        seen |= set(stats["seen"])
        if stats["most_running"] > MAX_RUNNING:
            detail = f"engine-{number} ran {stats['most_running']}"
            violations.append(Violation("no more than an endpoint bears", detail))
    return violations, seen


async def run_chaos(seed: int) -> list[Violation]:
    """Run one seed and return the promises that were broken."""
    chaos = faults.ChaosFleet(fleet=LocalFleet(log_level="INFO"))
    violations: list[Violation] = []
    stop = asyncio.Event()
    try:
        await _start(chaos)
        watch = asyncio.create_task(_watch_revisions(chaos, violations, stop))
        calls = asyncio.create_task(_callers(chaos, seed))
        async with asyncio.TaskGroup() as group:
            group.create_task(_inject_faults(chaos, random.Random(seed)))
            group.create_task(_close_a_centre(chaos, violations))
        chats, bookings = await calls
        await asyncio.to_thread(chaos.fleet.wait_all_ready)
        violations += await _check_converged(chaos)
        engines, seen = await asyncio.to_thread(_check_engines, chaos)
        violations += engines
        violations += _check_chats(chats, seen)
        runs = await asyncio.to_thread(lambda: chaos.fleet.stats("shop-1")["runs"])
        violations += _check_bookings(bookings, runs)
        if any(chaos.exit_codes):
            detail = f"exit codes {chaos.exit_codes}"
            violations.append(Violation("graceful shutdown", detail))
        stop.set()
        await watch
        _summary(chats, bookings)
    finally:
        stop.set()
        for proxy in chaos.proxies.values():
            await proxy.close()
        await asyncio.to_thread(chaos.fleet.close)
    return violations


def _summary(chats: list[ChatResult], bookings: list[BookingResult]) -> None:
    for what, rows in (("chats", chats), ("bookings", bookings)):
        counts: dict[str, int] = {}
        for row in rows:
            name = f"{row.outcome}:{row.code}" if row.code else row.outcome
            counts[name] = counts.get(name, 0) + 1
        click.echo(f"  {what}: {counts}")


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
def main(seeds: tuple[int, ...]) -> None:
    """Run each SEED; exit 1 when a promise was broken."""
    broken = 0
    for seed in seeds:
        click.echo(f"seed {seed}")
        violations = asyncio.run(run_chaos(seed))
        for violation in violations:
            click.echo(f"  BROKEN {violation.invariant}: {violation.detail}")
        click.echo(f"seed {seed}: {'BROKEN' if violations else 'all promises held'}")
        broken += bool(violations)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
