"""Specification of dispatch and once-only: one booking, two agents, one caller.

The caller holds a key and sends it again and again through any entry; offers
and answers may be lost, doubled, delayed and reordered (an offer in flight
stays in flight for good); an offer may reach an agent that is not the
key's home. Agents crash and lose their memory, also between the
run and the record of its end. A caller that is told ``not-run`` takes a new
key for the same booking; one that is told ``unknown`` keeps its key.
"""

from __future__ import annotations

from itertools import product
from typing import NamedTuple


AGENTS = (0, 1)
KEYS = (0, 1)
CRASHES = 3
REDUCED_CRASHES = 1
ABSENT = "absent"
ADMITTED = "admitted"
RAN = "ran"
REFUSED = "refused"
NOTHING = "nothing"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
DONE = "done"


class Owner(NamedTuple):
    """The agent and incarnation that a key names."""

    agent: int
    incarnation: int


class Offer(NamedTuple):
    """A copy of the booking on its way to an agent."""

    key: int
    agent: int


class Reply(NamedTuple):
    """An agent's answer on its way to the caller."""

    key: int
    outcome: str


class State(NamedTuple):
    """The whole system; ``records[agent][key]``, ``runs[key]``, ``outcomes[key]``."""

    incarnations: tuple[int, ...]
    records: tuple[tuple[str, ...], ...]
    runs: tuple[int, ...]
    owners: tuple[Owner | None, ...]
    offers: frozenset[Offer]
    replies: frozenset[Reply]
    outcomes: tuple[str, ...]
    key: int
    crashes_left: int


class Guards(NamedTuple):
    """The guards of the protocol; a mutant has one of them removed."""

    keeps_record: bool = True
    records_before_run: bool = True
    checks_incarnation: bool = True
    refusal_is_final: bool = True
    silence_is_unknown: bool = True


def _replace(items: tuple[str, ...], index: int, value: str) -> tuple[str, ...]:
    return (*items[:index], value, *items[index + 1 :])


def _set_record(state: State, agent: int, key: int, value: str) -> State:
    row = _replace(state.records[agent], key, value)
    records = (*state.records[:agent], row, *state.records[agent + 1 :])
    return state._replace(records=records)


def _reply(state: State, key: int, outcome: str) -> State:
    return state._replace(replies=state.replies | {Reply(key, outcome)})


def _run(state: State, key: int) -> State:
    runs = list(state.runs)
    runs[key] = min(2, runs[key] + 1)
    return state._replace(runs=tuple(runs))


def initial(crashes: int) -> State:
    """Return the state with key 0 issued for agent 0 and nothing sent."""
    return State(
        incarnations=(0, 0),
        records=((ABSENT, ABSENT), (ABSENT, ABSENT)),
        runs=(0, 0),
        owners=(Owner(0, 0), None),
        offers=frozenset(),
        replies=frozenset(),
        outcomes=(NOTHING, NOTHING),
        key=0,
        crashes_left=crashes,
    )


Step = tuple[str, State]


def _sends(state: State) -> list[Step]:
    if state.outcomes[state.key] == DONE:
        return []
    return [
        (
            f"send key {state.key} to agent {agent}",
            state._replace(offers=state.offers | {Offer(state.key, agent)}),
        )
        for agent in AGENTS
    ]


def _delivers(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for key, agent in sorted(state.offers):
        owner = state.owners[key]
        here = Owner(agent, state.incarnations[agent])
        named = owner == here if guards.checks_incarnation else True
        label = f"agent {agent} gets key {key}"
        if not named:
            steps.append((label + ": not its home", _reply(state, key, UNKNOWN)))
            continue
        record = state.records[agent][key]
        if record == RAN:
            steps.append((label + ": ran before", _reply(state, key, DONE)))
        elif record == REFUSED:
            steps.append((label + ": refused before", _reply(state, key, NOT_RUN)))
        elif record == ABSENT:
            admitted = _set_record(state, agent, key, ADMITTED)
            steps.append((label + ": admits", admitted))
            refused = state
            if guards.refusal_is_final:
                refused = _set_record(state, agent, key, REFUSED)
            steps.append((label + ": refuses", _reply(refused, key, NOT_RUN)))
    return steps


def _runs(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for agent, key in product(AGENTS, KEYS):
        if state.records[agent][key] != ADMITTED:
            continue
        ran = _run(state, key)
        kept = RAN if guards.keeps_record else ABSENT
        ended = _reply(_set_record(ran, agent, key, kept), key, DONE)
        steps.append((f"agent {agent} runs key {key}", ended))
        if not guards.records_before_run:
            forgotten = _set_record(ran, agent, key, ABSENT)
            steps.append((f"agent {agent} runs key {key}, no record", forgotten))
        if state.crashes_left:
            crashed = _crash(ran, agent)
            steps.append((f"agent {agent} crashes in key {key}", crashed))
    return steps


def _crash(state: State, agent: int) -> State:
    incarnations = list(state.incarnations)
    incarnations[agent] += 1
    records = list(state.records)
    records[agent] = (ABSENT, ABSENT)
    return state._replace(
        incarnations=tuple(incarnations),
        records=tuple(records),
        crashes_left=state.crashes_left - 1,
    )


def _crashes(state: State) -> list[Step]:
    return [
        (f"agent {agent} crashes", _crash(state, agent))
        for agent in AGENTS
        if state.crashes_left
    ]


def _outcomes(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for key, outcome in sorted(state.replies):
        if state.outcomes[key] in (DONE, outcome):
            continue
        updated = state._replace(outcomes=_replace(state.outcomes, key, outcome))
        steps.append((f"caller is told {outcome} for key {key}", updated))
    outcome = UNKNOWN if guards.silence_is_unknown else NOT_RUN
    if state.outcomes[state.key] == NOTHING and state.offers:
        updated = state._replace(outcomes=_replace(state.outcomes, state.key, outcome))
        steps.append((f"silence: caller is told {outcome}", updated))
    return steps


def _new_keys(state: State) -> list[Step]:
    if state.key != 0 or state.outcomes[0] != NOT_RUN:
        return []
    steps: list[Step] = []
    for agent in AGENTS:
        for incarnation in range(state.incarnations[agent] + 1):
            owner = Owner(agent, incarnation)
            renewed = state._replace(owners=(state.owners[0], owner), key=1)
            steps.append((f"caller takes a key for {tuple(owner)}", renewed))
    return steps


def steps(state: State, guards: Guards) -> list[Step]:
    """Return every step that the system may take."""
    return [
        *_sends(state),
        *_delivers(state, guards),
        *_runs(state, guards),
        *_crashes(state),
        *_outcomes(state, guards),
        *_new_keys(state),
    ]


def runs_at_most_once(state: State) -> bool:
    """Tell whether the booking has run at most once, over all keys."""
    return sum(state.runs) <= 1


def not_run_is_true(state: State) -> bool:
    """Tell whether every key that the caller was told ``not-run`` for never ran."""
    return all(state.runs[key] == 0 for key in KEYS if state.outcomes[key] == NOT_RUN)


def done_is_true(state: State) -> bool:
    """Tell whether every key that the caller was told ``done`` for has run."""
    return all(state.runs[key] > 0 for key in KEYS if state.outcomes[key] == DONE)


def ended(state: State) -> bool:
    """Tell whether the caller holds one of the three words for its key."""
    return state.outcomes[state.key] != NOTHING
