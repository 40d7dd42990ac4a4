"""Limit on retries as a fraction of first attempts.

It keeps retries from multiplying the load during an outage.
"""

from __future__ import annotations


RETRIES_PER_FIRST_ATTEMPT = 0.2
MAX_BUDGETED_RETRIES = 20.0


class RetryBudget:
    """Retries that may be made now; full at the start.

    Each first attempt adds ``RETRIES_PER_FIRST_ATTEMPT``, up to
    ``MAX_BUDGETED_RETRIES``; each retry takes 1.
    """

    def __init__(self) -> None:
        self._remaining = MAX_BUDGETED_RETRIES

    def record_first_attempt(self) -> None:
        """Add the share of one first attempt to the budget."""
        self._remaining = min(
            MAX_BUDGETED_RETRIES, self._remaining + RETRIES_PER_FIRST_ATTEMPT
        )

    def take_retry(self) -> bool:
        """Take one retry from the budget; return False if less than one is left."""
        if self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True

    @property
    def remaining(self) -> float:
        """Retries in the budget, with fractions."""
        return self._remaining
