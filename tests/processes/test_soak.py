"""Short soak runs with fixed seeds, among them every seed that once failed."""

from __future__ import annotations

import asyncio
import random
import signal
from functools import partial
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import wait_until
from devtools.gateway_harness import GatewayHarness
from devtools.soak import check_call
from devtools.soak import soak
from devtools.soak_callers import CROSSING_S
from devtools.soak_callers import Call
from devtools.soak_faults import SoakRun
from devtools.soak_faults import reload_gateway


if TYPE_CHECKING:
    from pathlib import Path

# Seeds that failed, each with the invariant that it violated.
REGRESSION_SEEDS = {
    # The check of the soak rejected an endpoint's valid responses: a response that
    # is not a stream on the route of a stream (17), and events on another route (8).
    # Seed 8 later sent SIGHUP to a process whose interpreter had not installed its
    # signal handlers yet, which ended it, and then to the process that had ended.
    8: "complete answer to its own request",
    17: "complete answer to its own request",
    # A request ended late in the grace period. The interpreter's teardown took
    # 0.35 s on a busy machine, so the process still ran when the period ended.
    18: "graceful shutdown",
    # SIGTERM arrived before the interpreter had run any line of the program.
    41: "graceful shutdown",
}


@pytest.mark.parametrize("seed", [1, *REGRESSION_SEEDS])
async def test_invariants_hold_under_overlapping_faults(
    seed: int, tmp_path: Path
) -> None:
    assert await soak(seed, tmp_path) == []


def unanswered_call(waited_s: float, *, follows_answered: bool = False) -> Call:
    return Call(
        request_id="q1",
        path="/book/1",
        status=0,
        body=b"",
        complete=False,
        signed=False,
        started_s=10.0,
        ended_s=12.0,
        sent_s=12.0 - waited_s,
        follows_answered=follows_answered,
    )


@pytest.mark.parametrize(
    ("call", "violated"),
    [
        (unanswered_call(CROSSING_S + 0.01), True),
        (unanswered_call(0.0, follows_answered=True), True),
        (unanswered_call(CROSSING_S - 0.01), False),
        (unanswered_call(1.0)._replace(status=503, complete=True), False),
        (unanswered_call(1.0)._replace(sent_s=None), False),
    ],
)
async def test_a_whole_request_without_any_answer_is_a_violation(
    call: Call, violated: bool, tmp_path: Path
) -> None:
    """Guards against a soak that misses a request which the gateway read and dropped.

    One that crossed the gateway's close, or met an unplanned fault, is none.
    """
    run = SoakRun(harness=GatewayHarness(tmp_path))
    expected = ["every whole request gets an answer"] if violated else []
    assert [found.invariant for found in check_call(run, call, 0)] == expected
    run.unplanned_spans.append((9.0, 11.0))
    assert check_call(run, call, 0) == []


def test_a_drop_on_a_fresh_connection_counts_unless_its_gateway_stops(
    tmp_path: Path,
) -> None:
    """Guards against a soak that takes a dropped first request for a crossed one."""
    run = SoakRun(harness=GatewayHarness(tmp_path))
    call = unanswered_call(0.0)._replace(fresh_at="g1")
    assert len(check_call(run, call, 0)) == 1
    run.stop_spans = {"g1": [(1.0, 9.0)], "g2": [(9.0, 13.0)]}
    assert len(check_call(run, call, 0)) == 1
    run.stop_spans["g1"].append((11.0, 13.0))
    assert check_call(run, call, 0) == []


def test_only_a_caller_that_stopped_sending_may_get_an_unknown_outcome(
    tmp_path: Path,
) -> None:
    """Guards against a soak that accepts status 502 for a caller that still sends."""
    run = SoakRun(harness=GatewayHarness(tmp_path))
    call = unanswered_call(0.0)._replace(status=502, complete=True)
    assert len(check_call(run, call, 1)) == 1
    half_closed = call._replace(shut_down_sending=True)
    assert check_call(run, half_closed, 1) == []
    assert len(check_call(run, half_closed._replace(complete=False), 1)) == 1


async def test_reload_during_start_does_not_end_the_gateway(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends a gateway without a handler for it yet.

    A reload of a gateway that has ended must be reported as a violation.
    """
    run = SoakRun(harness=GatewayHarness(tmp_path))
    rng = random.Random(1)
    await run.harness.store.start()
    try:
        await run.harness.start("g1", wait=False)
        process = run.harness.processes["g1"]
        for _ in range(2):
            await reload_gateway(run, rng)
            await asyncio.sleep(0.2)
        assert process.returncode is None
        assert run.violations == []
        run.harness.send_signal("g1", signal.SIGKILL)
        await process.wait()
        await reload_gateway(run, rng)
        assert [violation.invariant for violation in run.violations] == ["stays up"]
    finally:
        await run.harness.close()


async def test_repeated_sigterm_keeps_the_exit_code_of_a_clean_shutdown(
    tmp_path: Path,
) -> None:
    """Guards against an exit code of 255 when a signal is sent to an ended gateway.

    ``Process.send_signal`` would collect the exit code in place of the event loop.
    """
    run = SoakRun(harness=GatewayHarness(tmp_path))
    await run.harness.store.start()
    try:
        await run.harness.start("g1", wait=False)
        has_sigterm_handler = partial(run.harness.handles_signal, "g1", signal.SIGTERM)
        await wait_until(has_sigterm_handler, 10)
        process = run.harness.processes["g1"]
        while process.returncode is None:
            run.harness.send_signal("g1", signal.SIGTERM)
            await asyncio.sleep(0.001)
        assert process.returncode == 0
    finally:
        await run.harness.close()
