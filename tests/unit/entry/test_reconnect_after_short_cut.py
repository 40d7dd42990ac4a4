"""An agent that is cut off for half of its timeout keeps the attempts in flight.

The entry reconnects with growing delays. They must not grow so far that an agent that
can be reached again is only tried after its attempts have failed.
"""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from shallotroad.entry.peer import AGENT_UNREACHABLE_TIMEOUT_S
from shallotroad.entry.peer import reconnect_delay_s


def reconnected_after_s(*, outage_s: float, busy: bool, rng: random.Random) -> float:
    """Return the time from the cut to the first reconnect that succeeds."""
    now_s = 0.0
    failures = 0
    while True:
        now_s += reconnect_delay_s(failures, busy=busy, rng=rng)
        if now_s >= outage_s:
            return now_s
        failures += 1


@given(seed=st.integers(), outage_s=st.floats(0.0, AGENT_UNREACHABLE_TIMEOUT_S / 2))
def test_attempts_survive_a_cut_of_half_the_timeout(seed: int, outage_s: float) -> None:
    rng = random.Random(seed)
    reconnected_s = reconnected_after_s(outage_s=outage_s, busy=True, rng=rng)
    assert reconnected_s < 0.75 * AGENT_UNREACHABLE_TIMEOUT_S


@given(seed=st.integers())
def test_an_idle_entry_backs_off_from_a_long_outage(seed: int) -> None:
    rng = random.Random(seed)
    delays_s = [reconnect_delay_s(n, busy=False, rng=rng) for n in range(40)]
    assert sum(delays_s) > 30.0
    assert max(delays_s) <= 3.0
