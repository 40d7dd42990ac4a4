"""Messages between a gateway and a coordinator, as datagrams of JSON arrays.

Any datagram may be lost or arrive twice. A gateway therefore resubmits a placement
request until it receives a reply, and its periodic report of all open requests
corrects what other lost messages leave wrong. The number in a message is the one that
the requesting gateway gave to its placement request.

Times are encoded in milliseconds relative to the time of sending, because the
monotonic clocks of two processes differ.
"""

from __future__ import annotations

import math
from typing import Any
from typing import NamedTuple

import orjson

from shallotroad.gateway.coordination.exceptions import MalformedMessageError
from shallotroad.platform.headers import PromptPart
from shallotroad.policy.endpoint_statement import EndpointStatement
from shallotroad.policy.endpoint_statement import is_valid_limit
from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.engine_model import EngineModel
from shallotroad.policy.engine_model import is_valid_model
from shallotroad.policy.failing_endpoints import Fault
from shallotroad.policy.failing_endpoints import default_fault
from shallotroad.policy.placement import RequestProfile
from shallotroad.policy.placement_request import PlacementRequest


MS_PER_S = 1000.0
# Longer names of teams and routes are cut by the sender and refused by the receiver.
MAX_NAME_LENGTH = 256
MAX_STREAM_KEY_LENGTH = 64


class Sender(NamedTuple):
    """The gateway process that sent a message.

    ``incarnation`` is the Unix time of the process's start, in milliseconds.
    """

    name: str
    incarnation: int


class Submit(NamedTuple):
    """A gateway's request for an endpoint."""

    sender: Sender
    number: int
    request: PlacementRequest


class Grant(NamedTuple):
    """The coordinator's choice of an endpoint, with the figures behind the choice.

    ``backlog_ms`` and ``prefill_ms`` contain ``slowness``, the endpoint's factor over
    the prefill time of ``model``. A nominal model is not sent.
    """

    number: int
    endpoint: str
    cost_ms: float
    backlog_ms: float
    prefill_ms: float
    cached_tokens: int
    reserved: bool
    slowness: float = 1.0
    model: EngineModel = NOMINAL_MODEL


class Queued(NamedTuple):
    """The coordinator has the placement request, but has not placed it yet.

    No endpoint has room, or the request waits for a survey of the engines' caches.
    """

    number: int


class Decline(NamedTuple):
    """The coordinator does not place the request.

    ``reason`` is for the log: ``no endpoint``, ``queue full``, or ``leaving`` when it
    is draining. ``draining`` is set when it places no requests at all because it is
    stopping; only this field decides what the receiver does.
    """

    number: int
    reason: str
    draining: bool


class Refuse(NamedTuple):
    """The coordinator expects no endpoint to have room in time.

    Unlike after a ``Decline``, the gateway does not place the request itself.
    """

    number: int
    reason: str
    retry_after_s: float


class Started(NamedTuple):
    """The first event of a granted request, and the time from its sending to then.

    ``streamed`` is set if it was an event of a stream and no complete response, whose
    time would contain the decode.
    """

    sender: Sender
    number: int
    first_event_ms: float
    streamed: bool = False


class Ended(NamedTuple):
    """The end of a request at its endpoint, or the withdrawal of a placement request.

    ``success`` is set when the response was complete. ``failure_weight`` is the weight
    of a failure that the endpoint itself caused, 0 if there was none. ``fault`` is what
    the circuit breaker of the endpoint counts. It is sent only if it does not follow
    from the weight: ``default_fault``. A coordinator of an earlier version drops such a
    message and learns of the end from the next report.
    """

    sender: Sender
    number: int
    success: bool
    failure_weight: float
    fault: Fault = Fault.NONE


class InFlightRequest(NamedTuple):
    """A request that a gateway has in flight at an engine.

    ``gap_sensitive_tokens`` is the expected length of a gap-sensitive response, 0 for
    any other. ``started`` is set once the first event has arrived. ``lag`` tells
    how far a gap-tolerant stream lags behind the pace that it needs (``StreamPace``),
    0 if that is not known. ``step_ms`` is the shortest decode step of the stream since
    the last report (``StepTimer``), 0 if there was none.
    """

    number: int
    endpoint: str
    prefill_ms: float
    gap_sensitive_tokens: int
    started: bool
    lag: float = 0.0
    step_ms: float = 0.0


