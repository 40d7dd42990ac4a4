from __future__ import annotations

import json

from devtools import sample_fleet as sample
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from shallotroad.config.fleet import build_fleet
from shallotroad.config.revision_log import Delta
from shallotroad.config.revision_log import RevisionLog


TEAMS = ("a", "b", "c")


def team_text(name: str, rate: int, *, valid: bool = True) -> str:
    changes: dict[str, object] = {
        "limits": {"requests_per_s": rate, "burst_requests": 1 if valid else 0}
    }
    return sample.team_values(name, f"key-{name}", **changes)[f"team/{name}"]


class RevisionMachine(RuleBasedStateMachine):
    """Two logs exchange deltas of a history; neither ever moves back."""

    def __init__(self) -> None:
        super().__init__()
        first = {"fleet": sample.fleet_value()}
        first |= {f"team/{name}": team_text(name, 1) for name in TEAMS}
        self.history: list[dict[str, str]] = [{}, first]
        self.invalid: set[int] = set()
        self.logs = [RevisionLog(), RevisionLog()]
        self.highest = [0, 0]

    @rule(
        name=st.sampled_from(TEAMS),
        rate=st.integers(1, 9),
        kind=st.sampled_from(("change", "remove", "invalid", "close")),
    )
    def publish(self, name: str, rate: int, kind: str) -> None:
        values = dict(self.history[-1])
        if kind == "remove":
            values.pop(f"team/{name}", None)
        elif kind == "close":
            closed = [sample.DATA_CENTRES[rate % 2]]
            values["fleet"] = sample.fleet_value(closed_data_centres=closed)
        else:
            text = team_text(name, rate, valid=kind == "change")
            values[f"team/{name}"] = text
        self.history.append(values)
        if any(
            json.loads(v).get("limits", {}).get("burst_requests") == 0
            for v in values.values()
        ):
            self.invalid.add(len(self.history) - 1)

    @rule(which=st.integers(0, 1), revision=st.integers(1, 60))
    def read_platform(self, which: int, revision: int) -> None:
        log = self.logs[which]
        revision = min(revision, len(self.history) - 1)
        base = log.revision if 0 < log.revision <= revision else 0
        old, new = self.history[base], self.history[revision]
        changed = {k: v for k, v in new.items() if old.get(k) != v}
        removed = tuple(k for k in old if k not in new)
        moved = log.adopt(Delta(base, revision, changed, removed))
        if moved:
            assert revision not in self.invalid

    @rule(which=st.integers(0, 1), behind=st.integers(0, 60))
    def tell_peer(self, which: int, behind: int) -> None:
        teller, learner = self.logs[which], self.logs[1 - which]
        since = min(behind, learner.revision)
        delta = teller.since(since)
        if delta is not None:
            learner.adopt(delta)

    @invariant()
    def never_lower(self) -> None:
        for which, log in enumerate(self.logs):
            assert log.revision >= self.highest[which]
            self.highest[which] = log.revision

    @invariant()
    def holds_what_was_published(self) -> None:
        for log in self.logs:
            if log.fleet is not None:
                values = self.history[log.revision]
                assert log.fleet == build_fleet(revision=log.revision, values=values)


RevisionMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestRevisions = RevisionMachine.TestCase
