"""Endpoints whose bytes look like a response to a request, but are not.

The gateway must not call a request not run that an endpoint has run, nor pass the bytes
on as a part of its response.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from devtools.gateway_harness import GatewayHarness


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

# At most so many until one meets the connection on which another was refused.
MAX_REQUESTS = 200
# Statuses by which a gateway states that a request has not run and will not.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@pytest.fixture
async def harness(tmp_path: Path) -> AsyncIterator[GatewayHarness]:
    gateway_harness = GatewayHarness(tmp_path)
    await gateway_harness.store.start()
    gateway_harness.publish(1)
    yield gateway_harness
    await gateway_harness.close()


def execution_count(harness: GatewayHarness, request_id: str) -> int:
    """Return how often endpoints have run a request."""
    return sum(e.executed_ids.count(request_id) for e in harness.endpoints.values())


@pytest.mark.parametrize("mode", ["refusal-again", "refusal-again-without-id"])
@pytest.mark.parametrize("second_id", ["q2", "q1"], ids=["another-id", "same-id"])
async def test_an_earlier_refusal_once_more_does_not_call_a_request_not_run(
    harness: GatewayHarness, mode: str, second_id: str
) -> None:
    """Guards against REFUSED: a copy of a refusal answers a request that runs."""
    await harness.add_endpoint("s1", "shop", mode)
    await harness.start()
    refused = await harness.send_request("/book/1", "q1", body=b"slot")
    response = await harness.send_request("/book/1", second_id, body=b"slot")
    assert refused.status == 503
    assert execution_count(harness, second_id) == 1
    assert response.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("mode", ["refusal-again", "refusal-again-without-id"])
async def test_an_earlier_refusal_once_more_does_not_run_a_request_twice(
    harness: GatewayHarness, mode: str
) -> None:
    """Guards against TWICE: a request runs elsewhere after a copy of a refusal."""
    for name, endpoint_mode in (("s1", mode), ("s2", "ok")):
        await harness.add_endpoint(name, "shop", endpoint_mode)
    await harness.start()
    request_ids: list[str] = []
    while not harness.endpoints["s1"].repeated_refusals:
        assert len(request_ids) < MAX_REQUESTS
        some_ids = [f"q{len(request_ids) + number}" for number in range(8)]
        request_ids += some_ids
        await asyncio.gather(
            *(harness.send_request("/book/1", name, body=b"slot") for name in some_ids)
        )
    assert {execution_count(harness, name) for name in request_ids} == {1}


@pytest.mark.parametrize(
    ("path", "service"), [("/book/1", "shop"), ("/chat/1", "model")]
)
async def test_a_refused_request_is_not_sent_to_the_same_endpoint_again(
    harness: GatewayHarness, path: str, service: str
) -> None:
    endpoint = await harness.add_endpoint("e1", service, "full")
    await harness.start()
    response = await harness.send_request(path, "q1", body=b"x")
    assert response.status == 503
    assert len(endpoint.received) == 1
