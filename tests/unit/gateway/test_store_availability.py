"""Spans in which the store was available, put together from several gateways."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotroad.gateway.store_availability import MAX_AGE_S
from shallotroad.gateway.store_availability import MIN_LAPSE_OUTAGE_S
from shallotroad.gateway.store_availability import AvailabilityAges
from shallotroad.gateway.store_availability import StoreAvailability
from shallotroad.gateway.store_relay import RelayedBatch
from shallotroad.gateway.store_watcher import REREGISTRATION_TIMEOUT_S
from tests.unit.gateway.test_store_watcher import WatcherFixture
from tests.unit.gateway.test_store_watcher import endpoint


SHORT_S = 0.9 * MIN_LAPSE_OUTAGE_S
LONG_S = 1.1 * MIN_LAPSE_OUTAGE_S


@pytest.mark.parametrize(
    ("spans", "since_s"),
    [
        ([(10, 20)], 10),
        ([(10, 20), (20 + SHORT_S, 25)], 10),
        ([(10, 20), (20 + LONG_S, 25)], 20 + LONG_S),
        ([(10, 20), (24, 24), (5, 25)], 5),
        ([(10, 20), (24, 24), (5, 21)], 24),
        ([(10, 20), (1, 2)], 10),
        ([(10, 20), (12, 14)], 10),
    ],
)
def test_only_spans_without_a_long_gap_are_joined(
    spans: list[tuple[float, float]], since_s: float
) -> None:
    availability = StoreAvailability()
    for begin_s, end_s in spans:
        availability.record(begin_s, end_s)
    assert availability.since_s == pytest.approx(since_s)


def test_a_restored_store_begins_a_new_span() -> None:
    availability = StoreAvailability()
    availability.record(10, 20)
    availability.restart(21)
    assert (availability.since_s, availability.until_s) == (21, 21)


# Guards against LOST: spans on either side of an outage are joined across it.
@given(
    st.lists(
        st.tuples(st.sampled_from("ab"), st.floats(0, 20), st.floats(0, 20)),
        max_size=12,
    )
)
def test_no_spans_are_joined_across_an_outage(
    rows: list[tuple[str, float, float]],
) -> None:
    outage_ends_s = 20 + LONG_S
    availability = StoreAvailability()
    for side, first_s, second_s in rows:
        offset_s = outage_ends_s if side == "b" else 0.0
        availability.record(
            offset_s + min(first_s, second_s), offset_s + max(first_s, second_s)
        )
    if any(side == "b" for side, *_ in rows):
        assert availability.since_s >= outage_ends_s


@pytest.mark.parametrize("delay_s", [0.0, 1.0, 2.2, 1e9])
@pytest.mark.parametrize("age_s", [0.0, 0.4, 1e9])
def test_no_relayed_time_keeps_an_endpoint_for_long(
    delay_s: float, age_s: float
) -> None:
    fixture = WatcherFixture()
    fixture.clock.now_s = 100.0
    watcher = fixture.store_watcher
    watcher.apply(endpoint("e1", 2))
    watcher._record_read()
    batch = RelayedBatch(2, True, age_s, delay_s, 0, [])
    watcher.apply_relayed(batch, in_touch=True)
    assert watcher.removal_delay_s() <= REREGISTRATION_TIMEOUT_S + 1e-6


# Guards against DRAIN: a follower keeps what only its reader has missed.
def test_a_follower_in_touch_does_not_take_over_the_outage_of_a_reader() -> None:
    fixture = WatcherFixture()
    watcher = fixture.store_watcher
    for _ in range(5):
        fixture.clock.now_s += 1.0
        watcher.apply_relayed(RelayedBatch(1, True, 0.1, 0.0, 0, []), in_touch=True)
    watcher.apply_relayed(RelayedBatch(1, True, 0.0, 2.2, 0, []), in_touch=True)
    assert watcher.removal_delay_s() == 0


def test_peers_are_told_of_nothing_before_the_first_read() -> None:
    fixture = WatcherFixture()
    assert fixture.store_watcher.availability is None
    fixture.clock.now_s = 10 * MAX_AGE_S
    fixture.store_watcher._record_read()
    fixture.clock.now_s += 2 * MAX_AGE_S
    ages = fixture.store_watcher.availability
    assert ages is not None
    assert ages.until_age_s <= ages.since_age_s == MAX_AGE_S


# Guards against LOST: what a peer still keeps, which has it from others, is dropped.
def test_a_peer_that_cannot_reach_the_store_passes_on_when_it_returned() -> None:
    fixture = WatcherFixture()
    watcher = fixture.store_watcher
    watcher.apply(endpoint("e1", 2))
    watcher._record_read()
    fixture.clock.now_s += 9.0
    removal = endpoint("e1", 3)._replace(value=None)
    batch = RelayedBatch(3, False, 9.0, 1.9, 0, [removal])
    watcher.apply_relayed(batch, in_touch=False)
    assert set(fixture.catalog.endpoints) == {"e1"}


def test_the_availability_in_another_era_tells_nothing() -> None:
    fixture = WatcherFixture()
    fixture.clock.now_s = 100.0
    watcher = fixture.store_watcher
    watcher._record_read()
    delay_s = watcher.removal_delay_s()
    watcher.observe_peer_availability(AvailabilityAges(0.0, 50.0), era=3)
    assert watcher.removal_delay_s() == delay_s > 0
    watcher.observe_peer_availability(AvailabilityAges(0.0, 3.0), era=0)
    assert watcher.removal_delay_s() == 0
