"""Time of single decisions against candidates, queue length and teams."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import click

from devtools import sample_fleet as sample
from shallotroad.agent.permits import Permits
from shallotroad.agent.queue import QueuedRequest
from shallotroad.agent.queue import WorkQueue
from shallotroad.agent.scheduling_policy import choose_next
from shallotroad.config.fleet_config import build_fleet_config
from shallotroad.config.versioned_config import Delta
from shallotroad.config.versioned_config import VersionedConfig
from shallotroad.entry.classify import authenticate
from shallotroad.entry.classify import choose_class
from shallotroad.entry.classify import read_chat
from shallotroad.policy.choice import Candidate
from shallotroad.policy.choice import choose_expected_start


if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 2000
BODY = (
    b'{"model":"aftercare","stream":true,"max_tokens":64,'
    b'"messages":[{"role":"user","content":"Is a throbbing helix normal?"}]}'
)


def p50_p99_us(
    action: Callable[[], object], rounds: int = ROUNDS
) -> tuple[float, float]:
    """Return the median and 99th percentile of an action in microseconds."""
    taken = []
    for _ in range(rounds):
        started_s = time.perf_counter()
        action()
        taken.append((time.perf_counter() - started_s) * 1e6)
    taken.sort()
    return taken[rounds // 2], taken[int(rounds * 0.99)]


def _candidates(count: int) -> list[Candidate]:
    rng = random.Random(1)
    return [
        Candidate(f"a{n}", rng.randrange(9), 8, rng.randrange(5), 0, 5.0)
        for n in range(count)
    ]


def _queue(length: int) -> WorkQueue:
    queue = WorkQueue(shared_capacity=length)
    for number in range(length):
        queue.push(QueuedRequest(f"a{number}", number % 4, number, 1e9, 0.0))
    return queue


def _values(teams: int) -> dict[str, str]:
    values = sample.initial_values()
    for number in range(teams - 2):
        values.update(sample.team_values(f"team-{number}", f"key-{number}"))
    return values


def _line(what: str, size: int, action: Callable[[], object], rounds: int) -> None:
    p50, p99 = p50_p99_us(action, rounds)
    click.echo(f"{what:<34} {size:>5}  p50 {p50:8.1f} us  p99 {p99:8.1f} us")


@click.command()
def main() -> None:
    """Time the decisions of entries and agents."""
    rng = random.Random(2)
    for count in (4, 8, 16, 64):
        rows = _candidates(count)
        _line(
            "choose among candidates",
            count,
            lambda rows=rows: choose_expected_start(rows, rng),  # type: ignore[misc]
            ROUNDS,
        )
    permits = Permits(floor=8, maximum=8)
    for length in (8, 64, 256):
        queue = _queue(length)
        _line(
            "choose next in queue",
            length,
            lambda queue=queue: choose_next(queue, permits, [], now_s=1.0),  # type: ignore[misc]
            ROUNDS,
        )
    for teams in (10, 470):
        values = _values(teams)
        fleet = build_fleet_config(revision=1, values=values)

        def classify(fleet=fleet) -> object:  # type: ignore[no-untyped-def]
            team = authenticate(f"Bearer {sample.TEAM_KEY}", fleet)
            return choose_class(team, read_chat(BODY), "")

        _line("authenticate and classify, teams", teams, classify, ROUNDS)
        config = VersionedConfig()
        config.apply(Delta(0, 1, values))
        state = {"revision": 1}

        def apply(config=config, state=state) -> object:  # type: ignore[no-untyped-def]
            state["revision"] += 1
            limits = {"requests_per_s": state["revision"], "burst_requests": 9}
            value = sample.team_values(limits=limits)
            delta = Delta(state["revision"] - 1, state["revision"], value)
            assert config.apply(delta)
            return None

        _line("adopt a change of one team, teams", teams, apply, 50)


if __name__ == "__main__":
    main()
