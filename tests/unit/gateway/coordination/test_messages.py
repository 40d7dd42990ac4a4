from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotroad.catalog.configuration import Team
from shallotroad.gateway.coordination.exceptions import MalformedMessageError
from shallotroad.gateway.coordination.messages import CrashNews
from shallotroad.gateway.coordination.messages import Decline
from shallotroad.gateway.coordination.messages import Ended
from shallotroad.gateway.coordination.messages import Grant
from shallotroad.gateway.coordination.messages import InFlightRequest
from shallotroad.gateway.coordination.messages import Message
from shallotroad.gateway.coordination.messages import Queued
from shallotroad.gateway.coordination.messages import Refuse
from shallotroad.gateway.coordination.messages import Report
from shallotroad.gateway.coordination.messages import Sender
from shallotroad.gateway.coordination.messages import Started
from shallotroad.gateway.coordination.messages import Submit
from shallotroad.gateway.coordination.messages import decode
from shallotroad.gateway.coordination.messages import encode
from tests.gateway_builders import make_gateway_job


SENDER = Sender("g1", 5)


@pytest.mark.parametrize(
    "message",
    [
        Grant(3, "e1", 1.5, 2.0, 3.0, 40, True),
        Queued(3),
        Decline(3, "leaving", True),
        Started(SENDER, 3, 120),
        Ended(SENDER, 3, False, 0.5),
        Report(SENDER, (InFlightRequest(1, "e1", 2.0, 0, True, 1.25),), (7, 8)),
        Refuse(3, "no room in time", 1.5),
        CrashNews([["proof", "g1:5:1", 40, "part"]]),
    ],
)
def test_decode_reverses_encode(message: Message) -> None:
    assert decode(encode(message, 10.0), 20.0) == message


def test_times_of_a_request_are_converted_to_the_receivers_clock() -> None:
    job = make_gateway_job(now_s=100.0)
    sent = Submit(SENDER, 1, job.placement_request(100.0, frozenset({"e9"})))
    received = decode(encode(sent, 100.5), 7.5)
    assert isinstance(received, Submit)
    assert received.request.arrival_s == 7.0
    assert received.request.objective_s == 7.5
    assert received.request.excluded == {"e9"}
    assert received.request.profile == sent.request.profile


@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode(data, 0.0)


@pytest.mark.parametrize(
    "data",
    [
        b"[]",
        b'["ask"]',
        b'["ask",["a",1],1,[]]',
        b'["grant",1]',
        b'["x",["a",1]]',
        b'["crash",3]',
    ],
)
def test_incomplete_messages_are_rejected(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode(data, 0.0)


def test_messages_of_the_version_before_are_understood() -> None:
    grant = decode(b'["grant",3,"e1",1.5,2.0,3.0,40,true]', 10.0)
    assert isinstance(grant, Grant)
    assert grant.slowness == 1.0
    report = decode(b'["work",["g1",5],[[1,"e1",2.0,0,true]],[7]]', 10.0)
    assert isinstance(report, Report)
    assert report.in_flight[0].lag == 0.0


def submit_row() -> list[Any]:
    request = make_gateway_job(now_s=100.0).placement_request(100.0)
    row: list[Any] = orjson.loads(encode(Submit(SENDER, 1, request), 100.0))
    return row


def test_the_team_and_the_route_of_a_request_are_sent() -> None:
    job = make_gateway_job(team=Team("clinic", frozenset({"key"}), None, frozenset()))
    sent = Submit(SENDER, 1, job.placement_request(100.0))
    received = decode(encode(sent, 100.0), 100.0)
    assert isinstance(received, Submit)
    assert (received.request.team, received.request.route) == ("clinic", "r1")


@pytest.mark.parametrize("length", [17, 19])
def test_a_request_of_the_version_before_has_no_team_and_no_route(length: int) -> None:
    row = submit_row()
    row[3] = row[3][:length]
    received = decode(orjson.dumps(row), 100.0)
    assert isinstance(received, Submit)
    assert (received.request.team, received.request.route) == ("", "")


@pytest.mark.parametrize("position", [19, 20], ids=["team", "route"])
@pytest.mark.parametrize("value", [None, 3, -1.5, True, ["a"], {"a": 1}, "x" * 257])
def test_a_name_that_is_no_short_text_is_rejected(position: int, value: Any) -> None:
    row = submit_row()
    row[3][position] = value
    with pytest.raises(MalformedMessageError):
        decode(orjson.dumps(row), 100.0)


def test_a_long_name_of_the_configuration_is_cut_and_not_lost() -> None:
    team = Team("t" * 900, frozenset({"key"}), None, frozenset())
    sent = Submit(SENDER, 1, make_gateway_job(team=team).placement_request(100.0))
    received = decode(encode(sent, 100.0), 100.0)
    assert isinstance(received, Submit)
    assert received.request.team == "t" * 256


@pytest.mark.parametrize("delay", ["1e999", "-1", '"soon"', "null", "NaN"])
def test_an_absurd_delay_of_a_refusal_is_rejected_or_none(delay: str) -> None:
    data = f'["refuse",3,"no room in time",{delay}]'.encode()
    try:
        message = decode(data, 0.0)
    except MalformedMessageError:
        return
    assert message == Refuse(3, "no room in time", 0.0)
