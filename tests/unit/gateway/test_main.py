from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from devtools.processes import free_port

from shallotroad.gateway import factory
from shallotroad.gateway import main
from tests.settings_builders import make_settings


if TYPE_CHECKING:
    import pytest


def test_garbage_collection_is_disabled_during_the_imports(tmp_path: Path) -> None:
    (tmp_path / "uvloop.py").write_text("import gc\nprint(gc.isenabled())\n0 / 0\n")
    settings = tmp_path / "g1.toml"
    settings.write_text(
        'node-name = "g1"\nip = "127.0.0.1"\nzone = "a"\nregion = "r"\n'
        f'[listen]\nfront = "127.0.0.1:{free_port()}"\nready = "127.0.0.1:1"\n'
        '[provider]\naddress = "127.0.0.1:1"\n'
    )
    source = Path(__file__).parents[3] / "src"
    finished = subprocess.run(
        [sys.executable, "-m", "shallotroad.gateway.main"],
        env={
            **os.environ,
            "PYTHONPATH": f"{tmp_path}:{source}",
            "SHALLOTROAD_CONFIG": str(settings),
        },
        capture_output=True,
        check=False,
    )
    assert finished.stdout == b"False\n"


def test_garbage_collection_is_enabled_while_the_gateway_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    observed: list[tuple[bool, bool]] = []

    async def serve(*_: object) -> None:
        observed.append((gc.isenabled(), gc.get_freeze_count() > 0))

    monkeypatch.setattr(factory, "serve", serve)
    gc.disable()
    try:
        with socket.socket() as caller_listener:
            asyncio.run(main._run(make_settings(), caller_listener))
    finally:
        gc.enable()
        gc.unfreeze()
    assert observed == [(True, True)]


# Guards against a process that is killed at the end of its grace period, because that
# was counted from the end of its start (soak seed 605).
async def test_the_grace_period_begins_with_a_signal_during_the_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    requested: list[float] = []

    async def serve(
        _settings: object, _listener: object, stop: asyncio.Future[float], _: object
    ) -> None:
        requested.append(await stop)

    monkeypatch.setattr(factory, "serve", serve)
    monkeypatch.setattr(main, "EARLY_SIGNALS_S", {})
    main._record_early_signal(signal.SIGTERM, None)
    sent_s = main.EARLY_SIGNALS_S[signal.SIGTERM]
    main._record_early_signal(signal.SIGTERM, None)
    with socket.socket() as caller_listener:
        await main._run(make_settings(), caller_listener)
    assert requested == [sent_s]
    gc.unfreeze()
