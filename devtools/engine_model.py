"""Performance model and deterministic answers of the engine stand-in.

Tokens of an answer are ``TAG0 TAG1 ...`` with a tag derived from the prompt, so
that a test can check that an answer is complete and belongs to its request.
"""

from __future__ import annotations

import hashlib
import random
import re
from collections import OrderedDict
from typing import Any
from typing import NamedTuple


LENGTH_PATTERN = re.compile(r"LENGTH=(\d+)")
# Length of the prompt blocks that the prefix cache stores.
BLOCK_CHARACTERS = 512
# Limit of a random answer length; a length that the prompt sets may exceed it.
MAX_ANSWER_TOKENS = 4000


class EngineSpeed(NamedTuple):
    """Parameters of an engine's speed.

    ``step_s`` is the duration of a decoding step with one request in the batch.
    Each further request adds the fraction ``batch_slope`` of it. A batch above
    ``max_batch``, or ``max_batch_cold`` while the engine is cold, makes each step
    ``overload_factor`` times as long. ``prefill_s_per_block`` is the prefill time
    of a prompt block that is not cached, ``cold_s`` the duration of a cold start
    and ``cache_blocks`` the size of the prefix cache.
    """

    step_s: float = 0.01
    batch_slope: float = 0.03
    prefill_s_per_block: float = 0.02
    max_batch: int = 8
    max_batch_cold: int = 2
    cold_s: float = 0.0
    overload_factor: float = 12.0
    cache_blocks: int = 256


def step_duration_s(
    speed: EngineSpeed, *, batch_size: int, cold: bool, slowness: float = 1.0
) -> float:
    """Return the duration of one decoding step in seconds.

    ``slowness`` is an additional factor; 1 is the normal speed.
    """
    max_batch = speed.max_batch_cold if cold else speed.max_batch
    base_s = (
        speed.step_s * (1.0 + speed.batch_slope * max(0, batch_size - 1)) * slowness
    )
    return base_s * speed.overload_factor if batch_size > max_batch else base_s


def prompt_text(body: dict[str, Any]) -> str:
    """Return the text of all messages that are not of the assistant."""
    texts = [
        str(message.get("content", ""))
        for message in body["messages"]
        if message.get("role") != "assistant"
    ]
    return "\n".join(texts)


def answer_tag(prompt: str) -> str:
    """Return the prefix of each token in the answer to a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:6] + "-"


def answer_length(prompt: str, max_tokens: int | None) -> int:
    """Return the number of tokens in the answer to a prompt.

    A prompt sets it with ``LENGTH=N``. Otherwise it follows a heavy-tailed
    distribution that is seeded with the prompt.
    """
    match = LENGTH_PATTERN.search(prompt)
    if match:
        length = int(match.group(1))
    else:
        rng = random.Random(prompt)
        length = int(min(MAX_ANSWER_TOKENS, 20 * rng.paretovariate(1.3)))
    return min(length, max_tokens) if max_tokens else length


def expected_answer(prompt: str, max_tokens: int | None = None) -> str:
    """Return the complete answer to a prompt."""
    tag = answer_tag(prompt)
    return "".join(f"{tag}{i} " for i in range(answer_length(prompt, max_tokens)))


def generated_token_count(body: dict[str, Any]) -> int:
    """Return how many tokens of the answer a request already brings.

    It is 0 unless the request continues an interrupted answer.
    """
    last = body["messages"][-1]
    if not body.get("continue_final_message") or last.get("role") != "assistant":
        return 0
    return len(str(last["content"]).split())


class PrefixCache:
    """An LRU cache of prompt blocks; a block's key covers all text up to its end."""

    def __init__(self, *, blocks: int) -> None:
        self._limit = blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.hits = 0
        self.misses = 0

    def cache_prompt(self, prompt: str) -> int:
        """Cache the blocks of a prompt; return how many were not cached before."""
        missing = 0
        last = len(prompt) - BLOCK_CHARACTERS + 1
        for end in range(BLOCK_CHARACTERS, last + BLOCK_CHARACTERS, BLOCK_CHARACTERS):
            key = hashlib.blake2b(prompt[:end].encode(), digest_size=8).hexdigest()
            if key in self._blocks:
                self.hits += 1
            else:
                self.misses += 1
                missing += 1
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)
        return missing
