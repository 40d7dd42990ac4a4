"""Sends the chunks of one response over one session, with flow control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.protocol import peer_pb2
from shallotroad.protocol.peer_pb2 import Frame


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.agent.exceptions import OfferRefusedError
    from shallotroad.agent.job import Job
    from shallotroad.protocol.send_queue import SendQueue

MAX_UNACKED_CHUNKS = 256


def refused_frame(attempt: str, error: OfferRefusedError) -> Frame:
    """Return the frame that reports the refusal of an attempt to the entry."""
    refused = peer_pb2.Refused(
        attempt=attempt,
        reason=error.reason,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
    )
    return Frame(refused=refused)


class ResponseSender:
    """Sends a job's chunks, at most ``MAX_UNACKED_CHUNKS`` ahead of acknowledgements.

    It is a source of the session's send queue: the queue calls ``collect`` when
    it sends a batch.

    Parameters
    ----------
    attempt : str
        Attempt identifier of the entry's offer. For a retry of a call with an
        idempotency key it differs from that of the job.
    job : Job
        Job whose response is sent.
    next_seq : int
        Number of the first chunk to send.
    send_queue : SendQueue
        Send queue of the session.
    find_refusal : Callable
        Returns the refusal of an attempt, or None if it was not refused. It is called
        with the attempt of the job, not with that of the entry's offer.
    on_end : Callable
        Called with this sender once the end of the response is collected.
    """

    def __init__(
        self,
        *,
        attempt: str,
        job: Job,
        next_seq: int,
        send_queue: SendQueue,
        find_refusal: Callable[[str], OfferRefusedError | None],
        on_end: Callable[[ResponseSender], None],
    ) -> None:
        self.attempt = attempt
        self.job = job
        self._next_seq = next_seq
        self._acked_seq = next_seq
        self._send_queue = send_queue
        self._find_refusal = find_refusal
        self._on_end = on_end
        self._ended = False

    def open(self) -> None:
        """Start sending; the job is not abandoned while it has an open sender.

        Also discards a time at which the job would have been abandoned.
        """
        self.job.open_sender_count += 1
        self.job.abandon_at_s = None
        self.job.response.watch(self._schedule_send)
        self._schedule_send()

    def close(self) -> None:
        """Stop sending and watching the response.

        Does not set the job's ``abandon_at_s``: see ``Session.close`` and
        ``EndpointScheduler.cancel``.
        """
        self.job.response.unwatch(self._schedule_send)
        self.job.open_sender_count -= 1
        self._send_queue.discard_source(self)

    def acknowledge(self, seq: int) -> None:
        """Record that the entry has read the chunks before number ``seq``."""
        self._acked_seq = max(self._acked_seq, seq)
        self._schedule_send()

    def _schedule_send(self) -> None:
        immediate = self._next_seq == 0 or self.job.response.result is not None
        self._send_queue.mark_ready(self, immediate=immediate)

    def collect(self, frames: list[Frame]) -> None:
        """Append the chunks that may be sent now to ``frames``.

        Once the response has ended and no chunk is left to send, appends the end frame
        too and calls ``on_end``. If the chunks were discarded, the end frame with the
        outcome ``GONE`` follows at once, whichever chunks were sent before.
        """
        if self._ended:
            return
        response = self.job.response
        end_seq = min(len(response.chunks), self._acked_seq + MAX_UNACKED_CHUNKS)
        while self._next_seq < end_seq:
            frames.append(self._chunk_frame())
            self._next_seq += 1
        if response.result is not None and self._next_seq >= len(response.chunks):
            frames.append(self._end_frame())
            self._ended = True
            self._on_end(self)

    def _chunk_frame(self) -> Frame:
        """Return the frame of the next chunk, without advancing to the one after it.

        Only the frame of chunk 0 carries the HTTP status and the content type.
        """
        response = self.job.response
        frame = Frame()
        chunk = frame.chunk
        chunk.attempt = self.attempt
        chunk.seq = self._next_seq
        chunk.data = response.chunks[self._next_seq]
        if self._next_seq == 0:
            chunk.status = response.status
            chunk.content_type = response.content_type
        return frame

    def _end_frame(self) -> Frame:
        """Return the frame of the result, or of the refusal of a job that never ran."""
        refusal = self._find_refusal(self.job.attempt)
        if refusal is not None:
            return refused_frame(self.attempt, refusal)
        result = self.job.response.result
        outcome = peer_pb2.GONE if result is None else result.outcome
        end = peer_pb2.End(
            attempt=self.attempt,
            chunks=self._next_seq,
            outcome=outcome,
            detail="" if result is None else result.detail,
        )
        return Frame(end=end)
