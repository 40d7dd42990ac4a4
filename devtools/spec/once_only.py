"""Specification of idempotent dispatch: a booking must run at most once.

There are one caller, who wants one booking, and two agents. The caller has an
idempotency key and sends it any number of times through any entry. Offers and replies
may be lost, duplicated, delayed and reordered: once sent they stay in flight. An offer
may reach an agent that is not the key's owner. Agents crash and lose their memory, also
between the run and the record of its end. A caller that receives ``not-run`` takes a
new key for the same booking; one that receives ``unknown`` keeps its key.
"""

from __future__ import annotations

from itertools import product
from typing import NamedTuple


AGENTS = (0, 1)
KEYS = (0, 1)
MAX_CRASHES = 3
REDUCED_MAX_CRASHES = 1
# Records of a key at an agent.
ABSENT = "absent"
ADMITTED = "admitted"
RAN = "ran"
REFUSED = "refused"
# Outcomes of a key at the caller; NOTHING stands for no outcome yet.
NOTHING = "nothing"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
DONE = "done"


class Owner(NamedTuple):
    """The agent and its incarnation that a key was issued for."""

    agent: int
    incarnation: int


class Offer(NamedTuple):
    """A copy of the booking on its way to an agent."""

    key: int
    agent: int


class Reply(NamedTuple):
    """An agent's reply on its way to the caller."""

    key: int
    outcome: str


class State(NamedTuple):
    """State of the agents, the caller and the messages in flight.

    Parameters
    ----------
    incarnations : tuple of int
        Incarnation of each agent.
    records : tuple of tuple of str
        ``records[agent][key]``: what the agent has recorded of the key.
    runs : tuple of int
        ``runs[key]``: how often the key has run; 2 stands for any higher number too.
    owners : tuple of Owner or None
        ``owners[key]``: None as long as the key is not issued.
    offers : frozenset of Offer
        Offers in flight.
    replies : frozenset of Reply
        Replies in flight.
    outcomes : tuple of str
        ``outcomes[key]``: the latest outcome that the caller has for the key.
    key : int
        Key that the caller uses now.
    crashes_left : int
        How many more crashes may occur.
    """

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
    """Guards of the protocol, each of which a mutant switches off.

    Parameters
    ----------
    keeps_record : bool
        An agent keeps the record of a key that has run.
    records_before_run : bool
        An agent records a key before it runs it, so that no run lacks a record.
    checks_incarnation : bool
        An agent accepts only keys that were issued for it in its present incarnation.
    refusal_is_final : bool
        An agent records a refusal and never runs the key afterwards.
    silence_is_unknown : bool
        A caller that gets no reply takes the outcome as ``unknown``, not ``not-run``.
    """

    keeps_record: bool = True
    records_before_run: bool = True
    checks_incarnation: bool = True
    refusal_is_final: bool = True
    silence_is_unknown: bool = True


def _replace(items: tuple[str, ...], index: int, value: str) -> tuple[str, ...]:
    return (*items[:index], value, *items[index + 1 :])


def _replace_record(state: State, agent: int, key: int, value: str) -> State:
    row = _replace(state.records[agent], key, value)
    records = (*state.records[:agent], row, *state.records[agent + 1 :])
    return state._replace(records=records)


def _add_reply(state: State, key: int, outcome: str) -> State:
    return state._replace(replies=state.replies | {Reply(key, outcome)})


def _count_run(state: State, key: int) -> State:
    runs = list(state.runs)
    runs[key] = min(2, runs[key] + 1)
    return state._replace(runs=tuple(runs))


def initial(crashes: int) -> State:
    """Return the state with key 0 issued for agent 0 and nothing sent.

    At most ``crashes`` crashes may follow.
    """
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


def _send_steps(state: State) -> list[Step]:
    if state.outcomes[state.key] == DONE:
        return []
    return [
        (
            f"send key {state.key} to agent {agent}",
            state._replace(offers=state.offers | {Offer(state.key, agent)}),
        )
        for agent in AGENTS
    ]


