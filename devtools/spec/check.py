"""Command that checks each specification and each of its mutants.

A mutant is a specification without one of its guards. It must violate an invariant or
lose the goal: that shows that the guard is necessary and that the check detects its
absence.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import click
import minicheck

from devtools.spec import configuration
from devtools.spec import once_only
from devtools.spec import statements


if TYPE_CHECKING:
    from collections.abc import Callable

MAX_STATES = 2_000_000


class Spec(NamedTuple):
    """A specification as the model checker needs it.

    Parameters
    ----------
    name : str
        Name in the results.
    fields : tuple of str
        Fields of ``state``.
    initial : NamedTuple
        Initial state of the specification with all guards.
    reduced_initial : NamedTuple
        Initial state with fewer reachable states, for quick checks and for mutants.
    state : callable
        Class of the states.
    steps : callable
        Returns the labelled next states of a state under given guards.
    guards : NamedTuple of bool
        All guards, switched on.
    invariants : dict of str to callable
        Predicates that must be true in every reachable state.
    goal : callable
        Predicate; a state in which it is true must stay reachable from every state.
    """

    name: str
    fields: tuple[str, ...]
    initial: Any
    reduced_initial: Any
    state: Callable[..., Any]
    steps: Callable[[Any, Any], list[tuple[str, Any]]]
    guards: Any
    invariants: dict[str, Callable[[Any], bool]]
    goal: Callable[[Any], bool]


class Result(NamedTuple):
    """Result of one check.

    ``violated`` names the invariant that is violated or undecided, or the goal that
    cannot be reached any more; it is empty if all hold. ``trace`` has the labels of the
    steps on a shortest path to the violation, after None for the initial state; it is
    empty if all hold or the search was undecided.
    """

    name: str
    holds: bool
    states: int
    violated: str
    trace: tuple[str, ...]


SPECS = (
    Spec(
        name="once-only",
        fields=once_only.State._fields,
        initial=once_only.initial(once_only.MAX_CRASHES),
        reduced_initial=once_only.initial(once_only.REDUCED_MAX_CRASHES),
        state=once_only.State,
        steps=once_only.steps,
        guards=once_only.Guards(),
        invariants={
            "runs at most once": once_only.runs_at_most_once,
            "not-run is true": once_only.not_run_is_true,
            "done is true": once_only.done_is_true,
        },
        goal=once_only.has_outcome,
    ),
    Spec(
        name="configuration",
        fields=configuration.State._fields,
        initial=configuration.initial(),
        reduced_initial=configuration.initial(),
        state=configuration.State,
        steps=configuration.steps,
        guards=configuration.Guards(),
        invariants={
            "never reverts": configuration.never_reverts,
            "survives restarts": configuration.survives_restarts,
            "closed takes no work": configuration.closed_takes_no_work,
        },
        goal=configuration.converged,
    ),
    Spec(
        name="statements",
        fields=statements.State._fields,
        initial=statements.initial(),
        reduced_initial=statements.initial(),
        state=statements.State,
        steps=statements.steps,
        guards=statements.Guards(),
        invariants={
            "leaving gets nothing": statements.leaving_gets_nothing,
            "quiet is kept": statements.quiet_is_kept,
            "limit holds": statements.limit_holds,
        },
        goal=statements.used_again,
    ),
)


def _make_protocol(spec: Spec, guards: Any, initial: Any) -> minicheck.Protocol:
    """Return the specification under ``guards`` as a model of the checker.

    The checker passes states as plain tuples to transitions and as dictionaries to
    predicates.
    """

    def on_fields(predicate: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: predicate(spec.state(**fields))

    def transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        steps = spec.steps(spec.state(*state), guards)
        return [(label, tuple(after)) for label, after in steps]

    return minicheck.Protocol(
        name=spec.name,
        candidate=False,
        fields=spec.fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={n: on_fields(p) for n, p in spec.invariants.items()},
        goal=on_fields(spec.goal),
    )


def check_spec(spec: Spec, guards: Any, name: str, *, reduced: bool = False) -> Result:
    """Check that the invariants hold and the goal stays reachable in every state.

    A search that ends at ``MAX_STATES`` without a violation counts as a failure.

    Parameters
    ----------
    spec : Spec
        Specification to check.
    guards : NamedTuple
        The specification's guards; those that a mutant lacks are False.
    name : str
        Name of the result.
    reduced : bool
        Whether to start from the initial state with fewer reachable states.
    """
    protocol = _make_protocol(
        spec, guards, spec.reduced_initial if reduced else spec.initial
    )
    safety = minicheck.check_safety(protocol, max_states=MAX_STATES)
    for invariant, result in safety["properties"].items():
        if result["holds"] is not True:
            trace = tuple(s["label"] for s in result.get("counterexample") or ())
            return Result(name, False, safety["reachable_states"], invariant, trace)
    liveness = minicheck.check_liveness(protocol)
    states = safety["reachable_states"]
    if liveness["holds"] is not True:
        trace = tuple(s["label"] for s in liveness.get("counterexample", ()))
        return Result(name, False, states, "the goal stays reachable", trace)
    return Result(name, True, states, "", ())


def mutants(spec: Spec) -> list[tuple[str, Any]]:
    """Return the name and guards of each mutant.

    There is one for each guard, with just that guard switched off.
    """
    return [
        (f"{spec.name} without {guard}", spec.guards._replace(**{guard: False}))
        for guard in spec.guards._fields
    ]


def _print_result(result: Result) -> None:
    if result.holds:
        click.echo(f"{result.name}: holds in all {result.states} states")
        return
    click.echo(f"{result.name}: violates '{result.violated}'")
    for label in result.trace[1:]:
        click.echo(f"    {label}")


@click.command()
def main() -> None:
    """Check every specification and every mutant.

    Exits with status 1 if a specification fails or a mutant passes.
    """
    passed = True
    for spec in SPECS:
        result = check_spec(spec, spec.guards, spec.name)
        _print_result(result)
        passed &= result.holds
        for name, guards in mutants(spec):
            mutant = check_spec(spec, guards, name, reduced=True)
            _print_result(mutant)
            passed &= not mutant.holds
    click.echo("specifications hold, every mutant is detected" if passed else "FAILED")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
