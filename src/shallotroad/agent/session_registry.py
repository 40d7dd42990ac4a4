"""All sessions of an agent; a newer one of an entry replaces the older."""

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
MISSED_HEARTBEATS_LIMIT = 3.0
MIN_READ_TIMEOUT_S = 3.0
LOAD_BROADCAST_INTERVAL_S = 0.02
GOSSIP_ENTRIES = 2
CONFIG_PULL_INTERVAL_S = 0.5


class SessionRegistry:
    """Serves each entry's stream and fences the streams it has replaced."""

    def __init__(self, *, scheduler: EndpointScheduler) -> None:
        self._scheduler = scheduler
        self._current: dict[str, Session] = {}

    def names(self) -> list[str]:
        """Return the entries that are connected."""
        return sorted(session.entry for session in self._current.values())

    async def serve(self, batches: AsyncIterator[Batch], context: Context) -> None:
        """Serve one stream until it ends, goes silent or is replaced."""
        session = Session(scheduler=self._scheduler, context=context)
        stream = aiter(batches)
        writer = None
        incarnation = ""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                first = await anext(stream)
            hello = first.frames[0].hello if first.frames else peer_pb2.Hello()
            if not self._enter(session, hello):
                return
            incarnation = hello.incarnation
            session.send(Frame(hello=self._hello()))
            writer = asyncio.create_task(session.write())
            session.receive(first)
            await self._read(stream, session, first.heartbeat_s)
        except (TimeoutError, StopAsyncIteration):
            logger.info("session of {!r} went silent or ended", session.entry)
        finally:
            if writer is not None:
                writer.cancel()
            session.close()
            if self._current.get(incarnation) is session:
                del self._current[incarnation]

    async def _read(
        self, stream: AsyncIterator[Batch], session: Session, heartbeat_s: float
    ) -> None:
        number = 0
        while not session.closed:
            read_timeout_s = max(
                MIN_READ_TIMEOUT_S, MISSED_HEARTBEATS_LIMIT * heartbeat_s
            )
            async with asyncio.timeout(read_timeout_s):
                batch = await anext(stream)
            number += 1
            if session.closed or batch.number != number:
                return
            heartbeat_s = batch.heartbeat_s or heartbeat_s
            session.receive(batch)

    def _hello(self) -> peer_pb2.Hello:
        identity = self._scheduler.identity
        return peer_pb2.Hello(
            instance=identity.instance,
            incarnation=self._scheduler.incarnation,
            data_centre=identity.data_centre,
            serves=identity.serves,
        )

    def _enter(self, session: Session, hello: peer_pb2.Hello) -> bool:
        old = self._current.get(hello.incarnation)
        if old is not None:
            if old.generation >= hello.generation:
                return False
            old.close()
        session.entry = hello.instance
        session.generation = hello.generation
        self._current[hello.incarnation] = session
        return True

    def gossip_revision(self) -> None:
        """Tell a few entries that may not have the revision just accepted."""
        revision = self._scheduler.config.revision
        behind = [s for s in self._current.values() if s.peer_revision < revision]
        for session in random.sample(behind, min(GOSSIP_ENTRIES, len(behind))):
            session.send_load()

    async def run_load_broadcasts(self) -> None:
        """Tell every entry at once when the endpoint's state has changed."""
        while True:
            await self._scheduler.state_changed.wait()
            for session in list(self._current.values()):
                session.send_load()
            await asyncio.sleep(LOAD_BROADCAST_INTERVAL_S)

    async def run_config_pulls(self) -> None:
        """Fetch newer configuration that an entry is known to have."""
        while True:
            await asyncio.sleep(CONFIG_PULL_INTERVAL_S * random.uniform(0.5, 1.5))
            sessions = list(self._current.values())
            for session in random.sample(sessions, len(sessions)):
                session.pull_config_if_behind()

    def drop_all(self) -> None:
        """Close every session; what lies unread in them is never acted on."""
        for session in list(self._current.values()):
            session.close()
