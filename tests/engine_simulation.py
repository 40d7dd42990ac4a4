"""Model of engines that interleave prefill and decode, in simulated time.

Each step gives every running stream one token and prefills one chunk of the oldest
waiting prompt, so prefill slows the streams that run beside it.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.policy.decode_pace import StreamPace
from shallotroad.policy.engine_model import StepTimer


if TYPE_CHECKING:
    from shallotroad.gateway.engine_models import EngineModels
    from shallotroad.gateway.job import Job
    from shallotroad.policy.placement import Placement
    from shallotroad.policy.placement_request import PlacementRequest
    from tests.gateway_builders import AdmissionFixture

STEP_S = 0.0026
STEP_PER_STREAM_S = 0.0001
CHUNK_TOKENS = 2048
TOKENS_PER_EVENT = 9
PREFILL_TOKENS_PER_S = 48_000


class SimulatedRequest:
    """A request at an engine: a prompt to prefill, then an answer to decode.

    ``engine_models`` learns from its events; None if nothing learns.
    """

    def __init__(
        self,
        *,
        job: Job,
        placement: Placement,
        answer_tokens: int,
        engine_models: EngineModels | None = None,
    ) -> None:
        self.job = job
        self.engine_models = engine_models
        self.steps = StepTimer(tokens_per_event=TOKENS_PER_EVENT)
        self.placement = placement
        self.prompt_tokens = job.request.prompt_tokens - placement.cached_tokens
        self.answer_tokens = answer_tokens
        self.placed_s = asyncio.get_running_loop().time()
        self.slowness = placement.load.slowness
        self.pace = StreamPace(
            tokens_per_event=TOKENS_PER_EVENT,
            expected_tokens=job.expected_tokens,
            end_s=job.end_s,
        )
        self.tokens_since_event = 0
        self.started = False
        self.event_arrived = False
        self.has_left = False
        self.first_event_s = math.inf
        self.first_event_ms = math.inf
        self.ended = asyncio.Event()


class SimulatedEngine:
    """One engine; ``speed`` divides the time of all its steps.

    ``overhead_s`` passes between a first token and its arrival at the gateway.
    """

    def __init__(self, *, speed: float = 1.0, overhead_s: float = 0.0) -> None:
        self.speed = speed
        self._overhead_s = overhead_s
        self._prompts: deque[SimulatedRequest] = deque()
        self._streams: list[SimulatedRequest] = []
        self._work = asyncio.Event()

    def add(self, request: SimulatedRequest) -> None:
        self._prompts.append(request)
        self._work.set()

    def remove(self, request: SimulatedRequest) -> None:
        if request in self._prompts:
            self._prompts.remove(request)
        if request in self._streams:
            self._streams.remove(request)

    async def run(self) -> None:
        while True:
            if not self._prompts and not self._streams:
                self._work.clear()
                await self._work.wait()
            step_s = STEP_S + STEP_PER_STREAM_S * len(self._streams)
            prompt = self._prompts[0] if self._prompts else None
            if prompt is not None:
                chunk = min(CHUNK_TOKENS, max(0, prompt.prompt_tokens))
                prompt.prompt_tokens -= chunk
                step_s += chunk / PREFILL_TOKENS_PER_S
            await asyncio.sleep(step_s / self.speed)
            if prompt is not None and prompt.prompt_tokens <= 0:
                self._start_stream(prompt)
            for stream in list(self._streams):
                self._decode(stream)

    def _start_stream(self, prompt: SimulatedRequest) -> None:
        """Begin to decode a request, unless its caller has left meanwhile."""
        if prompt in self._prompts:
            self._prompts.remove(prompt)
            self._streams.append(prompt)

    def _decode(self, stream: SimulatedRequest) -> None:
        now_s = asyncio.get_running_loop().time()
        if not stream.started:
            stream.started = True
            stream.first_event_s = now_s
            asyncio.get_running_loop().call_later(
                self._overhead_s, self._record_first_event, stream
            )
        self._record_token(stream, now_s)
        stream.answer_tokens -= 1
        if stream.answer_tokens <= 0:
            self._streams.remove(stream)
            stream.ended.set()

    def _record_token(self, stream: SimulatedRequest, now_s: float) -> None:
        """Pass the tokens on in events, as a gateway does with those of an attempt."""
        stream.tokens_since_event += 1
        if stream.tokens_since_event < TOKENS_PER_EVENT:
            return
        stream.tokens_since_event = 0
        stream.steps.record_events(1, now_s)
        if stream.engine_models is not None:
            stream.engine_models.record_step(stream.placement.load, stream.steps.take())
        stream.pace.record_events(1, now_s)
        lag = stream.pace.take_lag()
        if lag is not None:
            stream.placement.load.record_lag(lag)

    def _record_first_event(self, stream: SimulatedRequest) -> None:
        """Update the load as a gateway does at the first event of an attempt."""
        if stream.has_left:
            return
        stream.event_arrived = True
        now_s = asyncio.get_running_loop().time()
        placement = stream.placement
        placement.load.record_first_event(placement.due_s, now_s)
        first_event_ms = (now_s - stream.placed_s) * 1000
        stream.first_event_ms = first_event_ms
        expected_ms = placement.backlog_ms + placement.prefill_ms
        overhead_ms = placement.model.first_event_overhead_ms
        placement.load.update_slowness(
            expected_ms,
            first_event_ms - overhead_ms,
            stream.slowness,
            placement.model,
        )
        if stream.engine_models is not None and placement.prefill is not None:
            stream.engine_models.record_first_event(
                placement.load, placement.prefill, first_event_ms
            )


class Outcomes:
    """How the requests of a simulation ended."""

    def __init__(self) -> None:
        self.whole = 0
        self.cut = 0
        self.refused = 0
        self.late = 0
        self.refused_after_s: list[float] = []
        self.retry_after_s: list[float] = []
        self.requests: list[SimulatedRequest] = []
        # Request, endpoint and wait of each placement.
        self.placements: list[tuple[str, str, float]] = []

    @property
    def cut_share(self) -> float:
        """Share of the admitted requests whose callers left before the end."""
        return self.cut / max(1, self.cut + self.whole)

    @property
    def late_share(self) -> float:
        """Share of the admitted requests whose first event missed its objective."""
        return self.late / max(1, self.cut + self.whole)

    @property
    def refused_share(self) -> float:
        """Share of all requests that were refused before they ran."""
        return self.refused / max(1, self.refused + self.cut + self.whole)


async def run_request(
    fixture: AdmissionFixture,
    engines: dict[str, SimulatedEngine],
    job: Job,
    placement_request: PlacementRequest,
    answer_tokens: int,
    outcomes: Outcomes,
    *,
    learns: bool = True,
) -> RefusedError | None:
    """Place a request, and let its engine serve it until its caller leaves.

    With ``learns``, its events are passed to the learned model of engines. Returns the
    refusal if it was refused.
    """
    clock = fixture.clock
    try:
        placement = await fixture.admission.place(placement_request)
    except RefusedError as error:
        outcomes.refused += 1
        outcomes.refused_after_s.append(clock() - job.arrival_s)
        outcomes.retry_after_s.append(error.retry_after_s)
        return error
    endpoint = placement.load.record.identifier
    waited_s = round(clock() - job.arrival_s, 6)
    outcomes.placements.append((job.request.request_id, endpoint, waited_s))
    engine = engines[endpoint]
    request = SimulatedRequest(
        job=job,
        placement=placement,
        answer_tokens=answer_tokens,
        engine_models=fixture.engine_models if learns else None,
    )
    outcomes.requests.append(request)
    engine.add(request)
    try:
        async with asyncio.timeout(job.end_s - clock()):
            await request.ended.wait()
        outcomes.whole += 1
    except TimeoutError:
        engine.remove(request)
        outcomes.cut += 1
    request.has_left = True
    placement.load.record_end(
        placement.due_s, started=request.event_arrived, now_s=clock()
    )
    if request.first_event_s > job.objective_s:
        outcomes.late += 1
    fixture.admission.schedule_dispatch()
    return None
