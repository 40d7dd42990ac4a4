"""Load on simulated engines that crash, for the parts of gateways that watch for it."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.gateway.crash_monitor import PROOF_S
from shallotroad.gateway.exceptions import RefusedError
from tests.crash_builders import LossyNetwork
from tests.crash_builders import loop_time
from tests.crash_builders import make_prompt_job
from tests.gateway_builders import make_record


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.gateway.job import Job

RESTART_S = 3.0
# Time to the first event; the engine also works on prompts before this one.
FIRST_EVENT_S = (0.15, 1.2)
STREAM_S = (0.2, 3.0)
GOSSIP_INTERVAL_S = 0.6
MAX_ATTEMPTS = 2


class Arrival(NamedTuple):
    """A request as it arrived at an engine; times of the event loop."""

    at_s: float
    parts: tuple[str, ...]


class Engine:
    """An engine that has requests until it crashes, and then starts again."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.started_at_ms = 1
        self.up = True
        self.lost = asyncio.Event()

    def end_connections(self) -> None:
        """Lose all requests at the engine."""
        self.lost.set()
        self.lost = asyncio.Event()

    async def crash(self) -> None:
        """Crash, and start again later as another incarnation."""
        if not self.up:
            return
        self.up = False
        self.end_connections()
        await asyncio.sleep(RESTART_S)
        self.started_at_ms += 1
        self.up = True


class CrashSimulation:
    """Requests with shared parts at gateways and engines, some of which are deadly."""

    def __init__(self, *, gateways: int, engines: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.network = LossyNetwork(
            count=gateways,
            delay_s=0.01,
            loss=0.05,
            seed=seed,
            accepts=self._accepts,
        )
        self.engines = [Engine(number) for number in range(engines)]
        self.deadly: set[str] = set()
        self.arrivals: list[Arrival] = []
        self.crash_times_s: list[float] = []
        self.served: list[Arrival] = []
        self.refused: list[Arrival] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def _accepts(self, host: str, port: int) -> bool:
        return self.engines[port].up

    def start(self, coroutine: object) -> None:
        """Run a coroutine in the background."""
        assert asyncio.iscoroutine(coroutine)
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def lose_power(self, share: float) -> None:
        """Crash a share of the engines at one moment."""
        for engine in self.rng.sample(self.engines, round(share * len(self.engines))):
            self.start(engine.crash())

    def reset_connections(self) -> None:
        """End all connections to one engine, which goes on running."""
        self.rng.choice(self.engines).end_connections()

    async def send_load(
        self, parts: Sequence[tuple[str, ...]], *, per_s: float, for_s: float
    ) -> None:
        """Send requests with parts drawn from a list to random gateways."""
        end_s = loop_time() + for_s
        while loop_time() < end_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            self._count += 1
            job = make_prompt_job(
                *self.rng.choice(parts),
                body=str(self._count).encode(),
                now_s=loop_time(),
            )
            self.start(self._serve(job))

    async def exchange_periodically(self) -> None:
        """Exchange facts between random gateways, as gossip does."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            self.network.exchange_round()

    async def _serve(self, job: Job) -> None:
        name = self.rng.choice(list(self.network.gateways))
        parts = tuple(part.identifier for part in job.profile.parts[:-1])
        monitor = self.network.gateways[name].monitor
        for _ in range(MAX_ATTEMPTS):
            try:
                monitor.check(job)
            except RefusedError:
                self.refused.append(Arrival(loop_time(), parts))
                return
            up = [engine for engine in self.engines if engine.up]
            if not up:
                return
            engine = self.rng.choice(up)
            record = make_record(
                f"e{engine.number}",
                port=engine.number,
                started_at_ms=engine.started_at_ms,
            )
            job.attempts.append(record.identifier)
            self.arrivals.append(Arrival(loop_time(), parts))
            watch = monitor.watch(job, record)
            lost = engine.lost
            if await self._lost_within(lost, self.rng.uniform(*FIRST_EVENT_S)):
                watch.record_connection_lost()
                continue
            if self.deadly & set(parts):
                self.crash_times_s.append(loop_time())
                self.start(engine.crash())
                await asyncio.sleep(0)
                watch.record_connection_lost()
                continue
            rest_s = self.rng.uniform(*STREAM_S)
            if await self._lost_within(lost, min(rest_s, PROOF_S)):
                watch.record_connection_lost()
                continue
            if rest_s > PROOF_S:
                watch.record_events(PROOF_S)
            else:
                watch.record_complete()
            if await self._lost_within(lost, max(0.0, rest_s - PROOF_S)):
                watch.record_connection_lost()
            self.served.append(Arrival(loop_time(), parts))
            return

    async def _lost_within(self, lost: asyncio.Event, time_s: float) -> bool:
        try:
            async with asyncio.timeout(time_s):
                await lost.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Cancel what still runs."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def suspended_ever(self, part: str) -> int:
        """Return how many requests with a part were refused."""
        return sum(part in refusal.parts for refusal in self.refused)
