"""An entry's connection to one agent, kept up by one task."""

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

BUSY_HEARTBEAT_S = 0.5
HEARTBEAT_SPREAD = 0.6
MISSED_HEARTBEATS_LIMIT = 3.0
HELLO_TIMEOUT_S = 1.5
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
AGENT_UNREACHABLE_TIMEOUT_S = 4.0
MAX_REVOKED = 1000


class EntryIdentity(NamedTuple):
    """Who the entry is towards agents."""

    name: str
    incarnation: str
    data_centre: str
    fleet_key: str


class LoadView(NamedTuple):
    """The latest report of an endpoint."""

    running: int = 0
    limit: int = 1
    queued_by_tier: tuple[int, ...] = (0, 0, 0, 0)
    service_s: float = 1.0
    first_token_s: float = 0.0
    accepting: bool = False


class AgentPeer:
    """One agent as an entry knows it.

    Parameters
    ----------
    name, address, data_centre : str
        From the instance list.
    identity : EntryIdentity
        Who the entry is.
    config : VersionedConfig
        The accepted configuration, exchanged over the session.
    suspects : Suspects
        Requests that were there at crashes, exchanged over the session.
    idle_heartbeat_s : Callable[[], float]
        Returns the time between heartbeats while nothing is in flight.
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
        idle_heartbeat_s: Callable[[], float],
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.incarnation = ""
        self.serves: tuple[str, ...] = ()
        self.load = LoadView()
        self.unseen = 0
        self.connected = False
        self.round_trip_s = 0.0
        self.attempts: dict[str, Attempt] = {}
        self._identity = identity
        self._config = config
        self._suspects = suspects
        self._idle_heartbeat_s = idle_heartbeat_s
        self._generation = 0
        self._dropped = False
        self._peer_revision = 0
        self._send_queue = SendQueue()
        self._revoked: dict[str, None] = {}
        self._last_seen_s = time.monotonic()
        self._call: SessionCall | None = None

    def heartbeat_s(self) -> float:
        """Return the time between heartbeats now, in seconds."""
        return BUSY_HEARTBEAT_S if self.attempts else self._idle_heartbeat_s()

    async def run(self) -> None:
        """Keep a session up until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                await self._serve_connection()
            except (grpc.aio.AioRpcError, TimeoutError, EOFError) as error:
                logger.debug("session with {} ended: {!r}", self.name, error)
            except asyncio.InvalidStateError as error:
                logger.debug("session with {} broke: {!r}", self.name, error)
            except asyncio.CancelledError:
                if not self._dropped:
                    raise
            if self.connected:
                backoff_s = MIN_BACKOFF_S
            self.connected = False
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

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
                    began_s = time.monotonic()
                    await call.write(self._hello())
                    first = await self._next(call)
                self.round_trip_s = time.monotonic() - began_s
                self._enter(first)
                writer = asyncio.create_task(self._write(call))
                await self._read(call)
            finally:
                if writer is not None:
                    writer.cancel()
                call.cancel()

    async def _next(self, call: SessionCall) -> Batch:
        batch = await call.read()
        if not isinstance(batch, Batch):
            raise EOFError("the agent has ended the session")
        return batch

    def _hello(self) -> Batch:
        hello = peer_pb2.Hello(
            instance=self._identity.name,
            incarnation=self._identity.incarnation,
            data_centre=self._identity.data_centre,
            generation=self._generation,
        )
        return Batch(
            revision=self._config.revision,
            frames=[Frame(hello=hello)],
            heartbeat_s=self.heartbeat_s(),
        )

    def _enter(self, first: Batch) -> None:
        hello = first.frames[0].hello
        if self.incarnation and hello.incarnation != self.incarnation:
            self._fail_sent_attempts()
            self._revoked.clear()
        self.incarnation = hello.incarnation
        self.serves = tuple(hello.serves)
        self.connected = True
        self._last_seen_s = time.monotonic()
        self._receive(first)
        for attempt_id in self._revoked:
            self._send_queue.put(Frame(cancel=peer_pb2.Cancel(attempt=attempt_id)))
        for attempt in self.attempts.values():
            self._put_first(attempt)

    def _put_first(self, attempt: Attempt) -> None:
        if attempt.offer is not None and not attempt.accepted:
            attempt.sent = True
            attempt.offer.revision = self._config.revision
            self._send_queue.put(Frame(offer=attempt.offer))
            return
        resume = peer_pb2.Resume(
            attempt=attempt.attempt, next_seq=attempt.next_seq, team=attempt.team
        )
        self._send_queue.put(Frame(resume=resume))

    async def _write(self, call: SessionCall) -> None:
        send_queue = self._send_queue
        try:
            for number in itertools.count(1):
                heartbeat_s = self.heartbeat_s()
                spread = random.uniform(HEARTBEAT_SPREAD, 1.0)
                frames = await send_queue.next_frames(spread * heartbeat_s)
                batch = Batch(
                    revision=self._config.revision,
                    frames=frames,
                    heartbeat_s=heartbeat_s,
                    number=number,
                )
                await call.write(batch)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            self.drop_connection()

    async def _read(self, call: SessionCall) -> None:
        number = 0
        while True:
            read_timeout_s = MISSED_HEARTBEATS_LIMIT * self.heartbeat_s()
            async with asyncio.timeout(read_timeout_s):
                batch = await self._next(call)
            self._last_seen_s = time.monotonic()
            number += 1
            if batch.number != number:
                raise EOFError("batches were lost on the way")
            self._receive(batch)

    def _receive(self, batch: Batch) -> None:
        self._peer_revision = batch.revision
        self.pull_config_if_behind()
        for frame in batch.frames:
            kind = frame.WhichOneof("kind")
            if kind == "chunk":
                self._receive_chunk(frame.chunk)
            elif kind == "load":
                self._receive_load(frame.load)
            elif kind == "accepted":
                self._receive_accepted(frame.accepted)
            elif kind == "refused":
                self._receive_refused(frame.refused)
            elif kind == "end":
                self._receive_end(frame.end)
            elif kind == "config_pull":
                self._handle_pull(frame.config_pull)
            elif kind == "config_delta":
                self._config.apply(decode_delta(frame.config_delta))

    def pull_config_if_behind(self) -> None:
        """Ask the agent for configuration when it is known to have newer."""
        if not self.connected or self._peer_revision <= self._config.revision:
            return
        if self._config.allow_pull(now_s=time.monotonic()):
            pull = peer_pb2.ConfigPull(since=self._config.revision)
            self._send_queue.put(Frame(config_pull=pull))

    def _handle_pull(self, pull: peer_pb2.ConfigPull) -> None:
        delta = self._config.rate_limited_delta(pull.since, now_s=time.monotonic())
        if delta is not None:
            self._send_queue.put(Frame(config_delta=encode_delta(delta)))

    def _receive_load(self, load: peer_pb2.Load) -> None:
        self.load = LoadView(
            running=load.running,
            limit=load.limit,
            queued_by_tier=tuple(load.queued_by_tier),
            service_s=load.service_s,
            first_token_s=load.first_token_s,
            accepting=load.accepting,
        )
        self.unseen = 0

    def _receive_chunk(self, chunk: peer_pb2.Chunk) -> None:
        attempt = self.attempts.get(chunk.attempt)
        if attempt is not None and not attempt.receive(chunk):
            self._put_first(attempt)

    def _receive_accepted(self, accepted: peer_pb2.Accepted) -> None:
        attempt = self.attempts.get(accepted.attempt)
        if attempt is not None:
            attempt.accept()

    def _receive_refused(self, refused: peer_pb2.Refused) -> None:
        self._revoked.pop(refused.attempt, None)
        attempt = self.attempts.pop(refused.attempt, None)
        if attempt is not None:
            attempt.refuse(refused)

    def _receive_end(self, end: peer_pb2.End) -> None:
        self._revoked.pop(end.attempt, None)
        attempt = self.attempts.get(end.attempt)
        if attempt is None:
            return
        if attempt.end(end):
            del self.attempts[end.attempt]
        else:
            self._put_first(attempt)

    def add(self, attempt: Attempt) -> None:
        """Offer or resume an attempt at this agent."""
        self.attempts[attempt.attempt] = attempt
        self.unseen += 1
        if self.connected:
            self._put_first(attempt)

    def acknowledge(self, attempt: Attempt) -> None:
        """Let the agent send further chunks when enough were read."""
        seq = attempt.due_ack()
        if seq is not None:
            ack = peer_pb2.Ack(attempt=attempt.attempt, seq=seq)
            self._send_queue.put(Frame(ack=ack))

    def cancel(self, attempt: Attempt, *, linger_s: float = 0.0) -> None:
        """Cancel an attempt, also when the agent can be told only later."""
        self.attempts.pop(attempt.attempt, None)
        cancel = peer_pb2.Cancel(attempt=attempt.attempt, linger_s=linger_s)
        if self.connected:
            self._send_queue.put(Frame(cancel=cancel))
        elif linger_s == 0 and len(self._revoked) < MAX_REVOKED:
            self._revoked[attempt.attempt] = None

    def send_suspect(self, fingerprint: str, crashes: int) -> None:
        """Tell the agent of a request that was there at a crash.

        No crashes say that the request has answered and is cleared.
        """
        suspect = peer_pb2.Suspect(fingerprint=fingerprint, crashes=crashes)
        self._send_queue.put(Frame(suspect=suspect))

    def fail_attempts(self, reason: LossReason) -> None:
        """Give every attempt up."""
        for attempt in self.attempts.values():
            attempt.lose(reason)
        self.attempts.clear()

    def _fail_sent_attempts(self) -> None:
        for attempt in list(self.attempts.values()):
            if attempt.sent or attempt.accepted:
                attempt.lose(LossReason.RESTARTED)
                del self.attempts[attempt.attempt]

    def fail_attempts_if_unreachable(self, now_s: float) -> None:
        """Give attempts up when the agent was silent for too long."""
        since_last_seen_s = now_s - self._last_seen_s
        if self.connected or since_last_seen_s < AGENT_UNREACHABLE_TIMEOUT_S:
            return
        for attempt in list(self.attempts.values()):
            if attempt.accepted or attempt.sent:
                self._revoked[attempt.attempt] = None
            attempt.lose(LossReason.UNREACHABLE)
        self.attempts.clear()

    def drop_connection(self) -> None:
        """Replace the connection; what lies unread in it is never acted on."""
        if self._call is not None:
            self._dropped = True
            self._call.cancel()
