"""UDP transport of the coordination messages.

Each gateway has one socket. It serves the gateway both as a coordinator and as a
client of other coordinators.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from loguru import logger

from shallotroad.gateway.coordination.exceptions import MalformedMessageError
from shallotroad.gateway.coordination.messages import CrashNews
from shallotroad.gateway.coordination.messages import Ended
from shallotroad.gateway.coordination.messages import RecallStream
from shallotroad.gateway.coordination.messages import Report
from shallotroad.gateway.coordination.messages import Started
from shallotroad.gateway.coordination.messages import Stated
from shallotroad.gateway.coordination.messages import StreamBegan
from shallotroad.gateway.coordination.messages import StreamRecalled
from shallotroad.gateway.coordination.messages import Submit
from shallotroad.gateway.coordination.messages import decode
from shallotroad.gateway.coordination.messages import encode


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.coordination.coordinator import Coordinator
    from shallotroad.gateway.coordination.messages import Message
    from shallotroad.gateway.coordination.placement_client import PlacementClient
    from shallotroad.gateway.membership import Membership


class CoordinationProtocol(asyncio.DatagramProtocol):
    """Sends messages to gateways by name and dispatches the received ones.

    Until ``set_handlers`` is called, received messages are counted and dropped.
    ``on_crash_news`` is called with the rows of received ``CrashNews``, and
    ``on_stated`` with what other gateways were told by an endpoint. ``on_stream`` is
    called with what concerns the beginning of streams, and a function for the reply.
    """

    def __init__(self, *, membership: Membership, clock: Callable[[], float]) -> None:
        self._membership = membership
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._coordinator: Coordinator | None = None
        self._placement_client: PlacementClient | None = None
        self.on_crash_news: Callable[[list[Any]], None] = lambda _: None
        self.on_stated: Callable[[Stated], None] = lambda _: None
        self.on_stream: Callable[
            [StreamBegan | RecallStream | StreamRecalled, Callable[[Message], None]],
            None,
        ] = lambda _message, _reply: None
        self.datagrams_sent = 0
        self.datagrams_received = 0

    def set_handlers(
        self, *, coordinator: Coordinator, placement_client: PlacementClient
    ) -> None:
        """Set the objects that handle received messages."""
        self._coordinator = coordinator
        self._placement_client = placement_client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport that messages are sent through."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def send(self, name: str, message: Message) -> None:
        """Send a message to the named gateway, without any guarantee of delivery.

        The message is dropped when the gateway's datagram address is not known or the
        socket is not open yet.
        """
        address = self._membership.datagram_address(name)
        if address is not None:
            self._send_to(address, message)

    def _send_to(self, address: tuple[str, int], message: Message) -> None:
        if self._transport is not None:
            self.datagrams_sent += 1
            self._transport.sendto(encode(message, self._clock()), address)

    def datagram_received(self, data: bytes, address: tuple[str | Any, int]) -> None:
        """Pass a message to its handler; log and drop a malformed datagram."""
        self.datagrams_received += 1
        try:
            message = decode(data, self._clock())
        except MalformedMessageError as error:
            logger.bind(peer=address[0], why=str(error)).warning("malformed datagram")
            return
        if self._coordinator is None or self._placement_client is None:
            return
        if isinstance(message, Submit):
            self._coordinator.submit(
                message, lambda reply: self._send_to(address, reply)
            )
        elif isinstance(message, Started):
            self._coordinator.record_first_event(message)
        elif isinstance(message, Ended):
            self._coordinator.record_end(message)
        elif isinstance(message, Report):
            self._coordinator.apply_report(message)
        elif isinstance(message, CrashNews):
            self.on_crash_news(message.rows)
        elif isinstance(message, Stated):
            self.on_stated(message)
        elif isinstance(message, StreamBegan | RecallStream | StreamRecalled):
            self.on_stream(message, lambda reply: self._send_to(address, reply))
        else:
            self._placement_client.handle_reply(message)

    def error_received(self, exc: Exception) -> None:
        """Log a failed send, such as to a closed port.

        No retry is needed here: the placement request in the datagram times out.
        """
        logger.bind(why=repr(exc)).debug("datagram not delivered")


async def bind_datagram_socket(
    protocol: CoordinationProtocol, host: str, port: int
) -> None:
    """Open the datagram socket at an address and attach it to the protocol."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: protocol, local_addr=(host, port))
