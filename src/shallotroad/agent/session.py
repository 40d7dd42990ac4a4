"""Agent side of one connection from an entry.

Offers, acknowledgements, cancellations and configuration arrive in batches;
refusals, response chunks and load reports leave in batches. Every batch carries
the sender's configuration revision, so that each side finds out when the other
has a newer configuration and sends it a configuration pull. The module ``job``
defines request, attempt, offer, call and fingerprint.
"""

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

# How long an offer waits for the configuration revision that the entry used, before
# it is refused as behind.
CONFIG_WAIT_TIMEOUT_S = 1.0
# Assumed until the entry's first batch states its heartbeat interval.
DEFAULT_HEARTBEAT_INTERVAL_S = 1.0
MIN_LOAD_INTERVAL_S = 0.1
# The load is reported after this many heartbeat intervals without another frame.
IDLE_LOAD_HEARTBEATS = 2.0
# A job whose last reading session has closed is cancelled after this time.
UNREAD_JOB_TIMEOUT_S = 15.0


class Session:
    """State of one connection from an entry; one task reads and one writes.

    ``entry`` and ``generation`` are the entry's instance name and the number of
    its connection attempt, both set by the registry from the entry's hello.
    ``peer_revision`` is the configuration revision of the entry's last batch.
    """

    def __init__(self, *, scheduler: EndpointScheduler, context: Context) -> None:
        self.scheduler = scheduler
        self.entry = ""
        self.generation = 0
        self.closed = False
        self._context = context
        self._send_queue = SendQueue()
        self._heartbeat_s = DEFAULT_HEARTBEAT_INTERVAL_S
        self.peer_revision = 0
        self._senders: dict[str, ResponseSender] = {}
        self._offers_awaiting_config: dict[str, asyncio.Task[None]] = {}

    async def send_batches(self) -> None:
        """Send queued frames as batches until the task is cancelled.

        A load report is added to a batch if the last report added here is older
        than ``MIN_LOAD_INTERVAL_S``. It is sent in a batch of its own if no frame
        was queued for ``IDLE_LOAD_HEARTBEATS`` heartbeat intervals.
        """
        load_sent_s = 0.0
        for number in itertools.count():
            frames = await self._send_queue.next_frames(
                IDLE_LOAD_HEARTBEATS * self._heartbeat_s
            )
            now_s = time.monotonic()
            if not frames or now_s - load_sent_s > MIN_LOAD_INTERVAL_S:
                load_sent_s = now_s
                frames.append(self._load_frame())
            batch = Batch(
                revision=self.scheduler.config.revision, frames=frames, number=number
            )
            await self._context.write(batch)

    def send_load(self) -> None:
        """Queue a report of the endpoint's load for immediate sending."""
        self.send(self._load_frame())

    def _load_frame(self) -> Frame:
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
        """Queue a frame for the entry."""
        self._send_queue.put(frame)

    def handle_batch(self, batch: Batch) -> None:
        """Process the frames of one batch; reply to an empty one with a load report."""
        self._heartbeat_s = batch.heartbeat_s or self._heartbeat_s
        self.peer_revision = batch.revision
        self.pull_config_if_behind()
        for frame in batch.frames:
            self._handle_frame(frame)
        if not batch.frames:
            self.send_load()

    def _handle_frame(self, frame: Frame) -> None:
        kind = frame.WhichOneof("kind")
        if kind == "offer":
            self._handle_offer(frame.offer)
        elif kind == "resume":
            self._handle_resume(frame.resume)
        elif kind == "ack":
            self._handle_ack(frame.ack)
        elif kind == "cancel":
            self._handle_cancel(frame.cancel)
        elif kind == "config_pull":
            self._handle_config_pull(frame.config_pull)
        elif kind == "config_delta":
            self.scheduler.config.apply(decode_delta(frame.config_delta))
        elif kind == "suspect":
            self._handle_suspect(frame.suspect)

    def _handle_config_pull(self, pull: peer_pb2.ConfigPull) -> None:
        """Send the entry the configuration changes since the revision that it names.

        Sends nothing if the entry lacks none, or if only the whole configuration would
        do and ``rate_limited_delta`` permits none now.
        """
        config = self.scheduler.config
        delta = config.rate_limited_delta(pull.since, now_s=time.monotonic())
        if delta is not None:
            self.send(Frame(config_delta=encode_delta(delta)))

    def _handle_suspect(self, suspect: peer_pb2.Suspect) -> None:
        """Record the crash count that an entry reports for a request's fingerprint.

        A positive count makes the request a suspect, whose later offers are exclusive
        or refused as poison; a lower count than the recorded one changes nothing.
        A count of 0 clears the request, because it has completed.
        """
        suspects = self.scheduler.suspects
        if suspect.crashes == 0:
            suspects.clear(suspect.fingerprint)
            return
        now_s = time.monotonic()
        suspects.raise_crash_count(suspect.fingerprint, suspect.crashes, now_s=now_s)

    def pull_config_if_behind(self) -> None:
        """Request the configuration from the entry if the entry has a newer revision.

        Does nothing while the rate limit of configuration pulls is used up.
        """
        since = self.scheduler.config.revision
        if self.peer_revision <= since:
            return
        if self.scheduler.config.allow_pull(now_s=time.monotonic()):
            self.send(Frame(config_pull=peer_pb2.ConfigPull(since=since)))

    def _handle_ack(self, ack: peer_pb2.Ack) -> None:
        sender = self._senders.get(ack.attempt)
        if sender is not None:
            sender.acknowledge(ack.seq)

    def _handle_cancel(self, cancel: peer_pb2.Cancel) -> None:
        """Cancel an attempt, or with ``linger_s`` only stop sending its response.

        With ``linger_s``, the job is cancelled after that time if no session reads its
        response by then.
        """
        attempt = cancel.attempt
        self.scheduler.cancel(attempt, linger_s=cancel.linger_s)
        if cancel.linger_s > 0:
            self._close_sender(attempt)
            return
        refusal = self.scheduler.jobs.refusal(attempt)
        if refusal is not None and attempt not in self._senders:
            self.send(refused_frame(attempt, refusal))

    def _handle_offer(self, offer: peer_pb2.Offer) -> None:
        if offer.revision <= self.scheduler.config.revision:
            self._admit_offer(offer)
            return
        self.pull_config_if_behind()
        attempt = offer.attempt
        task = asyncio.create_task(self._admit_after_config(offer))
        self._offers_awaiting_config[attempt] = task
        task.add_done_callback(
            lambda _: self._offers_awaiting_config.pop(attempt, None)
        )

    async def _admit_after_config(self, offer: peer_pb2.Offer) -> None:
        await self.scheduler.config.wait_for_revision(
            offer.revision, timeout_s=CONFIG_WAIT_TIMEOUT_S
        )
        self._admit_offer(offer)

    def _admit_offer(self, offer: peer_pb2.Offer) -> None:
        try:
            job = self.scheduler.offer(offer)
        except OfferRefusedError as error:
            self.send(refused_frame(offer.attempt, error))
            return
        self.send(Frame(accepted=peer_pb2.Accepted(attempt=offer.attempt)))
        self._open_sender(offer.attempt, job, 0)

    def _handle_resume(self, resume: peer_pb2.Resume) -> None:
        """Continue to send a response from chunk ``next_seq``, after a reconnect.

        This has nothing to do with resuming a paused job at the endpoint. A refused
        attempt is refused again. An unknown one, or one of another team, gets an end
        frame with the outcome ``GONE``.
        """
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

    def _open_sender(self, attempt: str, job: Job, next_seq: int) -> None:
        self._close_sender(attempt)
        sender = ResponseSender(
            attempt=attempt,
            job=job,
            next_seq=next_seq,
            send_queue=self._send_queue,
            find_refusal=self.scheduler.jobs.refusal,
            on_end=lambda ended: self._close_sender(ended.attempt),
        )
        self._senders[attempt] = sender
        sender.open()

    def _close_sender(self, attempt: str) -> None:
        sender = self._senders.pop(attempt, None)
        if sender is not None:
            sender.close()

    def close(self) -> None:
        """Stop sending and drop the offers that wait for configuration.

        A job that no other session reads is cancelled only after
        ``UNREAD_JOB_TIMEOUT_S``, so that the entry can reconnect and read on
        until then.
        """
        self.closed = True
        for task in self._offers_awaiting_config.values():
            task.cancel()
        for attempt, sender in list(self._senders.items()):
            self._close_sender(attempt)
            if sender.job.open_sender_count == 0:
                sender.job.abandon_at_s = time.monotonic() + UNREAD_JOB_TIMEOUT_S
