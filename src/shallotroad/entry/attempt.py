"""State of one attempt: one offer of a request to one agent.

The agent's connection records what it receives in the attempt, and the request's
task waits for it there. Chunks carry sequence numbers, so that an attempt can be
resumed on a new connection without loss or duplication.
"""

from __future__ import annotations

import asyncio
import enum
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from shallotroad.protocol import peer_pb2

# The agent sends at most 256 chunks (its ``MAX_UNACKED_CHUNKS``) past the last
# acknowledgement.
ACK_INTERVAL_CHUNKS = 64


class LossReason(enum.Enum):
    """Why an attempt can no longer be resumed; the values are sent to callers."""

    UNREACHABLE = "nothing was heard from the agent for too long"
    RESTARTED = "the agent has restarted"
    ADDRESS_CHANGED = "the agent has another address now"


class NumberedChunk(NamedTuple):
    """A chunk of a response with its sequence number, which counts from 0.

    ``data`` is one complete server-sent event of a stream, or the complete body of any
    other response.
    """

    seq: int
    data: bytes


class Attempt:
    """Response chunks and final state of one attempt.

    Parameters
    ----------
    attempt_id : str
        Identifier that is unique to this attempt.
    offer : peer_pb2.Offer or None
        Offer to send; None to resume an attempt that the agent has accepted.
    team : str
        Team of the caller; an agent resumes an attempt only for the same team.
    next_seq : int
        Sequence number of the first chunk to receive.

    Attributes
    ----------
    sent : bool
        Whether the offer was queued for sending, so that the agent may have run it.
    refused, result, lost
        Exactly one of them is set once the attempt is settled. ``result`` is the
        agent's ``End``, with the outcome of the attempt. ``lost`` means that
        the agent restarted, moved or was unreachable too long; how much of the
        request it ran is unknown then.
    """

    def __init__(
        self, *, attempt_id: str, offer: peer_pb2.Offer | None, team: str, next_seq: int
    ) -> None:
        self.attempt_id = attempt_id
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
        self._read_seq = next_seq
        self._acked_seq = next_seq

    @property
    def settled(self) -> bool:
        """Whether the attempt was refused, has ended or was lost."""
        return bool(self.refused or self.result or self.lost)

    def record_accepted(self) -> None:
        """Record that the agent has admitted the attempt."""
        self.accepted = True
        self._changed.set()

    def record_refused(self, refused: peer_pb2.Refused) -> None:
        """Record a refusal: the attempt was not and will not be run.

        Ignored if the attempt is settled already.
        """
        if not self.settled:
            self.refused = refused
            self._changed.set()

    def record_chunk(self, chunk: peer_pb2.Chunk) -> bool:
        """Store a chunk if it is the next one; ignore it if it was received before.

        Returns False if chunks before it are missing; the chunk is not stored then.
        """
        if chunk.seq != self.next_seq:
            return chunk.seq < self.next_seq
        if chunk.seq == 0:
            self.status = chunk.status
            self.content_type = chunk.content_type
        self.next_seq += 1
        self._chunks.append(NumberedChunk(chunk.seq, chunk.data))
        self._changed.set()
        return True

    def record_end(self, end: peer_pb2.End) -> bool:
        """Record the end of the attempt unless it is settled already.

        Returns False, and records nothing, if chunks before the end are missing.
        """
        if end.chunks > self.next_seq:
            return False
        if not self.settled:
            self.result = end
            self._changed.set()
        return True

    def record_lost(self, reason: LossReason) -> None:
        """Record that the attempt can no longer be resumed, unless it is settled."""
        if not self.settled:
            self.lost = reason
            self._changed.set()

    async def read_chunks(self) -> list[NumberedChunk]:
        """Return the chunks received since the last call; wait if there are none.

        An empty list means that the attempt is settled and all chunks were returned.
        """
        while not self._chunks and not self.settled:
            self._changed.clear()
            await self._changed.wait()
        chunks = list(self._chunks)
        self._chunks.clear()
        if chunks:
            self._read_seq = chunks[-1].seq + 1
        return chunks

    async def wait_until_decided(self) -> None:
        """Wait until the attempt is accepted or settled."""
        while not self.accepted and not self.settled:
            self._changed.clear()
            await self._changed.wait()

    def take_due_ack(self) -> int | None:
        """Return the sequence number to acknowledge and mark it as acknowledged.

        It is the number after the last chunk returned by ``read_chunks``. Returns
        None while fewer than ``ACK_INTERVAL_CHUNKS`` chunks are unacknowledged.
        """
        if self._read_seq - self._acked_seq < ACK_INTERVAL_CHUNKS:
            return None
        self._acked_seq = self._read_seq
        return self._read_seq
