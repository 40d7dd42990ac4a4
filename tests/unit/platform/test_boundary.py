"""Guards that the platform's wire names appear only in the adapter to the platform."""

from __future__ import annotations

import re
from pathlib import Path


SOURCE = Path(__file__).parents[3] / "src" / "shallotroad"
WIRE_NAMES = re.compile(
    r"X-(Replica|Expect|Token-Usage|Prompt-Prefix|Not-Executed|Tenant)|/api/kv-"
    r"|op/(config|evacuate)|traffic-split|cold-remaining|route-type|servers/",
    re.IGNORECASE,
)


def test_no_wire_name_outside_the_adapter() -> None:
    found = [
        f"{path.relative_to(SOURCE)}:{number}"
        for path in SOURCE.rglob("*.py")
        if "platform" not in path.relative_to(SOURCE).parts
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    assert found == []
