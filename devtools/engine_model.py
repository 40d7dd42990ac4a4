"""The batching model of the engine stand-in: how fast tokens come.

Tokens of an answer are ``TAG0 TAG1 ...`` with a tag from the prompt, so that a
test can tell whether an answer is whole and belongs to its request.
"""

from __future__ import annotations

import hashlib
import random
import re
from collections import OrderedDict
from typing import Any
from typing import NamedTuple


LENGTH = re.compile(r"LENGTH=(\d+)")
BLOCK_CHARACTERS = 512
MAX_TOKENS = 4000


class EngineSpeed(NamedTuple):
    """How an engine performs.

    ``step_s`` is the time of a step with one request, ``batch_slope`` what each
    further one adds as a share, ``max_batch`` how many it bears when warm and
    ``max_batch_cold`` while cold; above that, steps slow down
    ``overload_factor`` times.
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
    speed: EngineSpeed, *, batch_size: int, cold: bool, slow: float = 1.0
) -> float:
    """Return the time of one decoding step for a batch, in seconds."""
    max_batch = speed.max_batch_cold if cold else speed.max_batch
    base_s = speed.step_s * (1.0 + speed.batch_slope * max(0, batch_size - 1)) * slow
    return base_s * speed.overload_factor if batch_size > max_batch else base_s


def prompt_text(body: dict[str, Any]) -> str:
    """Return the text of the messages before the answer."""
    texts = [
        str(message.get("content", ""))
        for message in body["messages"]
        if message.get("role") != "assistant"
    ]
    return "\n".join(texts)


def answer_tag(prompt: str) -> str:
    """Return the tag of the tokens that answer a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:6] + "-"


def answer_length(prompt: str, max_tokens: int | None) -> int:
    """Return how many tokens answer a prompt; heavy-tailed unless it says."""
    found = LENGTH.search(prompt)
    if found:
        length = int(found.group(1))
    else:
        rng = random.Random(prompt)
        length = int(min(MAX_TOKENS, 20 * rng.paretovariate(1.3)))
    return min(length, max_tokens) if max_tokens else length


def expected_answer(prompt: str, max_tokens: int | None = None) -> str:
    """Return the whole answer to a prompt."""
    tag = answer_tag(prompt)
    return "".join(f"{tag}{i} " for i in range(answer_length(prompt, max_tokens)))


def tokens_done(body: dict[str, Any]) -> int:
    """Return how many tokens a continued request has already."""
    last = body["messages"][-1]
    if not body.get("continue_final_message") or last.get("role") != "assistant":
        return 0
    return len(str(last["content"]).split())


class PrefixCache:
    """Cached prompt blocks in limited memory, least recently used first out."""

    def __init__(self, *, blocks: int) -> None:
        self._limit = blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.hits = 0
        self.misses = 0

    def missing(self, prompt: str) -> int:
        """Return how many blocks must be computed; they are cached then."""
        count = 0
        last = len(prompt) - BLOCK_CHARACTERS + 1
        for end in range(BLOCK_CHARACTERS, last + BLOCK_CHARACTERS, BLOCK_CHARACTERS):
            key = hashlib.blake2b(prompt[:end].encode(), digest_size=8).hexdigest()
            if key in self._blocks:
                self.hits += 1
            else:
                self.misses += 1
                count += 1
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)
        return count
