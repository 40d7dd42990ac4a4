"""Choice of one endpoint among the candidates that an entry knows.

An entry is a process ``shallotroad-entry``, which forwards callers' requests to the
agents of endpoints; the agents queue and run them. The other router process,
``shallotroad-gateway``, ranks engines with ``placement.py`` instead. Entries use
``choose_expected_start``. The other functions are simpler strategies that benchmarks
compare it with.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    Choose = Callable[[Sequence["Candidate"], Random], "Candidate"]


class Candidate(NamedTuple):
    """Load and distance of one endpoint as an entry knows them.

    Parameters
    ----------
    name : str
        Name of the instance (the machine) of the endpoint's agent, unique among the
        candidates.
    running, limit : int
        Requests that run, and the number of permits, that is, the maximum that may
        run, from the agent's latest report. Each running request uses one permit.
    ahead : int
        Queued requests of the same or a more urgent tier, from the latest report.
    unseen : int
        Requests that this entry has sent since the latest report.
    service_s : float
        Mean time in seconds for which a request occupies a permit.
    distance_s : float
        Network round-trip time in seconds.
    prefix_saving_s : float
        Seconds by which a cached prefix shortens the time to first token.
    """

    name: str
    running: int
    limit: int
    ahead: int
    unseen: int
    service_s: float
    distance_s: float = 0.0
    prefix_saving_s: float = 0.0


def expected_start_s(candidate: Candidate) -> float:
    """Return the expected time until a request would start there, in seconds.

    The sum of the wait for a permit, a penalty for load and the round-trip time, less
    the saving of a cached prefix; it may be negative. With ``load`` as
    ``running + unseen + ahead``, the wait is ``service_s / limit`` for each of
    ``load + 1`` requests beyond the limit, and the penalty is
    ``0.05 * service_s * load / limit``. A limit of 0 counts as 1.
    """
    limit = max(1, candidate.limit)
    load = candidate.running + candidate.unseen + candidate.ahead
    excess = max(0, load + 1 - limit)
    wait_s = excess * candidate.service_s / limit
    crowding_s = 0.05 * candidate.service_s * load / limit
    return wait_s + crowding_s + candidate.distance_s - candidate.prefix_saving_s


def choose_expected_start(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the candidate with the earliest expected start; ties are random."""
    return min(candidates, key=lambda c: (expected_start_s(c), rng.random()))


def choose_two_random(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the one with fewer known requests of two random candidates.

    The load is ``running + ahead + unseen``, regardless of the limits. A single
    candidate is chosen without a comparison.
    """
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda c: c.running + c.ahead + c.unseen)


def choose_least_in_flight(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the candidate with the fewest known requests; ties are random.

    Counts running and queued requests of the latest report and those that this
    entry has sent since.
    """
    return min(
        candidates,
        key=lambda c: (c.running + c.ahead + c.unseen, rng.random()),
    )


def make_round_robin() -> Choose:
    """Return a function that chooses the candidates in turn, sorted by name.

    It has the parameters of ``choose_expected_start`` and ignores ``rng``. The turn
    is its number of calls modulo the number of candidates, so it may skip or repeat
    a candidate when their number changes.
    """
    turn = 0

    def choose(candidates: Sequence[Candidate], _: Random) -> Candidate:
        nonlocal turn
        turn += 1
        ordered = sorted(candidates, key=lambda c: c.name)
        return ordered[turn % len(ordered)]

    return choose