class Report(NamedTuple):
    """All requests for engines that a gateway has in flight or pending.

    ``pending`` has the numbers of all its pending placement requests, also of those at
    other coordinators than the receiver.
    """

    sender: Sender
    in_flight: tuple[InFlightRequest, ...]
    pending: tuple[int, ...]


class CrashNews(NamedTuple):
    """Facts about crashes of endpoints, as rows of ``encode_fact``.

    The fields of the rows are checked where they are merged.
    """

    rows: list[Any]


class Stated(NamedTuple):
    """What an endpoint has said of itself in an answer to some gateway."""

    endpoint: str
    statement: EndpointStatement


class StreamBegan(NamedTuple):
    """The software version that began a stream, told to those who are asked for it."""

    key: str
    software_version: str


class RecallStream(NamedTuple):
    """The question which software version began a stream."""

    sender: Sender
    number: int
    key: str


class StreamRecalled(NamedTuple):
    """The answer to ``RecallStream``; ``software_version`` is None if not known."""

    number: int
    software_version: str | None


Message = (
    Submit
    | Grant
    | Queued
    | Decline
    | Refuse
    | Started
    | Ended
    | Report
    | CrashNews
    | Stated
    | StreamBegan
    | RecallStream
    | StreamRecalled
)

SubmittedMessage = (
    Submit
    | Started
    | Ended
    | Report
    | CrashNews
    | Stated
    | StreamBegan
    | RecallStream
    | StreamRecalled
)

REPLY_KINDS = {Grant: "grant", Queued: "hold", Decline: "decline", Refuse: "refuse"}


def _encode_request(request: PlacementRequest, now_s: float) -> list[Any]:
    profile = request.profile
    times = (
        request.arrival_s,
        request.objective_s,
        request.end_s,
        request.deadline_s,
        request.last_start_s,
    )
    return [
        request.service,
        profile.data_centre,
        [[part.identifier, part.tokens] for part in profile.parts],
        profile.prompt_tokens,
        profile.body_bytes,
        profile.gap_tolerant,
        profile.long_prompt,
        request.tier,
        request.route_tier,
        [round((time_s - now_s) * MS_PER_S, 1) for time_s in times],
        request.streams,
        request.gap_sensitive_tokens,
        sorted(request.excluded),
        sorted(request.regions),
        request.expected_tokens,
        request.refusable,
        request.cell_name,
        request.spare_attempts,
        request.runs_once,
        request.team[:MAX_NAME_LENGTH],
        request.route[:MAX_NAME_LENGTH],
        request.software_version,
    ]


def _decode_request(fields: list[Any], now_s: float) -> PlacementRequest:
    (
        service,
        data_centre,
        parts,
        prompt_tokens,
        body_bytes,
        gap_tolerant,
        long_prompt,
        tier,
        route_tier,
    ) = fields[:9]
    offsets_ms, streams, gap_sensitive_tokens, excluded, regions = fields[9:14]
    # Gateways of earlier versions do not send the expected tokens.
    expected_tokens = fields[14] if len(fields) > 14 else 1
    refusable = fields[15] if len(fields) > 15 else False
    cell_name = fields[16] if len(fields) > 16 else ""
    # Without these the request is neither a probe of a failing endpoint nor refused.
    spare_attempts = fields[17] if len(fields) > 17 else 0
    runs_once = fields[18] if len(fields) > 18 else False
    team = _name(fields[19]) if len(fields) > 19 else ""
    route = _name(fields[20]) if len(fields) > 20 else ""
    # Without a version any endpoint may be granted, and the gateway checks the grant.
    software_version = fields[21] if len(fields) > 21 else None
    times = [now_s + _finite(offset_ms) / MS_PER_S for offset_ms in offsets_ms]
    arrival_s, objective_s, end_s, deadline_s, last_start_s = times
    prompt_parts = tuple(
        PromptPart(str(identifier), int(tokens)) for identifier, tokens in parts
    )
    return PlacementRequest(
        service=str(service),
        profile=RequestProfile(
            str(data_centre),
            prompt_parts,
            int(prompt_tokens),
            int(body_bytes),
            bool(gap_tolerant),
            bool(long_prompt),
        ),
        tier=int(tier),
        route_tier=int(route_tier),
        arrival_s=arrival_s,
        objective_s=objective_s,
        end_s=end_s,
        deadline_s=deadline_s,
        last_start_s=last_start_s,
        streams=bool(streams),
        gap_sensitive_tokens=int(gap_sensitive_tokens),
        excluded=frozenset(map(str, excluded)),
        regions=frozenset(map(str, regions)),
        expected_tokens=int(expected_tokens),
        refusable=bool(refusable),
        cell_name=str(cell_name),
        spare_attempts=int(spare_attempts),
        runs_once=bool(runs_once),
        team=team,
        route=route,
        software_version=None if software_version is None else _name(software_version),
    )


