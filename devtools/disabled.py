"""Starts a process with some mechanisms disabled, to test that they are needed.

Tests run each scenario with and without a mechanism: the invariant must fail
without it and hold with it. Each mechanism is disabled by replacing a function or
constant of the product, which has no such switches itself. The keys of
``MECHANISMS`` are the names that tests and experiments use.
"""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Callable


def _no_idempotency_records() -> None:
    """Let agents find no record of any idempotency key.

    A repeated key runs again; owner, incarnation and expiry are not checked either.
    """
    from shallotroad.agent import records

    def find(*_: Any, **__: Any) -> None:
        return None

    records.IdempotencyRecords.find = find  # type: ignore[method-assign]


def _no_incarnation() -> None:
    """Let agents accept keys of any owner and of any incarnation."""
    from shallotroad.agent import records

    original = records.IdempotencyRecords.find

    def find(self: Any, key: Any, **arguments: Any) -> str | None:
        accepted_key = key._replace(owner=self._owner, incarnation=self._incarnation)
        return original(self, accepted_key, **arguments)

    records.IdempotencyRecords.find = find  # type: ignore[method-assign]


def _no_final_refusal() -> None:
    """Let agents drop a key's record on refusal, so that a later offer may run."""
    from shallotroad.agent import records

    def refuse(self: Any, key: Any, **_: Any) -> None:
        self._records.pop(key.nonce, None)

    records.IdempotencyRecords.refuse = refuse  # type: ignore[method-assign]


def _no_session_resume() -> None:
    """Let entries give up all attempts at an agent when they reconnect to it.

    A session is the gRPC stream between an entry and an agent. Normally the next one
    resumes the attempts of the last, unless the agent restarted.
    """
    from shallotroad.entry import peer
    from shallotroad.entry.attempt import LossReason

    original = peer.AgentPeer._start_session

    def enter(self: Any, first: Any) -> None:
        if self.incarnation:
            self.fail_attempts(LossReason.UNREACHABLE)
        original(self, first)

    peer.AgentPeer._start_session = enter  # type: ignore[method-assign]


def _no_continuation() -> None:
    """Retry an interrupted answer from its start, not after the delivered chunks."""
    from shallotroad.entry import dispatcher

    def keep(self: Any, progress: Any) -> None:
        progress.body = progress.request.body

    dispatcher.Dispatcher._continue_body = keep  # type: ignore[method-assign]


def _no_silence_detection() -> None:
    """Let entries wait 1e6 heartbeat intervals for an agent that sends nothing.

    Attempts at a disconnected agent time out after 1e6 s only.
    """
    from shallotroad.entry import peer

    peer.MISSED_HEARTBEATS_LIMIT = 1e6
    peer.AGENT_UNREACHABLE_TIMEOUT_S = 1e6


def _no_peer_configuration() -> None:
    """Let entries and agents pull no configuration from peers when they start.

    Running entries do not pull from agents that have a newer revision either.
    """
    from shallotroad.config import updater
    from shallotroad.entry import peer

    async def ask(*_: Any, **__: Any) -> int:
        return 0

    def pull(self: Any) -> None:
        return

    updater.pull_from_peers = ask
    peer.AgentPeer.pull_config_if_behind = pull  # type: ignore[method-assign]


def _no_monotonic_revision() -> None:
    """Let processes apply a complete configuration of a lower revision."""
    from shallotroad.config import versioned_config

    original = versioned_config.VersionedConfig.apply

    def apply(self: Any, delta: Any) -> bool:
        if delta.revision != self.revision and delta.base == 0:
            self.revision = 0
        return original(self, delta)

    versioned_config.VersionedConfig.apply = apply  # type: ignore[method-assign]


def _no_long_watch() -> None:
    """Let a watch of the configuration service end after 0.5 s instead of 20 s."""
    from shallotroad.config import updater

    updater.WATCH_TIMEOUT_S = 0.5


def _no_agent_check() -> None:
    """Let agents accept offers without checking them against the configuration.

    The checks are of revision, closure, team, data centre and target.
    """
    from shallotroad.agent import endpoint_scheduler

    endpoint_scheduler.check_offer = lambda *_, **__: None  # type: ignore[attr-defined]


def _no_entry_check() -> None:
    """Let entries and agents see no instance or data centre as closed."""
    from shallotroad.config import fleet_config

    fleet_config.FleetConfig.is_closed = lambda *_, **__: False  # type: ignore[method-assign]


