"""An entry's session with one agent.

One task per agent connects, exchanges batches of frames and reconnects after
failures. Attempts outlive a connection: on the next session with the same incarnation
of the agent they are resumed at the next missing chunk, and offers that the agent has
not accepted are sent again.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import grpc
import grpc.aio
from loguru import logger

from shallotroad.entry.attempt import LossReason
from shallotroad.protocol import peer_pb2
from shallotroad.protocol.config_delta import decode_delta
from shallotroad.protocol.config_delta import encode_delta
from shallotroad.protocol.peer_pb2 import Batch
from shallotroad.protocol.peer_pb2 import Frame
from shallotroad.protocol.rpc import open_channel
from shallotroad.protocol.rpc import open_session
from shallotroad.protocol.send_queue import SendQueue


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.config.versioned_config import VersionedConfig
    from shallotroad.entry.attempt import Attempt
    from shallotroad.policy.suspects import Suspects
    from shallotroad.protocol.rpc import SessionCall

BUSY_HEARTBEAT_INTERVAL_S = 0.5
# A heartbeat is sent after a random fraction of the interval, at least this one.
MIN_HEARTBEAT_WAIT_FRACTION = 0.6
# The session ends when the agent sends nothing for this many heartbeat intervals.
MISSED_HEARTBEATS_LIMIT = 3.0
# Time within which a connection must be set up and the agent's first batch arrive.
HELLO_TIMEOUT_S = 1.5
# Bounds of the mean delay before a reconnect; each delay is 0.5 to 1.5 times the mean.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# Upper bound of that mean while attempts are in flight, which fail if the agent is not
# reached within AGENT_UNREACHABLE_TIMEOUT_S.
MAX_BUSY_BACKOFF_S = 0.4
# Time since the last contact after which the attempts at a disconnected agent fail.
AGENT_UNREACHABLE_TIMEOUT_S = 4.0
# Maximum number of cancels that ``cancel`` keeps while the agent is disconnected.
MAX_PENDING_CANCELS = 1000


def reconnect_delay_s(failures: int, *, busy: bool, rng: random.Random) -> float:
    """Return the delay before the next reconnect, in seconds.

    Parameters
    ----------
    failures : int
        Reconnects that have failed since the last session.
    busy : bool
        Whether attempts are in flight at the agent.
    rng : random.Random
        Source of the jitter.
    """
    max_backoff_s = MAX_BUSY_BACKOFF_S if busy else MAX_BACKOFF_S
    backoff_s = min(max_backoff_s, MIN_BACKOFF_S * 2.0 ** min(failures, 16))
    return backoff_s * rng.uniform(0.5, 1.5)


class EntryIdentity(NamedTuple):
    """How an entry presents itself to agents.

    ``name`` is its name in the instance list, ``incarnation`` a random identifier of
    this start of the process. ``fleet_key`` is the secret that all entries and agents
    of a fleet share: clients present it in every gRPC call between these processes,
    and it signs and verifies idempotency keys.
    """

    name: str
    incarnation: str
    data_centre: str
    fleet_key: str


class ReportedLoad(NamedTuple):
    """Load of an endpoint as its agent last reported it.

    ``limit`` is the number of requests that may run. ``service_s`` is the moving
    average of the seconds from the start to the end of a request, ``first_token_s``
    that of the seconds from the start to the first token, without the time in the queue
    and without unusually late first tokens. Only ``first_token_s`` is 0 when unknown;
    ``service_s`` is an assumed 1 s then. ``accepting`` tells whether the agent takes
    new requests: not before its first report, nor while the endpoint is down, draining
    or closed, or the agent has no configuration; a full queue does not matter. The
    field names are those of the dump.
    """

    running: int = 0
    limit: int = 1
    queued_by_tier: tuple[int, ...] = (0, 0, 0, 0)
    service_s: float = 1.0
    first_token_s: float = 0.0
    accepting: bool = False


class AgentPeer:
    """Connection to one agent, its reported load and the attempts at it.

    Parameters
    ----------
    name, address, data_centre : str
        From the instance list.
    identity : EntryIdentity
        How this entry presents itself.
    config : VersionedConfig
        The accepted configuration, exchanged over the session.
    suspects : Suspects
        Crash counts of requests. Not read: ``send_suspect`` gets the count as an
        argument.
    idle_heartbeat_interval_s : Callable[[], float]
        Returns the seconds between heartbeats while nothing is in flight.

    Attributes
    ----------
    sent_since_load : int
        Attempts added since the latest load report.
    attempts : dict[str, Attempt]
        Attempts in flight at this agent by id.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        data_centre: str,
        identity: EntryIdentity,
        config: VersionedConfig,
        suspects: Suspects,
        idle_heartbeat_interval_s: Callable[[], float],
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.incarnation = ""
        self.serves: tuple[str, ...] = ()
        self.load = ReportedLoad()
        self.sent_since_load = 0
        self.connected = False
        self.round_trip_s = 0.0
        self.attempts: dict[str, Attempt] = {}
        self._identity = identity
        self._config = config
        self._suspects = suspects
        self._idle_heartbeat_interval_s = idle_heartbeat_interval_s
        self._generation = 0
        self._dropped = False
        self._peer_revision = 0
        self._send_queue = SendQueue()
        self._pending_cancels: dict[str, None] = {}
        self._last_seen_s = time.monotonic()
        self._call: SessionCall | None = None

    def heartbeat_interval_s(self) -> float:
        """Return the seconds between heartbeats, fewer while attempts are in flight."""
        return (
            BUSY_HEARTBEAT_INTERVAL_S
            if self.attempts
            else self._idle_heartbeat_interval_s()
        )

    async def run(self) -> None:
        """Keep a session open until cancelled; reconnect with exponential backoff."""
        failures = 0
        rng = random.Random()
        while True:
            try:
                await self._serve_connection()
            except (grpc.aio.AioRpcError, TimeoutError, EOFError) as error:
                logger.debug("session with {} ended: {!r}", self.name, error)
            except asyncio.InvalidStateError as error:
                logger.debug("session with {} failed: {!r}", self.name, error)
            except asyncio.CancelledError:
                if not self._dropped:
                    raise
            if self.connected:
                failures = 0
            self.connected = False
            busy = bool(self.attempts)
            await asyncio.sleep(reconnect_delay_s(failures, busy=busy, rng=rng))
            failures += 1

    async def _serve_connection(self) -> None:
        self._generation += 1
        self._dropped = False
        self._send_queue = SendQueue()
        async with open_channel(self.address) as channel:
            call = open_session(channel, self._identity.fleet_key)
            self._call = call
            writer = None
            try:
                async with asyncio.timeout(HELLO_TIMEOUT_S):
                    sent_s = time.monotonic()
                    await call.write(self._hello_batch())
                    first = await self._read_batch(call)
                self.round_trip_s = time.monotonic() - sent_s
                self._start_session(first)
                writer = asyncio.create_task(self._write_batches(call))
                await self._read_batches(call)
            finally:
                if writer is not None:
                    writer.cancel()
                call.cancel()

    async def _read_batch(self, call: SessionCall) -> Batch:
        """Return the next batch; raise ``EOFError`` if the agent ended the session.

        Has no timeout of its own; callers set one.
        """
        batch = await call.read()
        if not isinstance(batch, Batch):
            raise EOFError("the agent has ended the session")
        return batch

    def _hello_batch(self) -> Batch:
        """Return the first batch of a session.

        Its only frame identifies this entry and numbers the session in ``generation``;
        the batch also has the configuration revision and the heartbeat interval.
        """
        hello = peer_pb2.Hello(
            instance=self._identity.name,
            incarnation=self._identity.incarnation,
            data_centre=self._identity.data_centre,
            generation=self._generation,
        )
        return Batch(
            revision=self._config.revision,
            frames=[Frame(hello=hello)],
            heartbeat_s=self.heartbeat_interval_s(),
        )

    def _start_session(self, first: Batch) -> None:
        """Handle the agent's first batch, then send pending cancels and attempts.

        If the agent has restarted, the attempts that it may have run fail, and the
        pending cancels are discarded. Other attempts are offered or resumed.
        """
        hello = first.frames[0].hello
        if self.incarnation and hello.incarnation != self.incarnation:
            self._fail_sent_attempts()
            self._pending_cancels.clear()
        self.incarnation = hello.incarnation
        self.serves = tuple(hello.serves)
        self.connected = True
        self._last_seen_s = time.monotonic()
        self._handle_batch(first)
        for attempt_id in self._pending_cancels:
            self._send_queue.put(Frame(cancel=peer_pb2.Cancel(attempt=attempt_id)))
        for attempt in self.attempts.values():
            self._send_offer_or_resume(attempt)

    def _send_offer_or_resume(self, attempt: Attempt) -> None:
        """Offer an attempt that is not accepted yet, or resume an accepted one.

        A resume requests the chunks from the first missing one on.
        """
        if attempt.offer is not None and not attempt.accepted:
            attempt.sent = True
            attempt.offer.revision = self._config.revision
            self._send_queue.put(Frame(offer=attempt.offer))
            return
        resume = peer_pb2.Resume(
            attempt=attempt.attempt_id, next_seq=attempt.next_seq, team=attempt.team
        )
        self._send_queue.put(Frame(resume=resume))

    async def _write_batches(self, call: SessionCall) -> None:
        send_queue = self._send_queue
        try:
            for number in itertools.count(1):
                interval_s = self.heartbeat_interval_s()
                wait_fraction = random.uniform(MIN_HEARTBEAT_WAIT_FRACTION, 1.0)
                frames = await send_queue.next_frames(wait_fraction * interval_s)
                batch = Batch(
                    revision=self._config.revision,
                    frames=frames,
                    heartbeat_s=interval_s,
                    number=number,
                )
                await call.write(batch)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            self.drop_connection()

    async def _read_batches(self, call: SessionCall) -> None:
        number = 0
        while True:
            read_timeout_s = MISSED_HEARTBEATS_LIMIT * self.heartbeat_interval_s()
            async with asyncio.timeout(read_timeout_s):
                batch = await self._read_batch(call)
            self._last_seen_s = time.monotonic()
            number += 1
            if batch.number != number:
                raise EOFError("batches from the agent were lost")
            self._handle_batch(batch)

    def _handle_batch(self, batch: Batch) -> None:
        self._peer_revision = batch.revision
        self.pull_config_if_behind()
        for frame in batch.frames:
            kind = frame.WhichOneof("kind")
            if kind == "chunk":
                self._handle_chunk(frame.chunk)
            elif kind == "load":
                self._handle_load(frame.load)
            elif kind == "accepted":
                self._handle_accepted(frame.accepted)
            elif kind == "refused":
                self._handle_refused(frame.refused)
            elif kind == "end":
                self._handle_end(frame.end)
            elif kind == "config_pull":
                self._handle_config_pull(frame.config_pull)
            elif kind == "config_delta":
                self._config.apply(decode_delta(frame.config_delta))

    def pull_config_if_behind(self) -> None:
        """Pull the configuration if the agent is connected and has a newer revision.

        Pulls are rate-limited over all agents.
        """
        if not self.connected or self._peer_revision <= self._config.revision:
            return
        if self._config.allow_pull(now_s=time.monotonic()):
            pull = peer_pb2.ConfigPull(since=self._config.revision)
            self._send_queue.put(Frame(config_pull=pull))

    def _handle_config_pull(self, pull: peer_pb2.ConfigPull) -> None:
        """Send the agent the configuration changes since the revision that it has.

        Sends nothing if the agent lacks none, or if it needs a full delta, which
        contains every value, and the last one was sent too recently to any agent.
        """
        delta = self._config.rate_limited_delta(pull.since, now_s=time.monotonic())
        if delta is not None:
            self._send_queue.put(Frame(config_delta=encode_delta(delta)))

    def _handle_load(self, load: peer_pb2.Load) -> None:
        self.load = ReportedLoad(
            running=load.running,
            limit=load.limit,
            queued_by_tier=tuple(load.queued_by_tier),
            service_s=load.service_s,
            first_token_s=load.first_token_s,
            accepting=load.accepting,
        )
        self.sent_since_load = 0

    def _handle_chunk(self, chunk: peer_pb2.Chunk) -> None:
        """Record a chunk, or request the missing ones if there are any before it.

        The attempt is then resumed, or offered again if it is not accepted yet. A chunk
        of an attempt that is not in flight is ignored.
        """
        attempt = self.attempts.get(chunk.attempt)
        if attempt is not None and not attempt.record_chunk(chunk):
            self._send_offer_or_resume(attempt)

    def _handle_accepted(self, accepted: peer_pb2.Accepted) -> None:
        attempt = self.attempts.get(accepted.attempt)
        if attempt is not None:
            attempt.record_accepted()

    def _handle_refused(self, refused: peer_pb2.Refused) -> None:
        self._pending_cancels.pop(refused.attempt, None)
        attempt = self.attempts.pop(refused.attempt, None)
        if attempt is not None:
            attempt.record_refused(refused)

    def _handle_end(self, end: peer_pb2.End) -> None:
        """Record the end of an attempt, which is no longer in flight then.

        If chunks before the end are missing, it is not recorded, and the attempt is
        resumed, or offered again if it is not accepted yet.
        """
        self._pending_cancels.pop(end.attempt, None)
        attempt = self.attempts.get(end.attempt)
        if attempt is None:
            return
        if attempt.record_end(end):
            del self.attempts[end.attempt]
        else:
            self._send_offer_or_resume(attempt)

    def add_attempt(self, attempt: Attempt) -> None:
        """Offer or resume an attempt, at once or when the agent is connected."""
        self.attempts[attempt.attempt_id] = attempt
        self.sent_since_load += 1
        if self.connected:
            self._send_offer_or_resume(attempt)

    def acknowledge(self, attempt: Attempt) -> None:
        """Acknowledge the chunks that were read, if enough are unacknowledged.

        The acknowledgement permits the agent to send more chunks.
        """
        seq = attempt.take_due_ack()
        if seq is not None:
            ack = peer_pb2.Ack(attempt=attempt.attempt_id, seq=seq)
            self._send_queue.put(Frame(ack=ack))

    def cancel(self, attempt: Attempt, *, linger_s: float = 0.0) -> None:
        """Cancel an attempt, after ``linger_s`` seconds unless it is resumed by then.

        If the agent is disconnected, an immediate cancel is sent with the next
        session, and a delayed one is dropped.
        """
        self.attempts.pop(attempt.attempt_id, None)
        cancel = peer_pb2.Cancel(attempt=attempt.attempt_id, linger_s=linger_s)
        if self.connected:
            self._send_queue.put(Frame(cancel=cancel))
        elif linger_s == 0 and len(self._pending_cancels) < MAX_PENDING_CANCELS:
            self._pending_cancels[attempt.attempt_id] = None

    def send_suspect(self, fingerprint: str, crashes: int) -> None:
        """Send the crash count of a request; 0 clears one that has completed.

        It is queued for the current connection only: a count that is not sent before
        the connection ends is dropped.
        """
        suspect = peer_pb2.Suspect(fingerprint=fingerprint, crashes=crashes)
        self._send_queue.put(Frame(suspect=suspect))

    def fail_attempts(self, reason: LossReason) -> None:
        """Mark every attempt as lost."""
        for attempt in self.attempts.values():
            attempt.record_lost(reason)
        self.attempts.clear()

    def _fail_sent_attempts(self) -> None:
        """Mark the attempts that a restarted agent may have run as lost.

        Offers that were not sent yet are kept for the new session.
        """
        for attempt in list(self.attempts.values()):
            if attempt.sent or attempt.accepted:
                attempt.record_lost(LossReason.RESTARTED)
                del self.attempts[attempt.attempt_id]

    def fail_attempts_if_unreachable(self, now_s: float) -> None:
        """Mark every attempt as lost if the agent was unreachable for too long.

        Attempts that the agent may run are cancelled with the next session.
        """
        since_last_seen_s = now_s - self._last_seen_s
        if self.connected or since_last_seen_s < AGENT_UNREACHABLE_TIMEOUT_S:
            return
        for attempt in list(self.attempts.values()):
            if attempt.accepted or attempt.sent:
                self._pending_cancels[attempt.attempt_id] = None
            attempt.record_lost(LossReason.UNREACHABLE)
        self.attempts.clear()

    def drop_connection(self) -> None:
        """Cancel the session, discard what is unread and let ``run`` reconnect."""
        if self._call is not None:
            self._dropped = True
            self._call.cancel()
