from __future__ import annotations

from shallotroad.platform.headers import decode_request
from shallotroad.platform.headers import decode_response
from shallotroad.platform.headers import encode_request_head


RAW = (
    (b"Host", b"Clinic.example:80"),
    (b"X-Request-Id", b"q1"),
    (b"X-Deadline-Ms", b"1500"),
    (b"Authorization", b"Token k1"),
    (b"X-Token-Usage", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c:800,91:410,e4:250"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"1"),
    (b"X-Hold", b"h"),
    (b"Kv-From", b"f"),
    (b"X-Pin-Ms", b"1"),
    (b"X-Tenant", b"other"),
    (b"X-Expect-Replica", b"e9"),
    (b"X-Custom", b"kept"),
)


def encode_attempt() -> list[bytes]:
    request = decode_request("POST", "/a/1?x=%20", RAW)
    head = encode_request_head(
        request,
        body_bytes=7,
        endpoint="e1",
        team="clinic",
        remaining_ms=900.7,
        engine_priority=2,
        last_event_id="",
    )
    return head.lower().split(b"\r\n")


def test_request_headers_are_decoded() -> None:
    request = decode_request("POST", "/a/1?x=%20", RAW)
    assert request.host == "clinic.example"
    assert request.api_key == "k1"
    assert request.deadline_ms == 1500
    assert (request.prompt_tokens, request.max_output_tokens) == (1460, 80)
    assert [part.tokens for part in request.prompt_parts] == [800, 410, 250]


def test_attempt_omits_hop_by_hop_and_router_headers_of_the_caller() -> None:
    lines = encode_attempt()
    assert lines[0] == b"post /a/1?x=%20 http/1.1"
    assert b"x-custom: kept" in lines
    assert b"x-tenant: clinic" in lines
    assert b"x-expect-replica: e1" in lines
    assert b"x-deadline-ms: 900" in lines
    names = [line.split(b":")[0] for line in lines[1:] if line]
    for name in (b"authorization", b"x-hold", b"kv-from", b"x-pin-ms", b"x-hop"):
        assert name not in names
    assert names.count(b"x-tenant") == names.count(b"x-expect-replica") == 1


def test_malformed_values_count_as_not_stated() -> None:
    request = decode_request(
        "GET",
        "/",
        (
            (b"X-Deadline-Ms", b"-5"),
            (b"X-Token-Usage", b"many"),
            (b"X-Prompt-Prefix", b"a:1,b"),
            (b"Authorization", b"Basic k1"),
        ),
    )
    assert request.deadline_ms is None
    assert request.prompt_tokens == 0
    assert request.prompt_parts == ()
    assert request.api_key == ""


def test_only_the_header_or_status_421_proves_that_a_request_did_not_run() -> None:
    assert decode_response(503, ((b"X-Not-Executed", b"1"),)).not_run
    assert decode_response(421, ()).not_run
    assert not decode_response(503, ()).not_run
    head = decode_response(200, ((b"Keep-Alive", b"timeout=5, max=9"),))
    assert head.idle_timeout_s == 5.0
