"""Runs a request at an endpoint through its agent, with retries after failures.

A request is sent again only if it was certainly not run, or if it is repeatable and
the retry budget permits it. An interrupted chat stream continues at another endpoint
from the text that was delivered. A call with an idempotency key is only ever sent to
the owner of its key, which runs it at most once.

Each offer of a request to an agent starts a new attempt. An attempt that may have run
and was interrupted is followed by a retry, which a continuation is as well. Another
offer after a refusal, or after an offer that was not sent, is no retry. Offers of calls
with an idempotency key are never counted as retries.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from loguru import logger

from shallotroad.entry.attempt import Attempt
from shallotroad.entry.attempt import LossReason
from shallotroad.entry.continuation import continuation_body
from shallotroad.entry.continuation import delivered_text
from shallotroad.entry.continuation import delivered_tokens
from shallotroad.entry.continuation import missing_closing_chunks
from shallotroad.entry.exceptions import NotRunError
from shallotroad.entry.exceptions import OutcomeUnknownError
from shallotroad.entry.refusals import may_run_elsewhere
from shallotroad.entry.refusals import refusal_error
from shallotroad.protocol import peer_pb2
from shallotroad.protocol.idempotency_key import KeyInvalidError
from shallotroad.protocol.idempotency_key import verify_key


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from shallotroad.entry.attempt import NumberedChunk
    from shallotroad.entry.peer import AgentPeer
    from shallotroad.entry.peer_set import PeerSet
    from shallotroad.entry.request import RoutedRequest
    from shallotroad.entry.retry_budget import RetryBudget
    from shallotroad.entry.selector import Selector
    from shallotroad.policy.affinity import PrefixHistory
    from shallotroad.policy.suspects import Suspects

HTTP_OK = 200
EVENT_STREAM = "text/event-stream"
ATTEMPT_ID_BYTES = 12
# Maximum number of offers of a request. Each retry resets the count.
MAX_OFFERS = 4
# Maximum number of retries of a request, including continuations.
MAX_RETRIES = 3
NO_CANDIDATE_RETRY_INTERVAL_S = 0.1
# Time from a request's arrival until which it waits for a candidate, if its wait budget
# is not less. A request that is interrupted later fails at once if there is none.
NO_CANDIDATE_TIMEOUT_S = 3.0
# Time from a keyed call's arrival within which it is offered again to an owner that
# is unreachable.
KEY_OWNER_TIMEOUT_S = 12.0
# Time for which an agent keeps an attempt running after its caller disconnected, so
# that the caller can resume it.
CALLER_RESUME_TIMEOUT_S = 15.0


class ResponseChunk(NamedTuple):
    """Consecutive chunks of a response, with the response's status.

    ``event_id_prefix`` is ``attempt@instance``; with a chunk's sequence number it forms
    the event id from which a caller can resume. It is empty for chunks that the entry
    made itself.
    """

    event_id_prefix: str
    chunks: list[NumberedChunk]
    status: int
    content_type: str


class RequestProgress:
    """Progress of one request over its attempts.

    Attributes
    ----------
    body : bytes
        Body of the next offer; a continuation replaces it.
    delivered : list[bytes]
        Chunks of all attempts that were passed on to the caller.
    excluded : set[str]
        Agents that refused the request, could not be sent its offer or interrupted it.
        The set is cleared when the request waits because there is no other candidate;
        a retry leaves only the agent of the interrupted attempt.
    offers, retries : int
        Offers since the last retry, and retries including continuations.
    refused : peer_pb2.Refused or None
        The latest refusal.
    """

    def __init__(self, *, request: RoutedRequest) -> None:
        self.request = request
        self.body = request.body
        self.delivered: list[bytes] = []
        self.excluded: set[str] = set()
        self.offers = 0
        self.retries = 0
        self.started_s = time.monotonic()
        self.refused: peer_pb2.Refused | None = None

    def elapsed_s(self) -> float:
        """Return the time since the request arrived, in seconds.

        It is measured from the creation of this object. That is when ``Dispatcher``
        starts to run the request, after its body was read.
        """
        return time.monotonic() - self.started_s


def make_offer(
    progress: RequestProgress, *, attempt_id: str, crashes: int
) -> peer_pb2.Offer:
    """Return the offer of a request for one attempt.

    The wait budget is reduced by the time spent so far, except for a continuation,
    which gets all of it again.
    """
    request = progress.request
    remaining_s = max(0.0, request.wait_budget_s - progress.elapsed_s())
    return peer_pb2.Offer(
        attempt=attempt_id,
        request=request.request_id,
        team=request.team,
        request_class=request.request_class,
        tier=request.tier,
        preemptible=request.preemptible,
        repeatable=request.repeatable,
        alone=crashes > 0,
        wait_budget_s=request.wait_budget_s if progress.delivered else remaining_s,
        run_budget_s=request.run_budget_s,
        idempotency_key=request.idempotency_key,
        fingerprint=request.fingerprint,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=progress.body,
        streamed=request.streamed,
        target=request.target,
        body_digest=request.digest,
        first_token_s=request.first_token_s,
        crashes=crashes,
    )


class Dispatcher:
    """Runs requests through agents and streams their responses.

    Parameters
    ----------
    peers : PeerSet
        Connections to agents.
    selector : Selector
        Chooses an agent for requests without an idempotency key.
    suspects : Suspects
        Crash counts; a poison request is refused.
    history : PrefixHistory
        Updated with the agent of each completed request.
    budget : RetryBudget
        Limit on the retries of all requests.
    fleet_key : str
        The fleet key (see ``EntryIdentity``), which verifies idempotency keys.
    """

    def __init__(
        self,
        *,
        peers: PeerSet,
        selector: Selector,
        suspects: Suspects,
        history: PrefixHistory,
        budget: RetryBudget,
        fleet_key: str,
    ) -> None:
        self._peers = peers
        self._selector = selector
        self._suspects = suspects
        self._history = history
        self._budget = budget
        self._fleet_key = fleet_key
        self.retries = 0

    async def run(self, request: RoutedRequest) -> AsyncIterator[ResponseChunk]:
        """Run a request and yield the chunks of its response as they arrive.

        If the generator is closed or cancelled, the agent cancels the attempt unless it
        is resumed within ``CALLER_RESUME_TIMEOUT_S``.

        Raises
        ------
        NotRunError
            When the request was certainly not run.
        OutcomeUnknownError
            When it may have been run and its complete response is not available.
        """
        self._budget.record_first_attempt()
        if not request.idempotency_key:
            self._check_poison(request)
        progress = RequestProgress(request=request)
        while True:
            peer = await self._next_peer(progress)
            attempt = self._send_offer(progress, peer)
            continues = bool(progress.delivered)
            try:
                async for response_chunk in self._stream_attempt(peer, attempt):
                    if continues:
                        self._check_continuation(peer, attempt)
                    progress.delivered.extend(c.data for c in response_chunk.chunks)
                    yield response_chunk
            except (asyncio.CancelledError, GeneratorExit):
                peer.cancel(attempt, linger_s=CALLER_RESUME_TIMEOUT_S)
                raise
            if await self._handle_attempt_end(progress, peer, attempt):
                if continues:
                    self._check_continuation(peer, attempt)
                return
            closing_chunks = missing_closing_chunks(progress.delivered, request.body)
            if closing_chunks is not None:
                yield ResponseChunk("", closing_chunks, HTTP_OK, EVENT_STREAM)
                return

    async def resume(
        self, *, attempt_id: str, instance: str, seq: int, team: str
    ) -> AsyncIterator[ResponseChunk]:
        """Yield the chunks of an earlier response after sequence number ``seq``.

        ``instance`` names the agent that runs the attempt. Closing the generator has
        the same effect as with ``run``.

        Raises
        ------
        OutcomeUnknownError
            When the rest of the response is not available.
        """
        peer = self._peers.get(instance)
        if peer is None:
            detail = "the endpoint of this answer is gone; send the request again"
            raise OutcomeUnknownError(code="answer_gone", detail=detail, status=410)
        attempt = Attempt(
            attempt_id=attempt_id, offer=None, team=team, next_seq=seq + 1
        )
        peer.add_attempt(attempt)
        try:
            async for response_chunk in self._stream_attempt(peer, attempt):
                yield response_chunk
        except (asyncio.CancelledError, GeneratorExit):
            peer.cancel(attempt, linger_s=CALLER_RESUME_TIMEOUT_S)
            raise
        if attempt.result is None or attempt.result.outcome != peer_pb2.DONE:
            detail = "the rest of this answer is gone; send the request again"
            raise OutcomeUnknownError(code="answer_gone", detail=detail, status=410)

    def _check_poison(self, request: RoutedRequest) -> None:
        """Raise ``NotRunError`` if a request has reached ``POISON_CRASHES`` crashes."""
        if self._suspects.poisonous(request.fingerprint, now_s=time.monotonic()):
            raise NotRunError(
                status=422,
                code="poison",
                detail="this request has crashed endpoints; change it",
            )

    async def _next_peer(self, progress: RequestProgress) -> AgentPeer:
        """Return the agent for the next offer: the owner of its key, or a candidate.

        Waits while there is no candidate. Raises the error for the caller when none is
        found in time, when ``MAX_OFFERS`` is reached or when the owner is gone.
        """
        if progress.request.idempotency_key:
            return self._key_owner(progress.request)
        while progress.offers < MAX_OFFERS:
            peer = self._selector.select(progress.request, excluded=progress.excluded)
            if peer is not None:
                return peer
            if progress.elapsed_s() > self._candidate_timeout_s(progress):
                break
            progress.excluded.clear()
            await asyncio.sleep(NO_CANDIDATE_RETRY_INTERVAL_S)
        raise self._no_peer_error(progress)

    async def wait_for_peer(self, request: RoutedRequest) -> AgentPeer:
        """Return the agent that would be offered a request now.

        Any idempotency key of the request is ignored.

        Raises
        ------
        NotRunError
            When there is no candidate within ``NO_CANDIDATE_TIMEOUT_S`` or the wait
            budget of the request.
        """
        progress = RequestProgress(request=request._replace(idempotency_key=""))
        return await self._next_peer(progress)

    def _candidate_timeout_s(self, progress: RequestProgress) -> float:
        """Return the time from the request's arrival until which it waits."""
        return min(NO_CANDIDATE_TIMEOUT_S, progress.request.wait_budget_s)

    def _no_peer_error(self, progress: RequestProgress) -> Exception:
        """Return the error for a request that can't be offered any more.

        It is an ``OutcomeUnknownError`` if chunks were delivered or the request was
        retried; otherwise the error of the latest refusal, or a ``NotRunError``.
        """
        if progress.delivered or progress.retries:
            detail = "the answer broke off and no endpoint could go on with it"
            return OutcomeUnknownError(code="broken_off", detail=detail)
        if progress.refused is not None:
            return refusal_error(progress.refused, keyed=False)
        return NotRunError(
            status=503,
            code="no_endpoint",
            detail="no endpoint can take the request now; send it again later",
            retry_after_s=1.0,
        )

    def _key_owner(self, request: RoutedRequest) -> AgentPeer:
        """Return the agent that owns the request's idempotency key.

        Raises ``OutcomeUnknownError`` with status 409 if the key is malformed or has a
        wrong signature, or its owner is neither connected nor listed: the call may have
        run before. The owner itself checks whether the key has expired.
        """
        try:
            key = verify_key(request.idempotency_key, secret=self._fleet_key)
        except KeyInvalidError as error:
            raise OutcomeUnknownError(
                code="key_invalid", detail=str(error), status=409
            ) from None
        peer = self._peers.get(key.owner)
        if peer is None:
            raise OutcomeUnknownError(
                code="home_gone",
                detail="the endpoint that may run this call is gone",
                status=409,
            )
        return peer

    def _send_offer(self, progress: RequestProgress, peer: AgentPeer) -> Attempt:
        fingerprint = progress.request.fingerprint
        crashes = self._suspects.crashes(fingerprint, now_s=time.monotonic())
        attempt_id = secrets.token_urlsafe(ATTEMPT_ID_BYTES)
        offer = make_offer(progress, attempt_id=attempt_id, crashes=crashes)
        attempt = Attempt(
            attempt_id=attempt_id, offer=offer, team=progress.request.team, next_seq=0
        )
        progress.offers += 1
        peer.add_attempt(attempt)
        return attempt

    async def _stream_attempt(
        self, peer: AgentPeer, attempt: Attempt
    ) -> AsyncIterator[ResponseChunk]:
        """Yield and acknowledge the chunks of an attempt until it is settled.

        Closing the generator does not cancel the attempt; ``run`` and ``resume`` do.
        """
        event_id_prefix = f"{attempt.attempt_id}@{peer.name}"
        while True:
            chunks = await attempt.read_chunks()
            if not chunks:
                return
            yield ResponseChunk(
                event_id_prefix, chunks, attempt.status, attempt.content_type
            )
            peer.acknowledge(attempt)

    def _check_continuation(self, peer: AgentPeer, attempt: Attempt) -> None:
        """Cancel an attempt and raise if its response is not the rest of a stream.

        The response to a continuation may be an error, which must not be sent as a part
        of the answer that broke off.
        """
        if attempt.status == HTTP_OK and EVENT_STREAM in attempt.content_type:
            return
        peer.cancel(attempt)
        detail = f"status {attempt.status} instead of the rest of the answer"
        raise OutcomeUnknownError(code="broken_off", detail=detail, status=502)

    async def _handle_attempt_end(
        self, progress: RequestProgress, peer: AgentPeer, attempt: Attempt
    ) -> bool:
        """Update the progress after an attempt; return whether the request is done.

        False means that the request is to be offered again.

        Raises
        ------
        NotRunError
            When the request was refused and can't run elsewhere.
        OutcomeUnknownError
            When the request must not or can't be run again.
        """
        request = progress.request
        if attempt.result is not None and attempt.result.outcome == peer_pb2.DONE:
            self._history.record(list(request.blocks), peer.name)
            self._clear_suspect(request)
            return True
        if attempt.refused is not None:
            self._handle_refusal(progress, peer, attempt.refused)
            return False
        if not attempt.sent and not request.idempotency_key:
            progress.excluded.add(peer.name)
            return False
        if request.idempotency_key:
            await self._handle_keyed_failure(progress, attempt)
            return False
        self._record_crash(request, attempt)
        self._handle_interruption(progress, peer, attempt)
        return False

    def _clear_suspect(self, request: RoutedRequest) -> None:
        now_s = time.monotonic()
        if self._suspects.crashes(request.fingerprint, now_s=now_s):
            self._suspects.clear(request.fingerprint)
            self._peers.broadcast_suspect(request.fingerprint, 0)

    def _handle_refusal(
        self, progress: RequestProgress, peer: AgentPeer, refused: peer_pb2.Refused
    ) -> None:
        """Exclude the agent so that another is offered the request, or raise.

        A keyed call that is refused as ``BEHIND`` is offered to its owner again, up to
        ``MAX_OFFERS`` times in all; any other refusal of a keyed call raises.
        """
        keyed = bool(progress.request.idempotency_key)
        progress.refused = refused
        progress.excluded.add(peer.name)
        behind = refused.reason == peer_pb2.BEHIND
        if keyed and behind and progress.offers < MAX_OFFERS:
            return
        if keyed or not may_run_elsewhere(refused):
            if progress.delivered or progress.retries:
                raise self._no_peer_error(progress)
            raise refusal_error(refused, keyed=keyed)

    async def _handle_keyed_failure(
        self, progress: RequestProgress, attempt: Attempt
    ) -> None:
        """Return if a keyed call is to be offered to its owner again, else raise.

        It is offered again only if the owner is unreachable and the call arrived less
        than ``KEY_OWNER_TIMEOUT_S`` ago. The owner recognizes a repeated key. Any other
        failure raises ``OutcomeUnknownError``. Does not wait.
        """
        if (
            attempt.lost is LossReason.UNREACHABLE
            and progress.elapsed_s() < KEY_OWNER_TIMEOUT_S
        ):
            return
        if attempt.result is not None:
            detail = attempt.result.detail or "the service broke off"
            raise OutcomeUnknownError(code="broken_off", detail=detail, status=502)
        detail = attempt.lost.value if attempt.lost is not None else "the home is lost"
        raise OutcomeUnknownError(code="home_lost", detail=detail)

    def _record_crash(self, request: RoutedRequest, attempt: Attempt) -> None:
        """Increase and broadcast a request's crash count if its endpoint crashed.

        The agent reports a crash with the end of the attempt; a restart of the agent
        counts as one too. An unreachable agent does not.
        """
        crashed = (
            attempt.result is not None and attempt.result.outcome == peer_pb2.CRASHED
        )
        if not crashed and attempt.lost is not LossReason.RESTARTED:
            return
        now_s = time.monotonic()
        previous_crashes = attempt.offer.crashes if attempt.offer is not None else 0
        if self._suspects.raise_crash_count(
            request.fingerprint, previous_crashes + 1, now_s=now_s
        ):
            self._peers.broadcast_suspect(request.fingerprint, previous_crashes + 1)

    def _handle_interruption(
        self, progress: RequestProgress, peer: AgentPeer, attempt: Attempt
    ) -> None:
        """Prepare a retry after an attempt that may have run, or raise.

        Only called for requests without an idempotency key; these are repeatable, as
        agents refuse any other request that has no key.

        Raises ``OutcomeUnknownError`` if the request is poison, has delivered chunks
        and is not continuable, has reached ``MAX_RETRIES``, or the retry budget is used
        up. Otherwise takes one retry, resets the offers and excludes only this agent.
        """
        request = progress.request
        detail = attempt.lost.value if attempt.lost is not None else ""
        if attempt.result is not None:
            detail = attempt.result.detail
        logger.info("request {} was interrupted: {}", request.request_id, detail)
        poisonous = self._suspects.poisonous(
            request.fingerprint, now_s=time.monotonic()
        )
        cannot_continue = bool(progress.delivered) and not request.continuable
        if poisonous or cannot_continue or progress.retries >= MAX_RETRIES:
            code = "poison" if poisonous else "broken_off"
            raise OutcomeUnknownError(code=code, detail=detail, status=502)
        if not self._budget.take_retry():
            raise OutcomeUnknownError(
                code="retry_budget", detail=f"not run again: {detail}", status=502
            )
        self.retries += 1
        progress.retries += 1
        progress.offers = 0
        progress.excluded = {peer.name}
        self._continue_body(progress)

    def _continue_body(self, progress: RequestProgress) -> None:
        """Make the next offer continue after all delivered chunks.

        Does nothing if no chunks were delivered.
        """
        if progress.delivered:
            progress.body = continuation_body(
                progress.request.body,
                text=delivered_text(progress.delivered),
                tokens=delivered_tokens(progress.delivered),
            )
