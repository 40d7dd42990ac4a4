"""The task that runs one job at the endpoint."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.agent.answer import AnswerTooLargeError
from shallotroad.agent.answer import Ending
from shallotroad.agent.exceptions import EndpointBrokenError
from shallotroad.agent.exceptions import EndpointSilentError
from shallotroad.agent.exceptions import EndpointUnreachableError
from shallotroad.agent.job import JobState
from shallotroad.agent.pace import JobPace
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from shallotroad.agent.authority import Authority
    from shallotroad.agent.job import Job


async def run_job(authority: Authority, job: Job) -> None:
    """Run a job to its end and report the outcome to the authority."""
    pace = JobPace(permits=authority.permits, job=job)

    def on_chunk(data: bytes) -> None:
        if job.offer.streamed:
            pace.note()
        job.answer.append(data)

    def is_paused() -> bool:
        return job.state is JobState.PAUSED

    try:
        async with asyncio.timeout(job.offer.run_budget_s):
            await authority.client.run(job.offer, job.answer.begin, on_chunk, is_paused)
    except EndpointUnreachableError as error:
        authority.endpoint_lost()
        authority.not_started(job, f"the endpoint is down: {error}")
    except (EndpointBrokenError, EndpointSilentError) as error:
        await _end_broken(authority, job, str(error))
    except AnswerTooLargeError as error:
        authority.cancel(job.attempt)
        authority.finish(job, Ending(peer_pb2.FAILED, str(error)))
    except TimeoutError:
        detail = f"no whole answer within {job.offer.run_budget_s} s"
        authority.finish(job, Ending(peer_pb2.FAILED, detail))
    else:
        pace.end()
        _end_whole(authority, job)


def _end_whole(authority: Authority, job: Job) -> None:
    if not job.offer.streamed:
        authority.permits.observe_whole(now_s=time.monotonic())
    authority.suspects.clear(job.offer.fingerprint)
    authority.finish(job, Ending(peer_pb2.DONE))


async def _end_broken(authority: Authority, job: Job, detail: str) -> None:
    if await authority.client.healthy():
        authority.finish(job, Ending(peer_pb2.FAILED, detail))
        return
    authority.endpoint_lost()
    now_s = time.monotonic()
    fingerprint = job.offer.fingerprint
    crashes = authority.suspects.crashes(fingerprint, now_s=now_s) + 1
    crashes = max(crashes, job.offer.crashes + 1)
    authority.suspects.raise_crash_count(fingerprint, crashes, now_s=now_s)
    logger.warning(
        "endpoint crashed under request {} ({} times)", job.offer.request, crashes
    )
    authority.finish(job, Ending(peer_pb2.CRASHED, detail))
