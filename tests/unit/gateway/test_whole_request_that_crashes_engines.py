"""Whole requests that crash each engine that begins to run them, and come again.

From ``contact-ms`` after a request has crashed its third engine it may reach engines
three times more at most, whatever else crashes, and whatever the gateways know of the
engines. Sound requests that are lost in these and in other crashes must go on.
"""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import pytest

from tests.crash_simulation import CrashSimulation
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import Mapping

CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
SEEDS = range(1, 7)
LOAD_S = 35.0
PARTS = ("first", "b1")
SOUND = [("first",), PARTS, ("first", "b2"), ("second", "c")]
# A sound request that was lost in as many crashes as a bad one can't be told from it.
MAX_REFUSED_SHARE = 0.01


class Case(NamedTuple):
    """Bad requests, one of them every ``every_s``, and where they are sent."""

    bad: int = 1
    every_s: float = 1.0
    copies: int = 1
    gateways: int = 5
    engines: int = 6
    sound_per_s: float = 20.0
    settings: Mapping[str, Any] = MappingProxyType({})


CASES = {
    "one": Case(),
    "three": Case(bad=3),
    "eight": Case(bad=8, every_s=0.5),
    "twelve": Case(bad=12, every_s=0.3),
    "three-copies": Case(copies=3),
    "six-copies": Case(copies=6),
    "three-rare-copies": Case(copies=3, every_s=6.0),
    "twenty-gateways": Case(gateways=20),
    "heavy-load": Case(sound_per_s=80.0),
    "no-load": Case(sound_per_s=0.001),
    "late-crash": Case(settings={"crash_delay_s": 0.7}),
    "very-late-crash": Case(settings={"crash_delay_s": 2.0}),
    "early-crash": Case(settings={"crash_delay_s": 0.3}),
    "starts-unknown": Case(engines=3, settings={"store_reachable": False}),
    "starts-unknown-two-engines": Case(engines=2, settings={"store_reachable": False}),
    "leaving": Case(settings={"draining": True}),
    "silent": Case(settings={"silent": True}),
    "silent-eight": Case(bad=8, every_s=0.5, settings={"silent": True}),
    "leaving-eight": Case(bad=8, every_s=0.5, settings={"draining": True}),
}


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


async def _play(case: Case, seed: int) -> CrashSimulation:
    simulation = CrashSimulation(
        gateways=case.gateways, engines=case.engines, seed=seed
    )
    for name, value in case.settings.items():
        setattr(simulation, name, value)
    bodies = [f"bad-{number}".encode() for number in range(case.bad)]
    simulation.deadly_bodies = set(bodies)
    simulation.start(simulation.exchange_periodically())
    simulation.start(
        simulation.send_again(
            bodies, PARTS, every_s=case.every_s, for_s=LOAD_S, copies=case.copies
        )
    )
    await simulation.send_load(SOUND, per_s=case.sound_per_s, for_s=LOAD_S)
    await simulation.close()
    assert simulation.crash_times_s
    return simulation


# Guards against repeats beyond the budget: a request under which three engines had
# ended was sent to engines again and again.
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
async def test_a_request_that_crashed_three_engines_is_sent_no_more(case: Case) -> None:
    late = {}
    for seed in SEEDS:
        simulation = await _play(case, seed)
        late[seed] = max(
            simulation.late_arrivals(body, CONTACT_S)
            for body in simulation.deadly_bodies
        )
    assert max(late.values()) <= MAX_LATE_ARRIVALS, str(late)


# Guards against the suspension of sound requests that are lost beside bad ones.
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
async def test_sound_requests_beside_bad_ones_are_served(case: Case) -> None:
    refused = {}
    for seed in SEEDS:
        simulation = await _play(case, seed)
        bad = simulation.deadly_bodies
        refused[seed] = sum(a.body not in bad for a in simulation.refused)
    assert max(refused.values()) == 0, str(refused)


# Guards against the suspension of sound requests that their callers send again after
# they were lost in restarts, power losses and resets.
@pytest.mark.parametrize("seed", SEEDS)
async def test_repeats_of_sound_requests_that_were_lost_are_served(seed: int) -> None:
    simulation = CrashSimulation(gateways=5, engines=18, seed=seed)
    simulation.start(simulation.exchange_periodically())
    simulation.start(simulation.send_load(SOUND, per_s=40.0, for_s=60.0, repeats=4))
    for round_number in range(25):
        await asyncio.sleep(2.0)
        simulation.lose_power(0.5 if round_number % 5 == 0 else 0.06)
        simulation.reset_connections()
    await asyncio.sleep(15.0)
    await simulation.close()
    assert len(simulation.served) > 1000
    assert len(simulation.refused) <= MAX_REFUSED_SHARE * len(simulation.served)


# Guards against the suspension of equal requests of many callers, such as a look-up
# that all make, which a power loss takes at several endpoints at once.
@pytest.mark.parametrize("seed", SEEDS)
async def test_equal_requests_of_many_callers_outlive_power_losses(seed: int) -> None:
    simulation = CrashSimulation(gateways=5, engines=6, seed=seed)
    simulation.start(simulation.send_again([b"hot"], ("hot",), every_s=0.1, for_s=40.0))
    for _ in range(5):
        await asyncio.sleep(7.0)
        simulation.lose_power(1.0)
    await asyncio.sleep(10.0)
    await simulation.close()
    assert len(simulation.served) > 100
    assert simulation.refused == []
