"""Specification of configuration in force: one agent, two entries, a platform.

Revision 1 is in force everywhere; the operators publish revision 2, which
closes the agent's data centre. The platform may serve revision 1 for long.
Processes restart with no memory and pause; messages carry the sender's
revision and may be delayed for good.
"""

from __future__ import annotations

from typing import NamedTuple


NEWEST = 2
AGENT = 0
PROCESSES = (0, 1, 2)


class Offer(NamedTuple):
    """New work on its way to the agent, stamped with the entry's revision."""

    revision: int


class State(NamedTuple):
    """Revisions held by process, what the platform serves, and what happened.

    ``highest`` is the highest revision that each process has held since its
    start;
    ``late_runs`` counts work that began after the agent had heard; ``lapses``
    counts starts with less than a running peer held.
    """

    held: tuple[int, ...]
    highest: tuple[int, ...]
    ready: tuple[bool, ...]
    served: int
    offers: frozenset[Offer]
    late_runs: int
    restarts: int
    lapses: int


class Guards(NamedTuple):
    """The guards of the protocol; a mutant has one of them removed."""

    never_lower: bool = True
    agent_checks_itself: bool = True
    asks_peers_first: bool = True


Step = tuple[str, State]


def initial() -> State:
    """Return the state in which revision 1 is in force."""
    return State(
        held=(1, 1, 1),
        highest=(1, 1, 1),
        ready=(True, True, True),
        served=1,
        offers=frozenset(),
        late_runs=0,
        restarts=0,
        lapses=0,
    )


def _put(items: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*items[:index], value, *items[index + 1 :])


def _ready(items: tuple[bool, ...], index: int, value: bool) -> tuple[bool, ...]:
    return (*items[:index], value, *items[index + 1 :])


def _apply(state: State, process: int, revision: int, guards: Guards) -> State:
    if revision <= state.held[process] and guards.never_lower:
        return state
    highest = max(state.highest[process], revision)
    return state._replace(
        held=_put(state.held, process, revision),
        highest=_put(state.highest, process, highest),
    )


def _platform_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for revision in (1, NEWEST):
        if revision != state.served:
            served = state._replace(served=revision)
            steps.append((f"platform serves revision {revision}", served))
    for process in PROCESSES:
        if state.ready[process]:
            read = _apply(state, process, state.served, guards)
            steps.append((f"process {process} reads the platform", read))
    return steps


def _peer_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for process in PROCESSES:
        for peer in PROCESSES:
            if peer != process and state.ready[process] and state.ready[peer]:
                updated = _apply(state, process, state.held[peer], guards)
                steps.append((f"process {process} hears from {peer}", updated))
    return steps


def _restart_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for process in PROCESSES:
        others = [p for p in PROCESSES if p != process and state.ready[p]]
        if state.restarts < 2 and state.ready[process] and others:
            stopped = state._replace(
                held=_put(state.held, process, 0),
                highest=_put(state.highest, process, 0),
                ready=_ready(state.ready, process, False),
                restarts=state.restarts + 1,
            )
            steps.append((f"process {process} restarts", stopped))
        if not state.ready[process]:
            asked = max(state.held[p] for p in others) if others else 0
            first = max(asked if guards.asks_peers_first else 0, state.served)
            started = _apply(state, process, first, guards)
            started = started._replace(
                ready=_ready(state.ready, process, True),
                lapses=max(state.lapses, int(started.held[process] < asked)),
            )
            steps.append((f"process {process} becomes ready", started))
    return steps


def _work_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for entry in (1, 2):
        open_here = state.ready[entry] and state.held[entry] < NEWEST
        if open_here:
            offer = Offer(state.held[entry])
            offered = state._replace(offers=state.offers | {offer})
            steps.append((f"entry {entry} offers work", offered))
    for offer in sorted(state.offers):
        if not state.ready[AGENT]:
            continue
        closed = state.held[AGENT] >= NEWEST
        if closed and guards.agent_checks_itself:
            continue
        late = int(state.highest[AGENT] >= NEWEST)
        ran = state._replace(late_runs=min(1, state.late_runs + late))
        steps.append((f"agent runs work of revision {offer.revision}", ran))
    return steps


def steps(state: State, guards: Guards) -> list[Step]:
    """Return every step that the system may take."""
    return [
        *_platform_steps(state, guards),
        *_peer_steps(state, guards),
        *_restart_steps(state, guards),
        *_work_steps(state, guards),
    ]


def never_reverts(state: State) -> bool:
    """Tell whether each process holds the highest revision it has accepted."""
    return state.held == state.highest


def survives_restarts(state: State) -> bool:
    """Tell whether no process began with less than a running peer held."""
    return state.lapses == 0


def closed_takes_no_work(state: State) -> bool:
    """Tell whether no work began after the agent had heard of the closing."""
    return state.late_runs == 0


def converged(state: State) -> bool:
    """Tell whether the newest revision is in force everywhere."""
    return state.held == (NEWEST, NEWEST, NEWEST)
