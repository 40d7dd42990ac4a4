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

    from devtools.gateway_bench import GatewayBench

    Play = Callable[["Stage", Random], Awaitable[None]]

GRACE_S = 6.0  # of the stand-in settings
SETTLE_S = 4.0  # after an unplanned fault, until its effects must be over
LONGEST_FAULT_S = 2.0
MODES = ("reset", "cut", "full", "late", "unsigned", "error", "mute")
PROXY_FAULTS = (Fault.SILENT, Fault.LOSE_REQUESTS, Fault.LOSE_ANSWERS)


class Violation(NamedTuple):
    """A promise that was broken, and what shows it."""

    promise: str
    detail: str


class Stage:
    """The processes under test, and when unplanned faults were at work."""

    def __init__(self, *, bench: GatewayBench) -> None:
        self.bench = bench
        self.unplanned: list[tuple[float, float]] = []
        self.found: list[Violation] = []
        self.version = 1
        self.busy: set[str] = set()

    @asynccontextmanager
    async def disturbed(self) -> AsyncIterator[None]:
        """Note an unplanned fault for as long as it lasts."""
        begun_s = time.monotonic()
        number = len(self.unplanned)
        self.unplanned.append((begun_s, float("inf")))
        try:
            yield
        finally:
            self.unplanned[number] = (begun_s, time.monotonic() + SETTLE_S)

    def calm(self, begun_s: float, ended_s: float) -> bool:
        """Return whether no unplanned fault touched a span of time."""
        return all(end <= begun_s or start >= ended_s for start, end in self.unplanned)

    def note_if_ended(self, name: str) -> None:
        """Note a gateway that has ended though no fault ended it."""
        if self.bench.processes[name].returncode is not None:
            self.found.append(Violation("stays up", f"{name} has ended"))

    @asynccontextmanager
    async def holding(self, name: str) -> AsyncIterator[bool]:
        """Keep other faults off one process or stand-in; False if it is taken."""
        if name in self.busy:
            yield False
            return
        self.busy.add(name)
        try:
            yield True
        finally:
            self.busy.discard(name)


async def pause_gateway(stage: Stage, rng: Random) -> None:
    """Stop a process and let it go on."""
    name = rng.choice(sorted(stage.bench.processes))
    async with stage.holding(name) as free:
        if not free:
            return
        stage.note_if_ended(name)
        async with stage.disturbed():
            stage.bench.send_signal(name, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.2, LONGEST_FAULT_S))
            stage.bench.send_signal(name, signal.SIGCONT)


async def kill_gateway(stage: Stage, rng: Random) -> None:
    """Kill a process and start it again."""
    name = rng.choice(sorted(stage.bench.processes))
    async with stage.holding(name) as free:
        if not free:
            return
        stage.note_if_ended(name)
        async with stage.disturbed():
            stage.bench.send_signal(name, signal.SIGKILL)
            await stage.bench.processes[name].wait()
            await stage.bench.start(name, _seeds(stage.bench, name), wait=False)


async def end_gateway(stage: Stage, rng: Random) -> None:
    """End a process by SIGTERM, twice at times, and start it again."""
    name = rng.choice(sorted(stage.bench.processes))
    async with stage.holding(name) as free:
        if not free:
            return
        stage.note_if_ended(name)
        process = stage.bench.processes[name]
        # The interpreter needs a moment before the program can install handlers.
        handled = stage.bench.handles_signal(name, signal.SIGTERM)
        stage.bench.send_signal(name, signal.SIGTERM)
        if rng.random() < 0.3:
            await asyncio.sleep(0.1)
            stage.bench.send_signal(name, signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                code = await process.wait()
        except TimeoutError:
            stage.found.append(Violation("graceful shutdown", f"{name} still runs"))
            stage.bench.send_signal(name, signal.SIGKILL)
            code = await process.wait()
        if code != 0 and handled:
            stage.found.append(Violation("graceful shutdown", f"{name} code {code}"))
        await stage.bench.start(name, _seeds(stage.bench, name), wait=False)


def _seeds(bench: GatewayBench, name: str) -> list[int]:
    return [ports["control"] for other, ports in bench.ports.items() if other != name]


async def reload_gateway(stage: Stage, rng: Random) -> None:
    """Send SIGHUP."""
    name = rng.choice(sorted(stage.bench.processes))
    if name in stage.busy:
        return
    stage.note_if_ended(name)
    if stage.bench.handles_signal(name, signal.SIGHUP):
        stage.bench.send_signal(name, signal.SIGHUP)


async def publish(stage: Stage, rng: Random) -> None:
    """Publish some versions one after the other."""
    for _ in range(rng.randint(1, 4)):
        stage.version += rng.randint(1, 3)
        stage.bench.publish(stage.version)
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def store_away(stage: Stage, rng: Random) -> None:
    """Take the store away, and drop its history at times."""
    async with stage.holding("store") as free, stage.disturbed():
        if not free:
            return
        stage.bench.store.down = True
        await asyncio.sleep(rng.uniform(0.2, LONGEST_FAULT_S))
        if rng.random() < 0.5:
            stage.bench.store.forget_history()
        stage.bench.store.down = False


async def faulty_endpoint(stage: Stage, rng: Random) -> None:
    """Let an endpoint fail in one way for a while."""
    name = rng.choice(sorted(stage.bench.endpoints))
    async with stage.holding(name) as free:
        if not free:
            return
        endpoint = stage.bench.endpoints[name]
        sound = endpoint.mode
        async with stage.disturbed():
            endpoint.mode = rng.choice(MODES)
            await asyncio.sleep(rng.uniform(0.2, LONGEST_FAULT_S))
            endpoint.mode = sound


async def faulty_line(stage: Stage, rng: Random) -> None:
    """Delay, cut, silence or lose one way what a proxy carries."""
    proxy = stage.bench.proxies[rng.choice(sorted(stage.bench.proxies))]
    async with stage.disturbed():
        kind = rng.randrange(4)
        if kind == 0:
            proxy.delay_s = rng.uniform(0.02, 0.3)
        elif kind == 1:
            proxy.cut()
        elif kind == 2:
            proxy.silence_open_connections()
        else:
            proxy.fault = rng.choice(PROXY_FAULTS)
        await asyncio.sleep(rng.uniform(0.2, LONGEST_FAULT_S))
        proxy.heal()


async def drain_endpoint(stage: Stage, rng: Random) -> None:
    """Announce that an endpoint leaves, and that it is back."""
    name = rng.choice(sorted(stage.bench.endpoints))
    async with stage.holding(name) as free:
        if not free:
            return
        endpoint = stage.bench.endpoints[name]
        leaving = endpoint.announcement(state="draining", sequence=2)
        stage.bench.store.put(f"servers/{name}", leaving)
        await asyncio.sleep(rng.uniform(0.5, LONGEST_FAULT_S))
        stage.bench.store.put(f"servers/{name}", endpoint.announcement(sequence=3))


PLANNED: tuple[Play, ...] = (end_gateway, reload_gateway, publish, drain_endpoint)
UNPLANNED: tuple[Play, ...] = (
    pause_gateway,
    kill_gateway,
    store_away,
    faulty_endpoint,
    faulty_line,
)
