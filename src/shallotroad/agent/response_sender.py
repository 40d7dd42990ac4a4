"""The chunks of one answer on their way to one session."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.protocol import peer_pb2
from shallotroad.protocol.peer_pb2 import Frame


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.agent.exceptions import OfferRefusedError
    from shallotroad.agent.job import Job
    from shallotroad.protocol.send_queue import SendQueue

WINDOW_CHUNKS = 256


def refused_frame(attempt: str, error: OfferRefusedError) -> Frame:
    """Return the frame that tells of a refusal."""
    refused = peer_pb2.Refused(
        attempt=attempt,
        reason=error.reason,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
    )
    return Frame(refused=refused)


class ResponseSender:
    """Sends a job's chunks within a window that acknowledgements move.

    Parameters
    ----------
    attempt : str
        Attempt under which the entry asked; a re-send of a keyed call has
        another than the job that holds its answer.
    job : Job
        Holds the answer.
    seq : int
        Number of the first chunk to send.
    send_queue : SendQueue
        Of the session.
    refusal_of : Callable
        Returns how the job was refused, if it was.
    on_end : Callable
        Called once everything is sent.
    """

    def __init__(
        self,
        *,
        attempt: str,
        job: Job,
        seq: int,
        send_queue: SendQueue,
        refusal_of: Callable[[str], OfferRefusedError | None],
        on_end: Callable[[ResponseSender], None],
    ) -> None:
        self.attempt = attempt
        self.job = job
        self._seq = seq
        self._acked = seq
        self._send_queue = send_queue
        self._refusal_of = refusal_of
        self._on_end = on_end
        self._ended = False

    def open(self) -> None:
        """Begin to send."""
        self.job.watchers += 1
        self.job.abandon_at_s = None
        self.job.response.watch(self._notify)
        self._notify()

    def close(self) -> None:
        """Stop sending."""
        self.job.response.unwatch(self._notify)
        self.job.watchers -= 1
        self._send_queue.discard_source(self)

    def acknowledge(self, seq: int) -> None:
        """Note that the entry has read up to ``seq``."""
        self._acked = max(self._acked, seq)
        self._notify()

    def _notify(self) -> None:
        first = self._seq == 0 or self.job.response.result is not None
        self._send_queue.mark_ready(self, immediate=first)

    def collect(self, frames: list[Frame]) -> None:
        """Append the chunks that fit the window, and the ending after them."""
        if self._ended:
            return
        response = self.job.response
        last = min(len(response.chunks), self._acked + WINDOW_CHUNKS)
        while self._seq < last:
            frames.append(self._chunk_frame())
            self._seq += 1
        if response.result is not None and self._seq >= len(response.chunks):
            frames.append(self._end_frame())
            self._ended = True
            self._on_end(self)

    def _chunk_frame(self) -> Frame:
        response = self.job.response
        frame = Frame()
        chunk = frame.chunk
        chunk.attempt = self.attempt
        chunk.seq = self._seq
        chunk.data = response.chunks[self._seq]
        if self._seq == 0:
            chunk.status = response.status
            chunk.content_type = response.content_type
        return frame

    def _end_frame(self) -> Frame:
        refusal = self._refusal_of(self.job.attempt)
        if refusal is not None:
            return refused_frame(self.attempt, refusal)
        result = self.job.response.result
        outcome = peer_pb2.GONE if result is None else result.outcome
        end = peer_pb2.End(
            attempt=self.attempt,
            chunks=self._seq,
            outcome=outcome,
            detail="" if result is None else result.detail,
        )
        return Frame(end=end)
