"""Decoded registration of an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class EndpointRecord(NamedTuple):
    """Latest registration of one endpoint.

    Parameters
    ----------
    identifier : str
        Unique to an endpoint. An endpoint may keep it when it restarts.
    started_at_ms : int
        Unix time at which the endpoint's process started; 0 when it is not stated.
    software_version : str
        Version of the endpoint's software; empty when it is not stated. A stream may
        only be resumed at the version that began it.
    slots : int
        Number of requests that the endpoint runs at the same time.
    draining : bool
        Whether the endpoint takes no more requests and finishes those that run.
    cold_remaining_ms : float
        How much longer the endpoint stays cold, counted from when the gateway takes
        the record; 0 when it is not stated. 0 does not end a cold time stated before.
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
    software_version: str = ""
