from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import pytest
from devtools import sample_fleet as sample

from shallotroad.agent.endpoint_scheduler import EndpointScheduler
from shallotroad.agent.job import JobState
from shallotroad.agent.offer_validation import AgentIdentity
from shallotroad.agent.scheduling_policy import choose_next
from shallotroad.config.settings import EndpointSettings
from shallotroad.config.versioned_config import Delta
from shallotroad.config.versioned_config import VersionedConfig
from tests.builders import make_offer


if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_DECISIONS = 500


class HangingClient:
    """Client of an endpoint that accepts every request and never responds."""

    async def run(self, *_: Any) -> None:
        await asyncio.Event().wait()

    async def send_command(self, *_: Any) -> bool:
        return True


@pytest.fixture
def scheduler(monkeypatch: pytest.MonkeyPatch) -> Iterator[EndpointScheduler]:
    config = VersionedConfig()
    config.apply(Delta(0, 1, sample.initial_values()))
    count = 0

    def bounded_choose_next(*arguments: Any, **named: Any) -> Any:
        nonlocal count
        count += 1
        assert count < MAX_DECISIONS, "schedule() does not terminate"
        return choose_next(*arguments, **named)

    monkeypatch.setattr(
        "shallotroad.agent.endpoint_scheduler.choose_next", bounded_choose_next
    )
    yield EndpointScheduler(
        identity=AgentIdentity("a", sample.DATA_CENTRES[0], (sample.MODEL,)),
        incarnation="i",
        endpoint=EndpointSettings(url="", serves=(sample.MODEL,), max_running=2),
        client=HangingClient(),  # type: ignore[arg-type]
        config=config,
        fleet_key="k",
    )


async def test_queued_suspect_does_not_preempt_running_drafts(
    scheduler: EndpointScheduler,
) -> None:
    """A suspect of a higher tier is queued while drafts use all permits.

    A suspect can't start beside other jobs. If a draft were paused for it, another
    draft would start on the freed permit and be paused in turn, without end.
    """
    for name in ("d1", "d2", "d3"):
        scheduler.offer(make_offer(attempt=name, tier=3, preemptible=True))
    suspect = make_offer(attempt="s", tier=0, crashes=1, fingerprint="f")
    job = scheduler.offer(suspect)
    scheduler.schedule()
    running = {j.attempt for j in scheduler.running()}
    assert job.state is JobState.QUEUED
    assert running == {"d1", "d2"}


async def test_request_of_a_higher_tier_preempts_the_last_started_draft(
    scheduler: EndpointScheduler,
) -> None:
    for name in ("d1", "d2"):
        scheduler.offer(make_offer(attempt=name, tier=3, preemptible=True))
        await asyncio.sleep(0.01)
    scheduler.offer(make_offer(attempt="q", tier=0))
    assert {j.attempt for j in scheduler.running()} == {"d1", "q"}
    paused = scheduler.jobs.get("d2")
    assert paused is not None
    assert paused.state is JobState.PAUSED
