"""Computes the metrics of an experiment and writes them as table, JSON and plot."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from hdrh.histogram import HdrHistogram


if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from devtools.bench.load import Result

# Largest value and precision of the histogram from which percentiles are computed.
MAX_FIRST_TOKEN_MS = 600_000
SIGNIFICANT_DIGITS = 3


class Metrics(NamedTuple):
    """Metrics of one scenario under one policy.

    An arrival meets its target if its first token came within the target of its class
    and its outcome is ``done``.

    Parameters
    ----------
    scenario, policy, seed
        What was run.
    arrivals : int
        Number of requests sent.
    attainment : dict of str to float
        Share of all arrivals of a class that met their target, by class.
    first_token_p99_ms : dict of str to float
        99th percentile of the time to first token, by class, over the arrivals that
        got a token; 0 if none did.
    goodput_per_s : float
        Tokens of complete answers that met their target, per second of load.
    wasted : int
        Tokens that engines generated and that no complete answer delivered.
    refused : int
        Arrivals with the outcome ``not-run``.
    unknown : int
        Arrivals with the outcome ``unknown``.
    not_whole : int
        Arrivals with the outcome ``done`` whose answer is incomplete or wrong.
    fairness : float
        Jain's fairness index over the teams' shares of arrivals that met their target.
    longest_draft_wait_s : float
        Longest time to first token of a draft; 0 if no draft got a token.
    """

    scenario: str
    policy: str
    seed: int
    arrivals: int
    attainment: dict[str, float]
    first_token_p99_ms: dict[str, float]
    goodput_per_s: float
    wasted: int
    refused: int
    unknown: int
    not_whole: int
    fairness: float
    longest_draft_wait_s: float


def _met_target(result: Result) -> bool:
    first_s = result.first_token_s
    in_time = first_s is not None and first_s <= result.arrival.first_token_target_s
    return in_time and result.outcome == "done"


def _p99_ms(results: Sequence[Result]) -> float:
    histogram = HdrHistogram(1, MAX_FIRST_TOKEN_MS, SIGNIFICANT_DIGITS)
    for result in results:
        if result.first_token_s is not None:
            histogram.record_value(max(1, int(result.first_token_s * 1000)))
    return float(histogram.get_value_at_percentile(99))


def _fairness(results: Sequence[Result]) -> float:
    """Return Jain's index over the teams' shares of results that met their target.

    1 means equal shares; 0 is returned if no result met its target.
    """
    met_shares = []
    for team in {result.team for result in results}:
        own = [result for result in results if result.team == team]
        met_shares.append(sum(map(_met_target, own)) / len(own))
    squares = sum(share * share for share in met_shares)
    return sum(met_shares) ** 2 / (len(met_shares) * squares) if squares else 0.0


def compute_metrics(
    results: Sequence[Result],
    *,
    scenario: str,
    policy: str,
    seed: int,
    generated: int,
    duration_s: float,
) -> Metrics:
    """Return the metrics of one experiment.

    Parameters
    ----------
    results : sequence of Result
        One result for each arrival; none of the classes may be empty.
    scenario, policy, seed
        What was run.
    generated : int
        Tokens that all engines generated during the experiment.
    duration_s : float
        Time in seconds during which requests arrived.
    """
    classes = sorted({result.arrival.request_class for result in results})
    by_class = {
        name: [r for r in results if r.arrival.request_class == name]
        for name in classes
    }
    delivered_tokens = sum(result.tokens for result in results if result.complete)
    good_tokens = sum(
        result.tokens for result in results if result.complete and _met_target(result)
    )
    drafts = by_class.get("draft", [])
    draft_first_tokens_s = [
        r.first_token_s for r in drafts if r.first_token_s is not None
    ]
    return Metrics(
        scenario=scenario,
        policy=policy,
        seed=seed,
        arrivals=len(results),
        attainment={
            n: sum(map(_met_target, rows)) / len(rows) for n, rows in by_class.items()
        },
        first_token_p99_ms={n: _p99_ms(rows) for n, rows in by_class.items()},
        goodput_per_s=good_tokens / duration_s,
        wasted=max(0, generated - delivered_tokens),
        refused=sum(result.outcome == "not-run" for result in results),
        unknown=sum(result.outcome == "unknown" for result in results),
        not_whole=sum(r.outcome == "done" and not r.complete for r in results),
        fairness=_fairness(results),
        longest_draft_wait_s=max(draft_first_tokens_s, default=0.0),
    )


def format_table(rows: Sequence[Metrics]) -> str:
    """Return the metrics as a text table with a header and a line for each row."""
    lines = [
        f"{'scenario':<15}{'policy':<17}{'chat':>7}{'summary':>9}{'draft':>7}"
        f"{'chat p99':>10}{'goodput':>9}{'wasted':>8}{'refused':>9}"
        f"{'unknown':>9}{'not whole':>11}{'Jain':>6}{'longest':>9}"
    ]
    for row in rows:
        met = row.attainment
        lines.append(
            f"{row.scenario:<15}{row.policy:<17}{met.get('chat', 0):>7.1%}"
            f"{met.get('summary', 0):>9.1%}{met.get('draft', 0):>7.1%}"
            f"{row.first_token_p99_ms.get('chat', 0):>8.0f}ms"
            f"{row.goodput_per_s:>7.0f}/s{row.wasted:>8}{row.refused:>9}"
            f"{row.unknown:>9}{row.not_whole:>11}{row.fairness:>6.2f}"
            f"{row.longest_draft_wait_s:>8.1f}s"
        )
    return "\n".join(lines)


def write_json(rows: Sequence[Metrics], path: Path) -> None:
    """Write the metrics as a JSON array of objects, one for each row."""
    path.write_text(json.dumps([row._asdict() for row in rows], indent=1) + "\n")


def plot(rows: Sequence[Metrics], path: Path) -> None:
    """Save a bar chart of chat attainment and goodput by scenario and policy."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    policies = list(dict.fromkeys(row.policy for row in rows))
    figure, axes = pyplot.subplots(2, 1, figsize=(10, 7))
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        own: dict[str, Any] = {r.scenario: r for r in rows if r.policy == policy}
        positions = [x + number * width for x in range(len(scenarios))]
        chat = [own[s].attainment["chat"] if s in own else 0 for s in scenarios]
        goodput_per_s = [own[s].goodput_per_s if s in own else 0 for s in scenarios]
        axes[0].bar(positions, chat, width, label=policy)
        axes[1].bar(positions, goodput_per_s, width, label=policy)
    axes[0].set_ylabel("chat first tokens in time")
    axes[1].set_ylabel("goodput, tokens a second")
    for axis in axes:
        axis.set_xticks([x + 0.3 for x in range(len(scenarios))], scenarios)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)
