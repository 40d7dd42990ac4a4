"""Load from several gateways on simulated endpoints that state limits."""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.platform.headers import PromptPart
from shallotroad.platform.headers import decode_response
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateways
from tests.gateway_builders import make_configuration
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_record
from tests.gateway_builders import make_request
from tests.gateway_builders import make_route
from tests.gateway_builders import make_service


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.platform.headers import CallerRequest
    from tests.coordination_builders import GatewayFixture

CONTACT_S = 3.0
TOLD_S = 0.5
WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
ANSWER_S = 0.05
FIRST_LIMIT_S = 1.0


class Arrival(NamedTuple):
    """A request of a gateway at an endpoint; the time is that of the event loop."""

    at_s: float
    gateway: str


class Refusal(NamedTuple):
    """A request that was refused, with the time that it was held."""

    held_s: float
    retry_after_s: float


class LimitSimulation:
    """Gateways that place requests for one service, and endpoints with limits.

    Attributes
    ----------
    limits : dict of str to str
        What each endpoint states; those without an entry state nothing.
    """

    def __init__(
        self, *, gateways: int, endpoints: int, engine: bool = True, seed: int = 1
    ) -> None:
        self._rng = random.Random(seed)
        self.network = Network()
        self.gateways = {
            gateway.membership.name: gateway
            for gateway in make_gateways(self.network, gateways)
        }
        service = make_service() if engine else make_service(engine=None)
        self._job_settings: dict[str, Any] = {"service": service}
        if not engine:
            self._job_settings["route"] = make_route(
                timeout_ms=1500, max_event_gap_ms=0
            )
        self.names = [f"e{number}" for number in range(endpoints)]
        for gateway in self.gateways.values():
            fixture = gateway.admission_fixture
            fixture.catalog.adopt_configuration(
                make_configuration(version=2, services=(service,))
            )
            for name in list(fixture.endpoint_registry.loads):
                fixture.endpoint_registry.remove(name)
            for name in self.names:
                fixture.endpoint_registry.put(make_record(name))
        self.limits: dict[str, str] = {}
        self.limited_s: dict[str, float] = {}
        self.arrivals: dict[str, list[Arrival]] = {name: [] for name in self.names}
        self.answers: dict[str, list[Arrival]] = {name: [] for name in self.names}
        self.refusals: list[Refusal] = []
        self.served = 0
        self.down: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()
        for gateway in self.gateways.values():
            admission = gateway.admission_fixture.admission
            self._start(admission.dispatch_periodically())
            self._start(gateway.placement_client.report_periodically())
            self._start(self._beat(gateway))

    async def _beat(self, gateway: GatewayFixture) -> None:
        """Keep the gateways that run known to each other."""
        while True:
            await asyncio.sleep(0.5)
            gateway.membership.increment_heartbeat()
            if gateway.membership.name in self.down:
                continue
            for name, other in self.gateways.items():
                if name not in self.down:
                    other.membership.merge(gateway.membership.snapshot(), _now_s())

    def _start(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def state_limit(self, names: Sequence[str], limit: str) -> None:
        """Let endpoints state a limit from now on."""
        for name in names:
            self.limits[name] = limit
            self.limited_s.setdefault(name, _now_s())

    def kill(self, name: str) -> None:
        """Take a gateway out of the network; its callers go elsewhere."""
        self.down.add(name)
        self.network.partitioned.add(name)

    async def send_load(self, *, per_s: float, for_s: float) -> None:
        """Send requests to random gateways that run."""
        end_s = _now_s() + for_s
        while _now_s() < end_s:
            await asyncio.sleep(self._rng.expovariate(per_s))
            names = [name for name in self.gateways if name not in self.down]
            self._start(self._serve(self._rng.choice(names)))

    def _make_request(self, number: int) -> CallerRequest:
        """Return a request whose prompt has one of a few first parts."""
        parts = (PromptPart(f"s{number % 12}", 3000), PromptPart(f"o{number}", 90))
        return make_request(
            request_id=f"q{number}", prompt_tokens=3090, prompt_parts=parts
        )

    async def _serve(self, gateway_name: str) -> None:
        gateway = self.gateways[gateway_name]
        number = next(self._numbers)
        job = make_gateway_job(
            now_s=_now_s(),
            request=self._make_request(number),
            **self._job_settings,
        )
        started_s = _now_s()
        try:
            placement = await gateway.placement_client.place(job)
        except RefusedError as error:
            held_s = _now_s() - started_s
            self.refusals.append(Refusal(held_s, error.retry_after_s))
            return
        record = placement.load.record
        sent_s = _now_s()
        self.arrivals[record.identifier].append(Arrival(sent_s, gateway_name))
        stated = self.limits.get(record.identifier, "")
        await asyncio.sleep(ANSWER_S)
        headers = [(b"X-Replica-Signature", b"s"), (b"Server-Limit", stated.encode())]
        head = decode_response(200, headers if stated else headers[:1])
        gateway.statements.record_answer(record, head, sent_s)
        if stated:
            self.answers[record.identifier].append(Arrival(_now_s(), gateway_name))
        placement.load.record_first_event(placement.due_s, _now_s())
        gateway.placement_client.record_first_event(placement, 100.0)
        placement.load.record_end(placement.due_s, started=True, now_s=_now_s())
        gateway.placement_client.record_end(placement, success=True)
        self.served += 1

    def most_counted(self, name: str) -> int:
        """Return the most arrivals in a window that count for the rule.

        They count from a contact time after the endpoint first stated a limit, if their
        gateway had passed on such an answer long enough before.
        """
        told_s: dict[str, float] = {}
        for answer in self.answers[name]:
            told_s.setdefault(answer.gateway, answer.at_s + TOLD_S)
        since_s = self.limited_s[name] + CONTACT_S
        times_s = [
            arrival.at_s
            for arrival in self.arrivals[name]
            if arrival.at_s >= max(since_s, told_s.get(arrival.gateway, 1e9))
        ]
        return max(
            (
                bisect.bisect_right(times_s, first_s + WINDOW_S) - number
                for number, first_s in enumerate(times_s)
            ),
            default=0,
        )

    def arrivals_since(self, name: str, since_s: float) -> int:
        """Return how many requests have reached an endpoint since a time."""
        return sum(arrival.at_s >= since_s for arrival in self.arrivals[name])

    async def close(self) -> None:
        """Cancel what still runs."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def allowed(limit_per_s: float) -> float:
    """Return the most arrivals in a window that the rule allows."""
    return OVERSHOOT * limit_per_s * WINDOW_S + SLACK


def _now_s() -> float:
    return asyncio.get_running_loop().time()
