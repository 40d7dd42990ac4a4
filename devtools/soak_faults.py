"""Operations and faults of the soak, injected from outside the gateway processes.

The names of the functions in ``PLANNED_OPERATIONS``, ``PLANNED_SERIES`` and
``UNPLANNED_FAULTS`` are printed during a run.
"""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import asynccontextmanager
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import NamedTuple

from devtools.fault_proxy import Fault
from devtools.gateway_harness import ROUTES


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator
    from random import Random

    from devtools.gateway_harness import GatewayHarness
    from devtools.soak_callers import Call

    FaultAction = Callable[["SoakRun", Random], Awaitable[None]]

# The setting ``grace-s`` that ``GatewayHarness`` writes.
GRACE_PERIOD_S = 6.0
# Time after an unplanned fault by which its effects must be over.
SETTLE_TIME_S = 4.0
MAX_FAULT_S = 2.0
SHORT_LIMITS = {"header-timeout-ms": 100, "idle-timeout-ms": 100}
# Longer than a request takes while only planned operations are under way.
SHORT_ROUTE_TIMEOUT_MS = 1500
MODES = ("reset", "cut", "full", "late", "unsigned", "error", "mute")
PROXY_FAULTS = (Fault.SILENT, Fault.LOSE_REQUESTS, Fault.LOSE_RESPONSES)


class Violation(NamedTuple):
    """A broken invariant and the evidence for it."""

    invariant: str
    detail: str


class SoakRun:
    """The processes under test, the violations and the spans of unplanned faults.

    ``stop_spans`` has the spans of each gateway's stops.
    ``claimed_targets`` are the processes and stand-ins that a fault works on now.
    ``version`` is that of the configuration published last.
    """

    def __init__(self, *, harness: GatewayHarness) -> None:
        self.harness = harness
        self.unplanned_spans: list[tuple[float, float]] = []
        self.stop_spans: dict[str, list[tuple[float, float]]] = {}
        self.violations: list[Violation] = []
        self.version = 1
        self.claimed_targets: set[str] = set()

    @asynccontextmanager
    async def unplanned_fault(self) -> AsyncIterator[None]:
        """Record the span of an unplanned fault, with its settling time."""
        started_s = time.monotonic()
        number = len(self.unplanned_spans)
        self.unplanned_spans.append((started_s, float("inf")))
        try:
            yield
        finally:
            self.unplanned_spans[number] = (started_s, time.monotonic() + SETTLE_TIME_S)

    def had_no_unplanned_fault(self, started_s: float, ended_s: float) -> bool:
        """Return whether no unplanned fault overlapped a span of time."""
        return all(
            end <= started_s or start >= ended_s for start, end in self.unplanned_spans
        )

    @contextmanager
    def stopping(self, name: str) -> Iterator[None]:
        """Record the span of a gateway's stop."""
        started_s = time.monotonic()
        spans = self.stop_spans.setdefault(name, [])
        number = len(spans)
        spans.append((started_s, float("inf")))
        try:
            yield
        finally:
            spans[number] = (started_s, time.monotonic())

    def dropped_on_fresh_connection(self, call: Call) -> bool:
        """Return whether a gateway that was not stopping left its caller no answer.

        Only a request that was sent at once on a new connection can be told from one
        that crossed the end of an idle connection.
        """
        if call.complete or not call.fresh_at or call.sent_s is None:
            return False
        return all(
            end <= call.started_s or start >= call.ended_s
            for start, end in self.stop_spans.get(call.fresh_at, [])
        )

    def check_still_running(self, name: str) -> None:
        """Record a violation if a gateway has ended though no fault ended it."""
        if self.harness.processes[name].returncode is not None:
            self.violations.append(Violation("stays up", f"{name} has ended"))

    @asynccontextmanager
    async def claim(self, name: str) -> AsyncIterator[bool]:
        """Claim one process or stand-in for a fault.

        Yields False if another fault has claimed it.
        """
        if name in self.claimed_targets:
            yield False
            return
        self.claimed_targets.add(name)
        try:
            yield True
        finally:
            self.claimed_targets.discard(name)


async def pause_gateway(run: SoakRun, rng: Random) -> None:
    """Suspend a gateway for 0.2 s to 2 s."""
    name = rng.choice(sorted(run.harness.processes))
    async with run.claim(name) as claimed:
        if not claimed:
            return
        run.check_still_running(name)
        async with run.unplanned_fault():
            run.harness.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))
            run.harness.send_signal(name, signal.SIGCONT)


