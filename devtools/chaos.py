"""Seeded chaos runs that inject overlapping faults under mixed traffic.

The invariants are checked against the counters of the stand-ins and the records
of the callers, never against what the router itself reports.
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
# Time after the run within which all processes must have the last valid revision.
CONVERGENCE_TIMEOUT_S = 25.0
# Time between closing a data centre and the check that it gets no new work.
CLOSURE_SETTLE_S = 4.0
CLOSURE_OBSERVATION_S = 4.0
# Time between the starts of two chats, and of two bookings, in the whole run. None
# waits for the end of an earlier one.
CHAT_INTERVAL_S = 0.25
BOOKING_INTERVAL_S = 0.5
# Most requests that an engine may run at once, paused ones not counted. This is the
# default of the engine stand-in's option --bears, its largest batch at full speed.
MAX_RUNNING_PER_ENGINE = 8


class Violation(NamedTuple):
    """A broken invariant and the evidence for it."""

    invariant: str
    detail: str


async def _start_processes(chaos: faults.ChaosFleet) -> None:
    """Start the platform, three engines, a service and two entries.

    Each engine and the service has its own agent behind a fault proxy.
    """
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
    """Start an agent and its fault proxy for the process named ``endpoint``.

    ``number`` is the endpoint's number, which determines the data centre.
    """
    fleet = chaos.fleet
    handle = fleet.handles[endpoint]
    serves = [sample.MODEL if handle.role == "engine" else sample.SERVICE]
    data_centre = faults.data_centre_of(number)
    agent = fleet.start_agent(
        name, data_centre, handle, serves, register=False, wait=False
    )
    proxy = FaultProxy(target_host=HOST, target_port=agent.port)
    await proxy.start()
    chaos.proxies[name] = proxy
    await chaos.register_agent(name, data_centre, serves)


async def _close_data_centre(
    chaos: faults.ChaosFleet, violations: list[Violation]
) -> None:
    """Close a data centre for a while and check that it gets no new requests.

    The closure starts after two fifths of the run.
    """
    await asyncio.sleep(RUN_S * 0.4)
    async with chaos.restart_lock:
        data_centre = faults.data_centre_of(2)
        await faults.publish_closed_data_centres(chaos, (data_centre,))
        await asyncio.sleep(CLOSURE_SETTLE_S)
        before = chaos.fleet.stats("engine-2")["requests"]
        await asyncio.sleep(CLOSURE_OBSERVATION_S)
        after = chaos.fleet.stats("engine-2")["requests"]
        await faults.publish_closed_data_centres(chaos, ())
    if after != before:
        detail = f"{after - before} requests reached a closed data centre"
        violations.append(Violation("closed data centre gets no new work", detail))


async def _inject_faults(chaos: faults.ChaosFleet, rng: random.Random) -> None:
    """Start one to three random faults every 1 s to 4 s until the run ends."""
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
    """Check until ``stop`` is set that no process returns to a lower revision.

    A restarted process counts as another one.
    """
    highest_revisions: dict[str, int] = {}
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
            if revision < highest_revisions.get(key, 0):
                detail = f"{name} went from {highest_revisions[key]} to {revision}"
                violations.append(Violation("configuration never reverts", detail))
            highest_revisions[key] = max(revision, highest_revisions.get(key, 0))
        await asyncio.sleep(0.2)


async def _run_callers(
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
        for number in range(int(RUN_S / CHAT_INTERVAL_S)):
            shuffled_urls = rng.sample(urls, 2)
            kind = rng.choices(("chat", "summary", "draft"), (6, 2, 1))[0]
            chats.append(
                asyncio.create_task(
                    send_chat(session, shuffled_urls[0], kind, f"{seed}-{number}")
                )
            )
            if number % int(BOOKING_INTERVAL_S / CHAT_INTERVAL_S) == 0:
                name = f"booking-{number}"
                bookings.append(
                    asyncio.create_task(
                        book_until_outcome_known(session, shuffled_urls, name)
                    )
                )
            await asyncio.sleep(CHAT_INTERVAL_S)
        chat_results = await asyncio.gather(*chats)
        booking_results = await asyncio.gather(*bookings)
    return chat_results, booking_results


def _check_chats(chats: list[ChatResult], executed_tags: set[str]) -> list[Violation]:
    """Return the violations of the invariants of chats.

    A chat that is ``done`` has its complete answer, one that is ``not-run`` was not
    started by an engine, one of the class ``chat`` is not shed, and none times out.
    ``executed_tags`` are the tags of the prompts that engines have started.
    """
    violations = []
    for item in chats:
        if item.outcome == "done" and item.text != item.expected:
            detail = f"{item.name}: {len(item.text)} of {len(item.expected)} bytes"
            violations.append(Violation("each caller gets its complete answer", detail))
        if item.outcome == "not-run" and item.tag in executed_tags:
            violations.append(Violation("reported not-run was not run", item.name))
        if item.outcome == "not-run" and item.kind == "chat" and item.code == "shed":
            violations.append(Violation("a short chat is not shed", item.name))
        if item.outcome == "silent":
            violations.append(Violation("every request ends", item.name))
    return violations


def _check_bookings(
    bookings: list[BookingResult], runs: dict[str, int]
) -> list[Violation]:
    """Return the violations of the invariants of bookings.

    A booking runs at most once, not at all when it is ``not-run``, and at least once
    when it is ``done``. ``runs`` are the service's counts by name of the booking.
    """
    violations = []
    for item in bookings:
        ran = runs.get(item.name, 0)
        if ran > 1:
            violations.append(Violation("at most once", f"{item.name} ran {ran} times"))
        if item.outcome == "not-run" and ran:
            violations.append(Violation("reported not-run was not run", item.name))
        if item.outcome == "done" and not ran:
            violations.append(Violation("reported done was run", item.name))
    return violations


async def _check_converged(chaos: faults.ChaosFleet) -> list[Violation]:
    """Wait until the entries and the engines' agents have the last valid revision.

    Returns a violation if they do not within ``CONVERGENCE_TIMEOUT_S``.
    """
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
    return [Violation("configuration converges everywhere", detail)]


def _check_engines(chaos: faults.ChaosFleet) -> tuple[list[Violation], set[str]]:
    """Check that no engine ran more requests at once than its limit.

    Returns the violations and the tags of all prompts that the engines have started;
    those of an engine that was killed are lost with it.
    """
    violations = []
    executed_tags: set[str] = set()
    for number in range(1, 4):
        stats = chaos.fleet.stats(f"engine-{number}")
        executed_tags |= set(stats["seen"])
        if stats["most_running"] > MAX_RUNNING_PER_ENGINE:
            detail = f"engine-{number} ran {stats['most_running']}"
            violations.append(Violation("endpoint concurrency limit is kept", detail))
    return violations, executed_tags


async def run_chaos(seed: int) -> list[Violation]:
    """Run one seed and return the violations of the invariants."""
    chaos = faults.ChaosFleet(fleet=LocalFleet(log_level="INFO"))
    violations: list[Violation] = []
    stop = asyncio.Event()
    try:
        await _start_processes(chaos)
        watch = asyncio.create_task(_watch_revisions(chaos, violations, stop))
        calls = asyncio.create_task(_run_callers(chaos, seed))
        async with asyncio.TaskGroup() as group:
            group.create_task(_inject_faults(chaos, random.Random(seed)))
            group.create_task(_close_data_centre(chaos, violations))
        chats, bookings = await calls
        await asyncio.to_thread(chaos.fleet.wait_all_ready)
        violations += await _check_converged(chaos)
        engines, executed_tags = await asyncio.to_thread(_check_engines, chaos)
        violations += engines
        violations += _check_chats(chats, executed_tags)
        runs = await asyncio.to_thread(lambda: chaos.fleet.stats("shop-1")["runs"])
        violations += _check_bookings(bookings, runs)
        if any(chaos.exit_codes):
            detail = f"exit codes {chaos.exit_codes}"
            violations.append(Violation("graceful shutdown", detail))
        stop.set()
        await watch
        _print_summary(chats, bookings)
    finally:
        stop.set()
        for proxy in chaos.proxies.values():
            await proxy.close()
        await asyncio.to_thread(chaos.fleet.close)
    return violations


def _print_summary(chats: list[ChatResult], bookings: list[BookingResult]) -> None:
    for label, results in (("chats", chats), ("bookings", bookings)):
        counts: dict[str, int] = {}
        for row in results:
            name = f"{row.outcome}:{row.code}" if row.code else row.outcome
            counts[name] = counts.get(name, 0) + 1
        click.echo(f"  {label}: {counts}")


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
def main(seeds: tuple[int, ...]) -> None:
    """Run each seed; exit 1 when an invariant was broken."""
    failed_seeds = 0
    for seed in seeds:
        click.echo(f"seed {seed}")
        violations = asyncio.run(run_chaos(seed))
        for violation in violations:
            click.echo(f"  BROKEN {violation.invariant}: {violation.detail}")
        click.echo(f"seed {seed}: {'BROKEN' if violations else 'all invariants held'}")
        failed_seeds += bool(violations)
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
