"""Coordination tests run in virtual time: no sockets, and bounds on simulated time."""

from __future__ import annotations

import pytest

from tests.virtual_time import VirtualTimePolicy


@pytest.fixture
def event_loop_policy() -> VirtualTimePolicy:
    return VirtualTimePolicy()
