"""A gateway that drains ends within the grace period, which begins with the signal."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest.mock import AsyncMock
from unittest.mock import MagicMock

import pytest

from shallotroad.gateway import factory
from tests.settings_builders import make_settings
from tests.virtual_time import VirtualTimePolicy


STARTED_S = 100.0
# Time between two looks at the open requests.
LOOK_S = 0.05


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()


# Guards against a process that is killed because its grace period was counted from the
# end of its start, though the signal had arrived before (soak seed 605).
@pytest.mark.parametrize("starting_s", [0.0, 1.0, 4.0])
async def test_requests_are_interrupted_before_the_grace_period_ends(
    monkeypatch: pytest.MonkeyPatch, starting_s: float
) -> None:
    loop = asyncio.get_running_loop()
    clock = SimpleNamespace(monotonic=lambda: STARTED_S + loop.time())
    monkeypatch.setattr(factory, "time", clock)
    settings = make_settings()
    server = MagicMock(open_requests=1)
    began_s = loop.time()
    components = MagicMock(settings=settings, stream_origins=AsyncMock())
    await factory._drain(components, server, clock.monotonic() - starting_s)
    components.stream_origins.hand_over.assert_awaited_once()
    server.interrupt_requests.assert_called_once()
    drained_s = starting_s + loop.time() - began_s
    expected_s = settings.bounds.grace_s - factory.EXIT_RESERVE_S
    assert expected_s <= drained_s <= expected_s + 2 * LOOK_S
