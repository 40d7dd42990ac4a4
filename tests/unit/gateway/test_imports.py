"""What a gateway imports until it serves: a start must stay cheap in processor time."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path


# Large modules that a gateway does not need; each would delay every start.
UNWANTED = {"aiohttp", "attr", "cattrs", "click", "grpc", "yarl"}


def test_the_gateway_imports_no_large_module_that_it_does_not_need() -> None:
    source = Path(__file__).parents[3] / "src"
    code = (
        "import sys, shallotroad.gateway.factory\n"
        "print(*(name for name in sys.modules if '.' not in name))\n"
    )
    finished = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": str(source)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert UNWANTED & set(finished.stdout.split()) == set()
