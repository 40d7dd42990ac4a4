"""Checks the specifications, and that each removed guard is found out."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import click
import minicheck

from devtools.spec import configuration
from devtools.spec import once_only


if TYPE_CHECKING:
    from collections.abc import Callable

MAX_STATES = 2_000_000


class Spec(NamedTuple):
    """A specification with its initial states, guards, invariants and goal."""

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
    """What one check found; ``trace`` is the shortest way to break it."""

    name: str
    holds: bool
    states: int
    broken: str
    trace: tuple[str, ...]


SPECS = (
    Spec(
        name="once-only",
        fields=once_only.State._fields,
        initial=once_only.initial(once_only.CRASHES),
        reduced_initial=once_only.initial(once_only.REDUCED_CRASHES),
        state=once_only.State,
        steps=once_only.steps,
        guards=once_only.Guards(),
        invariants={
            "runs at most once": once_only.runs_at_most_once,
            "not-run is true": once_only.not_run_is_true,
            "done is true": once_only.done_is_true,
        },
        goal=once_only.ended,
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
)


def _protocol(spec: Spec, guards: Any, initial: Any) -> minicheck.Protocol:
    def lift(predicate: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: predicate(spec.state(**fields))

    def transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        found = spec.steps(spec.state(*state), guards)
        return [(label, tuple(step)) for label, step in found]

    return minicheck.Protocol(
        name=spec.name,
        candidate=False,
        fields=spec.fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={n: lift(p) for n, p in spec.invariants.items()},
        goal=lift(spec.goal),
    )


def check_spec(spec: Spec, guards: Any, name: str, *, reduced: bool = False) -> Result:
    """Check safety and that the goal stays in reach, over every state.

    Parameters
    ----------
    spec : Spec
        What to check.
    guards : NamedTuple
        The spec's guards, with those removed that a mutant lacks.
    name : str
        Name of the result.
    reduced : bool
        Whether to begin from the smaller initial state, with fewer crashes.
    """
    protocol = _protocol(
        spec, guards, spec.reduced_initial if reduced else spec.initial
    )
    safety = minicheck.check_safety(protocol, max_states=MAX_STATES)
    for broken, found in safety["properties"].items():
        if found["holds"] is not True:
            trace = tuple(s["label"] for s in found.get("counterexample") or ())
            return Result(name, False, safety["reachable_states"], broken, trace)
    liveness = minicheck.check_liveness(protocol)
    states = safety["reachable_states"]
    if liveness["holds"] is not True:
        trace = tuple(s["label"] for s in liveness.get("counterexample", ()))
        return Result(name, False, states, "the goal stays in reach", trace)
    return Result(name, True, states, "", ())


def mutants(spec: Spec) -> list[tuple[str, Any]]:
    """Return the guards with each one removed in turn."""
    return [
        (f"{spec.name} without {guard}", spec.guards._replace(**{guard: False}))
        for guard in spec.guards._fields
    ]


def _print(result: Result) -> None:
    if result.holds:
        click.echo(f"{result.name}: holds in all {result.states} states")
        return
    click.echo(f"{result.name}: breaks '{result.broken}'")
    for label in result.trace[1:]:
        click.echo(f"    {label}")


@click.command()
def main() -> None:
    """Check every specification and every mutant."""
    passed = True
    for spec in SPECS:
        result = check_spec(spec, spec.guards, spec.name)
        _print(result)
        passed &= result.holds
        for name, guards in mutants(spec):
            mutant = check_spec(spec, guards, name, reduced=True)
            _print(mutant)
            passed &= not mutant.holds
    click.echo("specifications hold, every mutant is found out" if passed else "FAILED")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
