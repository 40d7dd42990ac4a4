"""Time at which each prompt part was last sent to any engine.

Placement uses it to estimate how much of a prompt some engine has cached.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.platform.headers import PromptPart

MAX_PARTS = 16_384


class RecentParts:
    """Last use of each prompt part.

    When more than ``MAX_PARTS`` are recorded, the least recently used ones are
    evicted.
    """

    def __init__(self) -> None:
        self._used_s: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Sequence[PromptPart], now_s: float) -> None:
        """Record that an engine uses the parts now."""
        for part in parts:
            self._used_s[part.identifier] = now_s
            self._used_s.move_to_end(part.identifier)
        while len(self._used_s) > MAX_PARTS:
            self._used_s.popitem(last=False)

    def recently_used_tokens(self, parts: Sequence[PromptPart], since_s: float) -> int:
        """Return the total tokens of the parts used at or after ``since_s``."""
        return sum(
            part.tokens
            for part in parts
            if self._used_s.get(part.identifier, since_s - 1.0) >= since_s
        )
