"""Load with a part that crashes engines, and load beside other crashes.

A part that crashes engines must stop reaching them soon after the fifth crash, whatever
else crashes or is reset. Sound requests, also those with the same first part, must go
on; power losses, restarts and resets never suspend them.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.crash_simulation import CrashSimulation
from tests.virtual_time import VirtualTimePolicy


CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
SOUND = [(f"sound{number}",) for number in range(30)]
SHARED_FIRST = ("first",)
DEADLY = ("first", "deadly")
SEEDS = range(1, 9)


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


def check_late_arrivals(simulation: CrashSimulation, part: str = "deadly") -> None:
    assert len(simulation.crash_times_s) >= 3
    if len(simulation.crash_times_s) < 5:
        return
    limit_s = simulation.crash_times_s[4] + CONTACT_S
    late = [a for a in simulation.arrivals if part in a.parts and a.at_s > limit_s]
    assert len(late) <= MAX_LATE_ARRIVALS


def check_no_sound_refusal(simulation: CrashSimulation) -> None:
    refused = [a for a in simulation.refused if not simulation.deadly & set(a.parts)]
    assert refused == []


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("gateways", [1, 5, 20])
async def test_a_deadly_part_stops_reaching_engines_and_sound_requests_go_on(
    gateways: int, seed: int
) -> None:
    simulation = CrashSimulation(gateways=gateways, engines=18, seed=seed)
    simulation.deadly = {"deadly"}
    simulation.start(simulation.exchange_periodically())
    mixed = [*SOUND, SHARED_FIRST, SHARED_FIRST, DEADLY, DEADLY]
    await simulation.send_load(mixed, per_s=25.0, for_s=40.0)
    await simulation.close()
    check_late_arrivals(simulation)
    check_no_sound_refusal(simulation)


@pytest.mark.parametrize("seed", SEEDS)
async def test_a_deadly_part_is_found_beside_power_losses_and_resets(
    seed: int,
) -> None:
    simulation = CrashSimulation(gateways=5, engines=24, seed=seed)
    simulation.deadly = {"deadly"}
    simulation.start(simulation.exchange_periodically())
    mixed = [*SOUND, SHARED_FIRST, SHARED_FIRST, DEADLY]
    load = asyncio.create_task(simulation.send_load(mixed, per_s=40.0, for_s=40.0))
    for _ in range(8):
        await asyncio.sleep(3.0)
        simulation.reset_connections()
        simulation.lose_power(0.25)
    await load
    await simulation.close()
    check_late_arrivals(simulation)
    check_no_sound_refusal(simulation)


@pytest.mark.parametrize("seed", SEEDS)
async def test_two_deadly_parts_at_once_are_both_found(seed: int) -> None:
    simulation = CrashSimulation(gateways=5, engines=24, seed=seed)
    simulation.deadly = {"deadly", "second"}
    simulation.start(simulation.exchange_periodically())
    mixed = [*SOUND, SHARED_FIRST, SHARED_FIRST, DEADLY, ("first", "second")]
    await simulation.send_load(mixed, per_s=30.0, for_s=40.0)
    await simulation.close()
    for part in simulation.deadly:
        assert simulation.suspended_ever(part) > 0
        late = [a for a in simulation.arrivals if part in a.parts and a.at_s > 25.0]
        assert len(late) <= MAX_LATE_ARRIVALS
    check_no_sound_refusal(simulation)


@pytest.mark.parametrize("seed", SEEDS)
async def test_crashes_restarts_and_resets_never_suspend_sound_requests(
    seed: int,
) -> None:
    simulation = CrashSimulation(gateways=5, engines=18, seed=seed)
    simulation.start(simulation.exchange_periodically())
    few_parts = [("a",), ("a", "b"), ("c",), *SOUND]
    load = asyncio.create_task(simulation.send_load(few_parts, per_s=40.0, for_s=60.0))
    for round_number in range(25):
        await asyncio.sleep(2.0)
        simulation.lose_power(0.5 if round_number % 5 == 0 else 0.06)
        simulation.reset_connections()
    await load
    await simulation.close()
    assert simulation.refused == []
    assert len(simulation.served) > 1000


async def test_a_part_that_no_longer_crashes_engines_is_served_again() -> None:
    simulation = CrashSimulation(gateways=5, engines=18, seed=1)
    simulation.deadly = {"deadly"}
    simulation.start(simulation.exchange_periodically())
    await simulation.send_load([*SOUND, DEADLY], per_s=30.0, for_s=20.0)
    simulation.deadly = set()
    assert simulation.suspended_ever("deadly") > 0
    refused = len(simulation.refused)
    await simulation.send_load([DEADLY], per_s=30.0, for_s=30.0)
    lifted_s = simulation.refused[-1].at_s
    assert len(simulation.refused) > refused
    await simulation.close()
    served = [a for a in simulation.served if a.parts == DEADLY and a.at_s > lifted_s]
    assert len(served) > 100


# Guards against a part whose requests are each lost in a chain of crashes: they are
# suspended one by one, and the part is blamed for none of their crashes.
@pytest.mark.parametrize("answered", [True, False], ids=["answered", "new"])
@pytest.mark.parametrize("repeats", [0, 1], ids=["calls-of-two", "calls-of-four"])
async def test_a_part_whose_requests_are_retried_at_once_is_found(
    *, answered: bool, repeats: int
) -> None:
    late = {}
    for seed in range(1, 7):
        simulation = CrashSimulation(gateways=5, engines=8, seed=seed)
        simulation.first_event_s = (0.08, 0.12)
        simulation.repeat_s = (0.01, 0.03)
        simulation.start(simulation.exchange_periodically())
        sound = [*SOUND[:10], SHARED_FIRST, SHARED_FIRST, SHARED_FIRST]
        simulation.start(simulation.send_load(sound, per_s=10.0, for_s=60.0))
        if answered:
            await simulation.send_load([DEADLY], per_s=1.0, for_s=10.0)
        simulation.deadly = {"deadly"}
        await simulation.send_load([DEADLY], per_s=1 / 3, for_s=50.0, repeats=repeats)
        await simulation.close()
        limit_s = simulation.crash_times_s[4] + CONTACT_S
        late[seed] = sum(
            "deadly" in a.parts and a.at_s > limit_s for a in simulation.arrivals
        )
    assert max(late.values()) <= MAX_LATE_ARRIVALS, str(late)
