"""Specification of how configuration revisions spread to one agent and two entries.

Every process starts with revision 1. The operators publish revision 2, which closes the
agent's data centre. The platform may still serve revision 1 at any time, also after it
has served revision 2. Processes restart without their memory and may pause. An offer
carries the sender's revision and may be delayed without limit.
"""

from __future__ import annotations

from typing import NamedTuple


NEWEST = 2
# Process 0 is the agent, processes 1 and 2 are the entries.
AGENT = 0
PROCESSES = (0, 1, 2)


class Offer(NamedTuple):
    """A request on its way to the agent, with the revision of its entry."""

    revision: int


class State(NamedTuple):
    """State of the processes, the platform and the offers in flight.

    Parameters
    ----------
    revisions : tuple of int
        Current revision of each process; 0 while it restarts.
    max_revisions : tuple of int
        Highest revision that each process has applied since its start.
    ready : tuple of bool
        Whether each process runs.
    platform_revision : int
        Revision that the platform serves.
    offers : frozenset of Offer
        Offers that the agent may receive, any number of times.
    late_runs : int
        1 once the agent has started work after it had applied revision 2.
    restarts : int
        Number of restarts so far, at most 2.
    restart_reversions : int
        1 once a process became ready with a lower revision than a running peer had.
    """

    revisions: tuple[int, ...]
    max_revisions: tuple[int, ...]
    ready: tuple[bool, ...]
    platform_revision: int
    offers: frozenset[Offer]
    late_runs: int
    restarts: int
    restart_reversions: int


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutant switches off.

    Parameters
    ----------
    never_lower : bool
        A process ignores a revision that is not higher than its own.
    agent_checks_itself : bool
        An agent refuses work if its own revision closes its data centre.
    asks_peers_first : bool
        A process that starts pulls from its running peers before it becomes ready.
    """

    never_lower: bool = True
    agent_checks_itself: bool = True
    asks_peers_first: bool = True


Step = tuple[str, State]


def initial() -> State:
    """Return the state in which every process and the platform have revision 1."""
    return State(
        revisions=(1, 1, 1),
        max_revisions=(1, 1, 1),
        ready=(True, True, True),
        platform_revision=1,
        offers=frozenset(),
        late_runs=0,
        restarts=0,
        restart_reversions=0,
    )


def _replace_revision(
    items: tuple[int, ...], index: int, value: int
) -> tuple[int, ...]:
    return (*items[:index], value, *items[index + 1 :])


def _replace_ready(
    items: tuple[bool, ...], index: int, value: bool
) -> tuple[bool, ...]:
    return (*items[:index], value, *items[index + 1 :])


def _apply(state: State, process: int, revision: int, guards: Guards) -> State:
    """Return the state after a process received a revision, perhaps unchanged."""
    if revision <= state.revisions[process] and guards.never_lower:
        return state
    max_revision = max(state.max_revisions[process], revision)
    return state._replace(
        revisions=_replace_revision(state.revisions, process, revision),
        max_revisions=_replace_revision(state.max_revisions, process, max_revision),
    )


def _platform_steps(state: State, guards: Guards) -> list[Step]:
    """Return the steps that change the platform's revision or read it."""
    steps: list[Step] = []
    for revision in (1, NEWEST):
        if revision != state.platform_revision:
            after_change = state._replace(platform_revision=revision)
            steps.append((f"platform serves revision {revision}", after_change))
    for process in PROCESSES:
        if state.ready[process]:
            after_read = _apply(state, process, state.platform_revision, guards)
            steps.append((f"process {process} reads the platform", after_read))
    return steps


def _peer_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for process in PROCESSES:
        for peer in PROCESSES:
            if peer != process and state.ready[process] and state.ready[peer]:
                after_update = _apply(state, process, state.revisions[peer], guards)
                steps.append(
                    (f"process {process} receives the revision of {peer}", after_update)
                )
    return steps


def _restart_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for process in PROCESSES:
        others = [p for p in PROCESSES if p != process and state.ready[p]]
        if state.restarts < 2 and state.ready[process] and others:
            after_stop = state._replace(
                revisions=_replace_revision(state.revisions, process, 0),
                max_revisions=_replace_revision(state.max_revisions, process, 0),
                ready=_replace_ready(state.ready, process, False),
                restarts=state.restarts + 1,
            )
            steps.append((f"process {process} restarts", after_stop))
        if not state.ready[process]:
            peer_revision = max(state.revisions[p] for p in others) if others else 0
            first_revision = max(
                peer_revision if guards.asks_peers_first else 0, state.platform_revision
            )
            after_start = _apply(state, process, first_revision, guards)
            after_start = after_start._replace(
                ready=_replace_ready(state.ready, process, True),
                restart_reversions=max(
                    state.restart_reversions,
                    int(after_start.revisions[process] < peer_revision),
                ),
            )
            steps.append((f"process {process} becomes ready", after_start))
    return steps


def _work_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for entry in (1, 2):
        accepts_work = state.ready[entry] and state.revisions[entry] < NEWEST
        if accepts_work:
            offer = Offer(state.revisions[entry])
            after_offer = state._replace(offers=state.offers | {offer})
            steps.append((f"entry {entry} offers work", after_offer))
    for offer in sorted(state.offers):
        if not state.ready[AGENT]:
            continue
        closed = state.revisions[AGENT] >= NEWEST
        if closed and guards.agent_checks_itself:
            continue
        late = int(state.max_revisions[AGENT] >= NEWEST)
        after_run = state._replace(late_runs=min(1, state.late_runs + late))
        steps.append((f"agent runs work of revision {offer.revision}", after_run))
    return steps


def steps(state: State, guards: Guards) -> list[Step]:
    """Return the label and next state of every step that is possible in ``state``."""
    return [
        *_platform_steps(state, guards),
        *_peer_steps(state, guards),
        *_restart_steps(state, guards),
        *_work_steps(state, guards),
    ]


def never_reverts(state: State) -> bool:
    """Return whether each process has the highest revision that it has applied."""
    return state.revisions == state.max_revisions


def survives_restarts(state: State) -> bool:
    """Return whether no process became ready behind the revision of a running peer."""
    return state.restart_reversions == 0


def closed_takes_no_work(state: State) -> bool:
    """Return whether no work started after the agent had applied the closure."""
    return state.late_runs == 0


def converged(state: State) -> bool:
    """Return whether every process has the newest revision."""
    return state.revisions == (NEWEST, NEWEST, NEWEST)
