"""Load of callers in several data centres on one service, in simulated time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import ExitStack
from typing import TYPE_CHECKING
from typing import NamedTuple
from unittest.mock import patch

from shallotroad.platform.headers import PromptPart
from shallotroad.policy.data_centre_balance import DataCentreBalance
from tests.coordination_builders import LoopClock
from tests.engine_simulation import Outcomes
from tests.engine_simulation import SimulatedEngine
from tests.engine_simulation import SimulatedRequest
from tests.engine_simulation import run_request
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_record
from tests.gateway_builders import make_request
from tests.gateway_builders import make_route


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from shallotroad.gateway.job import Job
    from tests.gateway_builders import AdmissionFixture

    Rate = Callable[[str, float], float]

REUSE_WINDOW_S = 10.0
DEADLINE_MS = 12_000


class PromptClass(NamedTuple):
    """Requests of one kind.

    Parameters
    ----------
    per_s : callable
        Requests a second of a data centre at a time.
    shared_tokens, own_tokens : int
        Tokens of the shared part, 0 for none, and of the request's own part. The body
        has a byte for each token.
    parts : int
        Number of shared parts, requested equally often but for ``popular``.
    popular_share : float
        Share of the requests that are for the first shared part.
    gap_tolerant : bool
        Whether the stream is gap-tolerant with an objective of 2.5 s, or
        gap-sensitive with one of 0.5 s.
    """

    per_s: Rate
    shared_tokens: int
    own_tokens: int
    parts: int = 1
    popular_share: float = 0.0
    gap_tolerant: bool = True
    answer_tokens: int = 120


class Play:
    """A service with engines in several data centres, and what happened to requests.

    Parameters
    ----------
    engines : mapping of str to int
        Number of engines in each data centre.
    balanced : bool
        Whether the balance between data centres is in use; if not, only the constant
        costs decide.
    """

    def __init__(
        self, engines: Mapping[str, int], *, seed: int, balanced: bool = True
    ) -> None:
        self.fixture: AdmissionFixture = make_admission_fixture(0, clock=LoopClock())
        self.outcomes: dict[PromptClass, Outcomes] = {}
        self._balanced = balanced
        self._rng = random.Random(seed)
        self._engines: dict[str, SimulatedEngine] = {}
        self._number = 0
        for data_centre, count in engines.items():
            for number in range(count):
                self.add_engine(f"{data_centre}{number}", data_centre)

    @property
    def balance(self) -> DataCentreBalance:
        return self.fixture.admission.data_centre_balance

    def add_engine(self, name: str, data_centre: str, cold_ms: float = 0.0) -> None:
        self._engines.setdefault(name, SimulatedEngine())
        self.fixture.catalog.put_endpoint(
            make_record(
                name,
                data_centre=data_centre,
                port=9000 + len(self._engines),
                cold_remaining_ms=cold_ms,
                started_at_ms=round(1000 * self.fixture.clock()) + 1,
            )
        )

    async def run(
        self,
        data_centres: str,
        classes: list[PromptClass],
        duration_s: float,
        events: Mapping[float, Callable[[], None]] | None = None,
    ) -> None:
        """Play the load; ``events`` are called at their times since the start."""
        loop = asyncio.get_running_loop()
        for at_s, event in (events or {}).items():
            loop.call_later(at_s, event)
        background = [asyncio.create_task(e.run()) for e in self._engines.values()]
        background.append(
            asyncio.create_task(self.fixture.admission.dispatch_periodically())
        )
        with ExitStack() as stack:
            if not self._balanced:
                stack.enter_context(
                    patch.object(DataCentreBalance, "preference", return_value=None)
                )
            sources = [
                self._send(name, kind, loop.time() + duration_s)
                for name in data_centres
                for kind in classes
            ]
            await asyncio.gather(*sources)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)

    async def _send(self, data_centre: str, kind: PromptClass, end_s: float) -> None:
        clock = self.fixture.clock
        outcomes = self.outcomes.setdefault(kind, Outcomes())
        started_s = clock()
        requests = []
        while True:
            rate = kind.per_s(data_centre, clock() - started_s)
            await asyncio.sleep(self._rng.expovariate(rate) if rate > 0 else 0.1)
            if clock() >= end_s:
                break
            if rate <= 0:
                continue
            job = self._make_job(data_centre, kind)
            request = job.placement_request(clock())
            requests.append(
                asyncio.create_task(
                    run_request(
                        self.fixture,
                        self._engines,
                        job,
                        request,
                        kind.answer_tokens,
                        outcomes,
                    )
                )
            )
        await asyncio.gather(*requests)

    def _make_job(self, data_centre: str, kind: PromptClass) -> Job:
        self._number += 1
        parts = [PromptPart(f"own{self._number}", kind.own_tokens)]
        if kind.shared_tokens:
            number = self._rng.randrange(kind.parts)
            if self._rng.random() < kind.popular_share:
                number = 0
            parts.insert(0, PromptPart(f"part{number}", kind.shared_tokens))
        tokens = sum(part.tokens for part in parts)
        route = (
            make_gap_tolerant_route(timeout_ms=DEADLINE_MS)
            if kind.gap_tolerant
            else make_route(timeout_ms=DEADLINE_MS)
        )
        return make_gateway_job(
            now_s=self.fixture.clock(),
            route=route,
            data_centre=data_centre,
            body=b"x" * tokens,
            request=make_request(
                prompt_parts=tuple(parts),
                prompt_tokens=tokens,
                expected_output_tokens=kind.answer_tokens,
                max_output_tokens=2 * kind.answer_tokens,
                deadline_ms=float(DEADLINE_MS),
            ),
        )

    def placed(
        self,
        kind: PromptClass | None = None,
        since_s: float = 0.0,
        data_centre: str = "",
    ) -> list[SimulatedRequest]:
        """Return the placed requests, of all classes and data centres by default."""
        return [
            request
            for each, outcomes in self.outcomes.items()
            for request in outcomes.requests
            if kind in (None, each)
            and request.placed_s >= since_s
            and data_centre in ("", request.job.profile.data_centre)
        ]

    def figures(self, kind: PromptClass | None = None) -> Figures:
        """Return what the callers and the links between data centres saw."""
        requests = self.placed(kind)
        remote = [request for request in requests if leaves(request)]
        first_events = sorted(
            1000 * (request.first_event_s - request.job.arrival_s)
            for request in requests
        )
        outcomes = [o for each, o in self.outcomes.items() if kind in (None, each)]
        return Figures(
            requests=len(requests),
            remote_share=len(remote) / len(requests),
            remote_bytes=sum(request.job.profile.body_bytes for request in remote),
            first_event_ms=first_events[len(first_events) // 2],
            first_event_p95_ms=first_events[int(0.95 * len(first_events))],
            unserved=sum(o.refused + o.cut for o in outcomes),
            late=sum(o.late for o in outcomes),
            repeated_tokens=self._repeated_tokens(kind),
        )

    def _repeated_tokens(self, kind: PromptClass | None) -> int:
        """Return the tokens of shared parts prefilled again within the reuse window."""
        used_s: dict[str, float] = {}
        repeated = 0
        for request in sorted(self.placed(kind), key=lambda request: request.placed_s):
            for part in request.job.profile.parts[:-1]:
                last_s = used_s.get(part.identifier, -REUSE_WINDOW_S - 1)
                recent = request.placed_s - last_s <= REUSE_WINDOW_S
                if recent and request.placement.cached_tokens < part.tokens:
                    repeated += part.tokens
                used_s[part.identifier] = request.placed_s
        return repeated

    def remote_shares(self, data_centre: str, interval_s: float) -> list[float]:
        """Return the share of a data centre's requests that left in each interval."""
        placed: Counter[int] = Counter()
        remote: Counter[int] = Counter()
        for request in self.placed(data_centre=data_centre):
            interval = int(request.placed_s / interval_s)
            placed[interval] += 1
            remote[interval] += leaves(request)
        return [remote[i] / placed[i] for i in sorted(placed)]


class Figures(NamedTuple):
    """Outcome of a play; bytes are those of the bodies that left."""

    requests: int
    remote_share: float
    remote_bytes: int
    first_event_ms: float
    first_event_p95_ms: float
    unserved: int
    late: int
    repeated_tokens: int


def leaves(request: SimulatedRequest) -> bool:
    """Return whether a request was placed outside its callers' data centre."""
    engine_data_centre = request.placement.load.record.data_centre
    return bool(engine_data_centre != request.job.profile.data_centre)
