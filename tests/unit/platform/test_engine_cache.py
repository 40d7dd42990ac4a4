from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotroad.platform.engine_cache import decode_cached_parts
from shallotroad.platform.engine_cache import encode_cache_query
from shallotroad.platform.exceptions import MalformedDocumentError
from shallotroad.platform.headers import PromptPart


def test_query_names_the_expected_endpoint() -> None:
    query = encode_cache_query(host="127.0.0.1", endpoint="e1")
    assert query.startswith(b"GET /api/kv-list HTTP/1.1\r\n")
    assert query.endswith(b"x-expect-replica: e1\r\n\r\n")


def test_cached_parts_are_decoded() -> None:
    body = b'{"epoch": 1, "next": 9, "held": [["", "aa", 800, "m"]]}'
    assert decode_cached_parts(body) == [PromptPart("aa", 800)]


@given(st.binary(max_size=40))
def test_arbitrary_bytes_are_rejected(body: bytes) -> None:
    with pytest.raises(MalformedDocumentError):
        decode_cached_parts(body)
