"""One entry's session with this agent."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.agent.exceptions import OfferRefusedError
from shallotroad.protocol import peer_pb2
from shallotroad.protocol.config_delta import from_message
from shallotroad.protocol.config_delta import to_message
from shallotroad.protocol.outbox import Outbox
from shallotroad.protocol.peer_pb2 import Batch
from shallotroad.protocol.peer_pb2 import Frame


if TYPE_CHECKING:
    from collections.abc import Coroutine

    from shallotroad.agent.answer import Answer
    from shallotroad.agent.authority import Authority
    from shallotroad.agent.job import Job
    from shallotroad.protocol.rpc import Context

WINDOW_CHUNKS = 256
PULL_GAP_S = 0.5
BEHIND_WAIT_S = 1.0
HEARTBEAT_S = 1.0
LOAD_GAP_S = 0.1
LINGER_S = 15.0


class Session:
    """State of one connection from an entry.

    One task reads, one writes, and one for each attempt sends its chunks
    within a window that the entry's acknowledgements move.
    """

    def __init__(self, *, authority: Authority, context: Context) -> None:
        self.authority = authority
        self.entry = ""
        self.generation = 0
        self.closed = False
        self._context = context
        self._outbox = Outbox()
        self._heartbeat_s = HEARTBEAT_S
        self._acked: dict[str, int] = {}
        self._moved: dict[str, asyncio.Event] = {}
        self._pumps: dict[str, asyncio.Task[None]] = {}
        self._pulled_s = 0.0

    async def write(self) -> None:
        """Send batches until the connection ends."""
        load_sent_s = 0.0
        while True:
            frames = await self._outbox.take(self._heartbeat_s)
            now_s = time.monotonic()
            if not frames or now_s - load_sent_s > LOAD_GAP_S:
                load_sent_s = now_s
                frames.append(self._load())
            batch = Batch(revision=self.authority.log.revision, frames=frames)
            await self._context.write(batch)

    def tell_load(self) -> None:
        """Report the endpoint's state without waiting for other traffic."""
        self.tell(self._load())

    def _load(self) -> Frame:
        authority = self.authority
        state = authority.permits.state()
        return Frame(
            load=peer_pb2.Load(
                running=state.running,
                limit=state.limit,
                queued_by_tier=authority.queue.counts(),
                service_s=authority.service.mean_s,
                accepting=authority.accepting,
                first_token_s=state.baseline_s,
            )
        )

    def tell(self, frame: Frame) -> None:
        """Send a frame to the entry."""
        self._outbox.put(frame)

    def receive(self, batch: Batch) -> None:
        """Act on one batch."""
        self._heartbeat_s = batch.heartbeat_s or self._heartbeat_s
        if batch.revision > self.authority.log.revision:
            self._pull()
        for frame in batch.frames:
            self._receive_frame(frame)
        if not batch.frames:
            self.tell_load()

    def _receive_frame(self, frame: Frame) -> None:
        kind = frame.WhichOneof("kind")
        if kind == "offer":
            self._spawn(frame.offer.attempt, self._serve_offer(frame.offer))
        elif kind == "resume":
            self._spawn(frame.resume.attempt, self._serve_resume(frame.resume))
        elif kind == "ack":
            self._receive_ack(frame.ack)
        elif kind == "cancel":
            self._receive_cancel(frame.cancel)
        elif kind == "config_pull":
            delta = self.authority.log.since(frame.config_pull.since)
            if delta is not None:
                self.tell(Frame(config_delta=to_message(delta)))
        elif kind == "config_delta":
            self.authority.log.adopt(from_message(frame.config_delta))
        elif kind == "suspect":
            self.authority.suspects.hold(
                frame.suspect.fingerprint,
                frame.suspect.crashes,
                now_s=time.monotonic(),
            )

    def _pull(self) -> None:
        now_s = time.monotonic()
        if now_s - self._pulled_s >= PULL_GAP_S:
            self._pulled_s = now_s
            since = self.authority.log.revision
            self.tell(Frame(config_pull=peer_pb2.ConfigPull(since=since)))

    def _receive_ack(self, ack: peer_pb2.Ack) -> None:
        if ack.attempt in self._acked:
            self._acked[ack.attempt] = max(self._acked[ack.attempt], ack.seq)
            self._moved[ack.attempt].set()

    def _receive_cancel(self, cancel: peer_pb2.Cancel) -> None:
        attempt = cancel.attempt
        self.authority.cancel(attempt, linger_s=cancel.linger_s)
        if cancel.linger_s > 0:
            pump = self._pumps.pop(attempt, None)
            if pump is not None:
                pump.cancel()
            return
        refusal = self.authority.jobs.refusal(attempt)
        if refusal is not None and attempt not in self._pumps:
            self._tell_refusal(attempt, refusal)

    def _spawn(self, attempt: str, work: Coroutine[None, None, None]) -> None:
        previous = self._pumps.pop(attempt, None)
        if previous is not None:
            previous.cancel()
        task = asyncio.create_task(work)
        self._pumps[attempt] = task
        task.add_done_callback(lambda done: self._reap(attempt, done))

    def _reap(self, attempt: str, task: asyncio.Task[None]) -> None:
        if self._pumps.get(attempt) is task:
            del self._pumps[attempt]
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("attempt {}", attempt)

    async def _serve_offer(self, offer: peer_pb2.Offer) -> None:
        attempt = offer.attempt
        if offer.revision > self.authority.log.revision:
            self._pull()
            await self.authority.log.wait_for(offer.revision, timeout_s=BEHIND_WAIT_S)
        try:
            job = self.authority.offer(offer)
        except OfferRefusedError as error:
            self._tell_refusal(attempt, error)
            return
        accepted = peer_pb2.Accepted(attempt=attempt)
        self.tell(Frame(accepted=accepted))
        await self._send_chunks(attempt, job, 0)

    def _tell_refusal(self, attempt: str, error: OfferRefusedError) -> None:
        refused = peer_pb2.Refused(
            attempt=attempt,
            reason=error.reason,
            detail=error.detail,
            retry_after_s=error.retry_after_s,
        )
        self.tell(Frame(refused=refused))

    async def _serve_resume(self, resume: peer_pb2.Resume) -> None:
        attempt = resume.attempt
        job = self.authority.jobs.get(attempt)
        if job is not None and job.offer.team == resume.team:
            await self._send_chunks(attempt, job, resume.next_seq)
            return
        refusal = self.authority.jobs.refusal(attempt)
        if refusal is not None:
            self._tell_refusal(attempt, refusal)
            return
        end = peer_pb2.End(
            attempt=attempt, outcome=peer_pb2.GONE, detail="no such answer is kept"
        )
        self.tell(Frame(end=end))

    async def _send_chunks(self, attempt: str, job: Job, seq: int) -> None:
        job.watchers += 1
        job.abandon_s = None
        self._acked[attempt] = seq
        self._moved[attempt] = asyncio.Event()
        try:
            await self._pump(attempt, job, seq)
        finally:
            self._acked.pop(attempt, None)
            self._moved.pop(attempt, None)
            job.watchers -= 1
            if job.watchers == 0 and self.closed:
                job.abandon_s = time.monotonic() + LINGER_S

    async def _pump(self, attempt: str, job: Job, seq: int) -> None:
        answer = job.answer
        moved = self._moved[attempt]
        while True:
            await answer.wait_beyond(seq)
            while seq < len(answer.chunks):
                while seq >= self._acked[attempt] + WINDOW_CHUNKS:
                    moved.clear()
                    await moved.wait()
                self._tell_chunk(attempt, answer, seq)
                seq += 1
            if answer.ending is not None and seq >= len(answer.chunks):
                break
        self._tell_ending(attempt, job, seq)

    def _tell_chunk(self, attempt: str, answer: Answer, seq: int) -> None:
        frame = Frame()
        chunk = frame.chunk
        chunk.attempt = attempt
        chunk.seq = seq
        chunk.data = answer.chunks[seq]
        if seq == 0:
            chunk.status = answer.status
            chunk.content_type = answer.content_type
        self._outbox.put(frame)

    def _tell_ending(self, attempt: str, job: Job, seq: int) -> None:
        refusal = self.authority.jobs.refusal(job.attempt)
        if refusal is not None:
            self._tell_refusal(attempt, refusal)
            return
        ending = job.answer.ending
        if ending is None:
            return
        end = peer_pb2.End(
            attempt=attempt,
            chunks=seq,
            outcome=ending.outcome,
            detail=ending.detail,
        )
        self._outbox.put(Frame(end=end))

    def close(self) -> None:
        """Stop sending; attempts without readers are abandoned after a while."""
        self.closed = True
        for task in list(self._pumps.values()):
            task.cancel()