def _delivery_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for key, agent in sorted(state.offers):
        owner = state.owners[key]
        receiver = Owner(agent, state.incarnations[agent])
        is_owner = owner == receiver if guards.checks_incarnation else True
        label = f"agent {agent} receives key {key}"
        if not is_owner:
            steps.append((label + ": not its owner", _add_reply(state, key, UNKNOWN)))
            continue
        record = state.records[agent][key]
        if record == RAN:
            steps.append((label + ": ran before", _add_reply(state, key, DONE)))
        elif record == REFUSED:
            steps.append((label + ": refused before", _add_reply(state, key, NOT_RUN)))
        elif record == ABSENT:
            after_admission = _replace_record(state, agent, key, ADMITTED)
            steps.append((label + ": admits", after_admission))
            after_refusal = state
            if guards.refusal_is_final:
                after_refusal = _replace_record(state, agent, key, REFUSED)
            steps.append((label + ": refuses", _add_reply(after_refusal, key, NOT_RUN)))
    return steps


def _run_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for agent, key in product(AGENTS, KEYS):
        if state.records[agent][key] != ADMITTED:
            continue
        after_run = _count_run(state, key)
        record_after_run = RAN if guards.keeps_record else ABSENT
        after_end = _add_reply(
            _replace_record(after_run, agent, key, record_after_run), key, DONE
        )
        steps.append((f"agent {agent} runs key {key}", after_end))
        if not guards.records_before_run:
            without_record = _replace_record(after_run, agent, key, ABSENT)
            steps.append((f"agent {agent} runs key {key}, no record", without_record))
        if state.crashes_left:
            after_crash = _crash_agent(after_run, agent)
            steps.append((f"agent {agent} crashes in key {key}", after_crash))
    return steps


def _crash_agent(state: State, agent: int) -> State:
    incarnations = list(state.incarnations)
    incarnations[agent] += 1
    records = list(state.records)
    records[agent] = (ABSENT, ABSENT)
    return state._replace(
        incarnations=tuple(incarnations),
        records=tuple(records),
        crashes_left=state.crashes_left - 1,
    )


def _crash_steps(state: State) -> list[Step]:
    return [
        (f"agent {agent} crashes", _crash_agent(state, agent))
        for agent in AGENTS
        if state.crashes_left
    ]


def _outcome_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for key, outcome in sorted(state.replies):
        if state.outcomes[key] in (DONE, outcome):
            continue
        after_outcome = state._replace(outcomes=_replace(state.outcomes, key, outcome))
        steps.append((f"caller receives {outcome} for key {key}", after_outcome))
    outcome = UNKNOWN if guards.silence_is_unknown else NOT_RUN
    if state.outcomes[state.key] == NOTHING and state.offers:
        after_outcome = state._replace(
            outcomes=_replace(state.outcomes, state.key, outcome)
        )
        steps.append((f"no reply: caller assumes {outcome}", after_outcome))
    return steps


def _new_key_steps(state: State) -> list[Step]:
    if state.key != 0 or state.outcomes[0] != NOT_RUN:
        return []
    steps: list[Step] = []
    for agent in AGENTS:
        for incarnation in range(state.incarnations[agent] + 1):
            owner = Owner(agent, incarnation)
            with_new_key = state._replace(owners=(state.owners[0], owner), key=1)
            steps.append((f"caller takes a key for {tuple(owner)}", with_new_key))
    return steps


def steps(state: State, guards: Guards) -> list[Step]:
    """Return the label and next state of every step that is possible in ``state``."""
    return [
        *_send_steps(state),
        *_delivery_steps(state, guards),
        *_run_steps(state, guards),
        *_crash_steps(state),
        *_outcome_steps(state, guards),
        *_new_key_steps(state),
    ]


def runs_at_most_once(state: State) -> bool:
    """Return whether the booking has run at most once, over all keys."""
    return sum(state.runs) <= 1


def not_run_is_true(state: State) -> bool:
    """Return whether no key with the outcome ``not-run`` has run."""
    return all(state.runs[key] == 0 for key in KEYS if state.outcomes[key] == NOT_RUN)


def done_is_true(state: State) -> bool:
    """Return whether every key with the outcome ``done`` has run."""
    return all(state.runs[key] > 0 for key in KEYS if state.outcomes[key] == DONE)


def has_outcome(state: State) -> bool:
    """Return whether the caller has any outcome, also ``unknown``, for its key."""
    return state.outcomes[state.key] != NOTHING
