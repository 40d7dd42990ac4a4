"""Look-ups that crash each endpoint that runs them, sent again and again.

A look-up has no body and no prompt, many callers make the same one, and a failed one is
repeated within milliseconds: by the gateway at another endpoint, then by the caller at
another gateway. One that was answered before may crash endpoints from some moment on.
From ``contact-ms`` after its third crash it may reach endpoints three times more. Sound
look-ups that are lost beside it, or in power losses, restarts and resets, must go on.
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
LOAD_S = 50.0
ANSWERED_S = 10.0
BAD = b"bad"
SOUND = [f"sound-{number}".encode() for number in range(20)]
LOOK_UP = {
    "renamed": True,
    "restart_s": 1.1,
    "first_event_s": (0.08, 0.12),
    "stream_s": (0.0, 0.0),
    "repeat_s": (0.01, 0.03),
}


class Case(NamedTuple):
    """A bad look-up, its calls every ``every_s``, and what goes on beside them.

    It was answered before if ``answered``. A call is made in some copies at once and
    repeated once if ``repeats``. All endpoints lose power and a gateway starts again at
    the intervals given.
    """

    answered: bool = True
    every_s: float = 3.0
    copies: int = 1
    repeats: int = 1
    gateways: int = 5
    endpoints: int = 4
    power_loss_every_s: float = 0.0
    gateway_restart_every_s: float = 0.0
    settings: Mapping[str, Any] = MappingProxyType({})


CASES = {
    "bad-from-the-start": Case(answered=False),
    "answered-before": Case(),
    "slow-restart": Case(settings={"restart_s": 3.2}),
    "calls-of-two-attempts": Case(repeats=0),
    "calls-of-one-attempt": Case(repeats=0, settings={"max_attempts": 1}),
    "calls-of-six-attempts": Case(settings={"max_attempts": 3}),
    "every-second": Case(every_s=1.0),
    "every-6-s": Case(every_s=6.0),
    "two-endpoints": Case(endpoints=2),
    "eight-endpoints": Case(endpoints=8),
    "twenty-gateways": Case(gateways=20),
    "two-gateways": Case(gateways=2),
    "three-copies": Case(copies=3, endpoints=8),
    "six-copies": Case(copies=6, endpoints=8),
    "quick-crash": Case(settings={"first_event_s": (0.01, 0.02)}),
    "same-identifiers": Case(settings={"renamed": False}),
    "starts-unknown": Case(settings={"renamed": False, "store_reachable": False}),
    "leaving": Case(settings={"draining": True}),
    "silent": Case(settings={"silent": True}),
    "power-losses": Case(power_loss_every_s=5.0),
    "gateways-restart-bad-from-the-start": Case(
        answered=False, gateway_restart_every_s=1.5
    ),
    "gateways-restart": Case(gateway_restart_every_s=1.5),
}


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


def make_simulation(case: Case, seed: int) -> CrashSimulation:
    simulation = CrashSimulation(
        gateways=case.gateways, engines=case.endpoints, seed=seed
    )
    for name, value in {**LOOK_UP, **case.settings}.items():
        setattr(simulation, name, value)
    simulation.start(simulation.exchange_periodically())
    return simulation


async def lose_power_periodically(
    simulation: CrashSimulation, every_s: float, share: float = 1.0
) -> None:
    while every_s:
        await asyncio.sleep(every_s)
        simulation.lose_power(share)


async def restart_gateways_periodically(
    simulation: CrashSimulation, every_s: float
) -> None:
    while every_s:
        await asyncio.sleep(every_s)
        simulation.restart_gateway()


async def _play(case: Case, seed: int) -> CrashSimulation:
    simulation = make_simulation(case, seed)
    simulation.start(
        simulation.send_again(SOUND, (), every_s=0.1, for_s=LOAD_S, repeats=1)
    )
    if case.answered:
        await simulation.send_again([BAD], (), every_s=1.0, for_s=ANSWERED_S)
    simulation.deadly_bodies = {BAD}
    simulation.start(lose_power_periodically(simulation, case.power_loss_every_s))
    simulation.start(
        restart_gateways_periodically(simulation, case.gateway_restart_every_s)
    )
    await simulation.send_again(
        [BAD],
        (),
        every_s=case.every_s,
        for_s=LOAD_S,
        copies=case.copies,
        repeats=case.repeats,
    )
    await simulation.close()
    assert len(simulation.body_crashes_s[BAD]) >= 3
    return simulation


# Guards against repeats beyond the budget: a look-up under which three endpoints had
# ended was sent to endpoints again and again. Sound look-ups that are lost beside it
# are served.
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
async def test_a_look_up_that_crashed_three_endpoints_is_sent_no_more(
    case: Case,
) -> None:
    late = {}
    refused = {}
    for seed in SEEDS:
        simulation = await _play(case, seed)
        late[seed] = simulation.late_arrivals(BAD, CONTACT_S)
        refused[seed] = sum(a.body != BAD for a in simulation.refused)
    assert max(late.values()) <= MAX_LATE_ARRIVALS, str(late)
    assert max(refused.values()) == 0, str(refused)


# Guards against the suspension of look-ups that many callers make, which are lost in
# power losses of all endpoints.
@pytest.mark.parametrize("every_s", [7.0, 3.0, 1.5])
@pytest.mark.parametrize("popular", [1, 4])
@pytest.mark.parametrize("per_s", [10.0, 60.0])
async def test_popular_look_ups_outlive_power_losses(
    per_s: float, popular: int, every_s: float
) -> None:
    refused = {}
    for seed in SEEDS:
        simulation = make_simulation(Case(), seed)
        simulation.start(lose_power_periodically(simulation, every_s))
        await simulation.send_again(
            SOUND[:popular], (), every_s=1 / per_s, for_s=30.0, repeats=1
        )
        await simulation.close()
        assert len(simulation.served) > 50
        refused[seed] = len(simulation.refused)
    assert max(refused.values()) == 0, str(refused)


# Guards against the suspension of sound look-ups where single endpoints crash one after
# the other, connections are reset and gateways start again.
@pytest.mark.parametrize("seed", SEEDS)
async def test_popular_look_ups_outlive_rolling_crashes_and_resets(seed: int) -> None:
    simulation = make_simulation(Case(gateway_restart_every_s=1.5), seed)
    simulation.start(lose_power_periodically(simulation, 0.4, share=0.25))
    simulation.start(restart_gateways_periodically(simulation, 1.5))
    load = simulation.send_again(SOUND[:2], (), every_s=0.05, for_s=30.0, repeats=1)
    task = asyncio.create_task(load)
    while not task.done():
        await asyncio.sleep(0.5)
        simulation.reset_connections()
    await simulation.close()
    assert len(simulation.served) > 100
    assert simulation.refused == []
