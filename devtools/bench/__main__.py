"""Command that runs load scenarios under several routing policies.

Each pair of scenario and policy runs on a fresh local fleet with the same seeded
arrivals, so that the rows of the printed table can be compared.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from devtools.bench.load import send_arrivals
from devtools.bench.report import Metrics
from devtools.bench.report import compute_metrics
from devtools.bench.report import format_table
from devtools.bench.report import plot
from devtools.bench.report import write_json
from devtools.bench.scenarios import DURATION_S
from devtools.bench.scenarios import ENGINES
from devtools.bench.scenarios import POLICIES
from devtools.bench.scenarios import SCENARIOS
from devtools.bench.scenarios import Scenario
from devtools.bench.workload import make_arrivals
from devtools.processes import HOST
from devtools.processes import LocalFleet
from devtools.sample_fleet import start_fleet


ENGINE_STEP_S = 0.02
WARMUP_S = 2.0
REQUEST_TIMEOUT_S = 60.0


def _count_generated_tokens(fleet: LocalFleet) -> int:
    """Return the tokens that all engines have generated since they started."""
    names = [n for n, h in fleet.handles.items() if h.role == "engine"]
    return sum(int(fleet.stats(name)["generated"]) for name in names)


async def _warm_up(urls: list[str], seed: int) -> None:
    """Send short requests at twice the usual rate and wait for them to end.

    Their arrivals use another seed than those of the experiment.
    """
    arrivals = make_arrivals(seed=seed + 1000, duration_s=WARMUP_S, rate_factor=2.0)
    short_arrivals = [a._replace(prompt="warm LENGTH=10", tokens=10) for a in arrivals]
    await send_arrivals(urls, short_arrivals, timeout_s=REQUEST_TIMEOUT_S)


async def run_experiment(scenario: Scenario, policy: str, seed: int) -> Metrics:
    """Run one scenario under one policy on a fresh fleet, after a warm-up.

    Tokens of the warm-up are not counted.
    """
    engine_options = ("--step-s", str(ENGINE_STEP_S), *scenario.engine_options)
    fleet = await asyncio.to_thread(
        start_fleet,
        engines=ENGINES,
        services=0,
        engine_options=engine_options,
        disabled=POLICIES[policy],
        log_level="WARNING",
    )
    try:
        urls = [
            f"http://{HOST}:{h.port}"
            for h in fleet.handles.values()
            if h.role == "entry"
        ]
        await _warm_up(urls, seed)
        warmup_tokens = _count_generated_tokens(fleet)
        arrivals = make_arrivals(
            seed=seed,
            duration_s=DURATION_S,
            rate_factor=scenario.rate_factor,
            burst=scenario.burst,
            shared_prefixes=scenario.shared_prefixes,
        )
        async with asyncio.TaskGroup() as group:
            if scenario.inject_fault is not None:
                group.create_task(scenario.inject_fault(fleet))
            load_task = group.create_task(
                send_arrivals(urls, arrivals, timeout_s=REQUEST_TIMEOUT_S)
            )
        generated_tokens = _count_generated_tokens(fleet) - warmup_tokens
    finally:
        await asyncio.to_thread(fleet.close)
    return compute_metrics(
        load_task.result(),
        scenario=scenario.name,
        policy=policy,
        seed=seed,
        generated=generated_tokens,
        duration_s=DURATION_S,
    )


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(sorted(SCENARIOS)))
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(list(POLICIES)),
    help="Policy to run; all when none is named.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    help="Folder for bench.json and bench.png.",
)
def main(
    names: tuple[str, ...], policies: tuple[str, ...], seed: int, out: Path | None
) -> None:
    """Run scenarios NAMES (all when none is named) under each policy."""
    rows: list[Metrics] = []
    for name in names or tuple(SCENARIOS):
        for policy in policies or tuple(POLICIES):
            row = asyncio.run(run_experiment(SCENARIOS[name], policy, seed))
            rows.append(row)
            click.echo(format_table(rows).splitlines()[0 if len(rows) == 1 else -1])
            if len(rows) == 1:
                click.echo(format_table(rows).splitlines()[-1])
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        write_json(rows, out / "bench.json")
        plot(rows, out / "bench.png")


if __name__ == "__main__":
    main()
