"""One offer of a request to one agent, as the entry sees it."""

from __future__ import annotations

import asyncio
import enum
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from shallotroad.protocol import peer_pb2

ACK_CHUNKS = 64


class LossReason(enum.Enum):
    """Why an agent can't be asked about an attempt any more."""

    UNREACHABLE = "nothing was heard from the agent for too long"
    RESTARTED = "the agent has restarted"
    ADDRESS_CHANGED = "the agent has another address now"


class NumberedChunk(NamedTuple):
    """A chunk of an answer with its number."""

    seq: int
    data: bytes


class Attempt:
    """Chunks and fate of one attempt; filled by the peer, read by the caller.

    ``lost`` is set when the agent's incarnation is gone or was silent too
    long: then it is unknown how far the attempt got.
    """

    def __init__(
        self, *, attempt: str, offer: peer_pb2.Offer | None, team: str, next_seq: int
    ) -> None:
        self.attempt = attempt
        self.offer = offer
        self.team = team
        self.next_seq = next_seq
        self.status = 0
        self.content_type = ""
        self.accepted = offer is None
        self.sent = False
        self.refused: peer_pb2.Refused | None = None
        self.result: peer_pb2.End | None = None
        self.lost: LossReason | None = None
        self._chunks: deque[NumberedChunk] = deque()
        self._changed = asyncio.Event()
        self._read = next_seq
        self._acked = next_seq

    @property
    def settled(self) -> bool:
        """Whether nothing more will come."""
        return bool(self.refused or self.result or self.lost)

    def accept(self) -> None:
        """Note that the agent has admitted the attempt."""
        self.accepted = True
        self._changed.set()

    def refuse(self, refused: peer_pb2.Refused) -> None:
        """Note that the attempt was not and will not be run."""
        if not self.settled:
            self.refused = refused
            self._changed.set()

    def receive(self, chunk: peer_pb2.Chunk) -> bool:
        """Take a chunk; tell whether it was the next one."""
        if chunk.seq != self.next_seq:
            return chunk.seq < self.next_seq
        if chunk.seq == 0:
            self.status = chunk.status
            self.content_type = chunk.content_type
        self.next_seq += 1
        self._chunks.append(NumberedChunk(chunk.seq, chunk.data))
        self._changed.set()
        return True

    def end(self, end: peer_pb2.End) -> bool:
        """Take the ending; tell whether every chunk before it has come."""
        if end.chunks > self.next_seq:
            return False
        if not self.settled:
            self.result = end
            self._changed.set()
        return True

    def lose(self, reason: LossReason) -> None:
        """Note that the agent can't be asked any more."""
        if not self.settled:
            self.lost = reason
            self._changed.set()

    async def read(self) -> list[NumberedChunk]:
        """Wait for news; return the chunks that came, none at the end."""
        while not self._chunks and not self.settled:
            self._changed.clear()
            await self._changed.wait()
        chunks = list(self._chunks)
        self._chunks.clear()
        if chunks:
            self._read = chunks[-1].seq + 1
        return chunks

    async def decided(self) -> None:
        """Wait until the attempt is accepted or settled."""
        while not self.accepted and not self.settled:
            self._changed.clear()
            await self._changed.wait()

    def due_ack(self) -> int | None:
        """Return the number to acknowledge now, if one is due."""
        if self._read - self._acked < ACK_CHUNKS:
            return None
        self._acked = self._read
        return self._read
