"""What the forwarder counts as a fault of an endpoint, and what it sends on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import cast
from unittest.mock import MagicMock

import pytest

from shallotroad.catalog.configuration import RouteKind
from shallotroad.gateway.event_stream import EventStreamSplitter
from shallotroad.gateway.exceptions import BrokenStreamError
from shallotroad.gateway.exceptions import OutcomeUnknownError
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.gateway.forwarder import MAX_TOTAL_ATTEMPTS
from shallotroad.gateway.forwarder import Forwarder
from shallotroad.gateway.metrics import GatewayMetrics
from shallotroad.platform.headers import ResponseHead
from shallotroad.platform.settings import Bounds
from shallotroad.policy.failing_endpoints import Fault
from shallotroad.upstream.exceptions import ConnectError
from shallotroad.upstream.exceptions import ConnectionLostError
from tests.coordination_builders import Network
from tests.coordination_builders import make_gateway
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_route
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.job import Job
    from tests.coordination_builders import GatewayFixture

# A stream that can't go on ends within this time, so that its caller can act.
PROMPT_S = 1.0
HEAD = ResponseHead(
    status=500,
    request_id="q1",
    signed=True,
    not_run=False,
    reads_as_not_run=False,
    other_endpoint=False,
    length=0,
    chunked=False,
    idle_timeout_s=None,
    closes=False,
    encoded=False,
    event_stream=False,
    limit_per_s=None,
    leaving=False,
    quiet_s=0.0,
    forwarded=(),
)


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


class FakeConnection:
    """A connection whose endpoint responds with a head, or loses it."""

    usable = True

    def __init__(self, head: ResponseHead | None, sent: list[str]) -> None:
        self._head = head
        self._sent = sent

    async def send(self, request_id: str, head: bytes, body: bytes) -> None:
        self._sent.append(request_id)

    async def head(self) -> ResponseHead:
        if self._head is None:
            raise ConnectionLostError("lost")
        return self._head

    async def read(self) -> bytes:
        return b""

    def close(self) -> None:
        pass


class FakePool:
    """Gives connections, unless it has an error that prevents them."""

    def __init__(
        self, sent: list[str], head: ResponseHead | None, cause: OSError | None
    ) -> None:
        self._sent = sent
        self._head = head
        self._cause = cause
        self.on_acquire: Callable[[], None] = lambda: None

    async def acquire(self, **_: Any) -> FakeConnection:
        self.on_acquire()
        if self._cause is not None:
            raise ConnectError("no connection") from self._cause
        return FakeConnection(self._head, self._sent)

    def release(self, connection: FakeConnection) -> None:
        pass


class ForwarderFixture(NamedTuple):
    """A forwarder, the requests that endpoints received, and the faults of attempts."""

    forwarder: Forwarder
    gateway: GatewayFixture
    sent: list[str]
    faults: list[Fault]

    async def run(self, job: Job) -> Any:
        await asyncio.sleep(0.1)  # a first event at time 0 would count as none
        return await self.forwarder.run(job, MagicMock())


def make_forwarder(
    head: ResponseHead | None = HEAD, cause: OSError | None = None
) -> ForwarderFixture:
    gateway = make_gateway(Network(), "g0")
    registry = gateway.admission_fixture.endpoint_registry
    sent: list[str] = []
    faults: list[Fault] = []
    pool = FakePool(sent, head, cause)
    registry.pool = lambda name: pool if name in registry.loads else None  # type: ignore
    record_end = gateway.placement_client.record_end

    def note_end(placement: Any, **fields: Any) -> None:
        faults.append(fields["fault"])
        record_end(placement, **fields)

    gateway.placement_client.record_end = note_end  # type: ignore

    async def no_wait(_: Job) -> None:
        pass

    crash_monitor = MagicMock()
    crash_monitor.wait_for_turn = no_wait
    forwarder = Forwarder(
        endpoint_registry=registry,
        placement_client=gateway.placement_client,
        crash_monitor=crash_monitor,
        statements=gateway.statements,
        membership=gateway.membership,
        bounds=Bounds(),
        metrics=GatewayMetrics(),
        clock=gateway.admission_fixture.clock,
        make_splitter=EventStreamSplitter,
        stream_origins=MagicMock(),
    )
    return ForwarderFixture(forwarder, gateway, sent, faults)


def make_once_job(fixture: ForwarderFixture) -> Job:
    return make_gateway_job(now_s=fixture.gateway.admission_fixture.clock())


# Guards against DRAIN: an endpoint leaves while a connection to it is opened.
@pytest.mark.parametrize("change", ["gone", "draining"])
async def test_no_request_is_sent_to_an_endpoint_that_leaves_meanwhile(
    change: str,
) -> None:
    fixture = make_forwarder()
    registry = fixture.gateway.admission_fixture.endpoint_registry
    job = make_once_job(fixture)
    left: list[str] = []

    def leave() -> None:
        identifier = job.attempts[-1]
        left.append(identifier)
        if change == "gone":
            registry.remove(identifier)
        else:
            record = registry.loads[identifier].record
            registry.put(record._replace(draining=True))

    pool = registry.pool(next(iter(registry.loads)))
    cast("FakePool", pool).on_acquire = leave
    with pytest.raises(RefusedError):
        await fixture.run(job)
    assert left
    assert fixture.sent == []


# Guards against a request that may run only once and is sent twice.
async def test_a_request_that_may_run_once_is_sent_once() -> None:
    fixture = make_forwarder()
    response = await fixture.run(make_once_job(fixture))
    assert response.head.status == 500
    assert len(fixture.sent) == 1
    assert fixture.faults == [Fault.ERROR]


# Guards against a refusal of a request that may have run.
async def test_a_lost_request_is_not_refused() -> None:
    fixture = make_forwarder(head=None)
    with pytest.raises(OutcomeUnknownError):
        await fixture.run(make_once_job(fixture))
    assert len(fixture.sent) == 1
    assert fixture.faults == [Fault.LOST]


# Guards against a request that is lost though it has provably not run.
async def test_a_refused_connection_is_told_and_the_request_sent_on() -> None:
    fixture = make_forwarder(cause=ConnectionRefusedError())
    job = make_once_job(fixture)
    with pytest.raises(RefusedError):
        await fixture.run(job)
    assert fixture.sent == []
    assert fixture.faults == [Fault.UNREACHABLE] * MAX_TOTAL_ATTEMPTS
    assert len(set(job.attempts)) == MAX_TOTAL_ATTEMPTS


# Guards against a gateway without a link that has all others avoid the endpoints.
@pytest.mark.parametrize("make_cause", [TimeoutError, OSError])
async def test_a_connection_that_fails_otherwise_is_not_told(
    make_cause: Callable[[], OSError],
) -> None:
    fixture = make_forwarder(cause=make_cause())
    with pytest.raises(RefusedError):
        await fixture.run(make_once_job(fixture))
    assert set(fixture.faults) == {Fault.NONE}


# Guards against LOST: a broken stream whose version is gone waits for an endpoint, and
# its caller can't act meanwhile.
async def test_a_stream_whose_version_is_gone_is_broken_off_at_once() -> None:
    fixture = make_forwarder()
    route = make_route(resumable=True, max_attempts=2)
    job = make_gateway_job(now_s=fixture.gateway.admission_fixture.clock(), route=route)
    job.software_version = "v9"
    splitter = EventStreamSplitter()
    splitter.started = True
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    with pytest.raises(BrokenStreamError):
        await fixture.forwarder._place(job, splitter)
    assert loop.time() - began_s < PROMPT_S
    assert fixture.sent == []
    job.software_version = ""
    placement = await fixture.forwarder._place(job, splitter)
    assert placement.load.record.software_version == ""


# Guards against errors of repeated requests that circuits do not count.
async def test_an_error_of_a_repeatable_request_counts_once_for_each_attempt() -> None:
    fixture = make_forwarder()
    route = make_route(kind=RouteKind.IDEMPOTENT, max_attempts=2)
    job = make_gateway_job(now_s=fixture.gateway.admission_fixture.clock(), route=route)
    await fixture.run(job)
    assert fixture.faults == [Fault.ERROR] * 2
