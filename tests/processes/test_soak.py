"""A short seeded part of the soak, and every seed that ever failed."""

from __future__ import annotations

import asyncio
import random
import signal
from functools import partial
from typing import TYPE_CHECKING

import pytest
from devtools.dependency_standins import wait_until
from devtools.gateway_harness import GatewayHarness
from devtools.soak import soak
from devtools.soak_faults import SoakRun
from devtools.soak_faults import reload_gateway


if TYPE_CHECKING:
    from pathlib import Path

FAILED_ONCE = {
    # The soak's own check did not know an endpoint's plain answer on a stream's
    # route (17), nor its events on another route (8). Later 8 sent SIGHUP to a
    # process whose interpreter had not yet begun, and then to the dead process.
    8: "complete answer to its own request",
    17: "complete answer to its own request",
    # A request ended late in the grace period; the interpreter's teardown took
    # 0.35 s on a busy machine, and the process was still there at its end.
    18: "graceful shutdown",
    # SIGTERM came before the interpreter had run a line of the program.
    41: "graceful shutdown",
}


@pytest.mark.parametrize("seed", [1, *FAILED_ONCE])
async def test_promises_hold_under_overlapping_faults(
    seed: int, tmp_path: Path
) -> None:
    assert await soak(seed, tmp_path) == []


async def test_a_reload_right_after_a_start_ends_no_process(tmp_path: Path) -> None:
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


async def test_an_exit_code_is_that_of_the_process(tmp_path: Path) -> None:
    run = SoakRun(harness=GatewayHarness(tmp_path))
    await run.harness.store.start()
    try:
        await run.harness.start("g1", wait=False)
        handled = partial(run.harness.handles_signal, "g1", signal.SIGTERM)
        await wait_until(handled, 10)
        process = run.harness.processes["g1"]
        while process.returncode is None:
            run.harness.send_signal("g1", signal.SIGTERM)
            await asyncio.sleep(0.001)
        assert process.returncode == 0
    finally:
        await run.harness.close()
