"""One entry's session with this agent."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from shallotroad.agent.exceptions import OfferRefusedError
from shallotroad.agent.response_sender import ResponseSender
from shallotroad.agent.response_sender import refused_frame
from shallotroad.protocol import peer_pb2
from shallotroad.protocol.config_delta import decode_delta
from shallotroad.protocol.config_delta import encode_delta
from shallotroad.protocol.peer_pb2 import Batch
from shallotroad.protocol.peer_pb2 import Frame
from shallotroad.protocol.send_queue import SendQueue


if TYPE_CHECKING:
    from shallotroad.agent.endpoint_scheduler import EndpointScheduler
    from shallotroad.agent.job import Job
    from shallotroad.protocol.rpc import Context

BEHIND_WAIT_S = 1.0
HEARTBEAT_S = 1.0
LOAD_INTERVAL_S = 0.1
UNASKED_HEARTBEATS = 2.0
LINGER_S = 15.0


class Session:
    """State of one connection from an entry; one task reads and one writes."""

    def __init__(self, *, scheduler: EndpointScheduler, context: Context) -> None:
        self.scheduler = scheduler
        self.entry = ""
        self.generation = 0
        self.closed = False
        self._context = context
        self._send_queue = SendQueue()
        self._heartbeat_s = HEARTBEAT_S
        self.peer_revision = 0
        self._senders: dict[str, ResponseSender] = {}
        self._behind: dict[str, asyncio.Task[None]] = {}

    async def write(self) -> None:
        """Send batches until the connection ends."""
        load_sent_s = 0.0
        for number in itertools.count():
            frames = await self._send_queue.next_frames(
                UNASKED_HEARTBEATS * self._heartbeat_s
            )
            now_s = time.monotonic()
            if not frames or now_s - load_sent_s > LOAD_INTERVAL_S:
                load_sent_s = now_s
                frames.append(self._load())
            batch = Batch(
                revision=self.scheduler.config.revision, frames=frames, number=number
            )
            await self._context.write(batch)

    def send_load(self) -> None:
        """Report the endpoint's state without waiting for other traffic."""
        self.send(self._load())

    def _load(self) -> Frame:
        scheduler = self.scheduler
        state = scheduler.permits.state()
        return Frame(
            load=peer_pb2.Load(
                running=state.running,
                limit=state.limit,
                queued_by_tier=scheduler.queue.counts_by_tier(),
                service_s=scheduler.service_time.mean_s,
                accepting=scheduler.accepting,
                first_token_s=state.baseline_s,
            )
        )

    def send(self, frame: Frame) -> None:
        """Send a frame to the entry."""
        self._send_queue.put(frame)

    def receive(self, batch: Batch) -> None:
        """Act on one batch."""
        self._heartbeat_s = batch.heartbeat_s or self._heartbeat_s
        self.peer_revision = batch.revision
        self.pull_config_if_behind()
        for frame in batch.frames:
            self._receive_frame(frame)
        if not batch.frames:
            self.send_load()

    def _receive_frame(self, frame: Frame) -> None:
        kind = frame.WhichOneof("kind")
        if kind == "offer":
            self._receive_offer(frame.offer)
        elif kind == "resume":
            self._receive_resume(frame.resume)
        elif kind == "ack":
            self._receive_ack(frame.ack)
        elif kind == "cancel":
            self._receive_cancel(frame.cancel)
        elif kind == "config_pull":
            self._handle_pull(frame.config_pull)
        elif kind == "config_delta":
            self.scheduler.config.apply(decode_delta(frame.config_delta))
        elif kind == "suspect":
            self._receive_suspect(frame.suspect)

    def _handle_pull(self, pull: peer_pb2.ConfigPull) -> None:
        config = self.scheduler.config
        delta = config.rate_limited_delta(pull.since, now_s=time.monotonic())
        if delta is not None:
            self.send(Frame(config_delta=encode_delta(delta)))

    def _receive_suspect(self, suspect: peer_pb2.Suspect) -> None:
        suspects = self.scheduler.suspects
        if suspect.crashes == 0:
            suspects.clear(suspect.fingerprint)
            return
        now_s = time.monotonic()
        suspects.raise_crash_count(suspect.fingerprint, suspect.crashes, now_s=now_s)

    def pull_config_if_behind(self) -> None:
        """Ask the entry for configuration when it is known to have newer."""
        since = self.scheduler.config.revision
        if self.peer_revision <= since:
            return
        if self.scheduler.config.allow_pull(now_s=time.monotonic()):
            self.send(Frame(config_pull=peer_pb2.ConfigPull(since=since)))

    def _receive_ack(self, ack: peer_pb2.Ack) -> None:
        sender = self._senders.get(ack.attempt)
        if sender is not None:
            sender.acknowledge(ack.seq)

    def _receive_cancel(self, cancel: peer_pb2.Cancel) -> None:
        attempt = cancel.attempt
        self.scheduler.cancel(attempt, linger_s=cancel.linger_s)
        if cancel.linger_s > 0:
            self._close_sender(attempt)
            return
        refusal = self.scheduler.jobs.refusal(attempt)
        if refusal is not None and attempt not in self._senders:
            self.send(refused_frame(attempt, refusal))

    def _receive_offer(self, offer: peer_pb2.Offer) -> None:
        if offer.revision <= self.scheduler.config.revision:
            self._serve_offer(offer)
            return
        self.pull_config_if_behind()
        attempt = offer.attempt
        task = asyncio.create_task(self._serve_when_current(offer))
        self._behind[attempt] = task
        task.add_done_callback(lambda _: self._behind.pop(attempt, None))

    async def _serve_when_current(self, offer: peer_pb2.Offer) -> None:
        await self.scheduler.config.wait_for_revision(
            offer.revision, timeout_s=BEHIND_WAIT_S
        )
        self._serve_offer(offer)

    def _serve_offer(self, offer: peer_pb2.Offer) -> None:
        try:
            job = self.scheduler.offer(offer)
        except OfferRefusedError as error:
            self.send(refused_frame(offer.attempt, error))
            return
        self.send(Frame(accepted=peer_pb2.Accepted(attempt=offer.attempt)))
        self._open_sender(offer.attempt, job, 0)

    def _receive_resume(self, resume: peer_pb2.Resume) -> None:
        attempt = resume.attempt
        job = self.scheduler.jobs.get(attempt)
        if job is not None and job.offer.team == resume.team:
            self._open_sender(attempt, job, resume.next_seq)
            return
        refusal = self.scheduler.jobs.refusal(attempt)
        if refusal is not None:
            self.send(refused_frame(attempt, refusal))
            return
        end = peer_pb2.End(
            attempt=attempt, outcome=peer_pb2.GONE, detail="no such answer is kept"
        )
        self.send(Frame(end=end))

    def _open_sender(self, attempt: str, job: Job, seq: int) -> None:
        self._close_sender(attempt)
        sender = ResponseSender(
            attempt=attempt,
            job=job,
            seq=seq,
            send_queue=self._send_queue,
            refusal_of=self.scheduler.jobs.refusal,
            on_end=lambda ended: self._close_sender(ended.attempt),
        )
        self._senders[attempt] = sender
        sender.open()

    def _close_sender(self, attempt: str) -> None:
        sender = self._senders.pop(attempt, None)
        if sender is not None:
            sender.close()

    def close(self) -> None:
        """Stop sending; answers without readers are abandoned after a while."""
        self.closed = True
        for task in self._behind.values():
            task.cancel()
        for attempt, sender in list(self._senders.items()):
            self._close_sender(attempt)
            if sender.job.watchers == 0:
                sender.job.abandon_at_s = time.monotonic() + LINGER_S
