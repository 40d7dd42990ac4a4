from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from devtools.sample_fleet import start_fleet


if TYPE_CHECKING:
    from collections.abc import Iterator

    from devtools.processes import LocalFleet


@pytest.fixture
def fleet() -> Iterator[LocalFleet]:
    fleet = start_fleet()
    yield fleet
    fleet.close()
