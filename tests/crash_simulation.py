"""Load on simulated engines that crash, for the parts of gateways that watch for it."""

from __future__ import annotations

import asyncio
import math
import random
from collections import defaultdict
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

    from shallotroad.gateway.crash_monitor import AttemptWatch
    from shallotroad.gateway.job import Job

RESTART_S = 3.0
# Time to the first event; the engine also works on prompts before this one.
FIRST_EVENT_S = (0.15, 1.2)
STREAM_S = (0.2, 3.0)
GOSSIP_INTERVAL_S = 0.6
MAX_ATTEMPTS = 2
# Time after which a caller leaves a stream without an event, and after which probes of
# the kernel end a connection without a peer.
PATIENCE_S = 2.0
DEAD_CONNECTION_S = 3.0
# Time after which a caller whose request failed sends it again.
REPEAT_S = (0.2, 1.5)


class Arrival(NamedTuple):
    """A request as it arrived at an engine; times of the event loop.

    ``since_start_s`` is how long the gateway that sent it had run.
    """

    at_s: float
    parts: tuple[str, ...]
    body: bytes
    since_start_s: float = math.inf


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

    async def crash(self, restart_s: float) -> None:
        """Crash, and start again later as another incarnation."""
        if not self.up:
            return
        self.up = False
        self.end_connections()
        await asyncio.sleep(restart_s)
        self.started_at_ms += 1
        self.up = True


