"""Execution of one job at the endpoint."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.agent.exceptions import EndpointTimeoutError
from shallotroad.agent.exceptions import EndpointUnreachableError
from shallotroad.agent.exceptions import ResponseInterruptedError
from shallotroad.agent.job import JobState
from shallotroad.agent.response_buffer import ResponseTooLargeError
from shallotroad.agent.response_buffer import Result
from shallotroad.agent.token_interval import JobTokenInterval
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from shallotroad.agent.endpoint_scheduler import EndpointScheduler
    from shallotroad.agent.job import Job


async def run_job(scheduler: EndpointScheduler, job: Job) -> None:
    """Send a job to the endpoint, buffer the response and report the outcome.

    The outcome goes to the scheduler; errors of the endpoint are not raised. A
    response that arrives whole, with any HTTP status, ends the job as ``DONE``. The
    errors of ``EndpointClient.run`` and of the buffer lead to these outcomes:

    - EndpointUnreachableError: the endpoint is marked as down, and the job is refused
      as ``BUSY``.
    - ResponseInterruptedError, EndpointTimeoutError: ``CRASHED`` if the health check
      then fails, otherwise ``FAILED``.
    - ResponseTooLargeError: a repeatable job is cancelled and ends as ``GONE``; any
      other ends as ``FAILED``. The endpoint gets no cancel command for the latter, so
      it may go on running it although the permit is released.
    - TimeoutError, which is raised here when the run budget of the offer is used up,
      pauses included: ``FAILED``.
    """
    token_interval = JobTokenInterval(permits=scheduler.permits, job=job)

    def on_chunk(data: bytes) -> None:
        if job.offer.streamed:
            token_interval.record_chunk()
        job.response.append(data)

    def is_paused() -> bool:
        return job.state is JobState.PAUSED

    try:
        async with asyncio.timeout(job.offer.run_budget_s):
            await scheduler.client.run(
                job.offer, job.response.begin, on_chunk, is_paused
            )
    except EndpointUnreachableError as error:
        scheduler.mark_endpoint_down()
        scheduler.revert_start(job, f"the endpoint is down: {error}")
    except (ResponseInterruptedError, EndpointTimeoutError) as error:
        await _end_interrupted(scheduler, job, str(error))
    except ResponseTooLargeError as error:
        scheduler.cancel(job.attempt)
        scheduler.finish(job, Result(peer_pb2.FAILED, str(error)))
    except TimeoutError:
        detail = f"no whole answer within {job.offer.run_budget_s} s"
        scheduler.finish(job, Result(peer_pb2.FAILED, detail))
    else:
        token_interval.record_end()
        _end_complete(scheduler, job)


def _end_complete(scheduler: EndpointScheduler, job: Job) -> None:
    """End a job as ``DONE`` and clear the crash record of its request.

    A response that was not streamed may grow the limit of the permits.
    """
    if not job.offer.streamed:
        scheduler.permits.observe_complete_response(now_s=time.monotonic())
    scheduler.suspects.clear(job.offer.fingerprint)
    scheduler.finish(job, Result(peer_pb2.DONE))


async def _end_interrupted(scheduler: EndpointScheduler, job: Job, detail: str) -> None:
    """End a job whose response was interrupted.

    If the endpoint passes a health check, the job ends as ``FAILED`` and the endpoint
    stays up. Otherwise the endpoint is marked as down, the job ends as ``CRASHED``, and
    the crash count of the request rises by one. The request is then a suspect: later
    offers of it run exclusively, or are refused as poison after
    ``policy.suspects.POISON_CRASHES`` crashes.
    """
    if await scheduler.client.healthy():
        scheduler.finish(job, Result(peer_pb2.FAILED, detail))
        return
    scheduler.mark_endpoint_down()
    now_s = time.monotonic()
    fingerprint = job.offer.fingerprint
    crashes = scheduler.suspects.crashes(fingerprint, now_s=now_s) + 1
    crashes = max(crashes, job.offer.crashes + 1)
    scheduler.suspects.raise_crash_count(fingerprint, crashes, now_s=now_s)
    logger.warning(
        "endpoint crashed while request {} was running (crash count {})",
        job.offer.request,
        crashes,
    )
    scheduler.finish(job, Result(peer_pb2.CRASHED, detail))
