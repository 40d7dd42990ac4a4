"""A chat request that goes on where a broken answer stopped."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from shallotroad.entry.attempt import NumberedChunk


if TYPE_CHECKING:
    from collections.abc import Iterable

DATA_PREFIX = b"data: "


def delivered_text(chunks: Iterable[bytes]) -> str:
    """Return the answer's text in server-sent events that were delivered."""
    parts = []
    for chunk in chunks:
        for line in chunk.splitlines():
            if line.startswith(DATA_PREFIX + b"{"):
                event = json.loads(line.removeprefix(DATA_PREFIX))
                for choice in event.get("choices", ()):
                    parts.append(choice.get("delta", {}).get("content") or "")
    return "".join(parts)


def delivered_tokens(chunks: Iterable[bytes]) -> int:
    """Return how many content events were delivered, one a token."""
    return sum(b'"content"' in chunk for chunk in chunks)


def continued_body(body: bytes, *, text: str, tokens: int) -> bytes:
    """Return the body that asks an engine to go on after ``text``.

    The engine is told that the last message is an unfinished answer
    (``continue_final_message``), so that nothing is generated twice.
    """
    request: dict[str, Any] = json.loads(body)
    messages = list(request["messages"])
    if text:
        messages.append({"role": "assistant", "content": text})
        request["continue_final_message"] = True
        request["add_generation_prompt"] = False
    request["messages"] = messages
    for name in ("max_tokens", "max_completion_tokens"):
        if isinstance(request.get(name), int):
            request[name] = max(1, request[name] - tokens)
    return json.dumps(request).encode()


def _token_limit(body: bytes) -> int | None:
    request = json.loads(body)
    limit = request.get("max_completion_tokens", request.get("max_tokens"))
    return limit if isinstance(limit, int) else None


def missing_end(delivered: list[bytes], body: bytes) -> list[NumberedChunk] | None:
    """Return the closing events when only these were lost, else None."""
    if not delivered:
        return None
    joined = b"".join(delivered[-2:])
    chunks = []
    if b'"finish_reason": "' not in joined and b'"finish_reason":"' not in joined:
        limit = _token_limit(body)
        if limit is None or delivered_tokens(delivered) < limit:
            return None
        choice = {"index": 0, "delta": {}, "finish_reason": "length"}
        event = {"object": "chat.completion.chunk", "choices": [choice]}
        chunks.append(DATA_PREFIX + json.dumps(event).encode() + b"\n\n")
    chunks.append(DATA_PREFIX + b"[DONE]\n\n")
    return [NumberedChunk(seq, data) for seq, data in enumerate(chunks)]
