"""Event loop whose time advances only while it has nothing to run.

Timeouts and delays take no real time, and bounds on the loop's time hold or fail alike
on an idle and on a busy machine.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any


class _VirtualSelector(selectors.BaseSelector):
    """Reports ready files at once, and counts the time that it would have waited."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self.now_s = 0.0

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._selector.unregister(fileobj)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._selector.select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("nothing is scheduled, so the test would wait forever")
        self.now_s += timeout
        return ready

    def close(self) -> None:
        self._selector.close()

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._selector.get_map()


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that follows the time of its selector."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now_s


class VirtualTimePolicy(asyncio.DefaultEventLoopPolicy):
    """Creates loops with virtual time."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return VirtualTimeLoop()