async def kill_gateway(run: SoakRun, rng: Random) -> None:
    """Kill a gateway and restart it."""
    name = rng.choice(sorted(run.harness.processes))
    async with run.claim(name) as claimed:
        if not claimed:
            return
        run.check_still_running(name)
        async with run.unplanned_fault():
            run.harness.send_signal(name, signal.SIGKILL)
            await run.harness.processes[name].wait()
            await run.harness.start(name, _seeds(run.harness, name), wait=False)


async def terminate_gateway(run: SoakRun, rng: Random) -> None:
    """Stop a gateway by SIGTERM, sometimes sent twice, and restart it."""
    await _restart(run, rng, rng.choice(sorted(run.harness.processes)))


async def _restart(run: SoakRun, rng: Random, name: str) -> None:
    """Stop a gateway by SIGTERM and restart it, unless a fault has claimed it.

    An exit code other than 0, or a process that outlives the grace period, is a
    violation.
    """
    async with run.claim(name) as claimed:
        if not claimed:
            return
        run.check_still_running(name)
        process = run.harness.processes[name]
        # SIGTERM ends a process with another code while its interpreter still starts
        # and no handler is installed; such an exit is no violation.
        has_handler = run.harness.handles_signal(name, signal.SIGTERM)
        with run.stopping(name):
            run.harness.send_signal(name, signal.SIGTERM)
            if rng.random() < 0.3:
                await asyncio.sleep(0.1)
                run.harness.send_signal(name, signal.SIGTERM)
            try:
                async with asyncio.timeout(GRACE_PERIOD_S):
                    code = await process.wait()
            except TimeoutError:
                detail = f"{name} still runs"
                run.violations.append(Violation("graceful shutdown", detail))
                run.harness.send_signal(name, signal.SIGKILL)
                code = await process.wait()
        if code != 0 and has_handler:
            run.violations.append(Violation("graceful shutdown", f"{name} code {code}"))
        await run.harness.start(name, _seeds(run.harness, name), wait=False)


def _seeds(harness: GatewayHarness, name: str) -> list[int]:
    return [ports["control"] for other, ports in harness.ports.items() if other != name]


async def reload_gateway(run: SoakRun, rng: Random) -> None:
    """Let a gateway reload its settings by SIGHUP.

    A process whose handler is not installed yet is left alone, as SIGHUP would end
    it.
    """
    name = rng.choice(sorted(run.harness.processes))
    if name in run.claimed_targets:
        return
    run.check_still_running(name)
    if run.harness.handles_signal(name, signal.SIGHUP):
        run.harness.send_signal(name, signal.SIGHUP)


async def publish(run: SoakRun, rng: Random) -> None:
    """Publish one to four new configuration versions in short succession."""
    for _ in range(rng.randint(1, 4)):
        run.version += rng.randint(1, 3)
        run.harness.publish(run.version)
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def store_outage(run: SoakRun, rng: Random) -> None:
    """Make the store unavailable for 0.2 s to 2 s.

    In half of the cases its history is compacted in this time.
    """
    async with run.claim("store") as claimed, run.unplanned_fault():
        if not claimed:
            return
        run.harness.store.down = True
        await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))
        if rng.random() < 0.5:
            run.harness.store.compact()
        run.harness.store.down = False


async def restore_store(run: SoakRun, rng: Random) -> None:
    """Bring the store back from a copy, and write again what it has lost."""
    store = run.harness.store
    async with run.claim("store") as claimed, run.unplanned_fault():
        if not claimed:
            return
        store.down = True
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        lost = store.restore(min(len(store.changes) - 1, rng.randint(1, 10)))
        restored_revision = store.revision
        store.down = False
        for key, value in sorted(lost.items()):
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            revision, _ = store.items.get(key, (0, None))
            if revision <= restored_revision:  # Else it has been written since.
                store.put(key, value)


async def endpoint_fault(run: SoakRun, rng: Random) -> None:
    """Let an endpoint fail in one of ``MODES`` for 0.2 s to 2 s."""
    name = rng.choice(sorted(run.harness.endpoints))
    async with run.claim(name) as claimed:
        if not claimed:
            return
        endpoint = run.harness.endpoints[name]
        normal_mode = endpoint.mode
        async with run.unplanned_fault():
            endpoint.mode = rng.choice(MODES)
            await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))
            endpoint.mode = normal_mode


async def connection_fault(run: SoakRun, rng: Random) -> None:
    """Delay, cut, silence or lose the data of one proxy's connections."""
    proxy = run.harness.proxies[rng.choice(sorted(run.harness.proxies))]
    async with run.unplanned_fault():
        kind = rng.randrange(4)
        if kind == 0:
            proxy.delay_s = rng.uniform(0.02, 0.3)
        elif kind == 1:
            proxy.disconnect()
        elif kind == 2:
            proxy.silence_open_connections()
        else:
            proxy.fault = rng.choice(PROXY_FAULTS)
        await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))
        proxy.clear_faults()


