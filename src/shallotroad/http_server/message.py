"""Responses of the HTTP server, and their encoding."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple


BODILESS_STATUSES = frozenset((204, 304))

HeaderPairs = tuple[tuple[bytes, bytes], ...]


class Response(NamedTuple):
    """A complete response.

    Parameters
    ----------
    status : int
        Status code, 200 to 599.
    headers : tuple of pairs of bytes
        Headers without those that the server sets: ``Content-Length``,
        ``Transfer-Encoding`` and ``Connection``.
    body : bytes
        Body; not sent with a status that has none.
    closes : bool
        Whether the connection is closed after this response.
    """

    status: int
    headers: HeaderPairs = ()
    body: bytes = b""
    closes: bool = False


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""


def encode_head(status: int, headers: HeaderPairs, framing: tuple[bytes, ...]) -> bytes:
    """Return the head of a response, including the empty line at its end.

    ``framing`` are the complete lines of the headers that the server sets.
    """
    lines = [f"HTTP/1.1 {status} {_reason(status)}".encode()]
    lines += [name + b": " + value for name, value in headers]
    lines += framing
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response(response: Response, *, closes: bool, head_only: bool) -> bytes:
    """Return the bytes of a complete response.

    ``closes`` announces that the connection is closed; with ``head_only``, the length
    of the body is stated but the body left out, as for the method HEAD.
    """
    framing: tuple[bytes, ...] = (b"Connection: close",) if closes else ()
    if response.status in BODILESS_STATUSES:
        return encode_head(response.status, response.headers, framing)
    framing = (f"Content-Length: {len(response.body)}".encode(), *framing)
    head = encode_head(response.status, response.headers, framing)
    return head if head_only else head + response.body
