from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from shallotroad.platform.exceptions import SettingsError
from shallotroad.platform.settings import decode_settings
from shallotroad.platform.settings import read_settings
from tests.settings_builders import make_table


if TYPE_CHECKING:
    from pathlib import Path


def test_settings_are_decoded() -> None:
    settings = decode_settings(make_table())
    assert settings.bounds.retry_slack == 94.0
    assert settings.bounds.grace_s == 9.0
    assert settings.callers.port == 8000
    assert [str(seed) for seed in settings.seeds] == ["127.0.0.1:7000"]


def test_all_findings_are_reported_together() -> None:
    with pytest.raises(SettingsError) as raised:
        decode_settings(make_table(zone=3, provider={"address": "x"}, listen={}))
    text = str(raised.value)
    for location in ("zone", "provider.address", "listen.front", "listen.ready"):
        assert location in text


def test_malformed_file_raises_settings_error(tmp_path: Path) -> None:
    path = tmp_path / "boot.toml"
    path.write_text("= broken")
    with pytest.raises(SettingsError):
        read_settings(path)
