"""The datagram socket that entries and coordinators share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from loguru import logger

from shallotroad.gateway.coordination.exceptions import MalformedMessageError
from shallotroad.gateway.coordination.messages import Ended
from shallotroad.gateway.coordination.messages import Report
from shallotroad.gateway.coordination.messages import Started
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
    """Sends messages to members by name, and hands on what arrives."""

    def __init__(self, *, membership: Membership, clock: Callable[[], float]) -> None:
        self._membership = membership
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._coordinator: Coordinator | None = None
        self._placement_client: PlacementClient | None = None
        self.sent = 0
        self.received = 0

    def serve(
        self, *, coordinator: Coordinator, placement_client: PlacementClient
    ) -> None:
        """Hand on to these from now on."""
        self._coordinator = coordinator
        self._placement_client = placement_client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def send(self, name: str, message: Message) -> None:
        """Send a message to a member; it may be lost on the way."""
        address = self._membership.datagram_address(name)
        if address is not None:
            self._send_to(address, message)

    def _send_to(self, address: tuple[str, int], message: Message) -> None:
        if self._transport is not None:
            self.sent += 1
            self._transport.sendto(encode(message, self._clock()), address)

    def datagram_received(self, data: bytes, address: tuple[str | Any, int]) -> None:
        """Decode a message and hand it on."""
        self.received += 1
        try:
            message = decode(data, self._clock())
        except MalformedMessageError as error:
            logger.bind(peer=address[0], why=str(error)).warning("malformed datagram")
            return
        if self._coordinator is None or self._placement_client is None:
            return
        if isinstance(message, Submit):
            self._coordinator.submit(message, lambda m: self._send_to(address, m))
        elif isinstance(message, Started):
            self._coordinator.started(message)
        elif isinstance(message, Ended):
            self._coordinator.ended(message)
        elif isinstance(message, Report):
            self._coordinator.report(message)
        else:
            self._placement_client.answered(message)

    def error_received(self, exc: Exception) -> None:
        """Note that a peer's port is closed; its questions time out."""
        logger.bind(why=repr(exc)).debug("datagram not delivered")


async def bind_datagram_socket(
    protocol: CoordinationProtocol, host: str, port: int
) -> None:
    """Bind the datagram socket."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: protocol, local_addr=(host, port))
