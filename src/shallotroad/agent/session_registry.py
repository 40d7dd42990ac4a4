"""Sessions of an agent with entries, at most one for each entry incarnation.

A stream starts with a hello that carries the entry's incarnation and the
generation of its connection. A higher generation replaces the older session. A
stream whose hello has the same or a lower generation ends at once, without a reply,
and the older session continues.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger

from shallotroad.agent.session import Session
from shallotroad.protocol import peer_pb2
from shallotroad.protocol.peer_pb2 import Frame


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from shallotroad.agent.endpoint_scheduler import EndpointScheduler
    from shallotroad.protocol.peer_pb2 import Batch
    from shallotroad.protocol.rpc import Context

HELLO_TIMEOUT_S = 5.0
# A session ends after this many heartbeat intervals without a batch, but not
# before MIN_READ_TIMEOUT_S.
MAX_MISSED_HEARTBEATS = 3.0
MIN_READ_TIMEOUT_S = 3.0
MIN_LOAD_BROADCAST_INTERVAL_S = 0.02
# Number of entries that are notified of a new revision at once; the others see it
# in the next batch.
GOSSIP_FANOUT = 2
# Mean interval, with jitter, at which the agent looks for an entry with a newer
# revision. How often it may pull is limited by VersionedConfig.allow_pull.
CONFIG_PULL_INTERVAL_S = 0.5


class SessionRegistry:
    """Serves each entry's stream and closes the sessions that it replaces."""

    def __init__(self, *, scheduler: EndpointScheduler) -> None:
        self._scheduler = scheduler
        self._by_incarnation: dict[str, Session] = {}

    def connected_entries(self) -> list[str]:
        """Return the sorted instance names of the connected entries.

        A name occurs once for each incarnation of the entry that has a session.
        """
        return sorted(session.entry for session in self._by_incarnation.values())

    async def serve(self, batches: AsyncIterator[Batch], context: Context) -> None:
        """Serve one stream until it ends, times out or is replaced.

        Also ends it when the number of a batch does not follow the one before,
        since a batch was lost then.
        """
        session = Session(scheduler=self._scheduler, context=context)
        stream = aiter(batches)
        writer = None
        incarnation = ""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                first = await anext(stream)
            hello = first.frames[0].hello if first.frames else peer_pb2.Hello()
            if not self._register(session, hello):
                return
            incarnation = hello.incarnation
            session.send(Frame(hello=self._make_hello()))
            writer = asyncio.create_task(session.send_batches())
            session.handle_batch(first)
            await self._read_batches(stream, session, first.heartbeat_s)
        except (TimeoutError, StopAsyncIteration):
            logger.info("session of entry {!r} ended or timed out", session.entry)
        finally:
            if writer is not None:
                writer.cancel()
            session.close()
            if self._by_incarnation.get(incarnation) is session:
                del self._by_incarnation[incarnation]

    async def _read_batches(
        self, stream: AsyncIterator[Batch], session: Session, heartbeat_s: float
    ) -> None:
        number = 0
        while not session.closed:
            read_timeout_s = max(
                MIN_READ_TIMEOUT_S, MAX_MISSED_HEARTBEATS * heartbeat_s
            )
            async with asyncio.timeout(read_timeout_s):
                batch = await anext(stream)
            number += 1
            if session.closed or batch.number != number:
                return
            heartbeat_s = batch.heartbeat_s or heartbeat_s
            session.handle_batch(batch)

    def _make_hello(self) -> peer_pb2.Hello:
        """Return the agent's hello: instance, incarnation, data centre and targets."""
        identity = self._scheduler.identity
        return peer_pb2.Hello(
            instance=identity.instance,
            incarnation=self._scheduler.incarnation,
            data_centre=identity.data_centre,
            serves=identity.serves,
        )

    def _register(self, session: Session, hello: peer_pb2.Hello) -> bool:
        """Register a session and close the one it replaces.

        Returns False, without any change, if its generation is not higher.
        """
        old = self._by_incarnation.get(hello.incarnation)
        if old is not None:
            if old.generation >= hello.generation:
                return False
            old.close()
        session.entry = hello.instance
        session.generation = hello.generation
        self._by_incarnation[hello.incarnation] = session
        return True

    def gossip_revision(self) -> None:
        """Send the accepted revision to a random few entries that have an older one.

        The revision is part of every batch, so a load report is enough.
        """
        revision = self._scheduler.config.revision
        outdated = [
            s for s in self._by_incarnation.values() if s.peer_revision < revision
        ]
        for session in random.sample(outdated, min(GOSSIP_FANOUT, len(outdated))):
            session.send_load()

    async def run_load_broadcasts(self) -> None:
        """Report the load to every entry when the endpoint's state changes.

        Never returns. The state is whether it accepts requests. A change less than
        ``MIN_LOAD_BROADCAST_INTERVAL_S`` after a broadcast causes none, not even at
        the end of that interval: each entry learns of it from the next load report
        that its session sends anyway.
        """
        while True:
            await self._scheduler.state_changed.wait()
            for session in list(self._by_incarnation.values()):
                session.send_load()
            await asyncio.sleep(MIN_LOAD_BROADCAST_INTERVAL_S)

    async def run_config_pulls(self) -> None:
        """Pull the configuration periodically from an entry with a newer revision.

        Never returns. Entries are tried in random order, within the rate limit.
        """
        while True:
            await asyncio.sleep(CONFIG_PULL_INTERVAL_S * random.uniform(0.5, 1.5))
            sessions = list(self._by_incarnation.values())
            for session in random.sample(sessions, len(sessions)):
                session.pull_config_if_behind()

    def close_all(self) -> None:
        """Close every session; batches not yet read from them are discarded.

        The stream of a session ends when its next batch arrives or its read timeout
        expires. Until then, queued frames are still sent, but no response chunks.
        """
        for session in list(self._by_incarnation.values()):
            session.close()
