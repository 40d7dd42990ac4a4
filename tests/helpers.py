from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import aiohttp
from devtools import sample_fleet as sample
from devtools.processes import HOST


if TYPE_CHECKING:
    from collections.abc import Callable

    from devtools.processes import LocalFleet

HEADERS = {"Authorization": f"Bearer {sample.TEAM_KEY}"}
TIMEOUT = aiohttp.ClientTimeout(total=60)


class Response(NamedTuple):
    """The response to one request, as its caller received it.

    ``outcome`` is that of the header or of the error event that ended a stream.
    ``code`` is the error code, empty without an error; ``last_event_id`` is empty
    if no event with an identifier was received.
    """

    status: int
    outcome: str
    text: str
    code: str
    last_event_id: str
    headers: dict[str, str]


def entry_url(fleet: LocalFleet, name: str = "entry-1") -> str:
    return f"http://{HOST}:{fleet.handles[name].port}"


def chat_body(prompt: str, **changes: Any) -> dict[str, Any]:
    body = {
        "model": sample.MODEL,
        "stream": True,
        "max_tokens": 128,
        "messages": [{"role": "user", "content": prompt}],
    }
    return {**body, **changes}


async def send_chat(
    url: str,
    prompt: str,
    *,
    headers: dict[str, str] | None = None,
    stop_after_tokens: int | None = None,
    **changes: Any,
) -> Response:
    """Send one chat request and return its response.

    Disconnects after ``stop_after_tokens`` tokens of a stream, if it is given.
    """
    tokens: list[str] = []
    code = ""
    last_event_id = ""
    async with (
        aiohttp.ClientSession(timeout=TIMEOUT) as session,
        session.post(
            f"{url}/v1/chat/completions",
            json=chat_body(prompt, **changes),
            headers={**HEADERS, **(headers or {})},
        ) as response,
    ):
        outcome = response.headers.get("X-Shallotroad-Outcome", "")
        response_headers = dict(response.headers)
        if response.status != 200:
            error = (await response.json())["error"]
            return Response(
                response.status, outcome, "", error["code"], "", response_headers
            )
        if response.content_type != "text/event-stream":
            data = await response.json()
            text = data["choices"][0]["message"]["content"]
            return Response(200, outcome, text, "", "", response_headers)
        async for line in response.content:
            if line.startswith(b"id: "):
                last_event_id = line[4:].decode().strip()
            if line.startswith(b"data: {"):
                event = json.loads(line.removeprefix(b"data: "))
                if "error" in event:
                    code = event["error"]["code"]
                    outcome = event["error"]["outcome"]
                for choice in event.get("choices", ()):
                    content = choice["delta"].get("content")
                    if content:
                        tokens.append(content)
            if stop_after_tokens is not None and len(tokens) >= stop_after_tokens:
                break
        return Response(
            200, outcome, "".join(tokens), code, last_event_id, response_headers
        )


async def call_service(
    url: str,
    path: str,
    *,
    method: str = "POST",
    key: str = "",
    data: Any = None,
    timeout_s: float = 60,
) -> Response:
    headers = dict(HEADERS)
    if key:
        headers["Idempotency-Key"] = key
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method,
            f"{url}/v1/services/{sample.SERVICE}{path}",
            json=data,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response,
    ):
        text = await response.text()
        outcome = response.headers.get("X-Shallotroad-Outcome", "")
        code = ""
        if '"error"' in text:
            code = json.loads(text)["error"]["code"]
        return Response(
            response.status, outcome, text, code, "", dict(response.headers)
        )


async def request_idempotency_key(url: str) -> str:
    response = await call_service(url, "/bookings", data={"booking": "key"})
    assert response.status == 428, response
    return response.headers["Idempotency-Key"]


async def eventually(
    check: Callable[[], bool], *, timeout_s: float = 20.0, what: str = ""
) -> None:
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if await asyncio.to_thread(check):
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"condition not met within {timeout_s} s: {what}")
