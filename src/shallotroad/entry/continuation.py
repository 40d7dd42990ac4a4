"""Continuation of an interrupted chat stream at another endpoint.

The text delivered so far is appended to the request as an unfinished message of
the assistant, and the engine generates only the rest.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from shallotroad.entry.attempt import NumberedChunk


if TYPE_CHECKING:
    from collections.abc import Iterable

DATA_PREFIX = b"data: "


def delivered_text(chunks: Iterable[bytes]) -> str:
    """Return the text of the answer in the delivered server-sent events."""
    parts = []
    for chunk in chunks:
        for line in chunk.splitlines():
            if line.startswith(DATA_PREFIX + b"{"):
                event = json.loads(line.removeprefix(DATA_PREFIX))
                for choice in event.get("choices", ()):
                    parts.append(choice.get("delta", {}).get("content") or "")
    return "".join(parts)


def delivered_tokens(chunks: Iterable[bytes]) -> int:
    """Return the number of delivered events with content; each holds one token."""
    return sum(b'"content"' in chunk for chunk in chunks)


def continuation_body(body: bytes, *, text: str, tokens: int) -> bytes:
    """Return the body of the request that continues after ``text``.

    ``body`` is the caller's, not that of an earlier continuation; ``text`` and
    ``tokens`` are what all attempts together delivered.

    ``continue_final_message`` makes the engine treat the last message as an
    unfinished answer, so that nothing is generated twice. The token limits are
    reduced by ``tokens``, to 1 at the least.
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
    """Return the token limit of a chat request; None if it has no integer limit.

    ``max_completion_tokens``, if present, takes precedence over ``max_tokens``.
    """
    request = json.loads(body)
    limit = request.get("max_completion_tokens", request.get("max_tokens"))
    return limit if isinstance(limit, int) else None


def missing_closing_chunks(
    delivered: list[bytes], body: bytes
) -> list[NumberedChunk] | None:
    """Return the closing events if only these are missing, else None.

    The answer is complete if one of the last two delivered events contains a finish
    reason, or if as many tokens were delivered as ``body`` permits; in the second case
    an event with the finish reason ``length`` comes first. The last returned event is
    always ``[DONE]``, even if one was delivered before.

    Parameters
    ----------
    delivered : list[bytes]
        Server-sent events delivered to the caller by all attempts, one per item.
    body : bytes
        The caller's request body, not that of a continuation: its token limit applies
        to all attempts together.

    Returns
    -------
    list[NumberedChunk] or None
        Chunks of one event each, numbered from 0.
    """
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
