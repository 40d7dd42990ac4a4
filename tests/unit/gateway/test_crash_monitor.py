"""Crashes are told from resets, and a suspension waits for the losses of others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.crash_monitor import CONFIRMATION_DELAY_S
from shallotroad.gateway.crash_monitor import SETTLE_S
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.policy.crash_correlation import Incarnation
from shallotroad.policy.crash_correlation import encode_fact
from tests.crash_builders import CrashFixture
from tests.crash_builders import loop_time
from tests.crash_builders import make_crash_fixture
from tests.crash_builders import make_prompt_job
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_record
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from shallotroad.gateway.crash_monitor import AttemptWatch
    from shallotroad.gateway.job import Job


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


def counted_losses(fixture: CrashFixture) -> dict[str, int]:
    losses = fixture.metrics.endpoint_losses.get_all()
    return {labels["cause"]: int(count) for labels, count in losses}


@pytest.mark.parametrize(
    ("accepts", "draining", "cause"),
    [(False, False, "crash"), (False, True, "leaving"), (True, False, "reset")],
)
async def test_lost_connections_are_counted_once_by_their_cause(
    *, accepts: bool, draining: bool, cause: str
) -> None:
    async def answer(host: str, port: int) -> bool:
        assert (host, port) == ("127.0.0.1", 9000)
        return accepts

    fixture = make_crash_fixture(accepts=answer)
    record = make_record(draining=draining)
    for _ in range(3):
        fixture.monitor.watch(make_gateway_job(), record).record_connection_lost()
    await asyncio.sleep(2 * CONFIRMATION_DELAY_S)
    assert fixture.metrics.endpoint_losses.get({"cause": cause}) == 1


@pytest.mark.parametrize(
    ("accepts", "since_sent_s", "lost"),
    [(False, 2.0, True), (True, 2.0, False), (False, 0.5, False)],
)
async def test_a_silent_attempt_is_lost_if_its_endpoint_accepts_no_connection(
    *, accepts: bool, since_sent_s: float, lost: bool
) -> None:
    async def answer(host: str, port: int) -> bool:
        return accepts

    fixture = make_crash_fixture(accepts=answer)
    for _ in range(3):
        watch = fixture.monitor.watch(make_gateway_job(), make_record())
        watch.record_silence(since_sent_s)
    await asyncio.sleep(2 * CONFIRMATION_DELAY_S)
    expected = {"silent": 1} if lost else {}
    assert counted_losses(fixture) == expected


async def crash_three_engines(fixture: CrashFixture, part: str) -> None:
    """Lose a request of its own with a part in three crashes, a second apart."""
    for number in range(3):
        await asyncio.sleep(1.0)
        job = make_prompt_job(part, body=f"{part}{number}".encode())
        watch = fixture.monitor.watch(job, make_record(f"e{number}"))
        watch.record_connection_lost()
    await asyncio.sleep(2 * CONFIRMATION_DELAY_S)


async def test_a_suspension_takes_effect_once_facts_have_settled() -> None:
    fixture = make_crash_fixture()
    await crash_three_engines(fixture, "deadly")
    job = make_prompt_job("deadly", body=b"later")
    fixture.monitor.check(job)
    await asyncio.sleep(SETTLE_S)
    with pytest.raises(RefusedError, match="crash endpoints"):
        fixture.monitor.check(job)


# Guards against a short suspension of what was beside the deadly part in each crash.
async def test_losses_of_another_gateway_spare_a_bystander_in_time() -> None:
    fixture, other = make_crash_fixture("g0"), make_crash_fixture("g1")
    job = make_prompt_job("bystander", body=b"later")
    await asyncio.gather(
        crash_three_engines(fixture, "bystander"), crash_three_engines(other, "deadly")
    )
    # The first crash shows a second request with the deadly part.
    facts = other.correlation.record_crash(
        Incarnation("e0", 1), [("deadly", "request:x")], loop_time() - 2.0
    )
    assert facts
    fixture.monitor.check(job)
    rows = [
        encode_fact(f, loop_time()) for f in other.correlation.facts(99, loop_time())
    ]
    fixture.exchange.merge(rows)
    await asyncio.sleep(2 * SETTLE_S)
    fixture.monitor.check(job)
    with pytest.raises(RefusedError):
        fixture.monitor.check(make_prompt_job("deadly", body=b"own"))


async def lose_in_three_crashes(fixture: CrashFixture, body: bytes) -> None:
    for number in range(3):
        await asyncio.sleep(1.0)
        job = make_prompt_job("part", body=body)
        fixture.monitor.watch(job, make_record(f"e{number}")).record_connection_lost()
    await asyncio.sleep(2 * CONFIRMATION_DELAY_S + SETTLE_S)


async def count_let_through(fixture: CrashFixture, body: bytes, for_s: int) -> int:
    count = 0
    for _ in range(for_s):
        await asyncio.sleep(1.0)
        job = make_prompt_job("part", body=body)
        try:
            fixture.monitor.check(job, placed=False)
            fixture.monitor.check(job)
        except RefusedError:
            continue
        count += 1
        watch = fixture.monitor.watch(job, make_record(f"e{for_s}-{count}"))
        watch.record_connection_lost()
    return count


# Guards against trials that take all the arrivals that are allowed, so that a stray one
# exceeds them: each of two views of the membership makes its own.
async def test_a_whole_request_is_tried_once_in_each_view_of_the_membership() -> None:
    views = [make_crash_fixture("g0"), make_crash_fixture("g1")]
    for fixture in views:
        await lose_in_three_crashes(fixture, b"bad")
    counts = [await count_let_through(fixture, b"bad", 300) for fixture in views]
    assert counts == [1, 1]


async def test_a_trial_without_room_is_made_later() -> None:
    fixture = make_crash_fixture()
    await lose_in_three_crashes(fixture, b"bad")
    await asyncio.sleep(30.0)
    for _ in range(3):
        fixture.monitor.check(make_prompt_job("part", body=b"bad"), placed=False)
    fixture.monitor.check(make_prompt_job("part", body=b"bad"))
    with pytest.raises(RefusedError):
        fixture.monitor.check(make_prompt_job("part", body=b"bad"))


async def lose_in_chain(fixture: CrashFixture) -> None:
    """Answer a look-up, then lose it in a chain of three crashes."""
    fixture.monitor.watch(make_look_up(), make_record("e0")).record_complete()
    for number in range(3):
        await asyncio.sleep(0.1)
        watch = fixture.monitor.watch(make_look_up(), make_record(f"e{number}"))
        await asyncio.sleep(0.1)
        watch.record_connection_lost()
    await asyncio.sleep(2 * CONFIRMATION_DELAY_S + SETTLE_S)


def make_look_up() -> Job:
    return make_prompt_job(body=b"look-up", now_s=loop_time())


async def send_alone(fixture: CrashFixture, job: Job) -> AttemptWatch:
    await fixture.monitor.wait_for_turn(job)
    fixture.monitor.check(job)
    job.attempts.append("e9")
    return fixture.monitor.watch(job, make_record("e9"))


# Guards against a second request that is sent before the first one has shown whether
# it crashes its endpoint.
async def test_a_request_that_must_run_alone_is_sent_once_in_a_turn() -> None:
    fixture = make_crash_fixture()
    await lose_in_chain(fixture)
    jobs = [make_look_up(), make_look_up()]
    first, second = (asyncio.create_task(send_alone(fixture, job)) for job in jobs)
    done, _ = await asyncio.wait([first, second], return_when="FIRST_COMPLETED")
    assert len(done) == 1
    await asyncio.sleep(0.1)
    assert not (first.done() and second.done())
    done.pop().result().record_complete()
    await asyncio.gather(first, second)
    fixture.monitor.check(make_look_up())


async def test_a_request_that_crashes_an_endpoint_alone_is_suspended() -> None:
    fixture = make_crash_fixture()
    await lose_in_chain(fixture)
    watch = await send_alone(fixture, make_look_up())
    watch.record_connection_lost()
    await asyncio.sleep(2 * CONFIRMATION_DELAY_S + SETTLE_S)
    assert [verdict.alone for verdict in fixture.monitor.suspended] == [False]
    with pytest.raises(RefusedError):
        await send_alone(fixture, make_look_up())


# Guards against a turn that never comes: a caller whose time is over is refused.
async def test_a_request_that_waits_too_long_for_its_turn_is_refused() -> None:
    fixture = make_crash_fixture()
    await lose_in_chain(fixture)
    await send_alone(fixture, make_look_up())
    job = make_look_up()
    job.deadline_s = loop_time() + 0.1
    with pytest.raises(RefusedError) as caught:
        await send_alone(fixture, job)
    assert caught.value.retry_after_s >= 1.0


# Guards against a request that ends with an internal error because the verdict on it
# ended just then.
async def test_a_verdict_that_ends_before_the_turn_is_taken_lets_a_request_go(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = make_crash_fixture()
    await lose_in_chain(fixture)
    found = [fixture.correlation.verdicts(loop_time())]
    monkeypatch.setattr(
        fixture.correlation, "verdicts", lambda _: found.pop() if found else []
    )
    await fixture.monitor.wait_for_turn(make_look_up())
    assert fixture.monitor.suspended == []
