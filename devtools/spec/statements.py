"""Specification of what gateways do with the statements of one endpoint.

Two gateways send requests to the endpoint. It may state that it leaves, ask a gateway
for quiet, and state a limit of one request in a window of time for all gateways. It
restarts once and then says nothing. A gateway that got a statement passes it on; the
message may be delayed without limit. A request is placed at one time and sent later.
"""

from __future__ import annotations

from typing import NamedTuple


GATEWAYS = (0, 1)
# Gateway 0 is the coordinator, which alone gives permits for a limited endpoint.
COORDINATOR = 0
LAST_INCARNATION = 2


class State(NamedTuple):
    """State of the endpoint, and what the gateways know of it.

    Parameters
    ----------
    incarnation : int
        Run of the endpoint, from 1.
    leaving, limited : bool
        Whether this run states that it leaves, or that it has a limit.
    quiet : tuple of bool
        Whether the endpoint wants no requests of each gateway now.
    known_leaving : tuple of int
        Latest run of which each gateway knows that it leaves; 0 for none.
    known_limited : bool
        Whether the gateways know of the limit of this run.
    known_quiet : tuple of bool
        Whether each gateway keeps quiet.
    told : int
        Run whose leaving is told in a message from gateway 0 to gateway 1; 0 for none.
    placed : tuple of bool
        Whether each gateway has placed a request that it has not sent.
    window : int
        Requests that have arrived in this window under a known limit, at most 2.
    late : bool
        Whether a request was sent by a gateway that knew that the run leaves.
    disturbed : bool
        Whether a request arrived from a gateway that was asked for quiet.
    served_again : bool
        Whether the last run has got a request.
    """

    incarnation: int
    leaving: bool
    limited: bool
    quiet: tuple[bool, ...]
    known_leaving: tuple[int, ...]
    known_limited: bool
    known_quiet: tuple[bool, ...]
    told: int
    placed: tuple[bool, ...]
    window: int
    late: bool
    disturbed: bool
    served_again: bool


class Guards(NamedTuple):
    """Guards of the protocol, each of which a mutant switches off.

    Parameters
    ----------
    checks_before_sending : bool
        A gateway looks at the statements again before it sends what it has placed.
    obeys_quiet : bool
        A gateway sends nothing while it was asked for quiet.
    tells_incarnations_apart : bool
        A gateway ignores what an earlier run of the endpoint has said.
    coordinator_permits : bool
        Only the coordinator gives permits for an endpoint with a limit.
    """

    checks_before_sending: bool = True
    obeys_quiet: bool = True
    tells_incarnations_apart: bool = True
    coordinator_permits: bool = True


Step = tuple[str, State]


def initial() -> State:
    """Return the state in which the endpoint has said nothing."""
    return State(
        incarnation=1,
        leaving=False,
        limited=False,
        quiet=(False, False),
        known_leaving=(0, 0),
        known_limited=False,
        known_quiet=(False, False),
        told=0,
        placed=(False, False),
        window=0,
        late=False,
        disturbed=False,
        served_again=False,
    )


def _with(items: tuple[bool, ...], index: int, value: bool) -> tuple[bool, ...]:
    return (*items[:index], value, *items[index + 1 :])


def _knows_leaving(state: State, gateway: int, guards: Guards) -> bool:
    known = state.known_leaving[gateway]
    if guards.tells_incarnations_apart:
        return known == state.incarnation
    return known > 0


def _may_use(state: State, gateway: int, guards: Guards) -> bool:
    """Return whether the statements that a gateway knows allow it a request."""
    quiet = state.known_quiet[gateway] and guards.obeys_quiet
    return not (quiet or _knows_leaving(state, gateway, guards))


def _endpoint_steps(state: State) -> list[Step]:
    steps: list[Step] = []
    if state.incarnation < LAST_INCARNATION:
        steps.append(
            (
                "the endpoint restarts",
                state._replace(
                    incarnation=state.incarnation + 1,
                    leaving=False,
                    limited=False,
                    quiet=(False, False),
                    known_limited=False,
                    known_quiet=(False, False),
                    window=0,
                ),
            )
        )
        steps.append(("the endpoint leaves", state._replace(leaving=True)))
        steps.append(("the endpoint states a limit", state._replace(limited=True)))
    if state.window:
        steps.append(("the window ends", state._replace(window=0)))
    for gateway in GATEWAYS:
        if state.quiet[gateway]:
            steps.append(
                (
                    f"the quiet for gateway {gateway} ends",
                    state._replace(
                        quiet=_with(state.quiet, gateway, False),
                        known_quiet=_with(state.known_quiet, gateway, False),
                    ),
                )
            )
    return steps


def _answer_steps(state: State, gateway: int) -> list[Step]:
    """Return the answers to a request of a gateway that has arrived."""
    known_leaving = list(state.known_leaving)
    told = state.told
    if state.leaving:
        known_leaving[gateway] = state.incarnation
        told = state.incarnation if gateway == COORDINATOR else told
    answered = state._replace(
        known_leaving=tuple(known_leaving),
        known_limited=state.known_limited or state.limited,
        told=told,
    )
    steps = [(f"gateway {gateway} sends and is answered", answered)]
    if state.incarnation < LAST_INCARNATION:
        asked = answered._replace(
            quiet=_with(state.quiet, gateway, True),
            known_quiet=_with(state.known_quiet, gateway, True),
        )
        steps.append((f"gateway {gateway} sends and is asked for quiet", asked))
    return steps


def _gateway_steps(state: State, guards: Guards) -> list[Step]:
    steps: list[Step] = []
    for gateway in GATEWAYS:
        if not state.placed[gateway]:
            permitted = not state.known_limited or (
                state.window == 0
                if guards.coordinator_permits
                else gateway != COORDINATOR or state.window == 0
            )
            # A permit is for one request, which counts when it is given.
            if permitted and _may_use(state, gateway, guards):
                placed = state._replace(
                    placed=_with(state.placed, gateway, True),
                    window=min(2, state.window + int(state.known_limited)),
                )
                steps.append((f"gateway {gateway} places a request", placed))
            continue
        taken = state._replace(placed=_with(state.placed, gateway, False))
        if guards.checks_before_sending and not _may_use(state, gateway, guards):
            steps.append((f"gateway {gateway} sends it elsewhere", taken))
            continue
        sent = taken._replace(
            late=state.late or state.known_leaving[gateway] == state.incarnation,
            disturbed=state.disturbed or state.quiet[gateway],
            served_again=state.served_again or state.incarnation == LAST_INCARNATION,
        )
        steps += _answer_steps(sent, gateway)
    if state.told:
        known = (state.known_leaving[0], max(state.known_leaving[1], state.told))
        steps.append(
            (
                "gateway 1 is told that the endpoint leaves",
                state._replace(known_leaving=known, told=0),
            )
        )
    return steps


def steps(state: State, guards: Guards) -> list[Step]:
    """Return the label and next state of every step that is possible in ``state``."""
    return [*_endpoint_steps(state), *_gateway_steps(state, guards)]


def leaving_gets_nothing(state: State) -> bool:
    """Return whether no gateway sent to a run of which it knew that it leaves."""
    return not state.late


def quiet_is_kept(state: State) -> bool:
    """Return whether no request came from a gateway that was asked for quiet."""
    return not state.disturbed


def limit_holds(state: State) -> bool:
    """Return whether at most one request was permitted in the window."""
    return state.window <= 1


def used_again(state: State) -> bool:
    """Return whether the endpoint has got a request after its restart."""
    return state.served_again
