"""Opens listening sockets before the event loop that serves them runs."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from shallotroad.platform.settings import Address

BACKLOG = 1_024  # More connections than callers open while a process starts.


def open_listener(address: Address) -> socket.socket:
    """Return a socket that listens at an address.

    Connections wait in its backlog until a server accepts them.

    Raises
    ------
    OSError
        When the address can't be bound, for example because it is in use.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    return listener