def _no_permits() -> None:
    """Let each endpoint run 1000 requests at once.

    A request needs a permit to run; the number of permits normally adapts to the
    endpoint's speed.
    """
    from shallotroad.agent import permits

    permits.Permits.limit = property(lambda _: 1000)  # type: ignore[assignment, method-assign]


def _no_ramp() -> None:
    """Set the number of permits to the endpoint's maximum from the start on."""
    from shallotroad.agent import permits

    permits.Permits.limit = property(  # type: ignore[assignment, method-assign]
        lambda self: self._maximum
    )


def _no_early_refusal() -> None:
    """Let agents queue requests whose expected wait exceeds their wait budget."""
    from shallotroad.agent import endpoint_scheduler

    endpoint_scheduler.expected_wait_s = lambda *_: 0.0  # type: ignore[attr-defined]


def _use_choice(name: str) -> Callable[[], None]:
    """Return a function that makes entries choose agents by the policy ``name``."""

    def disable() -> None:
        from shallotroad.entry import selector
        from shallotroad.policy import choice

        choices = {
            "round-robin": choice.make_round_robin(),
            "least-in-flight": choice.choose_least_in_flight,
            "two-random": choice.choose_two_random,
        }
        defaults = selector.Selector.__init__.__kwdefaults__
        assert defaults is not None
        defaults["choose"] = choices[name]

    return disable


def _no_aging_slot() -> None:
    """Let requests of lower tiers wait as long as higher tiers are queued.

    The aging slot is the one slot of an endpoint that a request of a lower tier may
    use once it has waited for the aging threshold.
    """
    from shallotroad.agent import queue

    queue.WorkQueue.aging_candidate = lambda *_: None  # type: ignore[method-assign]


def _no_tiers() -> None:
    """Queue all requests of an agent in one tier, in the order of their arrival."""
    from shallotroad.agent import queue

    original = queue.WorkQueue.push

    def push(self: Any, queued: Any) -> Any:
        return original(self, queued._replace(tier=0, due_s=queued.waiting_since_s))

    queue.WorkQueue.push = push  # type: ignore[method-assign]


def _no_preemption() -> None:
    """Let agents pause no running request for one of a higher tier."""
    from shallotroad.agent import endpoint_scheduler

    endpoint_scheduler.choose_victim = lambda *_: None  # type: ignore[attr-defined]


def _no_poison_detection() -> None:
    """Let requests run again however often they have crashed endpoints."""
    from shallotroad.policy import suspects

    suspects.Suspects.poisonous = lambda *_, **__: False  # type: ignore[method-assign]


def _no_drain() -> None:
    """Let agents shut down without waiting for their admitted jobs to end."""
    from shallotroad.agent import endpoint_scheduler

    async def wait_until_drained(self: Any) -> None:
        return

    endpoint_scheduler.EndpointScheduler.wait_until_drained = wait_until_drained  # type: ignore[method-assign]


# Functions that disable or replace a mechanism, by its name.
MECHANISMS: dict[str, Callable[[], None]] = {
    "records": _no_idempotency_records,
    "incarnation": _no_incarnation,
    "final-refusal": _no_final_refusal,
    "resume": _no_session_resume,
    "continuation": _no_continuation,
    "silence-detection": _no_silence_detection,
    "peer-configuration": _no_peer_configuration,
    "monotonic-revision": _no_monotonic_revision,
    "long-watch": _no_long_watch,
    "agent-check": _no_agent_check,
    "entry-check": _no_entry_check,
    "permits": _no_permits,
    "ramp": _no_ramp,
    "early-refusal": _no_early_refusal,
    "expected-start:round-robin": _use_choice("round-robin"),
    "expected-start:least-in-flight": _use_choice("least-in-flight"),
    "expected-start:two-random": _use_choice("two-random"),
    "turn": _no_aging_slot,
    "tiers": _no_tiers,
    "pause": _no_preemption,
    "poison": _no_poison_detection,
    "drain": _no_drain,
}


def main() -> None:
    """Run a module of the product without some mechanisms.

    The arguments are the names of the mechanisms, joined by commas, the module and
    its settings file.
    """
    names, module, settings = sys.argv[1:4]
    for name in names.split(","):
        MECHANISMS[name]()
    sys.argv = [module, settings]
    importlib.import_module(module).main()


if __name__ == "__main__":
    main()
