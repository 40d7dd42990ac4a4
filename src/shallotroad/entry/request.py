"""A caller's request after classification."""

from __future__ import annotations

from typing import NamedTuple


class RoutedRequest(NamedTuple):
    """What the dispatcher needs to know of a request.

    Times are in seconds. ``target`` is a model or service; ``blocks`` are the
    digests of the prompt's beginning; ``fingerprint`` identifies the request
    towards poison detection, ``digest`` towards idempotency.
    """

    request: str
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
