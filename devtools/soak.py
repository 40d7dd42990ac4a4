"""Randomized soak runs of real gateways under overlapping faults.

Invariants are checked against what callers and endpoints saw. The first half of a
run has planned operations only, which must not interrupt any request; the second
half adds unplanned faults.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import click

from devtools.dependency_standins import HOST
from devtools.gateway_harness import GatewayHarness
from devtools.soak_callers import EXCHANGES
from devtools.soak_callers import PATHS
from devtools.soak_callers import RESPONSE_TIMEOUT_S
from devtools.soak_callers import Call
from devtools.soak_callers import request_headers
from devtools.soak_callers import request_method
from devtools.soak_callers import run_socket_caller
from devtools.soak_faults import PLANNED_OPERATIONS
from devtools.soak_faults import PLANNED_SERIES
from devtools.soak_faults import UNPLANNED_FAULTS
from devtools.soak_faults import SoakRun
from devtools.soak_faults import Violation


GATEWAYS = ("g1", "g2", "g3")
ENDPOINTS = {"m1": "model", "m2": "model", "m3": "model", "s1": "shop", "s2": "shop"}
# Endpoints outside the data centre of the gateways.
ENDPOINTS_ELSEWHERE = ("m3", "s2")
RUN_S = 12.0
# Wait between the readiness of all gateways after the faults and the check that each
# serves every path.
RECOVERY_S = 5.0
CALLER_COUNT = 9
CALLERS_PER_EXCHANGE = 2
AT_MOST_ONCE_PATHS = ("/book/1", "/chat/1")
STREAM_PATHS = ("/chat/1", "/notes/1")
# Events of a stream; the default of ``EndpointStandin.event_count``.
EVENT_COUNT = 6
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def _send_call(
    session: aiohttp.ClientSession, port: int, path: str, name: str
) -> Call:
    """Send one request with the id ``name`` to the gateway at ``port``."""
    headers = request_headers(name)
    method = request_method(path)
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
        pass  # The call is checked by what arrived before the failure.
    return Call(name, path, status, body, complete, signed, started_s, time.monotonic())


async def _run_caller(
    run: SoakRun, rng: random.Random, label: str, end_s: float, calls: list[Call]
) -> None:
    """Send one request after another until ``end_s``, with persistent connections.

    The caller changes to a random gateway when a request was not run or got no
    response.
    """
    timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
    gateway = rng.choice(GATEWAYS)
    number = 0
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while time.monotonic() < end_s:
            number += 1
            port = run.harness.ports[gateway]["front"]
            name = f"{label}x{number}"
            call = await _send_call(session, port, rng.choice(PATHS), name)
            calls.append(call)
            if call.status in (0, *NOT_RUN_STATUSES):
                gateway = rng.choice(GATEWAYS)
            await asyncio.sleep(rng.uniform(0.0, 0.1))


async def _inject_faults(run: SoakRun, rng: random.Random, end_s: float) -> None:
    """Start one to three random operations every 0.3 s to 1.5 s until ``end_s``.

    Unplanned faults are among them in the second half of the time.
    """
    unplanned_from_s = (time.monotonic() + end_s) / 2
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            actions = (
                PLANNED_OPERATIONS
                if time.monotonic() < unplanned_from_s
                else (*PLANNED_OPERATIONS, *UNPLANNED_FAULTS)
            )
            for _ in range(rng.choice((1, 1, 2, 3))):
                action = rng.choice(actions)
                click.echo(f"  {action.__name__}")
                group.create_task(action(run, rng))  # type: ignore[arg-type]
            await asyncio.sleep(rng.uniform(0.3, 1.5))


async def _run_planned_series(run: SoakRun, rng: random.Random, end_s: float) -> None:
    """Start a longer planned operation every 0.5 s to 2 s until ``end_s``.

    They overlap, and have their own random numbers, so that a seed brings the same
    faults with and without them.
    """
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end_s:
            operation = rng.choice(PLANNED_SERIES)
            click.echo(f"  {operation.__name__}")
            group.create_task(operation(run, rng))  # type: ignore[arg-type]
            await asyncio.sleep(rng.uniform(0.5, 2.0))


async def _watch_versions(run: SoakRun) -> None:
    """Record a violation whenever a process returns to an older configuration."""
    highest_versions: dict[tuple[str, int], int] = {}
    while True:
        for name, process in list(run.harness.processes.items()):
            try:
                async with asyncio.timeout(0.5):
                    version = (await run.harness.dump(name))["version"] or 0
            except (aiohttp.ClientError, TimeoutError, ValueError):
                continue
            if run.harness.processes[name] is not process:
                continue  # It has ended, and the next process of its name replied.
            key = (name, process.pid)
            if version < highest_versions.get(key, 0):
                detail = f"{name} went from {highest_versions[key]} to {version}"
                run.violations.append(Violation("configuration never reverts", detail))
            highest_versions[key] = max(version, highest_versions.get(key, 0))
        await asyncio.sleep(0.1)


def _expected_events(request_id: str) -> bytes:
    return b"".join(
        f"id: {n}\ndata: {request_id}-{n}\n\n".encode()
        for n in range(1, EVENT_COUNT + 1)
    )


def check_call(run: SoakRun, call: Call, runs: int) -> list[Violation]:
    """Return the violations of the invariants of one request that ran ``runs`` times.

    A response with status 200 is signed and belongs to its request; status 500 comes
    from an endpoint only. A request of
    ``AT_MOST_ONCE_PATHS`` runs at most once, and not at all when its status is one of
    ``NOT_RUN_STATUSES``. Without an unplanned fault no request that ran is
    interrupted, and every whole request gets an answer or a refusal.
    """
    violations = []
    label = f"{call.request_id} {call.path} status {call.status}"
    if call.status == 200:
        events = _expected_events(call.request_id)
        is_plain_answer = call.body.endswith(f" {call.request_id}".encode())
        if call.complete:
            correct = call.body == events or is_plain_answer
        else:
            correct = call.path not in STREAM_PATHS or events.startswith(call.body)
        if not correct or not call.signed:
            violations.append(Violation("complete answer to its own request", label))
    if call.status == 500 and not call.signed:
        violations.append(Violation("no internal error", label))
    if call.path in AT_MOST_ONCE_PATHS and runs > 1:
        violations.append(Violation("at most once", f"{label} ran {runs} times"))
    if call.path in AT_MOST_ONCE_PATHS and call.status in NOT_RUN_STATUSES and runs:
        violations.append(Violation("reported not run", f"{label} ran {runs} times"))
    if run.had_no_unplanned_fault(call.started_s, call.ended_s):
        # A caller that stops sending can't be told from one that has left, so its
        # request may be cancelled, and its outcome is then unknown.
        unknown = call.status in (502, 504) and not call.shut_down_sending
        if (not call.complete or unknown) and runs:
            violations.append(Violation("planned operations interrupt nothing", label))
        if call.unanswered or run.dropped_on_fresh_connection(call):
            detail = f"{label} ran {runs} times, {_describe_wait(call)}"
            violations.append(Violation("every whole request gets an answer", detail))
    return violations


def _describe_wait(call: Call) -> str:
    """Return how a request without an answer was sent and how long it waited."""
    waited_s = call.ended_s - (call.sent_s or call.ended_s)
    return f"{waited_s:.3f} s" + (", pipelined" if call.follows_answered else "")


async def _check_recovery(run: SoakRun, seed: int) -> list[Violation]:
    """Check that each gateway serves each path after the faults."""
    violations = []
    async with aiohttp.ClientSession() as session:
        for gateway in GATEWAYS:
            for path in PATHS:
                port = run.harness.ports[gateway]["front"]
                call = await _send_call(
                    session, port, path, f"r{seed}{gateway}{path[1]}"
                )
                if call.status != 200 or not call.complete:
                    detail = f"{gateway} {path} status {call.status}"
                    violations.append(Violation("recovers", detail))
    return violations


async def soak(seed: int, folder: Path, *, run_s: float = RUN_S) -> list[Violation]:
    """Run one seed; return the violations of the invariants.

    Logs and settings of the gateways are written to ``folder``.
    """
    rng = random.Random(seed)
    harness = GatewayHarness(folder)
    run = SoakRun(harness=harness)
    await harness.store.start()
    harness.publish(run.version)
    calls: list[Call] = []
    try:
        for name, service in ENDPOINTS.items():
            mode = "stream" if service == "model" else "ok"
            zone = "b" if name in ENDPOINTS_ELSEWHERE else "a"
            await harness.add_endpoint(name, service, mode, proxied=True, zone=zone)
        for name in GATEWAYS:
            await harness.add_proxy(name, harness.store.port)
            seeds = [harness.ports[other]["control"] for other in harness.ports]
            await harness.start(name, seeds)
        await asyncio.sleep(1.0)
        watch = asyncio.create_task(_watch_versions(run))
        end_s = time.monotonic() + run_s
        async with asyncio.TaskGroup() as group:
            group.create_task(_inject_faults(run, rng, end_s))
            for number in range(CALLER_COUNT):
                caller_rng = random.Random(f"{seed}:{number}")
                label = f"{seed}x{number}"
                group.create_task(_run_caller(run, caller_rng, label, end_s, calls))
            series_rng = random.Random(f"{seed}:series")
            group.create_task(_run_planned_series(run, series_rng, end_s))
            for number, exchange in enumerate(EXCHANGES * CALLERS_PER_EXCHANGE):
                caller_rng = random.Random(f"{seed}:socket:{number}")
                label = f"{seed}{exchange.__name__[0]}{number}"
                group.create_task(
                    run_socket_caller(run, caller_rng, label, end_s, calls, exchange)
                )
        for name in GATEWAYS:
            await harness.wait_ready(name)
        await asyncio.sleep(RECOVERY_S)
        run.violations += await _check_recovery(run, seed)
        watch.cancel()
    finally:
        await harness.close()
    executed_ids = [
        name
        for endpoint in harness.endpoints.values()
        for name in endpoint.executed_ids
    ]
    for call in calls:
        run.violations += check_call(run, call, executed_ids.count(call.request_id))
    served = sum(call.status == 200 and call.complete for call in calls)
    click.echo(f"seed {seed}: {len(calls)} calls, {served} served completely")
    return run.violations


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="Seeds to run.")
@click.option(
    "--fresh", type=int, default=0, help="Number of random seeds to run in addition."
)
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the logs.")
def main(seeds: tuple[int, ...], fresh: int, keep: Path | None) -> None:
    """Run seeds and exit 1 if an invariant was broken."""
    fresh_seeds = [random.SystemRandom().randrange(1_000_000) for _ in range(fresh)]
    failed_seeds = 0
    for seed in (*seeds, *fresh_seeds):
        click.echo(f"seed {seed}")
        folder = (keep or Path(tempfile.mkdtemp())) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        violations = asyncio.run(soak(seed, folder))
        for violation in violations:
            click.echo(f"BROKEN {violation.invariant}: {violation.detail}")
        failed_seeds += bool(violations)
        click.echo(
            f"seed {seed}: {'broken, logs in ' + str(folder) if violations else 'held'}"
        )
    click.echo(f"{len(seeds) + fresh - failed_seeds} held, {failed_seeds} broken")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