async def drain_endpoint(run: SoakRun, rng: Random) -> None:
    """Register an endpoint as draining, and later as ready again."""
    name = rng.choice(sorted(run.harness.endpoints))
    async with run.claim(name) as claimed:
        if not claimed:
            return
        endpoint = run.harness.endpoints[name]
        draining = endpoint.registration(state="draining", sequence=2)
        run.harness.store.put(f"servers/{name}", draining)
        await asyncio.sleep(rng.uniform(0.5, MAX_FAULT_S))
        run.harness.store.put(f"servers/{name}", endpoint.registration(sequence=3))


async def restart_in_series(run: SoakRun, rng: Random) -> None:
    """Restart two or three gateways, one after the other or overlapping."""
    names = sorted(run.harness.processes)
    async with asyncio.TaskGroup() as group:
        for name in rng.sample(names, rng.randint(2, len(names))):
            restart = group.create_task(_restart(run, rng, name))
            overlap_after_s = rng.choice((None, 0.0, rng.uniform(0.0, 2.0)))
            await asyncio.wait([restart], timeout=overlap_after_s)


async def reload_in_series(run: SoakRun, rng: Random) -> None:
    """Send SIGHUP to gateways up to six times, also to those that are stopping."""
    for _ in range(rng.randint(2, 6)):
        name = rng.choice(sorted(run.harness.processes))
        if run.harness.handles_signal(name, signal.SIGHUP):
            run.harness.send_signal(name, signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def change_settings(run: SoakRun, rng: Random) -> None:
    """Change the settings file of a gateway, half of the time with SIGHUP."""
    name = rng.choice(sorted(run.harness.processes))
    run.harness.change_settings(name, budget_slack=rng.randint(20, 80))
    signalled = rng.random() < 0.5
    if signalled and run.harness.handles_signal(name, signal.SIGHUP):
        run.harness.send_signal(name, signal.SIGHUP)


async def publish_storm(run: SoakRun, rng: Random) -> None:
    """Publish 15 to 40 configuration versions, some of them with short timeouts."""
    for _ in range(rng.randint(15, 40)):
        run.version += 1
        limits = rng.choice((None, SHORT_LIMITS))
        run.harness.publish(run.version, limits=limits)
        await asyncio.sleep(rng.uniform(0.0, 0.05))
    run.version += 1
    run.harness.publish(run.version)


async def shorten_timeouts(run: SoakRun, rng: Random) -> None:
    """Publish shorter timeouts of callers and routes for 0.5 s to 2 s."""
    run.version += 1
    routes = [route._replace(timeout_ms=SHORT_ROUTE_TIMEOUT_MS) for route in ROUTES]
    run.harness.publish(run.version, routes, limits=SHORT_LIMITS)
    await asyncio.sleep(rng.uniform(0.5, MAX_FAULT_S))
    run.version += 1
    run.harness.publish(run.version)


async def release_endpoint(run: SoakRun, rng: Random) -> None:
    """Release an endpoint: it drains, is deregistered, and registers again later."""
    name = rng.choice(sorted(run.harness.endpoints))
    async with run.claim(name) as claimed:
        if not claimed:
            return
        endpoint = run.harness.endpoints[name]
        store = run.harness.store
        draining = endpoint.registration(state="draining", sequence=2)
        store.put(f"servers/{name}", draining)
        await asyncio.sleep(rng.uniform(0.0, MAX_FAULT_S))
        store.put(f"servers/{name}", None)
        await asyncio.sleep(rng.uniform(0.1, MAX_FAULT_S))
        store.put(f"servers/{name}", endpoint.registration(sequence=3))


async def evacuate(run: SoakRun, rng: Random) -> None:
    """Close a data centre with endpoints for 0.5 s to 2 s."""
    key = f"op/evacuate/{rng.choice(('a', 'b'))}"
    async with run.claim(key) as claimed:
        if not claimed:
            return
        run.harness.store.put(key, {})
        await asyncio.sleep(rng.uniform(0.5, MAX_FAULT_S))
        run.harness.store.put(key, None)


PLANNED_OPERATIONS: tuple[FaultAction, ...] = (
    terminate_gateway,
    reload_gateway,
    publish,
    drain_endpoint,
)
PLANNED_SERIES: tuple[FaultAction, ...] = (
    restart_in_series,
    restart_in_series,
    reload_in_series,
    change_settings,
    publish_storm,
    shorten_timeouts,
    release_endpoint,
    evacuate,
)
UNPLANNED_FAULTS: tuple[FaultAction, ...] = (
    pause_gateway,
    kill_gateway,
    store_outage,
    restore_store,
    endpoint_fault,
    connection_fault,
)
