"""Callers of a chaos run: chats that go on, bookings that are sent again."""

from __future__ import annotations

import asyncio
import json
from typing import NamedTuple

import aiohttp

from devtools import sample_fleet as sample
from devtools.engine_model import answer_tag
from devtools.engine_model import expected_answer


HEADERS = {"Authorization": f"Bearer {sample.TEAM_KEY}"}
LENGTHS = {"chat": 20, "summary": 80, "draft": 300}
LIMITS = {"chat": 128, "summary": 512, "draft": 4096}
RESENDS = 12
RESEND_GAP_S = 1.0
CLIENT_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)


class ChatResult(NamedTuple):
    """What a caller saw of one chat; ``silent`` when it was left waiting."""

    name: str
    kind: str
    outcome: str
    code: str
    text: str
    expected: str
    tag: str


class BookingResult(NamedTuple):
    """The last word that a caller was told about one booking."""

    name: str
    outcome: str
    code: str


async def send_chat(
    session: aiohttp.ClientSession, url: str, kind: str, name: str
) -> ChatResult:
    """Send one chat and read its answer."""
    prompt = f"{kind} {name} LENGTH={LENGTHS[kind]}"
    body = {
        "model": sample.MODEL,
        "stream": True,
        "max_tokens": LIMITS[kind],
        "messages": [{"role": "user", "content": prompt}],
    }
    words: list[str] = []
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
                        words.append(choice["delta"].get("content") or "")
    except TimeoutError:
        outcome, code = "silent", ""
    except CLIENT_ERRORS:
        outcome, code = "unknown", "connection"
    return ChatResult(
        name=name,
        kind=kind,
        outcome=outcome,
        code=code,
        text="".join(words),
        expected=expected_answer(prompt, LIMITS[kind]),
        tag=answer_tag(prompt),
    )


async def book_until_outcome_known(
    session: aiohttp.ClientSession, urls: list[str], name: str
) -> BookingResult:
    """Book with one key, sent again through either entry until it is known.

    A caller that is told ``not-run`` stops there; its word must hold.
    """
    key = ""
    outcome, code = "unknown", "never sent"
    for number in range(RESENDS):
        url = urls[number % len(urls)]
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
        await asyncio.sleep(RESEND_GAP_S)
    return BookingResult(name, outcome, code)
