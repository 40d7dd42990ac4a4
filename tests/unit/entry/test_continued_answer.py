"""An answer that broke off goes on only with the rest of its stream."""

from __future__ import annotations

import pytest

from shallotroad.entry.exceptions import OutcomeUnknownError
from shallotroad.protocol import peer_pb2
from tests.dispatcher_builders import EVENT_STREAM
from tests.dispatcher_builders import ScriptedAttempt
from tests.dispatcher_builders import ScriptedPeer
from tests.dispatcher_builders import make_chat_request
from tests.dispatcher_builders import make_dispatcher


FIRST_EVENT = b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'
LAST_EVENT = b"data: [DONE]\n\n"
BROKEN_ATTEMPT = ScriptedAttempt(200, EVENT_STREAM, [FIRST_EVENT], peer_pb2.FAILED)


@pytest.mark.parametrize(
    "continuation",
    [
        ScriptedAttempt(500, "text/plain", [b"engine failed"], peer_pb2.DONE),
        ScriptedAttempt(500, EVENT_STREAM, [b"data: failed\n\n"], peer_pb2.DONE),
        ScriptedAttempt(200, "application/json", [b"{}"], peer_pb2.DONE),
        ScriptedAttempt(200, EVENT_STREAM, [], peer_pb2.DONE),
    ],
    ids=["status-500", "stream-of-status-500", "no-stream", "no-event"],
)
async def test_what_does_not_continue_an_answer_is_no_part_of_it(
    continuation: ScriptedAttempt,
) -> None:
    """Guards against an error in the middle of a stream, or one that looks complete."""
    dispatcher = make_dispatcher(ScriptedPeer([BROKEN_ATTEMPT, continuation]))
    received: list[bytes] = []
    with pytest.raises(OutcomeUnknownError):
        async for response_chunk in dispatcher.run(make_chat_request()):
            received += [chunk.data for chunk in response_chunk.chunks]
    assert received == [FIRST_EVENT]


async def test_the_rest_of_a_stream_continues_an_answer() -> None:
    rest = ScriptedAttempt(200, EVENT_STREAM, [LAST_EVENT], peer_pb2.DONE)
    dispatcher = make_dispatcher(ScriptedPeer([BROKEN_ATTEMPT, rest]))
    received: list[bytes] = []
    async for response_chunk in dispatcher.run(make_chat_request()):
        received += [chunk.data for chunk in response_chunk.chunks]
    assert received == [FIRST_EVENT, LAST_EVENT]
