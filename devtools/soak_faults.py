"""Faults of the soak, injected from outside the gateways' processes."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import NamedTuple

from devtools.fault_proxy import Fault


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from random import Random

    from devtools.gateway_harness import GatewayHarness

    FaultAction = Callable[["SoakRun", Random], Awaitable[None]]

GRACE_S = 6.0  # of the stand-in settings
SETTLE_S = 4.0  # after an unplanned fault, until its effects must be over
MAX_FAULT_S = 2.0
MODES = ("reset", "cut", "full", "late", "unsigned", "error", "mute")
PROXY_FAULTS = (Fault.SILENT, Fault.LOSE_REQUESTS, Fault.LOSE_RESPONSES)


class Violation(NamedTuple):
    """A promise that was broken, and what shows it."""

    invariant: str
    detail: str


class SoakRun:
    """The processes under test, and when unplanned faults were at work."""

    def __init__(self, *, harness: GatewayHarness) -> None:
        self.harness = harness
        self.unplanned: list[tuple[float, float]] = []
        self.violations: list[Violation] = []
        self.version = 1
        self.reserved: set[str] = set()

    @asynccontextmanager
    async def unplanned_fault(self) -> AsyncIterator[None]:
        """Note an unplanned fault for as long as it lasts."""
        started_s = time.monotonic()
        number = len(self.unplanned)
        self.unplanned.append((started_s, float("inf")))
        try:
            yield
        finally:
            self.unplanned[number] = (started_s, time.monotonic() + SETTLE_S)

    def had_no_unplanned_fault(self, started_s: float, ended_s: float) -> bool:
        """Return whether no unplanned fault touched a span of time."""
        return all(
            end <= started_s or start >= ended_s for start, end in self.unplanned
        )

    def check_still_running(self, name: str) -> None:
        """Note a gateway that has ended though no fault ended it."""
        if self.harness.processes[name].returncode is not None:
            self.violations.append(Violation("stays up", f"{name} has ended"))

    @asynccontextmanager
    async def reserve(self, name: str) -> AsyncIterator[bool]:
        """Keep other faults off one process or stand-in; False if it is taken."""
        if name in self.reserved:
            yield False
            return
        self.reserved.add(name)
        try:
            yield True
        finally:
            self.reserved.discard(name)


async def pause_gateway(run: SoakRun, rng: Random) -> None:
    """Stop a process and let it go on."""
    name = rng.choice(sorted(run.harness.processes))
    async with run.reserve(name) as free:
        if not free:
            return
        run.check_still_running(name)
        async with run.unplanned_fault():
            run.harness.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))
            run.harness.send_signal(name, signal.SIGCONT)


async def kill_gateway(run: SoakRun, rng: Random) -> None:
    """Kill a process and start it again."""
    name = rng.choice(sorted(run.harness.processes))
    async with run.reserve(name) as free:
        if not free:
            return
        run.check_still_running(name)
        async with run.unplanned_fault():
            run.harness.send_signal(name, signal.SIGKILL)
            await run.harness.processes[name].wait()
            await run.harness.start(name, _seeds(run.harness, name), wait=False)


async def terminate_gateway(run: SoakRun, rng: Random) -> None:
    """End a process by SIGTERM, twice at times, and start it again."""
    name = rng.choice(sorted(run.harness.processes))
    async with run.reserve(name) as free:
        if not free:
            return
        run.check_still_running(name)
        process = run.harness.processes[name]
        # The interpreter needs a moment before the program can install handlers.
        handled = run.harness.handles_signal(name, signal.SIGTERM)
        run.harness.send_signal(name, signal.SIGTERM)
        if rng.random() < 0.3:
            await asyncio.sleep(0.1)
            run.harness.send_signal(name, signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                code = await process.wait()
        except TimeoutError:
            run.violations.append(Violation("graceful shutdown", f"{name} still runs"))
            run.harness.send_signal(name, signal.SIGKILL)
            code = await process.wait()
        if code != 0 and handled:
            run.violations.append(Violation("graceful shutdown", f"{name} code {code}"))
        await run.harness.start(name, _seeds(run.harness, name), wait=False)


def _seeds(harness: GatewayHarness, name: str) -> list[int]:
    return [ports["control"] for other, ports in harness.ports.items() if other != name]


async def reload_gateway(run: SoakRun, rng: Random) -> None:
    """Send SIGHUP."""
    name = rng.choice(sorted(run.harness.processes))
    if name in run.reserved:
        return
    run.check_still_running(name)
    if run.harness.handles_signal(name, signal.SIGHUP):
        run.harness.send_signal(name, signal.SIGHUP)


async def publish(run: SoakRun, rng: Random) -> None:
    """Publish some versions one after the other."""
    for _ in range(rng.randint(1, 4)):
        run.version += rng.randint(1, 3)
        run.harness.publish(run.version)
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def store_outage(run: SoakRun, rng: Random) -> None:
    """Take the store away, and drop its history at times."""
    async with run.reserve("store") as free, run.unplanned_fault():
        if not free:
            return
        run.harness.store.down = True
        await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))
        if rng.random() < 0.5:
            run.harness.store.compact()
        run.harness.store.down = False


async def endpoint_fault(run: SoakRun, rng: Random) -> None:
    """Let an endpoint fail in one way for a while."""
    name = rng.choice(sorted(run.harness.endpoints))
    async with run.reserve(name) as free:
        if not free:
            return
        endpoint = run.harness.endpoints[name]
        sound = endpoint.mode
        async with run.unplanned_fault():
            endpoint.mode = rng.choice(MODES)
            await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))
            endpoint.mode = sound


async def connection_fault(run: SoakRun, rng: Random) -> None:
    """Delay, cut, silence or lose one way what a proxy carries."""
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
    """Announce that an endpoint leaves, and that it is back."""
    name = rng.choice(sorted(run.harness.endpoints))
    async with run.reserve(name) as free:
        if not free:
            return
        endpoint = run.harness.endpoints[name]
        leaving = endpoint.announcement(state="draining", sequence=2)
        run.harness.store.put(f"servers/{name}", leaving)
        await asyncio.sleep(rng.uniform(0.5, MAX_FAULT_S))
        run.harness.store.put(f"servers/{name}", endpoint.announcement(sequence=3))


PLANNED_OPERATIONS: tuple[FaultAction, ...] = (
    terminate_gateway,
    reload_gateway,
    publish,
    drain_endpoint,
)
UNPLANNED_FAULTS: tuple[FaultAction, ...] = (
    pause_gateway,
    kill_gateway,
    store_outage,
    endpoint_fault,
    connection_fault,
)
