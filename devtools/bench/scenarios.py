"""Scenarios of the experiments (load and injected faults) and policies to compare."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from devtools import sample_fleet as sample
from devtools.bench.workload import Burst
from devtools.processes import http_json


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from devtools.processes import LocalFleet

ENGINES = 4
DURATION_S = 16.0
STEADY_RATE_FACTOR = 1.05
POISON = "POISON-PILL"


class Scenario(NamedTuple):
    """Load and fleet of one experiment.

    Parameters
    ----------
    name : str
        Name on the command line and in the results.
    rate_factor : float
        Factor of all arrival rates.
    burst : Burst or None
        Time in which one class arrives faster.
    shared_prefixes : bool
        Whether prompts of a class begin with one of four texts.
    engine_options : tuple of str
        Further options of each engine's command line.
    inject_fault : callable or None
        Coroutine function that changes the fleet while the load runs.
    """

    name: str
    rate_factor: float = STEADY_RATE_FACTOR
    burst: Burst | None = None
    shared_prefixes: bool = False
    engine_options: tuple[str, ...] = ()
    inject_fault: Callable[[LocalFleet], Coroutine[None, None, None]] | None = None


async def _inject_engine_fault(fleet: LocalFleet, name: str, **fault: float) -> None:
    """Inject a fault into the stand-in engine ``name``.

    ``cold_s`` makes it cold for that many seconds, ``slow`` multiplies its step time.
    """
    url = f"http://127.0.0.1:{fleet.handles[name].port}/mood"
    await asyncio.to_thread(http_json, url, fault)


async def _make_third_cold(fleet: LocalFleet) -> None:
    """Make a third of the engines, rounded down, cold for the first 60 %."""
    for number in range(1, 1 + ENGINES // 3):
        await _inject_engine_fault(fleet, f"engine-{number}", cold_s=DURATION_S * 0.6)


async def _make_one_cold(fleet: LocalFleet) -> None:
    """Make one engine cold from 30 to 70 % of the experiment."""
    await asyncio.sleep(DURATION_S * 0.3)
    await _inject_engine_fault(fleet, "engine-1", cold_s=DURATION_S * 0.4)


async def _slow_down_one(fleet: LocalFleet) -> None:
    """Make one engine five times slower after 20 % of the experiment."""
    await asyncio.sleep(DURATION_S * 0.2)
    await _inject_engine_fault(fleet, "engine-1", slow=5.0)


async def _close_data_centre(fleet: LocalFleet) -> None:
    """Close a data centre from 25 to 65 % of the experiment."""
    await asyncio.sleep(DURATION_S * 0.25)
    closed = sample.fleet_value(closed_data_centres=[sample.DATA_CENTRES[0]])
    await asyncio.to_thread(fleet.publish, {"fleet": closed})
    await asyncio.sleep(DURATION_S * 0.4)
    await asyncio.to_thread(fleet.publish, {"fleet": sample.fleet_value()})


async def _restart_engine(fleet: LocalFleet) -> None:
    """Kill an engine at 30 % of the experiment and start it again, cold, at 50 %."""
    await asyncio.sleep(DURATION_S * 0.3)
    port = fleet.handles["engine-1"].port
    await asyncio.to_thread(fleet.kill, "engine-1")
    await asyncio.sleep(DURATION_S * 0.2)
    options = ("--step-s", "0.02", "--cold-s", "4")
    fleet.start_engine("engine-1", *options, port=port, wait=False)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady"),
        Scenario("burst", burst=Burst("draft", 8.0, 3.0, 9.0)),
        Scenario("cold-third", inject_fault=_make_third_cold),
        Scenario("turns-cold", inject_fault=_make_one_cold),
        Scenario("slow-engine", inject_fault=_slow_down_one),
        Scenario("centre-leaves", inject_fault=_close_data_centre),
        Scenario("engine-crashes", inject_fault=_restart_engine),
        Scenario("prefix-heavy", shared_prefixes=True),
    )
}
# Mechanisms of the router that are disabled for the simpler policies.
BASELINE = "tiers,pause,turn,ramp,early-refusal"
# By policy, the mechanisms that are disabled or replaced while it runs.
POLICIES = {
    "shallotroad": "",
    "round-robin": f"{BASELINE},expected-start:round-robin",
    "least-in-flight": f"{BASELINE},expected-start:least-in-flight",
    "two-random": f"{BASELINE},expected-start:two-random",
}
