"""Callers of a chaos run: streamed chats, and bookings that are retried."""

from __future__ import annotations

import asyncio
import json
from typing import NamedTuple

import aiohttp

from devtools import sample_fleet as sample
from devtools.engine_model import answer_tag
from devtools.engine_model import expected_answer


HEADERS = {"Authorization": f"Bearer {sample.TEAM_KEY}"}
# Tokens of the answer, by request class.
ANSWER_TOKENS = {"chat": 20, "summary": 80, "draft": 300}
MAX_TOKENS = {"chat": 128, "summary": 512, "draft": 4096}
# Maximum number of calls for one booking, with the first that brings the key.
MAX_ATTEMPTS = 12
RETRY_INTERVAL_S = 1.0
CLIENT_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)


class ChatResult(NamedTuple):
    """What a caller received for one chat.

    ``outcome`` is the one that the router reported (``done``, ``not-run`` or
    ``unknown``), ``silent`` when the response timed out, and ``unknown`` also when the
    connection failed. ``code`` is the error code, empty when there was none.
    ``expected`` is the complete answer; ``tag`` marks the tokens of this prompt.
    """

    name: str
    kind: str
    outcome: str
    code: str
    text: str
    expected: str
    tag: str


class BookingResult(NamedTuple):
    """The last outcome and error code that a caller received for one booking.

    ``code`` is empty after a successful response, and ``connection`` when the last
    attempt timed out or its connection failed.
    """

    name: str
    outcome: str
    code: str


async def send_chat(
    session: aiohttp.ClientSession, url: str, kind: str, name: str
) -> ChatResult:
    """Send one streamed chat of a request class and read its answer to the end."""
    prompt = f"{kind} {name} LENGTH={ANSWER_TOKENS[kind]}"
    body = {
        "model": sample.MODEL,
        "stream": True,
        "max_tokens": MAX_TOKENS[kind],
        "messages": [{"role": "user", "content": prompt}],
    }
    texts: list[str] = []
    outcome, code = "unknown", ""
    headers = {**HEADERS, "X-Request-Class": kind}
    try:
        async with session.post(
            f"{url}/v1/chat/completions", json=body, headers=headers
        ) as response:
            outcome = response.headers.get("X-Shallotroad-Outcome", "unknown")
            if response.status != 200:
                code = (await response.json())["error"]["code"]
            async for line in response.content:
                if line.startswith(b"data: {"):
                    event = json.loads(line[6:])
                    if "error" in event:
                        outcome = event["error"]["outcome"]
                        code = event["error"]["code"]
                    for choice in event.get("choices", ()):
                        texts.append(choice["delta"].get("content") or "")
    except TimeoutError:
        outcome, code = "silent", ""
    except CLIENT_ERRORS:
        outcome, code = "unknown", "connection"
    return ChatResult(
        name=name,
        kind=kind,
        outcome=outcome,
        code=code,
        text="".join(texts),
        expected=expected_answer(prompt, MAX_TOKENS[kind]),
        tag=answer_tag(prompt),
    )


async def book_until_outcome_known(
    session: aiohttp.ClientSession, urls: list[str], name: str
) -> BookingResult:
    """Send a booking and retry it through the entries until its outcome is known.

    The first response only brings the idempotency key that all further attempts
    carry. The caller stops at ``not-run``, and the run then checks that the booking
    was indeed never run.
    """
    key = ""
    outcome, code = "unknown", "never sent"
    for attempt in range(MAX_ATTEMPTS):
        url = urls[attempt % len(urls)]
        headers = {**HEADERS, **({"Idempotency-Key": key} if key else {})}
        try:
            async with session.post(
                f"{url}/v1/services/{sample.SERVICE}/bookings",
                json={"booking": name, "delay_s": 0.2},
                headers=headers,
            ) as response:
                outcome = response.headers.get("X-Shallotroad-Outcome", "unknown")
                if response.status >= 400:
                    code = (await response.json())["error"]["code"]
                else:
                    code = ""
                if not key:
                    key = response.headers.get("Idempotency-Key", "")
                    continue
        except CLIENT_ERRORS:
            outcome, code = "unknown", "connection"
        if outcome in ("done", "not-run") and key:
            break
        await asyncio.sleep(RETRY_INTERVAL_S)
    return BookingResult(name, outcome, code)