def _name(value: Any) -> str:
    """Return a name of a message.

    Raises
    ------
    TypeError, ValueError
        When it is not a text, or too long.
    """
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a name")
    if len(value) > MAX_NAME_LENGTH:
        raise ValueError(f"a name of {len(value)} characters")
    return value


def _stream_key(value: Any) -> str:
    """Return the key of a stream in a message.

    Raises
    ------
    TypeError, ValueError
        When it is not a text, empty or too long.
    """
    key = _name(value)
    if not 0 < len(key) <= MAX_STREAM_KEY_LENGTH:
        raise ValueError(f"the key of a stream has {len(key)} characters")
    return key


def _finite(value: Any) -> float:
    """Return a number of a message.

    Raises
    ------
    TypeError, ValueError
        When it is not a finite number.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not finite")
    return number


def _decode_sender(fields: list[Any]) -> Sender:
    name, incarnation = fields
    return Sender(str(name), int(incarnation))


def _decode_in_flight(fields: list[Any]) -> InFlightRequest:
    number, endpoint, prefill_ms, gap_sensitive_tokens, started = fields[:5]
    # Gateways of earlier versions do not send the lag.
    lag = fields[5] if len(fields) > 5 else 0.0
    step_ms = fields[6] if len(fields) > 6 else 0.0
    return InFlightRequest(
        int(number),
        str(endpoint),
        _finite(prefill_ms),
        int(gap_sensitive_tokens),
        bool(started),
        max(0.0, _finite(lag)),
        max(0.0, _finite(step_ms)),
    )


def _decode_model(fields: list[Any]) -> EngineModel:
    """Return the engine model of a message.

    Raises
    ------
    TypeError, ValueError
        When figures are missing or out of bounds.
    """
    model = EngineModel(*(_finite(figure) for figure in fields[:4]))
    if not is_valid_model(model):
        raise ValueError(f"engine model {fields!r} is out of bounds")
    return model


def _decode_reply(
    kind: str, fields: list[Any]
) -> Grant | Queued | Decline | Refuse | None:
    """Return the message of a coordinator, or None if it is of another kind."""
    if kind == "grant":
        number, endpoint, cost_ms, backlog_ms, prefill_ms, cached, reserved = fields[:7]
        # Coordinators of earlier versions do not send the slowness.
        slowness = fields[7] if len(fields) > 7 else 1.0
        model = _decode_model(fields[8]) if len(fields) > 8 else NOMINAL_MODEL
        return Grant(
            int(number),
            str(endpoint),
            _finite(cost_ms),
            _finite(backlog_ms),
            _finite(prefill_ms),
            int(cached),
            bool(reserved),
            _finite(slowness),
            model,
        )
    if kind == "hold":
        (number,) = fields
        return Queued(int(number))
    if kind == "decline":
        number, reason, draining = fields
        return Decline(int(number), str(reason), bool(draining))
    if kind == "refuse":
        number, reason, retry_after_s = fields
        return Refuse(int(number), str(reason), max(0.0, _finite(retry_after_s)))
    return None


def _decode_stated(fields: list[Any], now_s: float) -> Stated:
    # Later versions may send more statements.
    endpoint, started_at_ms, age_ms, limit_per_s = fields[:4]
    leaving = fields[4] if len(fields) > 4 else False
    if limit_per_s is not None and not is_valid_limit(_finite(limit_per_s)):
        raise ValueError(f"limit of {limit_per_s!r} requests a second")
    statement = EndpointStatement(
        started_at_ms=int(started_at_ms),
        said_s=now_s - max(0.0, _finite(age_ms)) / 1000,
        limit_per_s=None if limit_per_s is None else float(limit_per_s),
        leaving=bool(leaving),
    )
    return Stated(str(endpoint), statement)


def _decode_submission(
    kind: str, fields: list[Any], now_s: float
) -> SubmittedMessage | None:
    """Return the message to a coordinator or peer, or None if it is of another kind."""
    if kind == "crash":
        (rows,) = fields
        if not isinstance(rows, list):
            raise TypeError("rows of crash news are not a list")
        return CrashNews(rows)
    if kind == "said":
        return _decode_stated(fields, now_s)
    if kind == "began":
        key, version = fields
        return StreamBegan(_stream_key(key), _name(version))
    if kind == "recalled":
        number, version = fields
        return StreamRecalled(int(number), None if version is None else _name(version))
    sender = _decode_sender(fields[0])
    if kind == "ask":
        number, request = fields[1:]
        return Submit(sender, int(number), _decode_request(request, now_s))
    if kind == "recall":
        number, key = fields[1:]
        return RecallStream(sender, int(number), _stream_key(key))
    if kind == "start":
        number, first_event_ms = fields[1:3]
        # Gateways of earlier versions do not send whether it was streamed.
        streamed = bool(fields[3]) if len(fields) > 3 else False
        return Started(sender, int(number), _finite(first_event_ms), streamed)
    if kind == "end":
        number, success, failure_weight, *rest = fields[1:]
        weight = _finite(failure_weight)
        if not 0 <= weight <= 1:
            raise ValueError(f"failure weight of {weight!r}")
        fault = Fault(rest[0]) if rest else default_fault(weight)
        return Ended(sender, int(number), bool(success), weight, fault)
    if kind == "work":
        in_flight, pending = fields[1:]
        return Report(
            sender,
            tuple(_decode_in_flight(request) for request in in_flight),
            tuple(int(number) for number in pending),
        )
    return None


def encode(message: Message, now_s: float) -> bytes:
    """Return the datagram of a message that is sent at ``now_s``."""
    if isinstance(message, Submit):
        fields = [message.number, _encode_request(message.request, now_s)]
        return orjson.dumps(["ask", list(message.sender), *fields])
    if isinstance(message, Report):
        in_flight = [list(request) for request in message.in_flight]
        return orjson.dumps(["work", list(message.sender), in_flight, message.pending])
    if isinstance(message, StreamBegan):
        return orjson.dumps(["began", *message])
    if isinstance(message, RecallStream):
        fields = [message.number, message.key]
        return orjson.dumps(["recall", list(message.sender), *fields])
    if isinstance(message, StreamRecalled):
        return orjson.dumps(["recalled", *message])
    if isinstance(message, CrashNews):
        return orjson.dumps(["crash", message.rows])
    if isinstance(message, Stated):
        started_at_ms, said_s, *statements = message.statement
        age_ms = round((now_s - said_s) * 1000, 3)
        return orjson.dumps(
            ["said", message.endpoint, started_at_ms, age_ms, *statements]
        )
    if isinstance(message, Started):
        fields = [message.number, round(message.first_event_ms), message.streamed]
        return orjson.dumps(["start", list(message.sender), *fields])
    if isinstance(message, Ended):
        fields = [message.number, message.success, message.failure_weight]
        if message.fault is not default_fault(message.failure_weight):
            fields.append(message.fault)
        return orjson.dumps(["end", list(message.sender), *fields])
    kind = REPLY_KINDS[type(message)]
    if isinstance(message, Grant):
        learned = message.model != NOMINAL_MODEL
        models = [list(message.model)] if learned else []
        return orjson.dumps([kind, *message[:-1], *models])
    return orjson.dumps([kind, *message])


def decode(data: bytes, now_s: float) -> Message:
    """Return the message of a datagram that was received at ``now_s``.

    Raises
    ------
    MalformedMessageError
        When the bytes are not a JSON array, its kind is unknown or fields are wrong.
    """
    try:
        kind, *fields = orjson.loads(data)
        message = _decode_reply(kind, fields) or _decode_submission(kind, fields, now_s)
    except (IndexError, OverflowError, TypeError, ValueError) as error:
        raise MalformedMessageError(repr(error)) from error
    if message is None:
        raise MalformedMessageError(f"unknown message kind {kind!r}")
    return message
