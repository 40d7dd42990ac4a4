"""Choice of an engine by expected time to the first event.

Everything is weighed in milliseconds: the backlog of prompts, the part of the
prompt that the engine has not cached, crowding, distance and recent failures.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.policy.endpoint_load import PAIRS_PER_MS
from shallotroad.policy.endpoint_load import PREFILL_SHARE
from shallotroad.policy.endpoint_load import PREFILL_TOKENS_PER_MS


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.endpoint_load import EndpointLoad

# reading twice takes time that waiting prompts need
REPEATED_PREFILL_MS_PER_TOKEN = 0.2
CROWDING_MS = 2.0  # delay that each running request adds to a first event
DISTANCE_MS = 6.0  # there and back to another data centre, with its transfer
DISTANCE_MS_PER_KIB = 14.0  # bytes between data centres are scarce
FAILURE_MS = 4_000.0  # what a certain failure costs; falls with the share's square
# preference for a part's home while no cache is known
PREFERRED_ENDPOINT_MS_PER_TOKEN = 0.03
MAX_RESERVED_SHARE = 0.67  # of the engines, kept clear of patient streams' prompts
RESERVED_HEADROOM = 1.5  # times the work of urgent streams; they must not queue
GAP_TOLERANT_ON_RESERVED_MS = 1_500.0
LONG_PROMPT_MS = 60.0  # for each stream that a long prompt makes pause
PREFILL_CHUNK_TOKENS = 2048  # of prompts that engines read in a step
STEP_MS = 10.0  # of an engine with some thirty streams and no prompt
GAP_SENSITIVE_ON_SHARED_MS = 400.0  # pauses that other streams' long prompts cause


class RequestProfile(NamedTuple):
    """A request as far as the choice of an engine depends on it."""

    data_centre: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    body_bytes: int
    gap_tolerant: bool
    long_prompt: bool = False


class Placement(NamedTuple):
    """An engine with its cost and the expected time to read the prompt.

    ``due_s`` is when the first event is expected, once the engine is chosen;
    ``number`` names the request among the entry's open work.
    """

    load: EndpointLoad
    cost_ms: float
    prefill_ms: float
    backlog_ms: float
    cached_tokens: int = 0
    reserved: bool = False
    due_s: float = 0.0
    number: int = 0

    def inputs(self) -> dict[str, object]:
        """Return what decided for this engine, for the logs."""
        return {
            "endpoint": self.load.record.identifier,
            "cost_ms": round(self.cost_ms),
            "backlog_ms": round(self.backlog_ms),
            "prefill_ms": round(self.prefill_ms),
            "cached": self.cached_tokens,
            "express": self.reserved,
            "running": self.load.running,
            "slowness": round(self.load.slowness, 2),
        }


class EngineView(NamedTuple):
    """An engine as of one round of placements.

    Parameters
    ----------
    load : EndpointLoad
        The engine.
    backlog_ms, debt_ms : float
        Time to read the prompts that wait there; reading time placed there
        ahead of its share.
    shared_ms : float
        Crowding and failures, which cost every request the same.
    running : int
        Requests that are known to run there.
    reserved : bool
        Whether it is kept for streams that bear only short pauses.
    """

    load: EndpointLoad
    backlog_ms: float
    debt_ms: float
    shared_ms: float
    running: int
    reserved: bool


class Ranked(NamedTuple):
    """An engine and what a request would cost there."""

    cost_ms: float
    view: EngineView
    prefill_ms: float
    cached_tokens: int

    def placement(self) -> Placement:
        """Return the engine as a choice."""
        view = self.view
        return Placement(
            load=view.load,
            cost_ms=self.cost_ms,
            prefill_ms=self.prefill_ms,
            backlog_ms=view.backlog_ms,
            cached_tokens=self.cached_tokens,
            reserved=view.reserved,
        )


@lru_cache(maxsize=65_536)
def _weight(part: str, endpoint: str) -> int:
    digest = hashlib.blake2b(f"{part} {endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def preferred_endpoint(part: str, endpoints: Sequence[str]) -> str:
    """Return the endpoint that every entry prefers for a part."""
    return max(endpoints, key=lambda endpoint: _weight(part, endpoint))


def decode_stall_threshold_tokens(
    max_event_gap_ms: float, tokens_per_event: int
) -> float:
    """Return the prompt above which its reading makes other streams pause.

    A step reads a chunk against all that was read before, and each running
    stream gets one token a step.
    """
    step_ms = max_event_gap_ms / tokens_per_event
    chunk_ms = PREFILL_CHUNK_TOKENS / PREFILL_TOKENS_PER_MS
    return max(0.0, step_ms - STEP_MS - chunk_ms) / PREFILL_CHUNK_TOKENS * PAIRS_PER_MS


def reserved_engines(
    service: str,
    endpoints: Sequence[str],
    *,
    gap_sensitive_ms: float,
    gap_tolerant_ms: float,
) -> frozenset[str]:
    """Return the engines kept for streams that bear only short pauses.

    Every entry draws the same ones, by rendezvous hashing; their number
    follows the share of urgent streams in the recent work.
    """
    if len(endpoints) < 2:
        return frozenset()
    max_reserved = max(
        1, min(len(endpoints) - 1, int(MAX_RESERVED_SHARE * len(endpoints)))
    )
    gap_sensitive_ms *= RESERVED_HEADROOM
    share = gap_sensitive_ms / max(1.0, gap_sensitive_ms + gap_tolerant_ms)
    count = min(max_reserved, max(1, round(share * len(endpoints))))
    ranked = sorted(endpoints, key=lambda e: _weight(service, e), reverse=True)
    return frozenset(ranked[:count])


def view_engine(
    load: EndpointLoad, reserved: frozenset[str], now_s: float
) -> EngineView:
    """Return what a round of placements needs to know of an engine."""
    failures_ms = FAILURE_MS * load.failure_share(now_s) ** 2
    return EngineView(
        load=load,
        backlog_ms=load.backlog_ms(now_s),
        debt_ms=load.debt_ms(now_s),
        shared_ms=CROWDING_MS * load.running + failures_ms,
        running=load.running,
        reserved=load.record.identifier in reserved,
    )


def _preferred_engine(
    profile: RequestProfile, views: Sequence[EngineView], cached: Sequence[int]
) -> EngineView | None:
    """Return the home of a prompt that no engine is known to have cached."""
    shared = profile.parts[:-1]
    if not shared or any(cached):
        return None
    by_name = {view.load.record.identifier: view for view in views}
    candidates = [
        n for n, view in by_name.items() if view.reserved != profile.gap_tolerant
    ]
    return by_name[
        preferred_endpoint(shared[-1].identifier, candidates or list(by_name))
    ]


def _interference_ms(profile: RequestProfile, view: EngineView) -> float:
    """Return what streams of the other kind cost a request, or it them."""
    cost_ms = 0.0
    if profile.gap_tolerant == view.reserved:
        cost_ms += (
            GAP_TOLERANT_ON_RESERVED_MS if view.reserved else GAP_SENSITIVE_ON_SHARED_MS
        )
    if view.reserved and profile.long_prompt:
        cost_ms += LONG_PROMPT_MS * view.running
    return cost_ms


def rank_engines(
    profile: RequestProfile, views: Sequence[EngineView], *, warm_tokens: int
) -> Iterator[Ranked]:
    """Yield the engines with their costs, the cheapest first.

    Parameters
    ----------
    profile : RequestProfile
        The request.
    views : sequence of EngineView
        The engines that may take it.
    warm_tokens : int
        Tokens of its shared parts that some engine used recently.
    """
    parts, total, gap_tolerant = (
        profile.parts,
        profile.prompt_tokens,
        profile.gap_tolerant,
    )
    cached = [view.load.cached_tokens(parts) for view in views]
    preferred = _preferred_engine(profile, views, cached)
    preference_ms = PREFERRED_ENDPOINT_MS_PER_TOKEN * sum(
        part.tokens for part in parts[:-1]
    )
    split = any(view.reserved for view in views)
    cross_data_centre_ms = DISTANCE_MS + DISTANCE_MS_PER_KIB * profile.body_bytes / 1024
    costs = []
    prefills_ms = []
    for order, (view, tokens) in enumerate(zip(views, cached, strict=True)):
        load = view.load
        uncached = total - tokens if tokens < total else 0
        prefill_ms = load.prefill_ms(uncached, total - uncached)
        wait_ms = view.backlog_ms
        if gap_tolerant:
            wait_ms = max(wait_ms, view.debt_ms / PREFILL_SHARE)
        cost_ms = wait_ms + prefill_ms + view.shared_ms
        if tokens < warm_tokens:
            cost_ms += REPEATED_PREFILL_MS_PER_TOKEN * (warm_tokens - tokens)
        if split and (gap_tolerant == view.reserved or profile.long_prompt):
            cost_ms += _interference_ms(profile, view)
        if view is preferred:
            cost_ms -= preference_ms
        if load.record.data_centre != profile.data_centre:
            cost_ms += cross_data_centre_ms
        costs.append((cost_ms, order))
        prefills_ms.append(prefill_ms)
    costs.sort()
    for cost_ms, order in costs:
        yield Ranked(cost_ms, views[order], prefills_ms[order], cached[order])
