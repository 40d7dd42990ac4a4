"""A randomized soak: real gateways under overlapping faults.

Promises are checked from what callers and endpoints see. Half of a run plays
planned work only, where no request may be cut; the other half adds the rest.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import aiohttp
import click

from devtools.dependency_standins import HOST
from devtools.gateway_harness import HEADERS
from devtools.gateway_harness import GatewayHarness
from devtools.soak_faults import PLANNED_OPERATIONS
from devtools.soak_faults import UNPLANNED_FAULTS
from devtools.soak_faults import SoakRun
from devtools.soak_faults import Violation


GATEWAYS = ("g1", "g2", "g3")
ENDPOINTS = {"m1": "model", "m2": "model", "m3": "model", "s1": "shop", "s2": "shop"}
RUN_S = 12.0
RECOVERY_S = 5.0
CALLERS = 9
PATHS = ("/book/1", "/stock/1", "/chat/1", "/notes/1")
AT_MOST_ONCE = ("/book/1", "/chat/1")
STREAMS = ("/chat/1", "/notes/1")
EVENTS = 6
DEADLINE_MS = 3000
RESPONSE_TIMEOUT_S = DEADLINE_MS / 1000 + 1.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Call(NamedTuple):
    """One request as its caller saw it; ``status`` 0 means no answer at all."""

    request_id: str
    path: str
    status: int
    body: bytes
    complete: bool
    signed: bool
    started_s: float
    ended_s: float


async def _call(
    session: aiohttp.ClientSession, port: int, path: str, name: str
) -> Call:
    headers = {
        **HEADERS,
        "X-Request-Id": name,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Token-Usage": "900,50",
        "X-Prompt-Prefix": f"aa:800,{name}:100",
    }
    method = "GET" if path.startswith("/stock/") else "POST"
    started_s = time.monotonic()
    status, body, complete, signed = 0, b"", False, False
    try:
        url = f"http://{HOST}:{port}{path}"
        async with session.request(method, url, headers=headers, data=b"") as response:
            status = response.status
            signed = "X-Replica-Signature" in response.headers
            async for chunk in response.content.iter_any():
                body += chunk
            complete = True
    except (aiohttp.ClientError, TimeoutError, OSError):
        pass  # what the caller saw until then is what counts
    return Call(name, path, status, body, complete, signed, started_s, time.monotonic())


async def _caller(
    run: SoakRun, rng: random.Random, label: str, last_s: float, calls: list[Call]
) -> None:
    """Send one request after the other, on kept connections while they last."""
    timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
    gateway = rng.choice(GATEWAYS)
    number = 0
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while time.monotonic() < last_s:
            number += 1
            port = run.harness.ports[gateway]["front"]
            name = f"{label}x{number}"
            call = await _call(session, port, rng.choice(PATHS), name)
            calls.append(call)
            if call.status in (0, *NOT_RUN_STATUSES):
                gateway = rng.choice(GATEWAYS)
            await asyncio.sleep(rng.uniform(0.0, 0.1))


async def _inject_faults(run: SoakRun, rng: random.Random, last_s: float) -> None:
    half_s = (time.monotonic() + last_s) / 2
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < last_s:
            actions = (
                PLANNED_OPERATIONS
                if time.monotonic() < half_s
                else (*PLANNED_OPERATIONS, *UNPLANNED_FAULTS)
            )
            for _ in range(rng.choice((1, 1, 2, 3))):
                action = rng.choice(actions)
                click.echo(f"  {action.__name__}")
                group.create_task(action(run, rng))  # type: ignore[arg-type]
            await asyncio.sleep(rng.uniform(0.3, 1.5))


async def _watch_versions(run: SoakRun) -> None:
    """Look whether a process ever goes back to an older configuration."""
    highest: dict[tuple[str, int], int] = {}
    while True:
        for name, process in list(run.harness.processes.items()):
            try:
                async with asyncio.timeout(0.5):
                    version = (await run.harness.dump(name))["version"] or 0
            except (aiohttp.ClientError, TimeoutError, ValueError):
                continue
            key = (name, process.pid)
            if version < highest.get(key, 0):
                detail = f"{name} went from {highest[key]} to {version}"
                run.violations.append(Violation("configuration never reverts", detail))
            highest[key] = max(version, highest.get(key, 0))
        await asyncio.sleep(0.1)


def _events(request_id: str) -> bytes:
    return b"".join(
        f"id: {n}\ndata: {request_id}-{n}\n\n".encode() for n in range(1, EVENTS + 1)
    )


def _check_call(run: SoakRun, call: Call, runs: int) -> list[Violation]:
    violations = []
    label = f"{call.request_id} {call.path} status {call.status}"
    if call.status == 200:
        events = _events(call.request_id)
        plain = call.body.endswith(f" {call.request_id}".encode())
        if call.complete:
            right = call.body == events or plain
        else:
            right = call.path not in STREAMS or events.startswith(call.body)
        if not right or not call.signed:
            violations.append(Violation("whole answer to its own request", label))
    if call.path in AT_MOST_ONCE and runs > 1:
        violations.append(Violation("at most once", f"{label} ran {runs} times"))
    if call.path in AT_MOST_ONCE and call.status in NOT_RUN_STATUSES and runs:
        violations.append(Violation("told not run", f"{label} ran {runs} times"))
    cut = not call.complete or call.status in (502, 504)
    if cut and runs and run.had_no_unplanned_fault(call.started_s, call.ended_s):
        violations.append(Violation("planned work cuts nothing", label))
    return violations


async def _recovers(run: SoakRun, seed: int) -> list[Violation]:
    """Look whether each gateway serves each kind again."""
    violations = []
    async with aiohttp.ClientSession() as session:
        for gateway in GATEWAYS:
            for path in PATHS:
                port = run.harness.ports[gateway]["front"]
                call = await _call(session, port, path, f"r{seed}{gateway}{path[1]}")
                if call.status != 200 or not call.complete:
                    detail = f"{gateway} {path} status {call.status}"
                    violations.append(Violation("recovers", detail))
    return violations


async def soak(seed: int, folder: Path, *, run_s: float = RUN_S) -> list[Violation]:
    """Play one seed; return the promises that were broken."""
    rng = random.Random(seed)
    harness = GatewayHarness(folder)
    run = SoakRun(harness=harness)
    await harness.store.start()
    harness.publish(run.version)
    calls: list[Call] = []
    try:
        for name, service in ENDPOINTS.items():
            mode = "stream" if service == "model" else "ok"
            await harness.add_endpoint(name, service, mode, proxied=True)
        for name in GATEWAYS:
            await harness.add_proxy(name, harness.store.port)
            seeds = [harness.ports[other]["control"] for other in harness.ports]
            await harness.start(name, seeds)
        await asyncio.sleep(1.0)
        watch = asyncio.create_task(_watch_versions(run))
        last_s = time.monotonic() + run_s
        async with asyncio.TaskGroup() as group:
            group.create_task(_inject_faults(run, rng, last_s))
            for number in range(CALLERS):
                own = random.Random(f"{seed}:{number}")
                label = f"{seed}x{number}"
                group.create_task(_caller(run, own, label, last_s, calls))
        for name in GATEWAYS:
            await harness.wait_ready(name)
        await asyncio.sleep(RECOVERY_S)
        run.violations += await _recovers(run, seed)
        watch.cancel()
    finally:
        await harness.close()
    executed_ids = [
        name
        for endpoint in harness.endpoints.values()
        for name in endpoint.executed_ids
    ]
    for call in calls:
        run.violations += _check_call(run, call, executed_ids.count(call.request_id))
    served = sum(call.status == 200 and call.complete for call in calls)
    click.echo(f"seed {seed}: {len(calls)} calls, {served} served whole")
    return run.violations


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="Seeds to play.")
@click.option("--fresh", type=int, default=0, help="Number of fresh seeds.")
@click.option("--keep", type=click.Path(path_type=Path), help="Where logs stay.")
def main(seeds: tuple[int, ...], fresh: int, keep: Path | None) -> None:
    """Play seeds and exit 1 if a promise was broken."""
    drawn = [random.SystemRandom().randrange(1_000_000) for _ in range(fresh)]
    broken = 0
    for seed in (*seeds, *drawn):
        click.echo(f"seed {seed}")
        folder = (keep or Path(tempfile.mkdtemp())) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        violations = asyncio.run(soak(seed, folder))
        for violation in violations:
            click.echo(f"BROKEN {violation.invariant}: {violation.detail}")
        broken += bool(violations)
        click.echo(
            f"seed {seed}: {'broken, logs in ' + str(folder) if violations else 'held'}"
        )
    click.echo(f"{len(seeds) + fresh - broken} held, {broken} broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
