"""A bound on retries as a share of first attempts, so that they can't storm."""

from __future__ import annotations


RETRY_SHARE = 0.2
MAX_BUDGETED_RETRIES = 20.0


class RetryBudget:
    """Retries that may still be made; each first attempt earns a share."""

    def __init__(self) -> None:
        self._left = MAX_BUDGETED_RETRIES

    def earn(self) -> None:
        """Note a first attempt."""
        self._left = min(MAX_BUDGETED_RETRIES, self._left + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one retry; tell whether the budget allowed it."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    @property
    def left(self) -> float:
        """Retries that are left."""
        return self._left
