"""Whether a gateway knows all that the store has acknowledged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import orjson
import pytest

from shallotroad.gateway.store_confirmation import CONFIRMATION_TIMEOUT_S
from shallotroad.gateway.store_confirmation import MIN_READ_INTERVAL_S
from shallotroad.platform.exceptions import StoreUnavailableError
from shallotroad.platform.settings import Address
from shallotroad.platform.store import StoreClient
from shallotroad.platform.store import StorePosition
from shallotroad.upstream.http_client import CallResult
from tests.store_builders import DataCentre
from tests.virtual_time import VirtualTimePolicy


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

GATEWAYS = 6
ENDPOINT = "servers/e1"


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


@pytest.fixture
async def centre() -> AsyncIterator[DataCentre]:
    """Gateways that read the store, or follow one that does."""
    data_centre = DataCentre(GATEWAYS)
    data_centre.start()
    await asyncio.sleep(3.0)
    yield data_centre
    await data_centre.stop()


# Guards against ORDER: a version registers just before a stream is taken up.
async def test_what_was_registered_before_the_call_is_known_after_it(
    centre: DataCentre,
) -> None:
    for number in range(40):
        for name, gateway in centre.gateways.items():
            key = f"servers/{number}-{name}"
            revision = centre.store.put(key, {"service": "s"})
            assert await gateway.confirmation.confirm()
            assert gateway.watcher.known_revision >= revision
        await asyncio.sleep(0.13)


@pytest.mark.parametrize("fault", ["silenced", "refused"])
async def test_a_gateway_that_is_cut_off_from_the_store_confirms_nothing(
    centre: DataCentre, fault: str
) -> None:
    getattr(centre.store, fault).update(centre.gateways)
    centre.store.put(ENDPOINT, {"service": "s"})
    loop = asyncio.get_running_loop()
    for gateway in centre.gateways.values():
        called_s = loop.time()
        assert not await gateway.confirmation.confirm()
        assert loop.time() - called_s <= CONFIRMATION_TIMEOUT_S + 0.01
    await asyncio.sleep(5.0)
    calls = dict(centre.store.calls)
    for gateway in centre.gateways.values():
        assert not await gateway.confirmation.confirm()
    assert centre.store.calls == calls
    getattr(centre.store, fault).clear()
    await asyncio.sleep(3.0)
    for gateway in centre.gateways.values():
        assert await gateway.confirmation.confirm()


async def test_one_read_serves_many_callers(centre: DataCentre) -> None:
    gateway = centre.gateways[centre.followers()[0]]
    loop = asyncio.get_running_loop()
    before = centre.store.calls.get(gateway.name, 0)
    started_s = loop.time()
    confirmations = []
    for _ in range(200):
        confirmations.append(asyncio.create_task(gateway.confirmation.confirm()))
        await asyncio.sleep(0.005)
    assert all(await asyncio.gather(*confirmations))
    reads = centre.store.calls[gateway.name] - before
    assert reads <= (loop.time() - started_s) / MIN_READ_INTERVAL_S + 1


async def test_a_store_that_was_restored_is_read_anew_first(centre: DataCentre) -> None:
    centre.store.put(ENDPOINT, {"service": "s"})
    await asyncio.sleep(2.0)
    centre.store.restore(0)
    for gateway in centre.gateways.values():
        if await gateway.confirmation.confirm():
            assert gateway.watcher.era == centre.store.era


async def test_an_answer_that_is_older_than_what_is_known_confirms_nothing(
    centre: DataCentre,
) -> None:
    centre.store.put(ENDPOINT, {"service": "s"})
    await asyncio.sleep(3.0)
    gateway = centre.gateways["g0"]
    del centre.store.changes[:]
    assert not await gateway.confirmation.confirm()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b"{}",
        b'{"store-revision": "7"}',
        b'{"store-revision": -1}',
        b'{"store-revision": 0}',
        b'{"store-revision": true}',
        b'{"store-revision": 1e3}',
        b'{"store-revision": 99999999999999999999}',
        b'{"store-revision": null}',
    ],
)
async def test_a_malformed_position_is_no_answer_of_the_store(
    monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    client = make_client(monkeypatch, CallResult(200, body))
    with pytest.raises(StoreUnavailableError):
        await client.read_position()


@pytest.mark.parametrize("status", [404, 410, 429, 503])
async def test_a_refused_read_has_no_position(
    monkeypatch: pytest.MonkeyPatch, status: int
) -> None:
    client = make_client(monkeypatch, CallResult(status, b'{"store-revision": 7}'))
    with pytest.raises(StoreUnavailableError):
        await client.read_position()


async def test_a_position_has_the_revision_and_the_era(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    body = orjson.dumps({"items": [], "store-revision": 7})
    client = make_client(monkeypatch, CallResult(200, body, ((b"Store-Era", b"3"),)))
    assert await client.read_position() == StorePosition(7, 3)


def make_client(monkeypatch: pytest.MonkeyPatch, result: CallResult) -> StoreClient:
    """Return a client of a store that responds to each call in the same way."""
    client = StoreClient(address=Address("127.0.0.1", 1))

    async def call(*_: Any, **__: Any) -> CallResult:
        return result

    monkeypatch.setattr(client._client, "call", call)
    return client
