from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from unittest.mock import Mock

from shallotroad.entry.dispatcher import Dispatcher
from shallotroad.entry.request import RoutedRequest
from shallotroad.protocol import peer_pb2


if TYPE_CHECKING:
    from shallotroad.entry.attempt import Attempt

EVENT_STREAM = "text/event-stream"


class ScriptedAttempt(NamedTuple):
    """What an agent reports of an attempt."""

    status: int
    content_type: str
    chunks: list[bytes]
    outcome: peer_pb2.Outcome


class ScriptedPeer:
    """An agent whose attempts end at once, each as the next script says."""

    def __init__(self, scripts: list[ScriptedAttempt]) -> None:
        self.name = "agent-1"
        self.scripts = scripts
        self.offers: list[peer_pb2.Offer | None] = []
        self.cancel = Mock()
        self.acknowledge = Mock()

    def add_attempt(self, attempt: Attempt) -> None:
        """Report the chunks and the end of the next script."""
        script = self.scripts[len(self.offers)]
        self.offers.append(attempt.offer)
        attempt.sent = True
        for seq, data in enumerate(script.chunks):
            attempt.record_chunk(
                peer_pb2.Chunk(
                    seq=seq,
                    data=data,
                    status=script.status,
                    content_type=script.content_type,
                )
            )
        attempt.record_end(
            peer_pb2.End(outcome=script.outcome, chunks=len(script.chunks))
        )


def make_dispatcher(peer: ScriptedPeer) -> Dispatcher:
    """Return a dispatcher that offers every request to one agent."""
    return Dispatcher(
        peers=Mock(),
        selector=Mock(select=Mock(return_value=peer)),
        suspects=Mock(
            crashes=Mock(return_value=0),
            poisonous=Mock(return_value=False),
            raise_crash_count=Mock(return_value=False),
        ),
        history=Mock(),
        budget=Mock(),
        fleet_key="secret",
    )


def make_chat_request() -> RoutedRequest:
    """Return a streamed chat request that may be continued."""
    return RoutedRequest(
        request_id="q1",
        team="clinic",
        request_class="chat",
        tier=0,
        target="model",
        preemptible=False,
        repeatable=True,
        streamed=True,
        continuable=True,
        first_token_s=1.0,
        wait_budget_s=5.0,
        run_budget_s=5.0,
        method="POST",
        path="/v1/chat/completions",
        headers={},
        body=b'{"messages": [], "max_tokens": 9}',
        fingerprint="f",
        digest="d",
    )