class CrashSimulation:
    """Requests with shared parts at gateways and engines, some of which are deadly.

    Attributes
    ----------
    deadly : set of str
        Prompt parts that crash the engine that begins to run them.
    deadly_bodies : set of bytes
        Bodies of whole requests that do so.
    crash_delay_s : float
        Time from the first event to such a crash; without it, no event is written.
    store_reachable : bool
        Whether the gateways learn of the new start of an engine.
    draining : bool
        Whether the engines have announced that they leave.
    silent : bool
        Whether the engines end no connection when they crash. A caller leaves then if
        no event has arrived, and the gateway's probes find a stream's connection dead.
    renamed : bool
        Whether an engine that starts again has another identifier.
    restart_s : float
        Time from the crash of an engine until it takes requests again.
    first_event_s, stream_s : tuple of float
        Limits of the time to the first event, and from there to the end.
    repeat_s : tuple of float
        Limits of the time after which a caller whose request failed sends it again.
    max_attempts : int
        Attempts that a gateway makes for one request.
    """

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
        self.deadly_bodies: set[bytes] = set()
        self.crash_delay_s = 0.0
        self.store_reachable = True
        self.draining = False
        self.silent = False
        self.renamed = False
        self.restart_s = RESTART_S
        self.first_event_s = FIRST_EVENT_S
        self.stream_s = STREAM_S
        self.repeat_s = REPEAT_S
        self.max_attempts = MAX_ATTEMPTS
        self.gateway_starts_s: dict[str, float] = {}
        self.body_crashes_s: dict[bytes, list[float]] = defaultdict(list)
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
            self.start(engine.crash(self.restart_s))

    def restart_gateway(self) -> None:
        """Let a random gateway start again, so that it knows no facts."""
        name = self.rng.choice(list(self.network.gateways))
        self.network.restart(name)
        self.gateway_starts_s[name] = loop_time()

    def reset_connections(self) -> None:
        """End all connections to one engine, which goes on running."""
        self.rng.choice(self.engines).end_connections()

    async def send_load(
        self,
        parts: Sequence[tuple[str, ...]],
        *,
        per_s: float,
        for_s: float,
        repeats: int = 0,
    ) -> None:
        """Send requests with parts drawn from a list to random gateways.

        A caller whose request fails sends it up to ``repeats`` times again.
        """
        end_s = loop_time() + for_s
        while loop_time() < end_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            self._count += 1
            body = str(self._count).encode()
            self.start(self._call(self.rng.choice(parts), body, repeats))

    async def send_again(
        self,
        bodies: Sequence[bytes],
        parts: tuple[str, ...],
        *,
        every_s: float,
        for_s: float,
        copies: int = 1,
        repeats: int = 0,
    ) -> None:
        """Send one of some requests at a time, at once in a number of copies.

        A caller whose request fails sends it up to ``repeats`` times again.
        """
        end_s = loop_time() + for_s
        while loop_time() < end_s:
            await asyncio.sleep(every_s * self.rng.uniform(0.8, 1.2))
            body = self.rng.choice(bodies)
            for _ in range(copies):
                self.start(self._call(parts, body, repeats))

    async def _call(self, parts: tuple[str, ...], body: bytes, repeats: int) -> None:
        for _ in range(1 + repeats):
            job = make_prompt_job(*parts, body=body, now_s=loop_time())
            if await self._serve(job):
                return
            await asyncio.sleep(self.rng.uniform(*self.repeat_s))

    async def exchange_periodically(self) -> None:
        """Exchange facts between random gateways, as gossip does."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            self.network.exchange_round()

    async def _serve(self, job: Job) -> bool:
        """Send a job to engines; return whether one has answered it."""
        name = self.rng.choice(list(self.network.gateways))
        parts = tuple(part.identifier for part in job.profile.parts[:-1])
        monitor = self.network.gateways[name].monitor
        for _ in range(self.max_attempts):
            try:
                await monitor.wait_for_turn(job)
                monitor.check(job)
            except RefusedError:
                self.refused.append(Arrival(loop_time(), parts, job.body))
                return False
            up = [engine for engine in self.engines if engine.up]
            if not up:
                return False
            engine = self.rng.choice(up)
            record = make_record(
                self._identifier(engine),
                port=engine.number,
                started_at_ms=engine.started_at_ms if self.store_reachable else 1,
                draining=self.draining,
            )
            job.attempts.append(record.identifier)
            since_start_s = loop_time() - self.gateway_starts_s.get(name, -math.inf)
            self.arrivals.append(Arrival(loop_time(), parts, job.body, since_start_s))
            watch = monitor.watch(job, record)
            if await self._runs(engine, job, watch):
                self.served.append(Arrival(loop_time(), parts, job.body))
                return True
        return False

    def _identifier(self, engine: Engine) -> str:
        run = f"-{engine.started_at_ms}" if self.renamed else ""
        return f"e{engine.number}{run}"

    async def _runs(self, engine: Engine, job: Job, watch: AttemptWatch) -> bool:
        """Run a job at an engine; return whether it answered it."""
        lost = engine.lost
        parts = {part.identifier for part in job.profile.parts}
        deadly = bool(self.deadly & parts) or job.body in self.deadly_bodies
        first_event_s = self.rng.uniform(*self.first_event_s)
        sent_s = loop_time()
        if await self._lost_within(lost, first_event_s):
            await self._end_without_event(watch, sent_s)
            return False
        if deadly and not self.crash_delay_s:
            await self._crash(engine, job)
            await self._end_without_event(watch, sent_s)
            return False
        rest_s = self.crash_delay_s if deadly else self.rng.uniform(*self.stream_s)
        if await self._lost_within(lost, min(rest_s, PROOF_S)):
            await self._end_stream(watch)
            return False
        if rest_s > PROOF_S:
            watch.record_events(PROOF_S)
        if await self._lost_within(lost, max(0.0, rest_s - PROOF_S)):
            await self._end_stream(watch)
            return False
        if deadly:
            await self._crash(engine, job)
            await self._end_stream(watch)
            return False
        watch.record_complete()
        return True

    async def _crash(self, engine: Engine, job: Job) -> None:
        """Let a job crash the engine that runs it."""
        self.crash_times_s.append(loop_time())
        if job.body in self.deadly_bodies:
            self.body_crashes_s[job.body].append(loop_time())
        self.start(engine.crash(self.restart_s))
        await asyncio.sleep(0)

    async def _end_without_event(self, watch: AttemptWatch, sent_s: float) -> None:
        """End an attempt whose engine was lost before the first event."""
        if self.silent:
            await asyncio.sleep(sent_s + PATIENCE_S - loop_time())
            watch.record_silence(PATIENCE_S)
        else:
            watch.record_connection_lost()

    async def _end_stream(self, watch: AttemptWatch) -> None:
        """End an attempt whose engine was lost after the first event."""
        if self.silent:
            await asyncio.sleep(DEAD_CONNECTION_S)
        watch.record_connection_lost()

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

    def late_arrivals(self, body: bytes, after_s: float) -> int:
        """Return how often a request arrived so long after its own third crash.

        Those that a gateway sent so soon after its start don't count.
        """
        crashes_s = self.body_crashes_s[body]
        if len(crashes_s) < 3:
            return 0
        limit_s = crashes_s[2] + after_s
        return sum(
            a.body == body and a.at_s > limit_s and a.since_start_s > after_s
            for a in self.arrivals
        )
