"""Where prompts with the same beginning were sent before."""

from __future__ import annotations

import hashlib
from collections import OrderedDict


BLOCK_CHARACTERS = 512
MAX_BLOCKS_PER_PROMPT = 32
MAX_TRACKED_BLOCKS = 20_000


def prefix_blocks(target: str, prompt: str) -> list[bytes]:
    """Return a chained digest for each whole block of a prompt's beginning."""
    digest = hashlib.blake2b(target.encode(), digest_size=8).digest()
    blocks = []
    last = min(len(prompt), BLOCK_CHARACTERS * MAX_BLOCKS_PER_PROMPT)
    for start in range(0, last - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS].encode()
        digest = hashlib.blake2b(digest + block, digest_size=8).digest()
        blocks.append(digest)
    return blocks


class PrefixHistory:
    """The endpoints that have served a prefix, most recent last."""

    def __init__(self, *, max_blocks: int = MAX_TRACKED_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._served: OrderedDict[bytes, str] = OrderedDict()

    def record(self, blocks: list[bytes], instance: str) -> None:
        """Note that an instance has served a prompt with these blocks."""
        for block in blocks:
            self._served[block] = instance
            self._served.move_to_end(block)
        while len(self._served) > self._max_blocks:
            self._served.popitem(last=False)

    def cached_share(self, blocks: list[bytes], instance: str) -> float:
        """Return the share of the blocks that an instance may have cached."""
        if not blocks:
            return 0.0
        hits = sum(self._served.get(block) == instance for block in blocks)
        return hits / len(blocks)

    def evict(self, instance: str) -> None:
        """Forget an instance whose cache is gone."""
        kept = self._served.items()
        self._served = OrderedDict((b, i) for b, i in kept if i != instance)
