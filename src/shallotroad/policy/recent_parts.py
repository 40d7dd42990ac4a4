"""When each prompt part was last sent to any engine."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from shallotroad.platform.headers import PromptPart

MAX_PARTS = 16_384


class RecentParts:
    """Last use by part, bounded in number."""

    def __init__(self) -> None:
        self._used_s: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Sequence[PromptPart], now_s: float) -> None:
        """Note that an engine reads the parts now."""
        for part in parts:
            self._used_s[part.identifier] = now_s
            self._used_s.move_to_end(part.identifier)
        while len(self._used_s) > MAX_PARTS:
            self._used_s.popitem(last=False)

    def warm_tokens(self, parts: Sequence[PromptPart], since_s: float) -> int:
        """Return the tokens of the parts that were used since a time."""
        return sum(
            part.tokens
            for part in parts
            if self._used_s.get(part.identifier, since_s - 1.0) >= since_s
        )
