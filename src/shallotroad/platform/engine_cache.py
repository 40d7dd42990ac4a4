"""Asks an engine which prompt parts it has cached."""

from __future__ import annotations

import orjson

from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.platform.headers import EXPECTED_ENDPOINT
from shallotroad.platform.headers import PromptPart


LIST_PATH = b"/api/kv-list"


def encode_cache_query(*, host: str, endpoint: str) -> bytes:
    """Return the request; only the named endpoint answers it."""
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
    """Return the parts that the engine keeps, with the tokens it keeps of each.

    Raises
    ------
    MalformedDocumentError
        When the body can't be read.
    """
    try:
        rows = orjson.loads(body)["held"]
        return [PromptPart(str(row[1]), int(row[2])) for row in rows]
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise MalformedDocumentError(f"cache list: {error!r}") from error
