"""Pace of an engine's streams, compared with what their answers need.

An engine decodes its running streams in the time that prefills leave. How much that
must be differs between engines and with their load, so it is learned: from how far
streams lag behind the pace with which their answers would be whole in time.
"""

from __future__ import annotations


# Shorter spans are dominated by the prefills that happen to fall into them.
MIN_SPAN_S = 0.4
# Answers are often longer than expected; one that has reached its expected length is
# taken to need this share of it in addition.
MIN_REMAINING_SHARE = 0.1
MIN_REMAINING_S = 0.1
# Lag that the streams of an engine may have: below 1, because half of the answers are
# longer than expected.
TARGET_LAG = 0.8
# Weight of a sample in the factor; an engine gives some tens in a second.
LAG_SAMPLE_WEIGHT = 0.05
MAX_LAG = 4.0
# Limits of the factor on the decode time that is planned.
MIN_DECODE_FACTOR = 0.6
MAX_DECODE_FACTOR = 4.0


class StreamPace:
    """Events of one stream, and how far it lags behind the pace that it needs.

    Parameters
    ----------
    tokens_per_event : int
        Tokens in each event.
    expected_tokens : int
        Expected tokens of the whole answer.
    end_s : float
        Monotonic time by which it must be whole.
    """

    def __init__(
        self, *, tokens_per_event: int, expected_tokens: int, end_s: float
    ) -> None:
        self._tokens_per_event = tokens_per_event
        self._expected_tokens = expected_tokens
        self._end_s = end_s
        self._tokens = 0
        self._span_began_s = 0.0
        self._span_tokens = 0
        self._last_event_s = 0.0

    def record_events(self, count: int, now_s: float) -> None:
        """Record events that arrived together; ``now_s`` is monotonic, in seconds."""
        tokens = count * self._tokens_per_event
        self._tokens += tokens
        if self._span_began_s:
            self._span_tokens += tokens
        else:
            self._span_began_s = now_s
        self._last_event_s = now_s

    def take_lag(self) -> float | None:
        """Return the needed pace by the observed one since the last call.

        It is above 1 if the answer will not be whole in time at the observed pace. None
        while the span since the last call is too short.
        """
        span_s = self._last_event_s - self._span_began_s
        if not self._span_tokens or span_s < MIN_SPAN_S:
            return None
        tokens_per_s = self._span_tokens / span_s
        self._span_began_s = self._last_event_s
        self._span_tokens = 0
        remaining_tokens = max(
            MIN_REMAINING_SHARE * self._expected_tokens,
            self._expected_tokens - self._tokens,
        )
        remaining_s = max(MIN_REMAINING_S, self._end_s - self._last_event_s)
        return min(MAX_LAG, remaining_tokens / remaining_s / tokens_per_s)


class DecodeFactor:
    """Factor on the decode time planned for an engine, adapted to its streams' lag."""

    def __init__(self) -> None:
        self.value = 1.0

    def record_lag(self, lag: float) -> None:
        """Adapt the factor to the lag of one stream."""
        wanted = self.value * lag / TARGET_LAG
        self.value += LAG_SAMPLE_WEIGHT * (wanted - self.value)
        self.value = min(MAX_DECODE_FACTOR, max(MIN_DECODE_FACTOR, self.value))
