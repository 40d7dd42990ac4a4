"""Endpoints whose registration is missing after the store could not be read.

A registration that was removed is that of an endpoint that has left, and nothing may be
sent there two seconds later. One that lapsed while the store was away for all is back
within two seconds of its return, and the endpoint serves meanwhile.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest

from shallotroad.gateway import store_watcher
from shallotroad.gateway.store_watcher import StoreWatcher
from tests.store_builders import DataCentre
from tests.store_builders import registration
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterable

# Time in which an endpoint that has left may still get requests, and time after a cut
# from which a gateway counts as in touch.
DRAIN_S = 2.0
CONTACT_S = 3.0
# Time after the return of the store within which lapsed registrations are back.
REREGISTRATION_S = 2.0
SAMPLE_S = 0.02
# All gateways that have not changed for so long know all that there is.
SETTLING_S = 6.0
CUT_S = 4.0
KEY = "servers/e1"
MODES = ["unreachable", "silenced", "refused"]


class Deployment(NamedTuple):
    """Number of gateways, and the time in which they must learn of a change."""

    gateways: int
    propagation_s: float


ALONE = Deployment(1, 2.0)
ALL_READ = Deployment(6, 2.0)
TWO_READERS = Deployment(6, 4.0)
WITH_PEERS = pytest.mark.parametrize(
    "deployment", [ALL_READ, TWO_READERS], ids=["all-read", "two-readers"]
)
ALL_DEPLOYMENTS = pytest.mark.parametrize(
    "deployment", [ALONE, ALL_READ, TWO_READERS], ids=["alone", "all-read", "readers"]
)


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.fixture
async def centre(deployment: Deployment) -> AsyncIterator[DataCentre]:
    """Gateways that know one endpoint, the only one of its service."""
    data_centre = DataCentre(
        deployment.gateways, propagation_s=deployment.propagation_s, exchanges=True
    )
    data_centre.store.put(KEY, registration(1))
    data_centre.start()
    await asyncio.sleep(SETTLING_S)
    yield data_centre
    await data_centre.stop()


def now() -> float:
    return asyncio.get_running_loop().time()


async def sleep_until(time_s: float) -> None:
    await asyncio.sleep(max(0.0, time_s - now()))


def take_store_away(centre: DataCentre, names: Iterable[str], mode: str) -> None:
    sets = {
        "unreachable": centre.store.unreachable,
        "silenced": centre.store.silenced,
        "refused": centre.store.refused,
    }
    sets[mode].update(names)


def give_store_back(centre: DataCentre) -> None:
    for names in (
        centre.store.unreachable,
        centre.store.silenced,
        centre.store.refused,
    ):
        names.clear()


def users_of(centre: DataCentre) -> list[str]:
    """Return the gateways that may send to the endpoint."""
    return [name for name, gateway in centre.gateways.items() if gateway.registry.loads]


async def check_served_until(centre: DataCentre, time_s: float) -> None:
    while now() < time_s:
        assert users_of(centre) == list(centre.gateways), f"at {now():.2f} s"
        await asyncio.sleep(SAMPLE_S)


# Guards against DRAIN: a gateway that was cut off keeps an endpoint that has left.
@WITH_PEERS
@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("cut_from_peers", [False, True], ids=["store", "all"])
@pytest.mark.parametrize("removed_after_s", [-2.0, 0.05, 0.3, 0.7, 1.0, 1.4])
async def test_an_endpoint_that_left_around_a_cut_of_one_gateway_is_not_used(
    centre: DataCentre, mode: str, cut_from_peers: bool, removed_after_s: float
) -> None:
    names = [centre.followers()[-1], centre.readers()[0]]
    take_store_away(centre, names, mode)
    if cut_from_peers:
        centre.cut_off.update(names)
    healed_s = now() + CUT_S
    await sleep_until(min(healed_s, healed_s + removed_after_s))
    if removed_after_s < 0:
        centre.store.put(KEY, None)
        await sleep_until(healed_s)
    give_store_back(centre)
    centre.cut_off.clear()
    if removed_after_s > 0:
        await asyncio.sleep(removed_after_s)
        centre.store.put(KEY, None)
    await sleep_until(max(now() + DRAIN_S, healed_s + DRAIN_S))
    assert users_of(centre) == []


# Guards against DRAIN: the same at a gateway that no other one can tell anything.
@pytest.mark.parametrize("deployment", [ALONE], ids=["alone"])
@pytest.mark.parametrize("mode", ["unreachable", "refused"])
@pytest.mark.parametrize("begin_s", [0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize("removed_after_s", [0.05, 0.5, 1.0, 1.4])
async def test_an_endpoint_that_left_after_a_cut_of_the_only_gateway_is_not_used(
    centre: DataCentre, mode: str, begin_s: float, removed_after_s: float
) -> None:
    await asyncio.sleep(begin_s)
    take_store_away(centre, centre.gateways, mode)
    await asyncio.sleep(CUT_S)
    give_store_back(centre)
    healed_s = now()
    await asyncio.sleep(removed_after_s)
    centre.store.put(KEY, None)
    await sleep_until(max(now() + DRAIN_S, healed_s + CONTACT_S))
    assert users_of(centre) == []


# Guards against DRAIN: a call that fails by itself is taken for an outage.
@ALL_DEPLOYMENTS
@pytest.mark.parametrize("removed_after_s", [0.05, 0.3, 1.0])
async def test_an_endpoint_that_leaves_after_a_reset_is_not_used(
    centre: DataCentre, removed_after_s: float
) -> None:
    take_store_away(centre, centre.gateways, "refused")
    await asyncio.sleep(SAMPLE_S)
    centre.store.put("servers/e2", None)
    give_store_back(centre)
    await asyncio.sleep(removed_after_s)
    centre.store.put(KEY, None)
    await asyncio.sleep(DRAIN_S)
    assert users_of(centre) == []


# Guards against DRAIN: a process takes its own start for the return of the store.
@ALL_DEPLOYMENTS
async def test_an_endpoint_that_leaves_after_a_start_is_not_used(
    centre: DataCentre,
) -> None:
    name = centre.restart("g0")
    await asyncio.sleep(0.3)
    assert name in users_of(centre)
    centre.store.put(KEY, None)
    await asyncio.sleep(DRAIN_S)
    assert users_of(centre) == []


# Guards against LOST: endpoints whose registration lapsed with the store are dropped.
@ALL_DEPLOYMENTS
@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("away_s", [3.0, 5.3, 9.1])
async def test_an_endpoint_that_lapsed_in_an_outage_serves_until_it_is_back(
    centre: DataCentre, mode: str, away_s: float
) -> None:
    take_store_away(centre, centre.gateways, mode)
    await asyncio.sleep(away_s - 0.3)
    centre.store.put(KEY, None)
    await asyncio.sleep(0.3)
    give_store_back(centre)
    back_s = now() + REREGISTRATION_S
    await check_served_until(centre, back_s)
    centre.store.put(KEY, registration(2))
    await check_served_until(centre, back_s + SETTLING_S)


# Guards against LOST: the same for one that lapses when the store is back.
@ALL_DEPLOYMENTS
async def test_an_endpoint_that_lapsed_at_the_end_of_an_outage_serves(
    centre: DataCentre,
) -> None:
    take_store_away(centre, centre.gateways, "unreachable")
    await asyncio.sleep(5.0)
    give_store_back(centre)
    back_s = now() + REREGISTRATION_S
    await check_served_until(centre, now() + 1.2)
    centre.store.put(KEY, None)
    await check_served_until(centre, back_s)
    centre.store.put(KEY, registration(2))
    await check_served_until(centre, back_s + SETTLING_S)


# Guards against LOST: a second outage takes the time to register away.
@ALL_DEPLOYMENTS
@pytest.mark.parametrize("between_s", [0.4, 1.2, 1.8])
async def test_an_endpoint_that_lapsed_before_two_outages_serves(
    centre: DataCentre, between_s: float
) -> None:
    for away_s in (5.0, 4.0):
        take_store_away(centre, centre.gateways, "unreachable")
        await asyncio.sleep(away_s - 1.0)
        centre.store.put(KEY, None)
        await asyncio.sleep(1.0)
        give_store_back(centre)
        back_s = now() + REREGISTRATION_S
        await check_served_until(centre, now() + between_s)
    await check_served_until(centre, back_s)
    centre.store.put(KEY, registration(2))
    await check_served_until(centre, back_s + SETTLING_S)


# Guards against LOST: one gateway's cut hides that the store was away for all.
@WITH_PEERS
async def test_an_endpoint_that_lapsed_in_an_outage_within_a_cut_serves(
    centre: DataCentre,
) -> None:
    cut = list(centre.gateways)[-1]
    take_store_away(centre, [cut], "unreachable")
    centre.cut_off.add(cut)
    await asyncio.sleep(1.0)
    take_store_away(centre, centre.gateways, "unreachable")
    await asyncio.sleep(CUT_S)
    centre.store.put(KEY, None)
    give_store_back(centre)
    centre.cut_off.clear()
    back_s = now() + REREGISTRATION_S
    await check_served_until(centre, back_s)
    centre.store.put(KEY, registration(2))
    await check_served_until(centre, back_s + SETTLING_S)


# Guards against DRAIN: an endpoint that does not come back is kept on and on.
@ALL_DEPLOYMENTS
@pytest.mark.parametrize("mode", MODES)
async def test_an_endpoint_that_does_not_register_after_an_outage_is_removed(
    centre: DataCentre, mode: str
) -> None:
    take_store_away(centre, centre.gateways, mode)
    await asyncio.sleep(5.0)
    centre.store.put(KEY, None)
    give_store_back(centre)
    await asyncio.sleep(CONTACT_S + DRAIN_S)
    assert users_of(centre) == []


# Guards against a check that holds without the mechanism: the word of peers is ignored.
@pytest.mark.parametrize("deployment", [ALL_READ], ids=["all-read"])
async def test_without_the_word_of_peers_a_cut_looks_like_an_outage(
    centre: DataCentre, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(StoreWatcher, "observe_peer_availability", lambda *_: None)
    monkeypatch.setattr(StoreWatcher, "should_fetch", lambda *_: False)
    cut = "g0"
    take_store_away(centre, [cut], "unreachable")
    centre.cut_off.add(cut)
    await asyncio.sleep(CUT_S)
    give_store_back(centre)
    centre.cut_off.clear()
    await asyncio.sleep(SAMPLE_S)
    centre.store.put(KEY, None)
    await asyncio.sleep(DRAIN_S)
    assert users_of(centre) == [cut]


# Guards against a check that holds without the mechanism: nothing waits for endpoints.
@pytest.mark.parametrize("deployment", [ALL_READ], ids=["all-read"])
async def test_without_time_to_register_an_outage_drops_an_endpoint(
    centre: DataCentre, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_watcher, "REREGISTRATION_TIMEOUT_S", 0.0)
    take_store_away(centre, centre.gateways, "unreachable")
    await asyncio.sleep(5.0)
    centre.store.put(KEY, None)
    give_store_back(centre)
    await asyncio.sleep(REREGISTRATION_S)
    assert users_of(centre) == []
