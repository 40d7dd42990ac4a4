"""One team sends 7.5 times its usual load, and the engines can't serve it all.

The other teams of its tier are served as without that load, the tiers stay in order,
and what the other teams leave goes to the team with the load.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.burst_simulation import TeamLoad
from tests.burst_simulation import TeamOutcomes
from tests.burst_simulation import TeamSimulation
from tests.burst_simulation import without_shares_and_places
from tests.virtual_time import VirtualTimePolicy


USUAL_PER_S = 3.0
BEYOND = 7.5
QUIET = [TeamLoad(f"quiet{n}", USUAL_PER_S) for n in range(5)]
HEAVY = TeamLoad("heavy", BEYOND * USUAL_PER_S)
# First attempts of the quiet teams that are served, less than without the load.
MAX_LOST_SHARE = 0.05
# Shares may cost a twentieth of the answers: fewer waiting prompts are cached.
MIN_WHOLE_SHARE = 0.95
LOAD_S = 12.0


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


async def play(
    loads: list[TeamLoad], seed: int, for_s: float = LOAD_S
) -> dict[str, TeamOutcomes]:
    return await TeamSimulation(seed=seed).play(loads, for_s=for_s)


def lowest_first_share(outcomes: dict[str, TeamOutcomes], prefix: str) -> float:
    return min(o.first_share for name, o in outcomes.items() if name.startswith(prefix))


# Guards against a team that takes the capacity of all others of its tier.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("impatient", [False, True])
async def test_the_quiet_teams_are_served_as_without_the_load(
    seed: int, *, impatient: bool
) -> None:
    usual = await play([*QUIET, HEAVY._replace(arrivals_per_s=USUAL_PER_S)], seed)
    loaded = await play([*QUIET, HEAVY._replace(impatient=impatient)], seed)
    lowest = lowest_first_share(loaded, "quiet")
    assert lowest >= lowest_first_share(usual, "quiet") - MAX_LOST_SHARE
    assert loaded["heavy"].served > 2 * usual["heavy"].served


# Shows that the test above tells an order by shares from one without.
async def test_without_shares_the_quiet_teams_lose() -> None:
    with without_shares_and_places():
        loaded = await play([*QUIET, HEAVY], 1)
    assert lowest_first_share(loaded, "quiet") < 1.0 - MAX_LOST_SHARE


# Guards against engines that idle while the team with the load is refused.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("quiet_per_s", [3.0, 5.0])
async def test_shares_cost_no_engine_time(seed: int, quiet_per_s: float) -> None:
    loads = [load._replace(arrivals_per_s=quiet_per_s) for load in QUIET]
    loads.append(HEAVY._replace(arrivals_per_s=BEYOND * quiet_per_s))
    shared = await play(loads, seed)
    with without_shares_and_places():
        unshared = await play(loads, seed)
    whole = sum(outcomes.whole for outcomes in shared.values())
    assert whole >= MIN_WHOLE_SHARE * sum(o.whole for o in unshared.values())


# Guards against shares that come before tiers.
@pytest.mark.parametrize("seed", [1, 2])
async def test_a_more_urgent_tier_is_served_first(seed: int) -> None:
    urgent = [TeamLoad(f"urgent{n}", USUAL_PER_S, tier=0) for n in range(3)]
    quiet = [load._replace(tier=1) for load in QUIET[:2]]
    outcomes = await play([*urgent, *quiet, HEAVY._replace(tier=1)], seed)
    assert lowest_first_share(outcomes, "urgent") >= 1.0 - MAX_LOST_SHARE
    with without_shares_and_places():
        before = await play([*urgent, *quiet, HEAVY._replace(tier=1)], seed)
    assert lowest_first_share(outcomes, "quiet") > lowest_first_share(before, "quiet")


# Guards against a route or a data centre whose callers are never served.
async def test_no_route_and_no_data_centre_is_starved() -> None:
    heavy = HEAVY._replace(arrivals_per_s=HEAVY.arrivals_per_s / 3)
    loads = [
        *QUIET,
        heavy,
        heavy._replace(name="heavy-slow", route="r3", objective_ms=4_000.0),
        heavy._replace(name="heavy-far", data_centre="b"),
    ]
    outcomes = await play(loads, 1)
    served = {name: o.served_share for name, o in outcomes.items()}
    assert min(served.values()) >= 0.5 * max(served.values()), served


# Guards against debts for time that no other team wanted, and state that is kept.
async def test_the_state_of_shares_ends_with_the_competition() -> None:
    simulation = TeamSimulation(seed=1)
    admission = simulation.fixture.admission
    loads = [TeamLoad(f"team{n}", 0.5, burst=(0.0, 3.0, 12.0)) for n in range(5)]
    seen: list[int] = []
    for time_s in (2.5, 11.0):
        asyncio.get_running_loop().call_later(
            time_s, lambda: seen.append(admission.competing_tiers)
        )
    await simulation.play(loads, for_s=LOAD_S)
    assert seen == [1, 0]


def decisions(outcomes: dict[str, TeamOutcomes]) -> list[tuple[str, str, float]]:
    return [placed for o in outcomes.values() for placed in o.placements]


# Guards against decisions that change where nothing calls for it.
@pytest.mark.parametrize(
    "loads",
    [
        [TeamLoad("one", 25.0)],
        [TeamLoad("one", 9.0, tier=0), TeamLoad("two", 15.0, tier=1)],
        [TeamLoad(f"team{n}", USUAL_PER_S) for n in range(4)],
    ],
    ids=["one-team-that-queues", "teams-of-different-tiers", "teams-without-a-queue"],
)
async def test_without_competition_every_placement_is_as_before(
    loads: list[TeamLoad],
) -> None:
    shared = await play(loads, 1)
    with without_shares_and_places():
        before = await play(loads, 1)
    assert sum(o.refused for o in before.values()) == 0
    assert decisions(shared) == decisions(before)
