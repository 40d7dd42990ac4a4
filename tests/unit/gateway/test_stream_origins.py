"""Which software version began a stream, as gateways tell one another."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING
from typing import Any

import orjson
import pytest

from shallotroad.catalog.configuration import Team
from shallotroad.gateway.coordination.exceptions import MalformedMessageError
from shallotroad.gateway.coordination.messages import RecallStream
from shallotroad.gateway.coordination.messages import Sender
from shallotroad.gateway.coordination.messages import StreamBegan
from shallotroad.gateway.coordination.messages import StreamRecalled
from shallotroad.gateway.coordination.messages import Submit
from shallotroad.gateway.coordination.messages import decode
from shallotroad.gateway.coordination.messages import encode
from shallotroad.gateway.endpoint_registry import EndpointRegistry
from shallotroad.gateway.stream_origins import HAND_OVER_BATCH
from shallotroad.gateway.stream_origins import MAX_HAND_OVER_S
from shallotroad.gateway.stream_origins import MAX_STREAMS
from shallotroad.gateway.stream_origins import REPLY_TIMEOUT_S
from shallotroad.gateway.stream_origins import STORE_NOT_CONFIRMED
from shallotroad.gateway.stream_origins import STREAM_LIFETIME_S
from shallotroad.gateway.stream_origins import VERSIONS_KNOWN_AFTER_S
from shallotroad.gateway.stream_origins import RecalledOrigin
from shallotroad.gateway.stream_origins import StreamOrigins
from shallotroad.gateway.stream_origins import stream_key
from tests.budget_builders import make_membership
from tests.budget_builders import make_memberships
from tests.gateway_builders import Clock
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_record
from tests.gateway_builders import make_request


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.coordination.messages import Message
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership

SENDER = Sender("g1", 1)


class Gateways:
    """Gateways whose messages arrive at once, except at those that are ``lost``."""

    def __init__(self, count: int, *, restarted: bool = False) -> None:
        self.clock = Clock()
        self.registry = EndpointRegistry(clock=self.clock, regions={}, closed=set())
        self.lost: set[str] = set()
        self.confirms = True
        self.known_since_s = self.clock() if restarted else -math.inf
        self.on_confirmed: Callable[[], None] = lambda: None
        self.sent: list[Message] = []
        self.origins: dict[str, StreamOrigins] = {}
        for membership in make_memberships(count):
            self.add(membership)

    def add(self, membership: Membership) -> None:
        self.origins[membership.name] = StreamOrigins(
            endpoint_registry=self.registry,
            membership=membership,
            send=self._sender(membership.name),
            clock=self.clock,
            contact_age_s=lambda: 0.0,
            confirm_registrations=self._confirm,
            registrations_known_since_s=lambda: self.known_since_s,
        )

    async def _confirm(self) -> bool:
        if self.confirms:
            self.on_confirmed()
        return self.confirms

    def _sender(self, source: str) -> Callable[[str, Message], None]:
        def send(name: str, message: Message) -> None:
            self.sent.append(message)
            if name in self.origins and not {source, name} & self.lost:
                message = decode(encode(message, 0.0), 0.0)
                assert isinstance(message, StreamBegan | RecallStream | StreamRecalled)
                reply = lambda answer: self._sender(name)(source, answer)  # noqa: E731
                self.origins[name].handle(message, reply)

        return send

    def put(self, *versions: str) -> None:
        for version in versions:
            record = make_record(f"e-{version}", software_version=version)
            self.registry.put(record)


def make_stream_job(request_id: str, resumes: str = "", team: str = "clinic") -> Job:
    job = make_gateway_job(
        request=make_request(
            request_id=request_id, resumes=resumes, last_event_id="2" if resumes else ""
        ),
        team=Team(team, frozenset(), None, frozenset()),
    )
    job.software_version = None if resumes else "v1"
    return job


async def recall_version(origins: StreamOrigins, job: Job) -> str | None:
    return (await origins.recall(job)).software_version


async def test_few_others_are_told_and_any_gateway_learns_the_version() -> None:
    gateways = Gateways(22)
    gateways.put("v1", "v2")
    gateways.origins["g0"].record(make_stream_job("q1"))
    assert len(gateways.sent) == 3
    for origins in gateways.origins.values():
        assert (
            await recall_version(origins, make_stream_job("r1", resumes="q1")) == "v1"
        )


async def test_the_version_outlives_a_third_of_the_gateways() -> None:
    gateways = Gateways(22)
    gateways.put("v1", "v2")
    for number in range(60):
        gateways.origins["g0"].record(make_stream_job(f"q{number}"))
    gateways.lost.update(f"g{number}" for number in range(8))
    known = [
        await recall_version(
            gateways.origins["g20"], make_stream_job("r", resumes=f"q{n}")
        )
        for n in range(60)
    ]
    assert set(known) <= {"v1", None}
    assert known.count("v1") > 50


# Guards against LOST: all holders of a stream are restarted one after the other.
async def test_a_gateway_that_ends_hands_over_what_it_knows() -> None:
    gateways = Gateways(6)
    gateways.put("v1", "v2")
    for number in range(100):
        gateways.origins["g0"].record(make_stream_job(f"q{number}"))
    for membership in make_memberships(6)[1:]:
        gateways.add(membership)
    await gateways.origins["g0"].hand_over()
    gateways.lost.add("g0")
    for number in range(100):
        job = make_stream_job("r1", resumes=f"q{number}")
        assert await recall_version(gateways.origins["g4"], job) == "v1"


# Guards against LOST: the knowledge wears off while more and more gateways restart.
@pytest.mark.parametrize("count", [3, 30, 100])
async def test_streams_are_known_after_all_gateways_were_restarted_in_turn(
    count: int,
) -> None:
    gateways = Gateways(count)
    gateways.put("v1", "v2")
    for number in range(100):
        gateways.origins[f"g{number % count}"].record(make_stream_job(f"q{number}"))
    for membership in make_memberships(count):
        await gateways.origins[membership.name].hand_over()
        gateways.add(membership)
    for number in range(100):
        job = make_stream_job("r1", resumes=f"q{number}")
        assert await recall_version(gateways.origins["g0"], job) == "v1"


async def test_streams_that_have_ended_are_not_handed_over() -> None:
    gateways = Gateways(6)
    gateways.origins["g0"].record(make_stream_job("q1"))
    gateways.clock.now_s += VERSIONS_KNOWN_AFTER_S
    gateways.sent.clear()
    await gateways.origins["g0"].hand_over()
    assert gateways.sent == []


async def test_the_newest_streams_are_handed_over_in_the_time_there_is() -> None:
    gateways = Gateways(6)
    origins = gateways.origins["g0"]
    for number in range(10 * HAND_OVER_BATCH):
        origins.record(make_stream_job(f"q{number}"))
    gateways.sent.clear()
    task = asyncio.create_task(origins.hand_over())
    await asyncio.sleep(0)
    gateways.clock.now_s += MAX_HAND_OVER_S + 0.01
    await task
    newest = stream_key(make_stream_job(f"q{10 * HAND_OVER_BATCH - 1}"))
    assert gateways.sent[0] == StreamBegan(newest, "v1")
    assert len(gateways.sent) == 3 * HAND_OVER_BATCH


async def test_another_team_learns_nothing() -> None:
    gateways = Gateways(3)
    gateways.put("v1", "v2")
    gateways.origins["g0"].record(make_stream_job("q1"))
    job = make_stream_job("r1", resumes="q1", team="shop")
    assert await recall_version(gateways.origins["g1"], job) is None


async def test_a_version_that_was_there_of_late_may_have_begun_the_stream() -> None:
    gateways = Gateways(1)
    gateways.put("v1", "v2")
    origins = gateways.origins["g0"]
    gateways.registry.remove("e-v1")
    assert await recall_version(origins, make_stream_job("r1", resumes="q1")) is None
    gateways.clock.now_s += STREAM_LIFETIME_S + 1.0
    assert await recall_version(origins, make_stream_job("r1", resumes="q1")) == "v2"


# Guards against ORDER: a gateway that is cut off takes the version that it knows of.
async def test_the_only_known_version_is_not_taken_while_others_may_have_come() -> None:
    gateways = Gateways(1)
    gateways.put("v1")
    origins = gateways.origins["g0"]
    gateways.confirms = False
    origin = await origins.recall(make_stream_job("r1", resumes="q1"))
    assert origin == RecalledOrigin(None, STORE_NOT_CONFIRMED)
    gateways.confirms = True
    assert await recall_version(origins, make_stream_job("r2", resumes="q1")) == "v1"


# Guards against ORDER: an endpoint of another version registers just before.
async def test_a_version_that_the_store_shows_on_demand_may_have_begun_it() -> None:
    gateways = Gateways(1)
    gateways.put("v1")
    gateways.on_confirmed = lambda: gateways.put("v2")
    origin = await gateways.origins["g0"].recall(make_stream_job("r1", resumes="q1"))
    assert origin == RecalledOrigin(None, "several versions")


async def test_a_version_that_is_told_needs_no_confirmation() -> None:
    gateways = Gateways(3)
    gateways.put("v1", "v2")
    gateways.confirms = False
    gateways.origins["g0"].record(make_stream_job("q1"))
    origin = await gateways.origins["g1"].recall(make_stream_job("r1", resumes="q1"))
    assert origin.software_version == "v1"


async def test_a_restarted_gateway_does_not_know_which_versions_there_were() -> None:
    gateways = Gateways(1, restarted=True)
    gateways.put("v2")
    origins = gateways.origins["g0"]
    assert await recall_version(origins, make_stream_job("r1", resumes="q1")) is None
    gateways.clock.now_s += VERSIONS_KNOWN_AFTER_S
    assert await recall_version(origins, make_stream_job("r1", resumes="q1")) == "v2"


def test_streams_are_forgotten_after_their_time_and_beyond_a_number() -> None:
    gateways = Gateways(1)
    origins = gateways.origins["g0"]
    for number in range(MAX_STREAMS + 10):
        origins.record(make_stream_job(f"q{number}"))
    assert origins.known_streams == MAX_STREAMS
    gateways.clock.now_s += STREAM_LIFETIME_S + 1.0
    origins.record(make_stream_job("last"))
    assert origins.known_streams == 1


async def test_answers_that_are_late_or_not_asked_for_are_ignored() -> None:
    gateways = Gateways(2)
    origins = gateways.origins["g0"]
    origins.handle(StreamRecalled(7, "v1"), lambda _: None)
    gateways.lost.add("g1")
    task = asyncio.create_task(
        recall_version(origins, make_stream_job("r1", resumes="q1"))
    )
    await asyncio.sleep(0.01)
    origins.handle(StreamRecalled(1, None), lambda _: None)
    origins.handle(StreamRecalled(1, "v9"), lambda _: None)
    assert await task is None


# Guards against LOST: a late reply counts as that of a gateway that has not replied.
async def test_a_reply_to_an_earlier_question_is_not_taken_for_a_later_one() -> None:
    gateways = Gateways(3)
    gateways.put("v1", "v2")
    gateways.lost.update(("g1", "g2"))
    origins = gateways.origins["g0"]
    job = make_stream_job("r1", resumes="q1")
    task = asyncio.create_task(recall_version(origins, job))
    await asyncio.sleep(1.5 * REPLY_TIMEOUT_S)
    first, _, second, _ = (m.number for m in gateways.sent)  # type: ignore
    origins.handle(StreamRecalled(first, None), lambda _: None)
    origins.handle(StreamRecalled(second, None), lambda _: None)
    await asyncio.sleep(0)
    origins.handle(StreamRecalled(second, "v1"), lambda _: None)
    assert await task == "v1"


# Guards against LOST: a gateway asks only those that it knows right after its start.
async def test_a_new_gateway_asks_others_as_it_learns_of_them() -> None:
    gateways = Gateways(5)
    gateways.put("v1", "v2")
    gateways.origins["g0"].record(make_stream_job("q1"))
    membership = make_membership(5, started_s=gateways.clock())
    membership.merge([["g9", "10.0.0.9:1", 1, 0, False, 1.0, 0, ""]], gateways.clock())
    gateways.add(membership)
    job = make_stream_job("r1", resumes="q1")
    task = asyncio.create_task(recall_version(gateways.origins["g5"], job))
    await asyncio.sleep(2.5 * REPLY_TIMEOUT_S)
    assert not task.done()
    rows = [member.snapshot()[0] for member in make_memberships(5)]
    membership.merge(rows, gateways.clock())
    assert await task == "v1"


@pytest.mark.parametrize(
    "fields",
    [
        ["began", "", "v1"],
        ["began", "k" * 65, "v1"],
        ["began", 5, "v1"],
        ["began", "k", None],
        ["began", "k", "v" * 300],
        ["began", "k"],
        ["recall", ["g1", 1], 7, ""],
        ["recall", ["g1", 1], 7, ["k"]],
        ["recall", ["g1", 1], "x", "k"],
        ["recalled", 7, 5],
        ["recalled", None, "v1"],
        ["recalled", 7],
    ],
)
def test_a_malformed_message_is_refused(fields: list[Any]) -> None:
    with pytest.raises(MalformedMessageError):
        decode(orjson.dumps(fields), 0.0)


def test_a_submission_of_the_version_before_names_no_software_version() -> None:
    job = make_stream_job("q1")
    message = Submit(SENDER, 1, job.placement_request(100.0))
    fields = orjson.loads(encode(message, 100.0))
    assert fields[3][-1] == "v1"
    fields[3].pop()
    decoded = decode(orjson.dumps(fields), 100.0)
    assert isinstance(decoded, Submit)
    assert decoded.request.software_version is None
