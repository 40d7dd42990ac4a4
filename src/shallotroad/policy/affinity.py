"""Record of the instances that recently served each prompt prefix.

A prompt is split into blocks of fixed length, and each block's digest includes
the digest of the block before it. Prompts with a common prefix therefore have
the same leading digests, and an instance that served these probably has the
prefix in its cache.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict


CHARACTERS_PER_BLOCK = 512
MAX_BLOCKS_PER_PROMPT = 32
MAX_TRACKED_BLOCKS = 20_000


def prefix_blocks(target: str, prompt: str) -> list[bytes]:
    """Return the chained digests of a prompt's leading blocks.

    Only whole blocks count, at most ``MAX_BLOCKS_PER_PROMPT``; the result is empty
    for a prompt shorter than one block. ``target`` is the model that the request
    names; the digests depend on it, so that equal prompts for different models
    differ.
    """
    digest = hashlib.blake2b(target.encode(), digest_size=8).digest()
    blocks = []
    length = min(len(prompt), CHARACTERS_PER_BLOCK * MAX_BLOCKS_PER_PROMPT)
    for start in range(0, length - CHARACTERS_PER_BLOCK + 1, CHARACTERS_PER_BLOCK):
        block = prompt[start : start + CHARACTERS_PER_BLOCK].encode()
        digest = hashlib.blake2b(digest + block, digest_size=8).digest()
        blocks.append(digest)
    return blocks


class PrefixHistory:
    """The last instance that served each block.

    When more than ``max_blocks`` are recorded, the least recently served ones are
    evicted.
    """

    def __init__(self, *, max_blocks: int = MAX_TRACKED_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._last_instance: OrderedDict[bytes, str] = OrderedDict()

    def record(self, blocks: list[bytes], instance: str) -> None:
        """Record that an instance has served a prompt with these blocks."""
        for block in blocks:
            self._last_instance[block] = instance
            self._last_instance.move_to_end(block)
        while len(self._last_instance) > self._max_blocks:
            self._last_instance.popitem(last=False)

    def cached_share(self, blocks: list[bytes], instance: str) -> float:
        """Return the fraction of the blocks that an instance was last to serve.

        It estimates how much of the prompt the instance has cached. Every matching
        block counts, also after one that does not match; 0.0 when there are no blocks.
        """
        if not blocks:
            return 0.0
        hits = sum(self._last_instance.get(block) == instance for block in blocks)
        return hits / len(blocks)

    def remove(self, instance: str) -> None:
        """Remove all blocks of an instance that has lost its cache."""
        kept = self._last_instance.items()
        self._last_instance = OrderedDict((b, i) for b, i in kept if i != instance)
