"""Bounds the memory that unfinished parts of responses take together.

An endpoint in trouble may send bytes without end, in a head, in an event of a stream or
in a body. Each of these has a limit of its own; many of them at once must not fill the
memory of the process either.
"""

from __future__ import annotations

from shallotroad.upstream.exceptions import MalformedResponseError


# Bytes of each part that do not count towards the limit of the process, so that large
# parts never make an ordinary one fail.
UNCOUNTED_BYTES = 65_536
MAX_UNFINISHED_BYTES = 33_554_432


class ByteBudget:
    """Bytes that the unfinished parts of a process hold together."""

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0

    def take(self, size_bytes: int) -> bool:
        """Count further bytes; return False, and count none, if they are too many."""
        if self.held_bytes + size_bytes > self._max_bytes:
            return False
        self.held_bytes += size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Stop counting bytes."""
        self.held_bytes -= size_bytes


UNFINISHED_PARTS = ByteBudget(max_bytes=MAX_UNFINISHED_BYTES)


class UnfinishedPart:
    """The size of one part of a response that is not complete, as far as it counts."""

    def __init__(self, *, budget: ByteBudget = UNFINISHED_PARTS) -> None:
        self._budget = budget
        self._counted_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Count the size that the part has now; 0 once it is complete or dropped.

        Raises
        ------
        MalformedResponseError
            When the unfinished parts of the process are too large together. The part
            counts with its earlier size then.
        """
        counted_bytes = max(0, size_bytes - UNCOUNTED_BYTES)
        if counted_bytes <= self._counted_bytes:
            self._budget.give_back(self._counted_bytes - counted_bytes)
        elif not self._budget.take(counted_bytes - self._counted_bytes):
            raise MalformedResponseError(
                f"a part of a response has {size_bytes} bytes, and unfinished parts "
                f"hold {self._budget.held_bytes} bytes already"
            )
        self._counted_bytes = counted_bytes
