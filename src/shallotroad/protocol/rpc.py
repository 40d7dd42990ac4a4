"""gRPC service between entries and agents, authenticated by the fleet key.

Agents serve sessions and pulls; entries serve pulls and requests for quota.
"""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING
from typing import Any

import grpc
import grpc.aio

from shallotroad.protocol.peer_pb2 import Batch
from shallotroad.protocol.peer_pb2 import ConfigDelta
from shallotroad.protocol.peer_pb2 import PullRequest
from shallotroad.protocol.peer_pb2 import TakeReply
from shallotroad.protocol.peer_pb2 import TakeRequest


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    SessionCall = grpc.aio.StreamStreamCall[Batch, Batch]
    Context = grpc.aio.ServicerContext[Any, Any]
    SessionHandler = Callable[[AsyncIterator[Batch], Context], Awaitable[None]]
    PullHandler = Callable[[PullRequest], ConfigDelta]
    TakeHandler = Callable[[TakeRequest], TakeReply]

SERVICE_NAME = "shallotroad.Peer"
FLEET_KEY_METADATA = "x-fleet-key"
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# The bandwidth probes of both sides are off, because they add control traffic to every
# session.
CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_http_proxy", 0),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)


async def _authenticate(context: Context, fleet_key: str) -> None:
    metadata = dict(context.invocation_metadata() or ())
    received_key = str(metadata.get(FLEET_KEY_METADATA, ""))
    if not hmac.compare_digest(received_key.encode(), fleet_key.encode()):
        await context.abort(
            grpc.StatusCode.UNAUTHENTICATED,
            "fleet key differs; set security.fleet_key to the fleet's",
        )


def make_server(
    *,
    session: SessionHandler | None = None,
    pull: PullHandler,
    take: TakeHandler | None = None,
    fleet_key: str,
) -> grpc.aio.Server:
    """Create the gRPC server of one process; it is not started.

    Parameters
    ----------
    session : SessionHandler or None
        Serves the stream of batches of an entry; None on an entry.
    pull : PullHandler
        Returns the changes of the configuration since a revision.
    take : TakeHandler or None
        Grants quota of a team whose rate limit this entry owns; None on an agent.
    fleet_key : str
        Secret that a client must present in the request metadata.
    """

    async def serve_session(batches: AsyncIterator[Batch], context: Context) -> None:
        await _authenticate(context, fleet_key)
        if session is None:
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, "not an agent")
        else:
            await session(batches, context)

    async def serve_pull(request: PullRequest, context: Context) -> ConfigDelta:
        await _authenticate(context, fleet_key)
        return pull(request)

    async def serve_take(request: TakeRequest, context: Context) -> TakeReply:
        await _authenticate(context, fleet_key)
        if take is None:
            await context.abort(grpc.StatusCode.UNIMPLEMENTED, "not an entry")
            return TakeReply()
        return take(request)

    handlers: dict[str, grpc.RpcMethodHandler[Any, Any]] = {
        "Session": grpc.stream_stream_rpc_method_handler(
            serve_session,
            request_deserializer=Batch.FromString,
            response_serializer=Batch.SerializeToString,
        ),
        "Pull": grpc.unary_unary_rpc_method_handler(
            serve_pull,
            request_deserializer=PullRequest.FromString,
            response_serializer=ConfigDelta.SerializeToString,
        ),
        "Take": grpc.unary_unary_rpc_method_handler(
            serve_take,
            request_deserializer=TakeRequest.FromString,
            response_serializer=TakeReply.SerializeToString,
        ),
    }
    server = grpc.aio.server(options=SERVER_OPTIONS)
    handler = grpc.method_handlers_generic_handler(SERVICE_NAME, handlers)
    server.add_generic_rpc_handlers((handler,))
    return server


def open_channel(address: str) -> grpc.aio.Channel:
    """Open a channel that shares its connection with no other channel."""
    return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)


def open_session(channel: grpc.aio.Channel, fleet_key: str) -> SessionCall:
    """Start a session with an agent: a bidirectional stream of batches."""
    method: grpc.aio.StreamStreamMultiCallable[Batch, Batch] = channel.stream_stream(
        f"/{SERVICE_NAME}/Session",
        request_serializer=Batch.SerializeToString,
        response_deserializer=Batch.FromString,
    )
    return method(metadata=((FLEET_KEY_METADATA, fleet_key),))


async def pull_config(
    address: str, request: PullRequest, *, fleet_key: str, timeout_s: float
) -> ConfigDelta:
    """Request the changes of the configuration since a revision from a peer.

    Raises
    ------
    grpc.aio.AioRpcError
        When the call failed or took longer than ``timeout_s``.
    """
    async with open_channel(address) as channel:
        method = channel.unary_unary(
            f"/{SERVICE_NAME}/Pull",
            request_serializer=PullRequest.SerializeToString,
            response_deserializer=ConfigDelta.FromString,
        )
        return await method(
            request,
            timeout=timeout_s,
            metadata=((FLEET_KEY_METADATA, fleet_key),),
        )


async def acquire_quota(
    channel: grpc.aio.Channel, request: TakeRequest, *, fleet_key: str, timeout_s: float
) -> TakeReply:
    """Request quota of a team from the entry that owns its rate limit.

    The quota is a number of requests: ``wanted`` in the request, ``granted``, at most
    as many, in the reply. When it grants 0, ``retry_after_s`` is the time until the
    limit permits a request.

    Raises
    ------
    grpc.aio.AioRpcError
        When the call failed or took longer than ``timeout_s``.
    """
    method = channel.unary_unary(
        f"/{SERVICE_NAME}/Take",
        request_serializer=TakeRequest.SerializeToString,
        response_deserializer=TakeReply.FromString,
    )
    return await method(
        request, timeout=timeout_s, metadata=((FLEET_KEY_METADATA, fleet_key),)
    )
