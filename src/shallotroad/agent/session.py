"""One entry's session with this agent."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from shallotroad.agent.exceptions import OfferRefusedError
from shallotroad.agent.feed import Feed
from shallotroad.agent.feed import refused_frame
from shallotroad.protocol import peer_pb2
from shallotroad.protocol.config_delta import from_message
from shallotroad.protocol.config_delta import to_message
from shallotroad.protocol.outbox import Outbox
from shallotroad.protocol.peer_pb2 import Batch
from shallotroad.protocol.peer_pb2 import Frame


if TYPE_CHECKING:
    from shallotroad.agent.authority import Authority
    from shallotroad.agent.job import Job
    from shallotroad.protocol.rpc import Context

BEHIND_WAIT_S = 1.0
HEARTBEAT_S = 1.0
LOAD_GAP_S = 0.1
UNASKED_HEARTBEATS = 2.0
LINGER_S = 15.0


class Session:
    """State of one connection from an entry; one task reads and one writes."""

    def __init__(self, *, authority: Authority, context: Context) -> None:
        self.authority = authority
        self.entry = ""
        self.generation = 0
        self.closed = False
        self._context = context
        self._outbox = Outbox()
        self._heartbeat_s = HEARTBEAT_S
        self.heard_revision = 0
        self._feeds: dict[str, Feed] = {}
        self._behind: dict[str, asyncio.Task[None]] = {}

    async def write(self) -> None:
        """Send batches until the connection ends."""
        load_sent_s = 0.0
        for number in itertools.count():
            frames = await self._outbox.take(UNASKED_HEARTBEATS * self._heartbeat_s)
            now_s = time.monotonic()
            if not frames or now_s - load_sent_s > LOAD_GAP_S:
                load_sent_s = now_s
                frames.append(self._load())
            batch = Batch(
                revision=self.authority.config.revision, frames=frames, number=number
            )
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
        self.heard_revision = batch.revision
        self.catch_up()
        for frame in batch.frames:
            self._receive_frame(frame)
        if not batch.frames:
            self.tell_load()

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
            self._answer_pull(frame.config_pull)
        elif kind == "config_delta":
            self.authority.config.apply(from_message(frame.config_delta))
        elif kind == "suspect":
            self._receive_suspect(frame.suspect)

    def _answer_pull(self, pull: peer_pb2.ConfigPull) -> None:
        config = self.authority.config
        delta = config.rate_limited_delta(pull.since, now_s=time.monotonic())
        if delta is not None:
            self.tell(Frame(config_delta=to_message(delta)))

    def _receive_suspect(self, suspect: peer_pb2.Suspect) -> None:
        suspects = self.authority.suspects
        if suspect.crashes == 0:
            suspects.clear(suspect.fingerprint)
            return
        now_s = time.monotonic()
        suspects.hold(suspect.fingerprint, suspect.crashes, now_s=now_s)

    def catch_up(self) -> None:
        """Ask the entry for configuration when it is known to have newer."""
        since = self.authority.config.revision
        if self.heard_revision <= since:
            return
        if self.authority.config.allow_pull(now_s=time.monotonic()):
            self.tell(Frame(config_pull=peer_pb2.ConfigPull(since=since)))

    def _receive_ack(self, ack: peer_pb2.Ack) -> None:
        feed = self._feeds.get(ack.attempt)
        if feed is not None:
            feed.acknowledge(ack.seq)

    def _receive_cancel(self, cancel: peer_pb2.Cancel) -> None:
        attempt = cancel.attempt
        self.authority.cancel(attempt, linger_s=cancel.linger_s)
        if cancel.linger_s > 0:
            self._close_feed(attempt)
            return
        refusal = self.authority.jobs.refusal(attempt)
        if refusal is not None and attempt not in self._feeds:
            self.tell(refused_frame(attempt, refusal))

    def _receive_offer(self, offer: peer_pb2.Offer) -> None:
        if offer.revision <= self.authority.config.revision:
            self._serve_offer(offer)
            return
        self.catch_up()
        attempt = offer.attempt
        task = asyncio.create_task(self._serve_when_current(offer))
        self._behind[attempt] = task
        task.add_done_callback(lambda _: self._behind.pop(attempt, None))

    async def _serve_when_current(self, offer: peer_pb2.Offer) -> None:
        await self.authority.config.wait_for_revision(
            offer.revision, timeout_s=BEHIND_WAIT_S
        )
        self._serve_offer(offer)

    def _serve_offer(self, offer: peer_pb2.Offer) -> None:
        try:
            job = self.authority.offer(offer)
        except OfferRefusedError as error:
            self.tell(refused_frame(offer.attempt, error))
            return
        self.tell(Frame(accepted=peer_pb2.Accepted(attempt=offer.attempt)))
        self._open_feed(offer.attempt, job, 0)

    def _receive_resume(self, resume: peer_pb2.Resume) -> None:
        attempt = resume.attempt
        job = self.authority.jobs.get(attempt)
        if job is not None and job.offer.team == resume.team:
            self._open_feed(attempt, job, resume.next_seq)
            return
        refusal = self.authority.jobs.refusal(attempt)
        if refusal is not None:
            self.tell(refused_frame(attempt, refusal))
            return
        end = peer_pb2.End(
            attempt=attempt, outcome=peer_pb2.GONE, detail="no such answer is kept"
        )
        self.tell(Frame(end=end))

    def _open_feed(self, attempt: str, job: Job, seq: int) -> None:
        self._close_feed(attempt)
        feed = Feed(
            attempt=attempt,
            job=job,
            seq=seq,
            outbox=self._outbox,
            refusal_of=self.authority.jobs.refusal,
            on_end=lambda ended: self._close_feed(ended.attempt),
        )
        self._feeds[attempt] = feed
        feed.open()

    def _close_feed(self, attempt: str) -> None:
        feed = self._feeds.pop(attempt, None)
        if feed is not None:
            feed.close()

    def close(self) -> None:
        """Stop sending; answers without readers are abandoned after a while."""
        self.closed = True
        for task in self._behind.values():
            task.cancel()
        for attempt, feed in list(self._feeds.items()):
            self._close_feed(attempt)
            if feed.job.watchers == 0:
                feed.job.abandon_s = time.monotonic() + LINGER_S
