"""Command that times decisions of entries and agents within this process.

Each decision runs at several numbers of candidates, queued requests or teams.
"""

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
CHAT_BODY = (
    b'{"model":"aftercare","stream":true,"max_tokens":64,'
    b'"messages":[{"role":"user","content":"Is a throbbing helix normal?"}]}'
)


def measure_p50_p99_us(
    action: Callable[[], object], rounds: int = ROUNDS
) -> tuple[float, float]:
    """Return the median and 99th percentile duration of an action, in microseconds."""
    durations_us = []
    for _ in range(rounds):
        started_s = time.perf_counter()
        action()
        durations_us.append((time.perf_counter() - started_s) * 1e6)
    durations_us.sort()
    return durations_us[rounds // 2], durations_us[int(rounds * 0.99)]


def _make_candidates(count: int) -> list[Candidate]:
    rng = random.Random(1)
    return [
        Candidate(f"a{n}", rng.randrange(9), 8, rng.randrange(5), 0, 5.0)
        for n in range(count)
    ]


def _fill_queue(length: int) -> WorkQueue:
    queue = WorkQueue(shared_capacity=length)
    for number in range(length):
        queue.push(QueuedRequest(f"a{number}", number % 4, number, 1e9, 0.0))
    return queue


def _make_values(teams: int) -> dict[str, str]:
    """Return configuration values with ``teams`` teams, at least the sample's two."""
    values = sample.initial_values()
    for number in range(teams - 2):
        values.update(sample.team_values(f"team-{number}", f"key-{number}"))
    return values


def _print_timing(
    label: str, size: int, action: Callable[[], object], rounds: int
) -> None:
    p50, p99 = measure_p50_p99_us(action, rounds)
    click.echo(f"{label:<34} {size:>5}  p50 {p50:8.1f} us  p99 {p99:8.1f} us")


@click.command()
def main() -> None:
    """Time decisions of entries and agents and print a line for each."""
    rng = random.Random(2)
    for count in (4, 8, 16, 64):
        candidates = _make_candidates(count)
        _print_timing(
            "choose among candidates",
            count,
            lambda candidates=candidates: choose_expected_start(candidates, rng),  # type: ignore[misc]
            ROUNDS,
        )
    permits = Permits(floor=8, maximum=8)
    for length in (8, 64, 256):
        queue = _fill_queue(length)
        _print_timing(
            "choose next in queue",
            length,
            lambda queue=queue: choose_next(queue, permits, [], now_s=1.0),  # type: ignore[misc]
            ROUNDS,
        )
    for teams in (10, 470):
        values = _make_values(teams)
        fleet = build_fleet_config(revision=1, values=values)

        def classify(fleet=fleet) -> object:  # type: ignore[no-untyped-def]
            team = authenticate(f"Bearer {sample.TEAM_KEY}", fleet)
            return choose_class(team, read_chat(CHAT_BODY), "")

        _print_timing("authenticate and classify, teams", teams, classify, ROUNDS)
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

        _print_timing("adopt a change of one team, teams", teams, apply, 50)


if __name__ == "__main__":
    main()
