"""Sends arrivals to entries and records what each caller saw."""

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

CONTENT = b'"content"'
KEYS = (sample.TEAM_KEY, sample.OTHER_KEY)


class Result(NamedTuple):
    """What the caller of one arrival saw; times in seconds."""

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
    first_s = None
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
                if CONTENT not in line or response.status != 200:
                    continue
                if first_s is None:
                    first_s = time.monotonic() - started_s
                event = json.loads(line[6:])
                words.append(event["choices"][0]["delta"]["content"])
    except (aiohttp.ClientError, TimeoutError, ConnectionError):
        outcome = "unknown"
    return Result(
        arrival=arrival,
        team=key,
        first_token_s=first_s,
        ended_s=time.monotonic() - started_s,
        tokens=len(words),
        outcome=outcome,
        complete="".join(words) == expected_answer(arrival.prompt, arrival.max_tokens),
    )


async def send_arrivals(
    urls: Sequence[str], arrivals: Sequence[Arrival], *, timeout_s: float
) -> list[Result]:
    """Send each arrival at its time, over the entries in turn."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    connector = aiohttp.TCPConnector(limit=0)
    started_s = time.monotonic()

    async def at_its_time(number: int, arrival: Arrival) -> Result:
        await asyncio.sleep(max(0.0, started_s + arrival.at_s - time.monotonic()))
        key = KEYS[number % 4 == 3]
        return await _send(session, urls[number % len(urls)], arrival, key)

    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        return await asyncio.gather(
            *(at_its_time(n, arrival) for n, arrival in enumerate(arrivals))
        )
