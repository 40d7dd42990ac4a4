from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest
from devtools import sample_fleet as sample

from shallotroad.agent.authority import Authority
from shallotroad.agent.gate import Place
from shallotroad.agent.job import JobState
from shallotroad.agent.scheduler import choose_next
from shallotroad.config.revision_log import Delta
from shallotroad.config.revision_log import RevisionLog
from shallotroad.config.settings import Endpoint
from tests.builders import make_offer


if TYPE_CHECKING:
    from collections.abc import Iterator

MOST_CHOICES = 500


class HangingClient:
    """An endpoint that accepts everything and never answers."""

    async def run(self, *_: Any) -> None:
        await asyncio.Event().wait()

    async def order(self, *_: Any) -> bool:
        return True


@pytest.fixture
def authority(monkeypatch: pytest.MonkeyPatch) -> Iterator[Authority]:
    log = RevisionLog()
    log.adopt(Delta(0, 1, sample.initial_values()))
    count = 0

    def bounded(*arguments: Any, **named: Any) -> Any:
        nonlocal count
        count += 1
        assert count < MOST_CHOICES, "scheduling does not come to an end"
        return choose_next(*arguments, **named)

    monkeypatch.setattr("shallotroad.agent.authority.choose_next", bounded)
    yield Authority(
        place=Place("a", sample.DATA_CENTRES[0], (sample.MODEL,)),
        incarnation="i",
        endpoint=Endpoint(url="", serves=(sample.MODEL,), max_running=2),
        client=HangingClient(),  # type: ignore[arg-type]
        log=log,
        fleet_key="k",
    )


async def test_suspect_that_waits_does_not_make_others_pause(
    authority: Authority,
) -> None:
    """A waiting suspect of an upper tier, and drafts at the limit of permits."""
    for name in ("d1", "d2", "d3"):
        authority.offer(make_offer(attempt=name, tier=3, preemptible=True))
    suspect = make_offer(attempt="s", tier=0, crashes=1, fingerprint="f")
    job = authority.offer(suspect)
    authority.schedule()
    running = {j.attempt for j in authority.running()}
    assert job.state is JobState.QUEUED
    assert running == {"d1", "d2"}


async def test_quick_question_pauses_the_latest_draft(authority: Authority) -> None:
    for name in ("d1", "d2"):
        authority.offer(make_offer(attempt=name, tier=3, preemptible=True))
        await asyncio.sleep(0.01)
    authority.offer(make_offer(attempt="q", tier=0))
    assert {j.attempt for j in authority.running()} == {"d1", "q"}
    paused = authority.jobs.get("d2")
    assert paused is not None
    assert paused.state is JobState.PAUSED
