"""Scenarios: load, fleet and what happens to it while the load runs."""

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
STEADY = 1.05
POISON = "POISON-PILL"


class Scenario(NamedTuple):
    """One experiment; ``inject_fault`` runs beside the load."""

    name: str
    rate_factor: float = STEADY
    burst: Burst | None = None
    shared_prefixes: bool = False
    engine_options: tuple[str, ...] = ()
    inject_fault: Callable[[LocalFleet], Coroutine[None, None, None]] | None = None


async def _inject_engine_fault(fleet: LocalFleet, name: str, **fault: float) -> None:
    url = f"http://127.0.0.1:{fleet.handles[name].port}/mood"
    await asyncio.to_thread(http_json, url, fault)


async def _cold_third(fleet: LocalFleet) -> None:
    for number in range(1, 1 + ENGINES // 3):
        await _inject_engine_fault(fleet, f"engine-{number}", cold_s=DURATION_S * 0.6)


async def _turns_cold(fleet: LocalFleet) -> None:
    await asyncio.sleep(DURATION_S * 0.3)
    await _inject_engine_fault(fleet, "engine-1", cold_s=DURATION_S * 0.4)


async def _slow_engine(fleet: LocalFleet) -> None:
    await asyncio.sleep(DURATION_S * 0.2)
    await _inject_engine_fault(fleet, "engine-1", slow=5.0)


async def _centre_leaves(fleet: LocalFleet) -> None:
    await asyncio.sleep(DURATION_S * 0.25)
    closed = sample.fleet_value(closed_data_centres=[sample.DATA_CENTRES[0]])
    await asyncio.to_thread(fleet.publish, {"fleet": closed})
    await asyncio.sleep(DURATION_S * 0.4)
    await asyncio.to_thread(fleet.publish, {"fleet": sample.fleet_value()})


async def _engine_crashes(fleet: LocalFleet) -> None:
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
        Scenario("cold-third", inject_fault=_cold_third),
        Scenario("turns-cold", inject_fault=_turns_cold),
        Scenario("slow-engine", inject_fault=_slow_engine),
        Scenario("centre-leaves", inject_fault=_centre_leaves),
        Scenario("engine-crashes", inject_fault=_engine_crashes),
        Scenario("prefix-heavy", shared_prefixes=True),
    )
}
BASELINE = "tiers,pause,turn,ramp,early-refusal"
POLICIES = {
    "shallotroad": "",
    "round-robin": f"{BASELINE},expected-start:round-robin",
    "least-in-flight": f"{BASELINE},expected-start:least-in-flight",
    "two-random": f"{BASELINE},expected-start:two-random",
}
