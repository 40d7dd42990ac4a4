"""Crashes of endpoints are told from resets of connections, in the metrics."""

from __future__ import annotations

import asyncio

import pytest

from shallotroad.gateway.crash_monitor import CONFIRMATION_DELAY_S
from tests.crash_builders import make_crash_fixture
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_record


@pytest.mark.parametrize(
    ("accepts", "draining", "cause"),
    [(False, False, "crash"), (False, True, "leaving"), (True, False, "reset")],
)
async def test_lost_connections_are_counted_once_by_their_cause(
    *, accepts: bool, draining: bool, cause: str
) -> None:
    async def answer(host: str, port: int) -> bool:
        assert (host, port) == ("127.0.0.1", 9000)
        return accepts

    fixture = make_crash_fixture(accepts=answer)
    record = make_record(draining=draining)
    for _ in range(3):
        fixture.monitor.watch(make_gateway_job(), record).record_connection_lost()
    await asyncio.sleep(2 * CONFIRMATION_DELAY_S)
    assert fixture.metrics.endpoint_losses.get({"cause": cause}) == 1
