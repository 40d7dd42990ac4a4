"""Choice of an endpoint among the candidates that an entry knows."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    Choose = Callable[[Sequence["Candidate"], Random], "Candidate"]


class Candidate(NamedTuple):
    """What an entry knows of one endpoint when it chooses.

    Parameters
    ----------
    name : str
        Instance beside the endpoint.
    running, limit : int
        Requests that run and that may run, by the latest report.
    ahead : int
        Waiting requests of the same or an upper tier, by the latest report.
    unseen : int
        Requests that this entry has sent since the latest report.
    service_s : float
        Mean time for which a request holds a permit.
    distance_s : float
        Time there and back.
    prefix_saving_s : float
        Time to the first token that a cached prefix would save.
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
    """Return when a request would start there, in seconds from now."""
    limit = max(1, candidate.limit)
    load = candidate.running + candidate.unseen + candidate.ahead
    over = max(0, load + 1 - limit)
    wait_s = over * candidate.service_s / limit
    crowding_s = 0.05 * candidate.service_s * load / limit
    return wait_s + crowding_s + candidate.distance_s - candidate.prefix_saving_s


def choose_expected_start(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the earliest expected start; equals are drawn by lot."""
    return min(candidates, key=lambda c: (expected_start_s(c), rng.random()))


def choose_two_random(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the less loaded of two drawn by lot."""
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda c: c.running + c.ahead + c.unseen)


def choose_least_in_flight(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the one with the fewest requests, by report and own sending."""
    return min(
        candidates,
        key=lambda c: (c.running + c.ahead + c.unseen, rng.random()),
    )


def make_round_robin() -> Choose:
    """Return a choice that takes the candidates in turn."""
    turn = 0

    def choose(candidates: Sequence[Candidate], _: Random) -> Candidate:
        nonlocal turn
        turn += 1
        ordered = sorted(candidates, key=lambda c: c.name)
        return ordered[turn % len(ordered)]

    return choose
