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

from tests.store_builders import DataCentre
from tests.store_builders import registration
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterable

# Time in which an endpoint that has left may still get requests.
DRAIN_S = 2.0
# All gateways that have not changed for so long know all that there is.
SETTLING_S = 6.0
CUT_S = 4.0
KEY = "servers/e1"


class Deployment(NamedTuple):
    """Number of gateways, and the time in which they must learn of a change."""

    gateways: int
    propagation_s: float


ALL_READ = Deployment(6, 2.0)
TWO_READERS = Deployment(6, 4.0)
WITH_PEERS = pytest.mark.parametrize(
    "deployment", [ALL_READ, TWO_READERS], ids=["all-read", "two-readers"]
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


# Guards against DRAIN: a gateway that was cut off keeps an endpoint that has left.
@WITH_PEERS
@pytest.mark.parametrize("mode", ["unreachable"])
@pytest.mark.parametrize("cut_from_peers", [False], ids=["store"])
@pytest.mark.parametrize("removed_after_s", [0.3, 1.0])
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
