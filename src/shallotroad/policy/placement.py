"""Ranking of a service's engines by the cost of placing a request on them.

The cost is the expected time to the first event plus penalties, all in
milliseconds: the prefill backlog, the prefill of the uncached part of the prompt,
running requests, distance, recent failures and interference with other streams. For a
gap-tolerant request, the time to work off the prefill debt (defined in
``endpoint_load.py``), ``debt_ms / prefill_share``, replaces the backlog where it is
longer. Endpoints of services without engines are ranked in the same way.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.engine_model import Prefill


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from shallotroad.platform.headers import PromptPart
    from shallotroad.policy.data_centre_balance import LocalPreference
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.engine_model import EngineModel

# Penalty for prefilling tokens that another engine may have cached: it takes time
# that queued prompts need.
REPEATED_PREFILL_MS_PER_TOKEN = 0.2
# Delay that each running request adds to a first event.
CROWDING_MS_PER_REQUEST = 2.0
# Round trip to another data centre, including the transfer.
CROSS_DATA_CENTRE_MS = 6.0
# Penalty per KiB of body, because bandwidth between data centres is scarce.
CROSS_DATA_CENTRE_MS_PER_KIB = 14.0
# Cost of an engine whose requests all fail; it falls with the square of the failure
# share.
FAILURE_COST_MS = 4_000.0
# Discount for each token of a prompt's shared parts at its preferred endpoint, while no
# candidate is known to have any of the prompt cached.
PREFERRED_ENDPOINT_DISCOUNT_MS_PER_TOKEN = 0.03
# Largest fraction of the engines kept clear of the prompts of gap-tolerant streams.
MAX_RESERVED_SHARE = 0.67
# Factor on the work of gap-sensitive streams when engines are reserved for them,
# because these streams must not queue.
RESERVED_HEADROOM = 1.5
# Penalty for a gap-tolerant request on a reserved engine.
GAP_TOLERANT_ON_RESERVED_COST_MS = 1_500.0
# Penalty for a long prompt on a reserved engine, for each request in flight there,
# because its prefill stalls the streams there.
LONG_PROMPT_ON_RESERVED_MS_PER_REQUEST = 60.0
# Prompt tokens that engines prefill in one step.
PREFILL_CHUNK_TOKENS = 2048
# Penalty for any request that is not gap-tolerant, also without a stream, on a shared
# engine if some candidate is reserved. Long prompts of other streams cause event gaps
# on shared engines.
NOT_GAP_TOLERANT_ON_SHARED_COST_MS = 400.0


class RequestProfile(NamedTuple):
    """Properties of a request on which an engine's cost depends.

    Parameters
    ----------
    data_centre : str
        Data centre of the gateway that received it.
    parts : tuple of PromptPart
        Prompt parts (identifier and tokens) in order, as the caller states them; empty
        if it states none or malformed ones. The last one is the request's own; other
        requests may share those before it.
    prompt_tokens : int
        Length of the prompt as the caller states it, not counted here; 0 if it states
        none.
    body_bytes : int
        Size of the request body.
    gap_tolerant : bool
        Whether the event gap limit of its route (``Route.max_event_gap_ms``, the
        maximum time between two events) is at least ``GAP_TOLERANT_RATIO`` times the
        lowest one of the service's streams; see ``Configuration.is_gap_tolerant``.
        False if the route or the service has no such limit. A request without a stream
        is placed like a gap-sensitive stream if this is False.
    long_prompt : bool
        Whether ``prompt_tokens`` exceeds ``decode_stall_threshold_tokens`` for the
        lowest event gap limit of the service's streams. False if there is no limit.
    """

    data_centre: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    body_bytes: int
    gap_tolerant: bool
    long_prompt: bool = False


class Placement(NamedTuple):
    """The endpoint chosen for a request, and the expected times.

    The fields mean the same for services with and without engines, but ``number`` stays
    0 for the latter, because their requests are not reported to coordinators.

    Parameters
    ----------
    load : EndpointLoad
        Load of the endpoint.
    cost_ms : float
        Cost by which the endpoint was ranked.
    prefill_ms, backlog_ms : float
        Expected prefill time of the prompt, and of those that wait before it.
    cached_tokens : int
        Leading tokens of the prompt that the engine has cached.
    reserved : bool
        Whether the engine is reserved for gap-sensitive streams.
    slowness : float
        Slowness of the endpoint that the expected times contain.
    due_s : float
        Monotonic time at which the first event is expected; 0 before dispatch.
    number : int
        Number of the request among the gateway's requests in flight; 0 before it is
        assigned.
    model : EngineModel
        Model of the engine that the expected times contain.
    prefill : Prefill or None
        The prompt, if its first event shows the speed of an engine; None otherwise.
    """

    load: EndpointLoad
    cost_ms: float
    prefill_ms: float
    backlog_ms: float
    cached_tokens: int = 0
    reserved: bool = False
    slowness: float = 1.0
    due_s: float = 0.0
    number: int = 0
    model: EngineModel = NOMINAL_MODEL
    prefill: Prefill | None = None

    def inputs(self) -> dict[str, object]:
        """Return the inputs of the placement decision as log fields.

        These are ``endpoint``, ``cost_ms``, ``backlog_ms``, ``prefill_ms``, ``cached``
        (``cached_tokens``), ``express`` (``reserved``), ``slowness``, and the
        ``running`` requests of the endpoint at the time of the call.
        """
        return {
            "endpoint": self.load.record.identifier,
            "cost_ms": round(self.cost_ms),
            "backlog_ms": round(self.backlog_ms),
            "prefill_ms": round(self.prefill_ms),
            "cached": self.cached_tokens,
            "express": self.reserved,
            "running": self.load.running,
            "slowness": round(self.slowness, 2),
        }


class EngineView(NamedTuple):
    """Snapshot of an engine's load for one round of placements.

    Parameters
    ----------
    load : EndpointLoad
        Load of the engine.
    backlog_ms, debt_ms : float
        Expected time to prefill the prompts that wait there; prefill debt, which
        counts only for gap-tolerant requests.
    common_cost_ms : float
        Cost of crowding and failures, which is the same for every request.
    running : int
        Requests known to be in flight there.
    reserved : bool
        Whether it is reserved for gap-sensitive streams.
    """

    load: EndpointLoad
    backlog_ms: float
    debt_ms: float
    common_cost_ms: float
    running: int
    reserved: bool


class RankedEngine(NamedTuple):
    """An engine and the cost of placing a request on it."""

    cost_ms: float
    view: EngineView
    prefill_ms: float
    cached_tokens: int

    def placement(self) -> Placement:
        """Return the placement on this engine, before dispatch."""
        view = self.view
        return Placement(
            load=view.load,
            cost_ms=self.cost_ms,
            prefill_ms=self.prefill_ms,
            backlog_ms=view.backlog_ms,
            cached_tokens=self.cached_tokens,
            reserved=view.reserved,
            slowness=view.load.slowness,
            model=view.load.model,
        )


@lru_cache(maxsize=65_536)
def _rendezvous_weight(part: str, endpoint: str) -> int:
    digest = hashlib.blake2b(f"{part} {endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def preferred_endpoint(part: str, endpoints: Sequence[str]) -> str:
    """Return the preferred endpoint of a prompt part, by rendezvous hashing.

    Gateways that know the same endpoints get the same result.

    Raises
    ------
    ValueError
        When ``endpoints`` is empty.
    """
    return max(endpoints, key=lambda endpoint: _rendezvous_weight(part, endpoint))


def decode_stall_threshold_tokens(
    max_event_gap_ms: float, tokens_per_event: int, model: EngineModel = NOMINAL_MODEL
) -> float:
    """Return the prompt length in tokens above which its prefill stalls other streams.

    Each step gives each running stream one token and prefills one chunk. After ``n``
    tokens, it takes ``decode_step_ms + PREFILL_CHUNK_TOKENS / prefill_tokens_per_ms
    + PREFILL_CHUNK_TOKENS * n / attention_pairs_per_ms`` milliseconds. The result is
    the ``n`` at which ``tokens_per_event`` steps take ``max_event_gap_ms``; it is 0.0
    if they take longer at any ``n``.

    Parameters
    ----------
    max_event_gap_ms : float
        Lowest event gap limit of the service's streams.
    tokens_per_event : int
        Tokens in each event of a stream (``Engine.tokens_per_event``), at least 1.
    model : EngineModel
        Model of the service's engines.
    """
    step_ms = max_event_gap_ms / tokens_per_event
    chunk_ms = PREFILL_CHUNK_TOKENS / model.prefill_tokens_per_ms
    return (
        max(0.0, step_ms - model.decode_step_ms - chunk_ms)
        / PREFILL_CHUNK_TOKENS
        * model.attention_pairs_per_ms
    )


def reserved_engines(
    service: str,
    endpoints: Sequence[str],
    *,
    gap_sensitive_ms: float,
    other_ms: float,
) -> frozenset[str]:
    """Return the engines of a service that are reserved for gap-sensitive streams.

    Rendezvous hashing selects them, so that gateways agree on them. Their number
    follows the share of gap-sensitive streams in the recent work.

    Parameters
    ----------
    service : str
        Name of the service.
    endpoints : sequence of str
        Identifiers of its engines.
    gap_sensitive_ms, other_ms : float
        Recent work on these engines of gap-sensitive streams and of all other
        requests, as from ``EndpointLoad.recent_work_ms``.

    Returns
    -------
    frozenset of str
        At least one engine and never all of them; empty for fewer than two engines.
    """
    if len(endpoints) < 2:
        return frozenset()
    max_reserved = max(
        1, min(len(endpoints) - 1, int(MAX_RESERVED_SHARE * len(endpoints)))
    )
    gap_sensitive_ms *= RESERVED_HEADROOM
    share = gap_sensitive_ms / max(1.0, gap_sensitive_ms + other_ms)
    count = min(max_reserved, max(1, round(share * len(endpoints))))
    ranked = sorted(
        endpoints, key=lambda e: _rendezvous_weight(service, e), reverse=True
    )
    return frozenset(ranked[:count])


def view_engine(
    load: EndpointLoad, reserved: frozenset[str], now_s: float
) -> EngineView:
    """Return a snapshot of an engine for one round of placements."""
    failures_ms = FAILURE_COST_MS * load.failure_share(now_s) ** 2
    return EngineView(
        load=load,
        backlog_ms=load.backlog_ms(now_s),
        debt_ms=load.debt_ms(now_s),
        common_cost_ms=CROWDING_MS_PER_REQUEST * load.running + failures_ms,
        running=load.running,
        reserved=load.record.identifier in reserved,
    )


def _preferred_engine(
    profile: RequestProfile, views: Sequence[EngineView], cached: Sequence[int]
) -> EngineView | None:
    """Return the preferred engine of a prompt that no candidate engine has cached.

    Rendezvous hashing of the last shared part selects it among the engines of the
    request's own kind (shared if it is gap-tolerant, otherwise reserved), or among all
    if there are none. None if there is no engine, the prompt has no shared parts or an
    engine has cached some of its leading parts.
    """
    shared = profile.parts[:-1]
    if not views or not shared or any(cached):
        return None
    by_name = {view.load.record.identifier: view for view in views}
    candidates = [
        n for n, view in by_name.items() if view.reserved != profile.gap_tolerant
    ]
    return by_name[
        preferred_endpoint(shared[-1].identifier, candidates or list(by_name))
    ]


def _interference_ms(profile: RequestProfile, view: EngineView) -> float:
    """Return the penalty for stalls between a request and the engine's streams.

    It applies to an engine of the other kind, reserved or shared, and to a long prompt
    on a reserved engine, there for each request in flight. It must be called only if
    some candidate is reserved, which ``rank_engines`` checks.
    """
    cost_ms = 0.0
    if profile.gap_tolerant == view.reserved:
        cost_ms += (
            GAP_TOLERANT_ON_RESERVED_COST_MS
            if view.reserved
            else NOT_GAP_TOLERANT_ON_SHARED_COST_MS
        )
    if view.reserved and profile.long_prompt:
        cost_ms += LONG_PROMPT_ON_RESERVED_MS_PER_REQUEST * view.running
    return cost_ms


def _stays_local(
    profile: RequestProfile,
    cached: Sequence[int],
    local_tokens: int,
    local: LocalPreference,
    recently_used_tokens: int,
) -> bool:
    """Return whether a request prefers local engines, also at a later first event."""
    return len(profile.parts) < 2 or local.applies(
        local_tokens=local_tokens,
        best_tokens=max(cached, default=0),
        recently_used_tokens=recently_used_tokens,
    )


def rank_engines(
    profile: RequestProfile,
    views: Sequence[EngineView],
    *,
    recently_used_tokens: int,
    local: LocalPreference | None = None,
) -> Iterator[RankedEngine]:
    """Yield the engines with their costs, the lowest cost first.

    All of ``views`` are yielded, also engines without a free slot
    (``EndpointRecord.slots``), without room for the prompt (the limits of backlog and
    debt in ``Admission``) or without a cold-start permit; ``Admission`` checks these.
    The penalty for engines of the other kind applies only if some of ``views`` is
    reserved.

    Parameters
    ----------
    profile : RequestProfile
        The request.
    views : sequence of EngineView
        The engines on which it may be placed.
    recently_used_tokens : int
        Tokens of its shared parts that this gateway placed on any engine, or found
        cached by a survey, within the prefix reuse window: the time for which a part
        counts as cached somewhere after its last use (``Bounds.prefix_reuse_s``). An
        engine that has fewer tokens cached costs ``REPEATED_PREFILL_MS_PER_TOKEN`` for
        each one missing.
    local : LocalPreference or None
        Preference for engines of the callers' data centre (``DataCentreBalance``). If
        it applies to the prompt, remote engines cost ``remote_ms`` more, a local
        engine costs ``REPEATED_PREFILL_MS_PER_TOKEN`` only for tokens that another
        local one has cached, and the preferred endpoint is a local one. None for the
        constant costs.
    """
    parts, total, gap_tolerant = (
        profile.parts,
        profile.prompt_tokens,
        profile.gap_tolerant,
    )
    cached = [view.load.cached_tokens(parts) for view in views]
    cross_data_centre_ms = (
        CROSS_DATA_CENTRE_MS + CROSS_DATA_CENTRE_MS_PER_KIB * profile.body_bytes / 1024
    )
    needed_locally = recently_used_tokens
    candidates = views
    if local is not None:
        candidates = [
            view
            for view in views
            if view.load.record.data_centre == profile.data_centre
        ]
        local_tokens = max(
            (
                tokens
                for view, tokens in zip(views, cached, strict=True)
                if view.load.record.data_centre == profile.data_centre
            ),
            default=0,
        )
        if _stays_local(profile, cached, local_tokens, local, recently_used_tokens):
            cross_data_centre_ms += local.remote_ms
            needed_locally = min(recently_used_tokens, local_tokens)
        else:
            candidates = views
    preferred = _preferred_engine(profile, candidates, cached)
    discount_ms = PREFERRED_ENDPOINT_DISCOUNT_MS_PER_TOKEN * sum(
        part.tokens for part in parts[:-1]
    )
    has_reserved = any(view.reserved for view in views)
    costs = []
    prefills_ms = []
    for index, (view, tokens) in enumerate(zip(views, cached, strict=True)):
        load = view.load
        is_local = load.record.data_centre == profile.data_centre
        needed_tokens = needed_locally if is_local else recently_used_tokens
        uncached = total - tokens if tokens < total else 0
        prefill_ms = load.prefill_ms(uncached, total - uncached)
        wait_ms = view.backlog_ms
        if gap_tolerant:
            wait_ms = max(wait_ms, view.debt_ms / view.load.prefill_share)
        cost_ms = wait_ms + prefill_ms + view.common_cost_ms
        if tokens < needed_tokens:
            cost_ms += REPEATED_PREFILL_MS_PER_TOKEN * (needed_tokens - tokens)
        if has_reserved and (gap_tolerant == view.reserved or profile.long_prompt):
            cost_ms += _interference_ms(profile, view)
        if view is preferred:
            cost_ms -= discount_ms
        if not is_local:
            cost_ms += cross_data_centre_ms
        costs.append((cost_ms, index))
        prefills_ms.append(prefill_ms)
    costs.sort()
    for cost_ms, index in costs:
        yield RankedEngine(cost_ms, views[index], prefills_ms[index], cached[index])
