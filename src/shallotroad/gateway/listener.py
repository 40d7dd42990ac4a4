"""Opens ports ahead of the event loop that serves them."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from shallotroad.platform.settings import Address

BACKLOG = 1_024  # connections; more than callers open while a process starts


def open_listener(address: Address) -> socket.socket:
    """Listen at an address; connections wait until a server accepts them.

    Raises
    ------
    OSError
        When the address is taken.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    return listener
