from __future__ import annotations

import json

from devtools import sample_fleet as sample
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from shallotroad.config.fleet_config import build_fleet_config
from shallotroad.config.versioned_config import Delta
from shallotroad.config.versioned_config import VersionedConfig


TEAMS = ("a", "b", "c")


def team_text(name: str, rate: int, *, valid: bool = True) -> str:
    changes: dict[str, object] = {
        "limits": {"requests_per_s": rate, "burst_requests": 1 if valid else 0}
    }
    return sample.team_values(name, f"key-{name}", **changes)[f"team/{name}"]


class RevisionMachine(RuleBasedStateMachine):
    """Two processes apply deltas from an outdated platform and from each other.

    Neither may return to an older revision, accept an invalid one, or have values
    that differ from those published under its revision.
    """

    def __init__(self) -> None:
        super().__init__()
        initial = {"fleet": sample.fleet_value()}
        initial |= {f"team/{name}": team_text(name, 1) for name in TEAMS}
        self.history: list[dict[str, str]] = [{}, initial]
        self.invalid: set[int] = set()
        self.configs = [VersionedConfig(), VersionedConfig()]
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

    @rule(index=st.integers(0, 1), revision=st.integers(1, 60))
    def read_platform(self, index: int, revision: int) -> None:
        config = self.configs[index]
        revision = min(revision, len(self.history) - 1)
        base = config.revision if 0 < config.revision <= revision else 0
        old, new = self.history[base], self.history[revision]
        changed = {k: v for k, v in new.items() if old.get(k) != v}
        removed = tuple(k for k in old if k not in new)
        accepted = config.apply(Delta(base, revision, changed, removed))
        if accepted:
            assert revision not in self.invalid

    @rule(index=st.integers(0, 1), requested=st.integers(0, 60))
    def update_peer(self, index: int, requested: int) -> None:
        sender, receiver = self.configs[index], self.configs[1 - index]
        since = min(requested, receiver.revision)
        delta = sender.delta_since(since)
        if delta is not None:
            receiver.apply(delta)

    @invariant()
    def revision_never_decreases(self) -> None:
        for index, config in enumerate(self.configs):
            assert config.revision >= self.highest[index]
            self.highest[index] = config.revision

    @invariant()
    def fleet_matches_published_values(self) -> None:
        for config in self.configs:
            if config.fleet is not None:
                values = self.history[config.revision]
                assert config.fleet == build_fleet_config(
                    revision=config.revision, values=values
                )


RevisionMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestRevisions = RevisionMachine.TestCase
