"""Takes a request to an endpoint and its answer back, through failures.

A request is run again only on proof that it was not run, or when it is
repeatable and the retry budget allows. A broken chat stream goes on at another
endpoint from the text that was delivered.
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
from shallotroad.entry.continuation import continued_body
from shallotroad.entry.continuation import delivered_text
from shallotroad.entry.continuation import delivered_tokens
from shallotroad.entry.continuation import missing_end
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

ATTEMPT_BYTES = 12
MAX_OFFERS = 4
MAX_RETRIES = 3
NO_CANDIDATE_RETRY_INTERVAL_S = 0.1
NO_CANDIDATE_TIMEOUT_S = 3.0
KEY_OWNER_TIMEOUT_S = 12.0
CALLER_LINGER_S = 15.0


class ResponseChunk(NamedTuple):
    """Chunks of an answer, with the place from where a caller may go on."""

    event_id_prefix: str
    chunks: list[NumberedChunk]
    status: int
    content_type: str


class Progress:
    """What has become of one request so far."""

    def __init__(self, *, request: RoutedRequest) -> None:
        self.request = request
        self.body = request.body
        self.delivered: list[bytes] = []
        self.excluded: set[str] = set()
        self.offers = 0
        self.retries = 0
        self.began_s = time.monotonic()
        self.refused: peer_pb2.Refused | None = None

    def waited_s(self) -> float:
        """Return how long the request has been here."""
        return time.monotonic() - self.began_s


def make_offer(progress: Progress, *, attempt_id: str, crashes: int) -> peer_pb2.Offer:
    """Return the offer of a request for one attempt."""
    request = progress.request
    left_s = max(0.0, request.wait_budget_s - progress.waited_s())
    return peer_pb2.Offer(
        attempt=attempt_id,
        request=request.request,
        team=request.team,
        request_class=request.request_class,
        tier=request.tier,
        preemptible=request.preemptible,
        repeatable=request.repeatable,
        alone=crashes > 0,
        wait_budget_s=request.wait_budget_s if progress.delivered else left_s,
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
    """Runs requests through the connected agents."""

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
        """Run a request and yield its answer as it comes.

        Raises
        ------
        NotRunError
            When the request was provably not run.
        OutcomeUnknownError
            When it may have been run and its answer can't be had.
        """
        self._budget.earn()
        if not request.idempotency_key:
            self._check_poison(request)
        progress = Progress(request=request)
        while True:
            peer = await self._next_peer(progress)
            attempt = self._offer(progress, peer)
            try:
                async for response_chunk in self._follow(peer, attempt):
                    progress.delivered.extend(c.data for c in response_chunk.chunks)
                    yield response_chunk
            except (asyncio.CancelledError, GeneratorExit):
                peer.cancel(attempt, linger_s=CALLER_LINGER_S)
                raise
            if await self._settle(progress, peer, attempt):
                return
            closing_chunks = missing_end(progress.delivered, request.body)
            if closing_chunks is not None:
                yield ResponseChunk("", closing_chunks, 200, "text/event-stream")
                return

    async def resume(
        self, *, attempt_id: str, instance: str, seq: int, team: str
    ) -> AsyncIterator[ResponseChunk]:
        """Go on with an answer after the chunk numbered ``seq``.

        Raises
        ------
        OutcomeUnknownError
            When the rest of the answer can't be had.
        """
        peer = self._peers.get(instance)
        if peer is None:
            detail = "the endpoint of this answer is gone; send the request again"
            raise OutcomeUnknownError(code="answer_gone", detail=detail, status=410)
        attempt = Attempt(attempt=attempt_id, offer=None, team=team, next_seq=seq + 1)
        peer.add(attempt)
        try:
            async for response_chunk in self._follow(peer, attempt):
                yield response_chunk
        except (asyncio.CancelledError, GeneratorExit):
            peer.cancel(attempt, linger_s=CALLER_LINGER_S)
            raise
        if attempt.result is None or attempt.result.outcome != peer_pb2.DONE:
            detail = "the rest of this answer is gone; send the request again"
            raise OutcomeUnknownError(code="answer_gone", detail=detail, status=410)

    def _check_poison(self, request: RoutedRequest) -> None:
        if self._suspects.poisonous(request.fingerprint, now_s=time.monotonic()):
            raise NotRunError(
                status=422,
                code="poison",
                detail="this request has crashed endpoints; change it",
            )

    async def _next_peer(self, progress: Progress) -> AgentPeer:
        if progress.request.idempotency_key:
            return self._key_owner(progress.request)
        while progress.offers < MAX_OFFERS:
            peer = self._selector.select(progress.request, excluded=progress.excluded)
            if peer is not None:
                return peer
            if progress.waited_s() > self._candidate_timeout_s(progress):
                break
            progress.excluded.clear()
            await asyncio.sleep(NO_CANDIDATE_RETRY_INTERVAL_S)
        raise self._no_peer_error(progress)

    async def wait_for_peer(self, request: RoutedRequest) -> AgentPeer:
        """Return the agent that would be offered a request, waiting a little.

        Raises
        ------
        NotRunError
            When there is none in time.
        """
        progress = Progress(request=request._replace(idempotency_key=""))
        return await self._next_peer(progress)

    def _candidate_timeout_s(self, progress: Progress) -> float:
        return min(NO_CANDIDATE_TIMEOUT_S, progress.request.wait_budget_s)

    def _no_peer_error(self, progress: Progress) -> Exception:
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

    def _offer(self, progress: Progress, peer: AgentPeer) -> Attempt:
        fingerprint = progress.request.fingerprint
        crashes = self._suspects.crashes(fingerprint, now_s=time.monotonic())
        attempt_id = secrets.token_urlsafe(ATTEMPT_BYTES)
        offer = make_offer(progress, attempt_id=attempt_id, crashes=crashes)
        attempt = Attempt(
            attempt=attempt_id, offer=offer, team=progress.request.team, next_seq=0
        )
        progress.offers += 1
        peer.add(attempt)
        return attempt

    async def _follow(
        self, peer: AgentPeer, attempt: Attempt
    ) -> AsyncIterator[ResponseChunk]:
        event_id_prefix = f"{attempt.attempt}@{peer.name}"
        while True:
            chunks = await attempt.read()
            if not chunks:
                return
            yield ResponseChunk(
                event_id_prefix, chunks, attempt.status, attempt.content_type
            )
            peer.acknowledge(attempt)

    async def _settle(
        self, progress: Progress, peer: AgentPeer, attempt: Attempt
    ) -> bool:
        """Judge how an attempt ended; tell whether the request is done."""
        request = progress.request
        if attempt.result is not None and attempt.result.outcome == peer_pb2.DONE:
            self._history.record(list(request.blocks), peer.name)
            self._clear_suspect(request)
            return True
        if attempt.refused is not None:
            self._judge_refusal(progress, peer, attempt.refused)
            return False
        if not attempt.sent and not request.idempotency_key:
            progress.excluded.add(peer.name)
            return False
        if request.idempotency_key:
            await self._judge_keyed(progress, attempt)
            return False
        self._note_crash(request, attempt)
        self._judge_broken(progress, peer, attempt)
        return False

    def _clear_suspect(self, request: RoutedRequest) -> None:
        now_s = time.monotonic()
        if self._suspects.crashes(request.fingerprint, now_s=now_s):
            self._suspects.clear(request.fingerprint)
            self._peers.broadcast_suspect(request.fingerprint, 0)

    def _judge_refusal(
        self, progress: Progress, peer: AgentPeer, refused: peer_pb2.Refused
    ) -> None:
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

    async def _judge_keyed(self, progress: Progress, attempt: Attempt) -> None:
        if (
            attempt.lost is LossReason.UNREACHABLE
            and progress.waited_s() < KEY_OWNER_TIMEOUT_S
        ):
            return
        if attempt.result is not None:
            detail = attempt.result.detail or "the service broke off"
            raise OutcomeUnknownError(code="broken_off", detail=detail, status=502)
        detail = attempt.lost.value if attempt.lost is not None else "the home is lost"
        raise OutcomeUnknownError(code="home_lost", detail=detail)

    def _note_crash(self, request: RoutedRequest, attempt: Attempt) -> None:
        crashed = (
            attempt.result is not None and attempt.result.outcome == peer_pb2.CRASHED
        )
        if not crashed and attempt.lost is not LossReason.RESTARTED:
            return
        now_s = time.monotonic()
        before = attempt.offer.crashes if attempt.offer is not None else 0
        if self._suspects.raise_crash_count(
            request.fingerprint, before + 1, now_s=now_s
        ):
            self._peers.broadcast_suspect(request.fingerprint, before + 1)

    def _judge_broken(
        self, progress: Progress, peer: AgentPeer, attempt: Attempt
    ) -> None:
        request = progress.request
        detail = attempt.lost.value if attempt.lost is not None else ""
        if attempt.result is not None:
            detail = attempt.result.detail
        logger.info("request {} broke off: {}", request.request, detail)
        poisonous = self._suspects.poisonous(
            request.fingerprint, now_s=time.monotonic()
        )
        stuck = bool(progress.delivered) and not request.continuable
        if poisonous or stuck or progress.retries >= MAX_RETRIES:
            code = "poison" if poisonous else "broken_off"
            raise OutcomeUnknownError(code=code, detail=detail, status=502)
        if not self._budget.spend():
            raise OutcomeUnknownError(
                code="retry_budget", detail=f"not run again: {detail}", status=502
            )
        self.retries += 1
        progress.retries += 1
        progress.offers = 0
        progress.excluded = {peer.name}
        self._continue_body(progress)

    def _continue_body(self, progress: Progress) -> None:
        if progress.delivered:
            progress.body = continued_body(
                progress.request.body,
                text=delivered_text(progress.delivered),
                tokens=delivered_tokens(progress.delivered),
            )
