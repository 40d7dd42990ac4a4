from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp
from devtools import sample_fleet as sample
from devtools.bench.usage import read_usage
from devtools.engine_model import expected_answer
from devtools.processes import HOST
from devtools.sample_fleet import start_fleet

from tests.helpers import HEADERS
from tests.helpers import chat_body
from tests.helpers import entry_url
from tests.helpers import send_chat


VALID_BODY = chat_body("x")
INVALID_BODIES: list[tuple[int, bytes]] = [
    (400, b""),
    (400, b"{"),
    (400, b"[]"),
    (400, b"null"),
    (400, b"[" * 100_000),
    (400, b"\xff\xfe"),
    (400, json.dumps({**VALID_BODY, "model": 3}).encode()),
    (400, json.dumps({**VALID_BODY, "messages": []}).encode()),
    (400, json.dumps({**VALID_BODY, "messages": "hi"}).encode()),
    (400, json.dumps({**VALID_BODY, "messages": [{"content": "x"}]}).encode()),
    (400, json.dumps({**VALID_BODY, "stream": "yes"}).encode()),
    (400, json.dumps({**VALID_BODY, "max_tokens": -1}).encode()),
    (400, json.dumps({**VALID_BODY, "max_tokens": True}).encode()),
    (400, json.dumps({**VALID_BODY, "max_tokens": 10**9}).encode()),
    (404, json.dumps({**VALID_BODY, "model": "none"}).encode()),
    (413, b"x" * 1_200_000),
]


async def post_raw(
    session: aiohttp.ClientSession, url: str, path: str, body: bytes, **headers: str
) -> tuple[int, Any]:
    async with session.post(
        url + path, data=body, headers={**HEADERS, **headers}
    ) as response:
        return response.status, await response.json()


async def test_invalid_input_gets_descriptive_error_and_entry_keeps_serving() -> None:
    fleet = start_fleet(engines=1, services=0, entries=1)
    try:
        url = entry_url(fleet)
        path = "/v1/chat/completions"
        async with aiohttp.ClientSession() as session:
            for expected, body in INVALID_BODIES:
                status, data = await post_raw(session, url, path, body)
                assert status == expected, (body[:40], data)
                assert data["error"]["message"]
                assert data["error"]["outcome"] == "not-run"
                assert "Traceback" not in json.dumps(data)
            for event_id in ("x", "a@b:c", "@:1", "a" * 5000 + "@b:1"):
                status, data = await post_raw(
                    session, url, path, b"{}", **{"Last-Event-ID": event_id}
                )
                assert status in (400, 410), data
            status, data = await post_raw(session, url, "/nowhere", b"{}")
            assert (status, data["error"]["code"]) == (404, "not_found")
            status, data = await post_raw(
                session, url, "/v1/idempotency-keys", b'{"service": 3}'
            )
            assert status == 404
        served = await send_chat(url, "still LENGTH=5")
        generated = fleet.stats("engine-1")["generated"]
    finally:
        fleet.close()
    assert served.outcome == "done"
    assert generated == 5


async def open_unread_stream(url: str, prompt: str) -> asyncio.StreamWriter:
    """Request a long stream and read nothing of the response."""
    port = int(url.rpartition(":")[2])
    _, writer = await asyncio.open_connection(HOST, port, limit=1024)
    body = json.dumps(chat_body(prompt, max_tokens=4000)).encode()
    request_head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {sample.TEAM_KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(request_head.encode() + body)
    await writer.drain()
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    return writer


async def test_slow_callers_do_not_delay_others_or_exhaust_memory() -> None:
    """Responses that callers do not read must not block others or fill the memory."""
    fleet = start_fleet(
        engines=1, services=0, entries=1, engine_options=("--step-s", "0.001")
    )
    try:
        url = entry_url(fleet)
        pid = fleet.handles["entry-1"].process.pid
        await send_chat(url, "warm LENGTH=100")
        memory_before = read_usage(pid).memory_bytes
        unread_streams = [
            await open_unread_stream(url, f"slow {n} LENGTH=4000") for n in range(4)
        ]
        await asyncio.sleep(3)
        served = await asyncio.wait_for(send_chat(url, "quick LENGTH=20"), 10)
        memory_after = read_usage(pid).memory_bytes
        for writer in unread_streams:
            writer.close()
    finally:
        fleet.close()
    assert served.text == expected_answer("quick LENGTH=20", 128)
    assert memory_after - memory_before < 40_000_000


async def test_requests_beyond_max_open_are_refused() -> None:
    fleet = start_fleet(engines=1, services=0, entries=0)
    try:
        fleet.start_entry("entry-1", sample.DATA_CENTRES[0], open_requests=5)
        url = entry_url(fleet)
        responses = await asyncio.gather(
            *(send_chat(url, f"open {n} LENGTH=100") for n in range(12))
        )
    finally:
        fleet.close()
    codes = [response.code for response in responses]
    assert codes.count("too_many_requests_open") == 7
    assert [r.outcome for r in responses].count("done") == 5
