from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from shallotroad.platform.settings import decode_settings


if TYPE_CHECKING:
    from shallotroad.platform.settings import InstanceSettings


def make_table(**changes: Any) -> dict[str, Any]:
    table: dict[str, Any] = {
        "node-name": "n1",
        "ip": "127.0.0.1",
        "zone": "a",
        "region": "r",
        "seeds": ["127.0.0.1:7000", "nonsense"],
        "internal-port-range": [7001, 7010],
        "listen": {
            "front": "127.0.0.1:8000",
            "ready": "127.0.0.1:8001",
            "control": "127.0.0.1:7000",
        },
        "provider": {"address": "127.0.0.1:6000"},
        "bounds": {"budget-slack": 94, "grace-s": 9},
        "a-new-field": 1,
    }
    return {**table, **changes}


def make_settings(**changes: Any) -> InstanceSettings:
    return decode_settings(make_table(**changes))
