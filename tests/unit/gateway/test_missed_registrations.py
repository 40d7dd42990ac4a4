"""Endpoints that come and go while a gateway does not hear of the store.

A stream that one of them began may be resumed afterwards, and no gateway may know it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from shallotroad.catalog.configuration import Team
from shallotroad.gateway.store_watcher import MIN_REGISTRATION_S
from shallotroad.gateway.stream_origins import VERSIONS_KNOWN_AFTER_S
from shallotroad.gateway.stream_origins import RecalledOrigin
from shallotroad.gateway.stream_origins import StreamOrigins
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_request
from tests.store_builders import DataCentre
from tests.store_builders import registration
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.store_builders import StoreGateway

GATEWAYS = 6
# Time in which a gateway that was cut off reads the store again.
RECOVERY_S = 4.0


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.fixture(params=[2.0, 4.0], ids=["all-read", "two-readers"])
async def centre(request: pytest.FixtureRequest) -> AsyncIterator[DataCentre]:
    """Gateways that know one endpoint of version v1."""
    data_centre = DataCentre(GATEWAYS, propagation_s=request.param, exchanges=True)
    data_centre.store.put("servers/e1", registration(1))
    data_centre.start()
    await asyncio.sleep(RECOVERY_S)
    yield data_centre
    await data_centre.stop()


async def recall_unknown(gateway: StoreGateway) -> RecalledOrigin:
    """Resume a stream that no gateway knows."""
    origins = StreamOrigins(
        endpoint_registry=gateway.registry,
        membership=gateway.membership,
        send=lambda _name, _message: None,
        clock=asyncio.get_running_loop().time,
        contact_age_s=lambda: 0.0,
        confirm_registrations=gateway.confirmation.confirm,
        registrations_known_since_s=lambda: gateway.watcher.complete_since_s,
    )
    job = make_gateway_job(
        request=make_request(request_id="r1", resumes="q1", last_event_id="2"),
        team=Team("clinic", frozenset(), None, frozenset()),
    )
    job.service = job.service._replace(name=registration(1)["service"])
    return await origins.recall(job)


def cut_off(centre: DataCentre, names: list[str]) -> None:
    centre.store.silenced.update(names)
    centre.cut_off.update(names)


def reconnect(centre: DataCentre) -> None:
    centre.store.silenced.clear()
    centre.cut_off.clear()


# Guards against ORDER: a version that came and went during a cut is not known after it.
@pytest.mark.parametrize("count", [1, GATEWAYS], ids=["one", "all"])
async def test_a_version_that_came_and_went_during_a_cut_may_have_begun_a_stream(
    centre: DataCentre, count: int
) -> None:
    cut = list(centre.gateways)[-count:]
    cut_off(centre, cut)
    await asyncio.sleep(0.5)
    centre.store.put("servers/e2", registration(1, version="v2"))
    await asyncio.sleep(MIN_REGISTRATION_S + 0.5)
    centre.store.put("servers/e2", None)
    await asyncio.sleep(1.0)
    reconnect(centre)
    await asyncio.sleep(RECOVERY_S)
    for name in cut:
        origin = await recall_unknown(centre.gateways[name])
        assert origin == RecalledOrigin(None, "registrations missed")
    await asyncio.sleep(VERSIONS_KNOWN_AFTER_S)
    for name in cut:
        origin = await recall_unknown(centre.gateways[name])
        assert origin == RecalledOrigin("v1", "only version")


# Guards against ORDER: a version that a restored store has lost began a stream.
async def test_a_version_that_a_restored_store_has_lost_may_have_begun_a_stream(
    centre: DataCentre,
) -> None:
    cut_off(centre, ["g5"])
    copied = centre.store.revision
    centre.store.put("servers/e2", registration(1, version="v2"))
    await asyncio.sleep(1.0)
    centre.store.restore(copied)
    reconnect(centre)
    await asyncio.sleep(RECOVERY_S)
    origin = await recall_unknown(centre.gateways["g5"])
    assert origin.software_version is None


# Guards against LOST: a cut during which nothing changed refuses no stream after it.
async def test_a_cut_without_changes_hides_no_version(centre: DataCentre) -> None:
    cut_off(centre, list(centre.gateways))
    await asyncio.sleep(6.0)
    reconnect(centre)
    await asyncio.sleep(RECOVERY_S)
    for gateway in centre.gateways.values():
        assert (await recall_unknown(gateway)).software_version == "v1"


# Guards against LOST: changes in a healthy system count as missed.
async def test_no_registration_is_missed_while_the_store_can_be_read(
    centre: DataCentre,
) -> None:
    for number in range(120):
        centre.store.put(f"servers/n{number % 5}", registration(number))
        if number % 10 == 5:
            await asyncio.sleep(4.0)
        await asyncio.sleep(0.3)
        if number == 60:
            centre.store.compacted_revision = centre.store.revision - 1
    for gateway in centre.gateways.values():
        assert (await recall_unknown(gateway)).software_version == "v1"


# Guards against ORDER: a process that starts later takes the only version for all time.
async def test_a_restarted_process_has_missed_what_was_before(
    centre: DataCentre,
) -> None:
    name = centre.restart("g5")
    await asyncio.sleep(RECOVERY_S)
    origin = await recall_unknown(centre.gateways[name])
    assert origin == RecalledOrigin(None, "registrations missed")
