from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.gateway.coordination.messages import CrashNews
from shallotroad.gateway.coordination.messages import decode
from shallotroad.gateway.coordination.messages import encode
from shallotroad.gateway.crash_exchange import CrashExchange
from shallotroad.gateway.crash_monitor import CrashMonitor
from shallotroad.gateway.membership import Membership
from shallotroad.gateway.metrics import GatewayMetrics
from shallotroad.platform.headers import PromptPart
from shallotroad.policy.crash_correlation import CrashCorrelation
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_request


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from shallotroad.gateway.job import Job


class CrashFixture(NamedTuple):
    """The parts of one gateway that watch for crashes, and what it has sent."""

    correlation: CrashCorrelation
    exchange: CrashExchange
    monitor: CrashMonitor
    membership: Membership
    metrics: GatewayMetrics
    sent: list[tuple[str, CrashNews]]


def loop_time() -> float:
    return asyncio.get_running_loop().time()


async def refuse(host: str, port: int) -> bool:
    return False


def make_crash_fixture(
    name: str = "g0",
    *,
    accepts: Callable[[str, int], Awaitable[bool]] = refuse,
    send: Callable[[str, CrashNews], None] | None = None,
    seed: int = 1,
    start: int = 1,
) -> CrashFixture:
    """Return the parts of a gateway in its ``start``-th run."""
    sent: list[tuple[str, CrashNews]] = []

    def keep(target: str, news: CrashNews) -> None:
        sent.append((target, news))

    correlation = CrashCorrelation(source=f"{name}:{start}")
    membership = Membership(
        name=name, address=f"{name}:1", incarnation=1, seeds=(), datagram_port=1
    )
    exchange = CrashExchange(
        correlation=correlation,
        membership=membership,
        send=send or keep,
        clock=loop_time,
        rng=random.Random(f"{name} {seed}"),
    )
    metrics = GatewayMetrics()
    monitor = CrashMonitor(
        correlation=correlation,
        exchange=exchange,
        membership=membership,
        metrics=metrics,
        clock=loop_time,
        accepts=accepts,
    )
    return CrashFixture(correlation, exchange, monitor, membership, metrics, sent)


class LossyNetwork:
    """Delivers the crash news of gateways after a delay, some of it never or twice."""

    def __init__(
        self,
        *,
        count: int,
        delay_s: float,
        loss: float = 0.0,
        seed: int = 1,
        accepts: Callable[[str, int], Awaitable[bool]] = refuse,
    ) -> None:
        self._delay_s = delay_s
        self._loss = loss
        self._seed = seed
        self._accepts = accepts
        self._starts = 1
        self._rng = random.Random(seed)
        self.datagrams = 0
        self.largest_datagram = 0
        names = [f"g{number}" for number in range(count)]
        self.gateways = {
            name: make_crash_fixture(name, send=self._send, seed=seed, accepts=accepts)
            for name in names
        }
        for gateway in self.gateways.values():
            self._introduce(gateway)

    def _introduce(self, gateway: CrashFixture) -> None:
        """Let a gateway know all others, which it takes for live from now on."""
        for other in self.gateways.values():
            rows = other.membership.snapshot()
            gateway.membership.merge([[*row[:3], 9, *row[4:]] for row in rows], 1e9)

    def restart(self, name: str) -> None:
        """Replace a gateway by one that knows no facts."""
        self._starts += 1
        self.gateways[name] = make_crash_fixture(
            name,
            send=self._send,
            seed=self._seed,
            accepts=self._accepts,
            start=self._starts,
        )
        self._introduce(self.gateways[name])

    def _send(self, target: str, news: CrashNews) -> None:
        data = encode(news, 0.0)
        self.datagrams += 1
        self.largest_datagram = max(self.largest_datagram, len(data))
        for _ in range(self._rng.choice((1, 1, 1, 2))):
            if self._rng.random() >= self._loss:
                delay_s = self._delay_s * self._rng.uniform(0.5, 1.5)
                asyncio.get_running_loop().call_later(
                    delay_s, self._deliver, target, data
                )

    def _deliver(self, target: str, data: bytes) -> None:
        message = decode(data, 0.0)
        assert isinstance(message, CrashNews)
        self.gateways[target].exchange.merge(message.rows)

    def exchange_round(self) -> None:
        """Exchange the facts of each gateway with those of a random one, as gossip."""
        names = list(self.gateways)
        for name in names:
            other = self.gateways[self._rng.choice(names)]
            own = self.gateways[name]
            other.exchange.merge(own.exchange.rows())
            own.exchange.merge(other.exchange.rows())


def make_prompt_job(*parts: str, body: bytes = b"x", **changes: Any) -> Job:
    """Return a job with these shared parts and one of its own."""
    request = make_request(
        request_id=f"q-{body.decode()}",
        prompt_parts=tuple(PromptPart(part, 100) for part in (*parts, "own")),
    )
    return make_gateway_job(request=request, body=body, **changes)
