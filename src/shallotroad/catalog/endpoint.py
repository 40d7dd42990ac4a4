"""Endpoints as they announce themselves."""

from __future__ import annotations

from typing import NamedTuple


class EndpointRecord(NamedTuple):
    """The latest announcement of one endpoint.

    Parameters
    ----------
    identifier : str
        Unique to an endpoint; a restart may keep it.
    started_at_ms : int
        Unix time of the process's start; 0 when it is not announced.
    slots : int
        Requests that run at once.
    draining : bool
        Whether the endpoint is about to leave.
    cold_remaining_ms : float
        How much longer the endpoint stays cold, as of the announcement.
    """

    identifier: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    cold_remaining_ms: float
    started_at_ms: int
