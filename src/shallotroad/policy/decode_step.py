"""Decode speed of an engine, learned from the events of the streams that it runs.

An engine gives each running stream one token in each step, and a step takes longer the
more streams run. A step that prefills a chunk of a prompt takes longer still. The
prefill is accounted for separately (``EndpointLoad.prefill_share``), so only steps
without one are of interest here.
"""

from __future__ import annotations

import math


# A sample needs this many intervals between events, so that some of them are likely to
# contain no prefill.
MIN_INTERVALS = 6
# Intervals kept until the next sample; later ones are dropped.
MAX_INTERVALS = 64
# The quantile of the intervals that counts as one without a prefill. It is not the
# minimum because events that were delayed on the way arrive close together.
UNDISTURBED_QUANTILE = 0.25
# Assumed step of an engine without streams and with FULL_STREAMS of them, until samples
# show the real ones.
NOMINAL_EMPTY_STEP_MS = 4.0
NOMINAL_FULL_STEP_MS = 16.0
FULL_STREAMS = 60
# Number of samples that outweigh each of the two assumed steps.
ASSUMED_STEP_WEIGHT = 1.0
SAMPLE_HALF_LIFE_S = 10.0
MIN_STEP_MS = 0.1


class EventIntervals:
    """Intervals between the events of one stream since the last sample."""

    def __init__(self) -> None:
        self._last_event_s = 0.0
        self._intervals_ms: list[float] = []

    def record_events(self, count: int, now_s: float) -> None:
        """Record events that arrived together; ``now_s`` is monotonic, in seconds."""
        if self._last_event_s and len(self._intervals_ms) < MAX_INTERVALS:
            interval_ms = (now_s - self._last_event_s) * 1000.0 / count
            self._intervals_ms += [interval_ms] * count
        self._last_event_s = now_s

    def take_step_ms(self, tokens_per_event: int) -> float | None:
        """Return the time of a decode step since the last call, None if unknown.

        It is unknown while fewer than ``MIN_INTERVALS`` were recorded; these are kept.
        """
        if len(self._intervals_ms) < MIN_INTERVALS or tokens_per_event < 1:
            return None
        ordered = sorted(self._intervals_ms)
        self._intervals_ms.clear()
        return ordered[int(UNDISTURBED_QUANTILE * len(ordered))] / tokens_per_event


class DecodeStepModel:
    """Step time of one engine as a linear function of its running streams.

    Least squares over samples whose weights decay with ``SAMPLE_HALF_LIFE_S``, and over
    two assumed steps of constant weight.
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._streams = 0.0
        self._streams_squared = 0.0
        self._step_ms = 0.0
        self._product = 0.0
        self._decayed_s = -math.inf

    def record(self, *, streams: int, step_ms: float, now_s: float) -> None:
        """Record a step that was observed while ``streams`` ran there."""
        factor = math.exp2((self._decayed_s - now_s) / SAMPLE_HALF_LIFE_S)
        self._decayed_s = now_s
        self._weight = self._weight * factor + 1.0
        self._streams = self._streams * factor + streams
        self._streams_squared = self._streams_squared * factor + streams * streams
        self._step_ms = self._step_ms * factor + step_ms
        self._product = self._product * factor + streams * step_ms

    def predict_ms(self, streams: int) -> float:
        """Return the expected time of a step with this many running streams."""
        full_weight = ASSUMED_STEP_WEIGHT
        weight = self._weight + 2 * full_weight
        mean_streams = (self._streams + full_weight * FULL_STREAMS) / weight
        assumed_sum_ms = NOMINAL_EMPTY_STEP_MS + NOMINAL_FULL_STEP_MS
        mean_step_ms = (self._step_ms + full_weight * assumed_sum_ms) / weight
        squares = self._streams_squared + full_weight * FULL_STREAMS**2
        products = self._product + full_weight * FULL_STREAMS * NOMINAL_FULL_STEP_MS
        variance = squares - weight * mean_streams**2
        covariance = products - weight * mean_streams * mean_step_ms
        slope_ms = max(0.0, covariance / variance)
        return max(MIN_STEP_MS, mean_step_ms + slope_ms * (streams - mean_streams))
