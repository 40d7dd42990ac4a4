"""Datagrams between an entry and a coordinator, as JSON arrays.

Any of them may be lost or come twice: questions are asked again until they
are answered, and the report of open work heals what else was missed. Times
travel as milliseconds from the sending, since clocks differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import orjson

from shallotroad.gateway.coordination.exceptions import MalformedMessageError
from shallotroad.platform.headers import PromptPart
from shallotroad.policy.placement import RequestProfile
from shallotroad.policy.placement_request import PlacementRequest


if TYPE_CHECKING:
    from typing import Any

MS_PER_S = 1000.0


class Sender(NamedTuple):
    """The process that sent a message."""

    name: str
    incarnation: int


class Submit(NamedTuple):
    """An entry asks for an endpoint."""

    sender: Sender
    number: int
    request: PlacementRequest


class Grant(NamedTuple):
    """A coordinator names the endpoint for a question, and what decided."""

    number: int
    endpoint: str
    cost_ms: float
    backlog_ms: float
    prefill_ms: float
    cached_tokens: int
    reserved: bool


class Queued(NamedTuple):
    """A coordinator has the question and no room yet."""

    number: int


class Decline(NamedTuple):
    """A coordinator does not place the question; one that leaves, no other."""

    number: int
    reason: str
    draining: bool


class Started(NamedTuple):
    """A granted request has begun to answer, so long after it was sent."""

    sender: Sender
    number: int
    first_event_ms: float


class Ended(NamedTuple):
    """A request has ended, or is not asked for any more.

    ``success`` tells of a whole answer; ``failure`` is the weight of the
    endpoint's own failure.
    """

    sender: Sender
    number: int
    success: bool
    failure: float


class InFlightRequest(NamedTuple):
    """One request of an entry at an engine."""

    number: int
    endpoint: str
    prefill_ms: float
    gap_sensitive_tokens: int
    started: bool


class Report(NamedTuple):
    """All open work of an entry, and the numbers of its open questions."""

    sender: Sender
    in_flight: tuple[InFlightRequest, ...]
    pending: tuple[int, ...]


Message = Submit | Grant | Queued | Decline | Started | Ended | Report


def _request_to_row(request: PlacementRequest, now_s: float) -> list[Any]:
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
    ]


def _row_to_request(row: list[Any], now_s: float) -> PlacementRequest:
    (
        service,
        centre,
        parts,
        tokens,
        size,
        gap_tolerant,
        long_prompt,
        tier,
        route_tier,
    ) = row[:9]
    offsets, streams, gap_sensitive_tokens, excluded, regions = row[9:]
    times = [now_s + float(offset) / MS_PER_S for offset in offsets]
    arrival_s, objective_s, end_s, deadline_s, last_start_s = times
    prompt_parts = tuple(PromptPart(str(name), int(size)) for name, size in parts)
    return PlacementRequest(
        service=service,
        profile=RequestProfile(
            centre, prompt_parts, tokens, size, gap_tolerant, long_prompt
        ),
        tier=tier,
        route_tier=route_tier,
        arrival_s=arrival_s,
        objective_s=objective_s,
        end_s=end_s,
        deadline_s=deadline_s,
        last_start_s=last_start_s,
        streams=streams,
        gap_sensitive_tokens=gap_sensitive_tokens,
        excluded=frozenset(excluded),
        regions=frozenset(regions),
    )


def encode(message: Message, now_s: float) -> bytes:
    """Return a datagram; ``now_s`` is the time of the sending."""
    if isinstance(message, Submit):
        row = [message.number, _request_to_row(message.request, now_s)]
        return orjson.dumps(["ask", list(message.sender), *row])
    if isinstance(message, Report):
        in_flight = [list(w) for w in message.in_flight]
        return orjson.dumps(["work", list(message.sender), in_flight, message.pending])
    if isinstance(message, Started):
        row = [message.number, round(message.first_event_ms)]
        return orjson.dumps(["start", list(message.sender), *row])
    if isinstance(message, Ended):
        row = [message.number, message.success, message.failure]
        return orjson.dumps(["end", list(message.sender), *row])
    kind = {Grant: "grant", Queued: "hold", Decline: "decline"}[type(message)]
    return orjson.dumps([kind, *message])


def decode(data: bytes, now_s: float) -> Message:
    """Decode a datagram that was received at ``now_s``.

    Raises
    ------
    MalformedMessageError
        When it is no message of this protocol.
    """
    try:
        kind, *row = orjson.loads(data)
        if kind == "grant":
            return Grant(*row)
        if kind == "hold":
            return Queued(*row)
        if kind == "decline":
            return Decline(*row)
        sender = Sender(*row[0])
        if kind == "ask":
            return Submit(sender, row[1], _row_to_request(row[2], now_s))
        if kind == "start":
            return Started(sender, *row[1:])
        if kind == "end":
            return Ended(sender, *row[1:])
        if kind == "work":
            return Report(
                sender, tuple(InFlightRequest(*w) for w in row[1]), tuple(row[2])
            )
    except (IndexError, TypeError, ValueError) as error:
        raise MalformedMessageError(repr(error)) from error
    raise MalformedMessageError(f"kind {kind!r} is not known")
