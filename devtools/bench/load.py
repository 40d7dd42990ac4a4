"""Sends the arrivals of an experiment to entries and records each response."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import aiohttp

from devtools import sample_fleet as sample
from devtools.engine_model import expected_answer


if TYPE_CHECKING:
    from collections.abc import Sequence

    from devtools.bench.workload import Arrival

# Only the events with a token's text have this key.
CONTENT_KEY = b'"content"'
TEAM_KEYS = (sample.TEAM_KEY, sample.OTHER_KEY)


class Result(NamedTuple):
    """Response to one arrival as its caller received it.

    Parameters
    ----------
    arrival : Arrival
        The request that was sent.
    team : str
        API key of the team that sent it.
    first_token_s : float or None
        Seconds from sending until the first token; None if there was none.
    ended_s : float
        Seconds from sending until the response ended or failed.
    tokens : int
        Number of tokens received.
    outcome : str
        Outcome that the router reported; ``unknown`` if it reported none, the stream
        ended in an error event, or the request failed or timed out.
    complete : bool
        Whether the received text is the whole expected answer.
    """

    arrival: Arrival
    team: str
    first_token_s: float | None
    ended_s: float
    tokens: int
    outcome: str
    complete: bool


async def _send(
    session: aiohttp.ClientSession, url: str, arrival: Arrival, key: str
) -> Result:
    body = {
        "model": sample.MODEL,
        "stream": True,
        "max_tokens": arrival.max_tokens,
        "messages": [{"role": "user", "content": arrival.prompt}],
    }
    headers = {
        "Authorization": f"Bearer {key}",
        "X-Request-Class": arrival.request_class,
    }
    started_s = time.monotonic()
    first_token_s = None
    words: list[str] = []
    outcome = "unknown"
    try:
        async with session.post(
            f"{url}/v1/chat/completions", json=body, headers=headers
        ) as response:
            outcome = response.headers.get("X-Shallotroad-Outcome", "unknown")
            async for line in response.content:
                if line.startswith(b'data: {"error"'):
                    outcome = "unknown"
                if CONTENT_KEY not in line or response.status != 200:
                    continue
                if first_token_s is None:
                    first_token_s = time.monotonic() - started_s
                event = json.loads(line[6:])
                words.append(event["choices"][0]["delta"]["content"])
    except (aiohttp.ClientError, TimeoutError, ConnectionError):
        outcome = "unknown"
    return Result(
        arrival=arrival,
        team=key,
        first_token_s=first_token_s,
        ended_s=time.monotonic() - started_s,
        tokens=len(words),
        outcome=outcome,
        complete="".join(words) == expected_answer(arrival.prompt, arrival.max_tokens),
    )


async def send_arrivals(
    urls: Sequence[str], arrivals: Sequence[Arrival], *, timeout_s: float
) -> list[Result]:
    """Send each arrival when it is due and return the results in the same order.

    Arrivals go to the entries in turn. Every fourth one uses the key of the second
    team. A request is abandoned ``timeout_s`` seconds after it was sent.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    connector = aiohttp.TCPConnector(limit=0)
    started_s = time.monotonic()

    async def send_when_due(number: int, arrival: Arrival) -> Result:
        await asyncio.sleep(max(0.0, started_s + arrival.at_s - time.monotonic()))
        key = TEAM_KEYS[number % 4 == 3]
        return await _send(session, urls[number % len(urls)], arrival, key)

    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        return await asyncio.gather(
            *(send_when_due(n, arrival) for n, arrival in enumerate(arrivals))
        )
