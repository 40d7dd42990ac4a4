"""What a gateway knows of one endpoint's load, pace and failures.

The coordinator of a service counts the work of all entries here, any other
gateway its own.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from shallotroad.catalog.endpoint import EndpointRecord
    from shallotroad.platform.headers import PromptPart

PREFILL_TOKENS_PER_MS = 50.0  # until measured; typical of eight-way model engines
FIRST_EVENT_MS = 100.0  # until measured; step, set-up and way of an idle engine
PAIRS_PER_MS = 2_000_000.0  # attention over a prompt's token pairs
SLOWNESS_WEIGHT = 0.15  # of a new sample in the moving average of the pace
MAX_SLOWNESS = 10.0
PREFILL_SHARE = 0.9  # of an engine's time; more starves the running streams
CACHE_SHARE = 1.0  # of an engine's memory; running requests hold the rest
FAILURE_HALF_LIFE_S = 3.0
WORK_HALF_LIFE_S = 4.0  # of the recent work that splits the engines
# of an engine's time for one more stream's token in a step
GAP_SENSITIVE_TOKEN_MS = 0.15
MAX_PARTS = 4096


class EndpointLoad:
    """Running work, prompt backlog, pace, failures and cached parts."""

    def __init__(self, *, record: EndpointRecord, now_s: float) -> None:
        self.record = record
        self.running = 0
        self.awaiting_first_event = 0
        self.last_seen_s = now_s
        self.cold_until_s = 0.0
        self.slowness = 1.0
        self._gap_sensitive_work_ms = 0.0
        self._gap_tolerant_work_ms = 0.0
        self._worked_s = now_s
        self._idle_at_s = now_s
        self._due_s: list[float] = []
        self._debt_ms = 0.0
        self._debt_at_s = now_s
        self._part_tokens = 0
        self._failure_weight = 0.0
        self._success_weight = 0.0
        self._judged_s = now_s
        self._parts: OrderedDict[str, int] = OrderedDict()
        self.kv_cache_tokens = 0
        self.avoided_until_s = 0.0

    # Work

    def record_dispatch(
        self, prefill_ms: float, now_s: float, *, gap_sensitive_tokens: int = 0
    ) -> float:
        """Note a request that is sent; its prompt joins the backlog.

        Parameters
        ----------
        prefill_ms : float
            Time to read its prompt.
        now_s : float
            Monotonic time in seconds.
        gap_sensitive_tokens : int
            Expected tokens of the answer, where its stream bears only short
            pauses; 0 otherwise.

        Returns
        -------
        float
            When its first event is expected, monotonic; ``record_first_event``
            or ``record_end`` names it by this.
        """
        self.running += 1
        self.awaiting_first_event += 1
        if gap_sensitive_tokens:
            work_ms = prefill_ms + GAP_SENSITIVE_TOKEN_MS * gap_sensitive_tokens
            self._record_work(now_s, gap_sensitive_ms=work_ms, gap_tolerant_ms=0.0)
        else:
            self._record_work(now_s, gap_sensitive_ms=0.0, gap_tolerant_ms=prefill_ms)
        self._debt_ms = self.debt_ms(now_s) + prefill_ms
        self._idle_at_s = max(now_s, self._idle_at_s) + prefill_ms / 1000.0
        due_s = self._idle_at_s + FIRST_EVENT_MS / 1000.0
        self._due_s.append(due_s)
        return due_s

    def record_first_event(self, due_s: float, now_s: float) -> None:
        """Note that a request has begun to answer."""
        self.awaiting_first_event -= 1
        self._due_s.remove(due_s)
        if self.awaiting_first_event == 0:
            self._idle_at_s = now_s

    def record_end(self, due_s: float, *, started: bool, now_s: float) -> None:
        """Note the end of a request."""
        self.running -= 1
        if not started:
            self.record_first_event(due_s, now_s)

    def backlog_ms(self, now_s: float) -> float:
        """Return the time to read the known prompts that wait there."""
        if self.awaiting_first_event == 0:
            return 0.0
        overdue_s = max(0.0, now_s - min(self._due_s))
        return (max(0.0, self._idle_at_s - now_s) + overdue_s) * 1000.0

    def debt_ms(self, now_s: float) -> float:
        """Return the reading time placed here beyond the share meant for it.

        The debt falls by ``PREFILL_SHARE`` of the time that passes; the rest
        of the engine's time is left to the tokens of running streams.
        """
        fallen_ms = (now_s - self._debt_at_s) * 1000.0 * PREFILL_SHARE
        self._debt_ms = max(0.0, self._debt_ms - fallen_ms)
        self._debt_at_s = now_s
        return self._debt_ms

    def _record_work(
        self, now_s: float, *, gap_sensitive_ms: float, gap_tolerant_ms: float
    ) -> None:
        factor = math.exp2(-(now_s - self._worked_s) / WORK_HALF_LIFE_S)
        self._worked_s = now_s
        self._gap_sensitive_work_ms = (
            self._gap_sensitive_work_ms * factor + gap_sensitive_ms
        )
        self._gap_tolerant_work_ms = (
            self._gap_tolerant_work_ms * factor + gap_tolerant_ms
        )

    def recent_work_ms(self, now_s: float) -> tuple[float, float]:
        """Return the recent work of urgent and of patient streams placed here."""
        self._record_work(now_s, gap_sensitive_ms=0.0, gap_tolerant_ms=0.0)
        return self._gap_sensitive_work_ms, self._gap_tolerant_work_ms

    # Pace

    def prefill_ms(self, tokens: int, cached: int = 0) -> float:
        """Return the time to read the uncached tokens of a prompt."""
        pairs = tokens * (cached + tokens / 2)
        pure_ms = tokens / PREFILL_TOKENS_PER_MS + pairs / PAIRS_PER_MS
        return pure_ms * self.slowness

    def update_slowness(self, expected_ms: float, observed_ms: float) -> None:
        """Take the time to a first event against what was expected."""
        ratio = (observed_ms + FIRST_EVENT_MS) / (expected_ms + 2 * FIRST_EVENT_MS)
        sample = min(MAX_SLOWNESS, max(0.5, ratio))
        self.slowness += SLOWNESS_WEIGHT * (sample - self.slowness)

    # Failures

    def _decay(self, now_s: float) -> None:
        factor = math.exp2(-(now_s - self._judged_s) / FAILURE_HALF_LIFE_S)
        self._failure_weight *= factor
        self._success_weight *= factor
        self._judged_s = now_s

    def record_success(self, now_s: float) -> None:
        """Note a whole answer."""
        self._decay(now_s)
        self._success_weight += 1.0

    def record_failure(self, now_s: float, weight: float = 1.0) -> None:
        """Note a failure that is the endpoint's own."""
        self._decay(now_s)
        self._failure_weight += weight

    def failure_share(self, now_s: float) -> float:
        """Return the recent share of failures, from 0 to 1."""
        self._decay(now_s)
        return self._failure_weight / (
            self._failure_weight + self._success_weight + 1.0
        )

    # Cached prompt parts

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the leading parts that were read there."""
        tokens = 0
        for part in parts:
            if part.identifier not in self._parts:
                break
            tokens += part.tokens
        return tokens

    def record_parts(self, parts: Iterable[PromptPart]) -> None:
        """Note that the parts are read there now."""
        for part in parts:
            self._part_tokens += part.tokens - self._parts.pop(part.identifier, 0)
            self._parts[part.identifier] = part.tokens
        full = self.kv_cache_tokens * CACHE_SHARE if self.kv_cache_tokens else math.inf
        while self._part_tokens > full or len(self._parts) > MAX_PARTS:
            _, tokens = self._parts.popitem(last=False)
            self._part_tokens -= tokens

    def replace_parts(self, parts: Iterable[PromptPart]) -> None:
        """Take what the engine itself says that it has cached."""
        self._parts.clear()
        self._part_tokens = 0
        self.record_parts(parts)

    def restart(self, record: EndpointRecord, now_s: float) -> None:
        """Forget what belonged to an earlier incarnation."""
        self.record = record
        self.last_seen_s = now_s
        self.slowness = 1.0
        self._parts.clear()
        self._part_tokens = 0
        self._failure_weight = 0.0
