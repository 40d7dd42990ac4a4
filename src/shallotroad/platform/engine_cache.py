"""Encodes and decodes the query for the prompt parts that an engine has cached."""

from __future__ import annotations

import orjson

from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.platform.headers import EXPECTED_ENDPOINT
from shallotroad.platform.headers import PromptPart


LIST_PATH = b"/api/kv-list"


def encode_cache_query(*, host: str, endpoint: str) -> bytes:
    """Return the request head of the query, which has no body.

    Another endpoint that now has the same address refuses the request, because the
    head names the expected endpoint. ``host`` is the value of the Host header.
    """
    return (
        b"GET "
        + LIST_PATH
        + b" HTTP/1.1\r\nhost: "
        + host.encode()
        + b"\r\n"
        + EXPECTED_ENDPOINT
        + b": "
        + endpoint.encode()
        + b"\r\n\r\n"
    )


def decode_cached_parts(body: bytes) -> list[PromptPart]:
    """Return the cached prompt parts, each with the number of its cached tokens.

    Raises
    ------
    MalformedDocumentError
        When the body is not a list of cached parts.
    """
    try:
        # "held" lists the cached parts.
        rows = orjson.loads(body)["held"]
        return [PromptPart(str(row[1]), int(row[2])) for row in rows]
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise MalformedDocumentError(
            f"malformed list of cached parts: {error!r}"
        ) from error
