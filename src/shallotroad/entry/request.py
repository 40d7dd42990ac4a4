"""Classified form of a caller's request."""

from __future__ import annotations

from typing import NamedTuple


class RoutedRequest(NamedTuple):
    """A request with all that the dispatcher needs to run it.

    Parameters
    ----------
    request_id : str
        Identifier for logs and agents; unchanged by retries.
    team, request_class : str
        The caller's team and the request class, or the service called.
    tier : int
        Lower tiers are served first.
    target : str
        Model or service.
    preemptible : bool
        Whether an agent may pause the running request for a more urgent one.
    repeatable : bool
        Whether the request may run more than once.
    streamed : bool
        Whether the caller asked for server-sent events.
    continuable : bool
        Whether an interrupted stream may continue at another endpoint from the
        text delivered so far.
    first_token_s : float
        Target for the time to first token in seconds, for a service call its deadline.
        The entry measures it from when it starts to run the request; an agent orders
        its queue by the time from the offer.
    wait_budget_s, run_budget_s : float
        Maximum time until the request starts, and maximum time that it runs.
    method, path, headers, body
        The HTTP request for the endpoint.
    fingerprint : str
        Identifies requests of a team with the same content, for crash counts.
    digest : str
        Digest of the call for comparison with earlier calls that had the same
        idempotency key; empty for chat completions.
    idempotency_key : str
        Empty for requests that need none.
    blocks : tuple[bytes, ...]
        Chained digests of the prompt's leading blocks of 512 characters, to find the
        agents that have the prefix cached; see ``policy.affinity.prefix_blocks``.
        Empty for service calls and for prompts shorter than one block.
    """

    request_id: str
    team: str
    request_class: str
    tier: int
    target: str
    preemptible: bool
    repeatable: bool
    streamed: bool
    continuable: bool
    first_token_s: float
    wait_budget_s: float
    run_budget_s: float
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    fingerprint: str
    digest: str
    idempotency_key: str = ""
    blocks: tuple[bytes, ...] = ()
