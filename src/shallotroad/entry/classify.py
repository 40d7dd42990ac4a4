"""Which class of its team a request belongs to."""

from __future__ import annotations

import fnmatch
import hashlib
import json
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.entry.exceptions import BadRequestError


if TYPE_CHECKING:
    from shallotroad.config.fleet_config import FleetConfig
    from shallotroad.config.fleet_config import RequestClass
    from shallotroad.config.fleet_config import Team
    from shallotroad.config.fleet_config import TeamService

MAX_MESSAGES = 2_000
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class ChatRequest(NamedTuple):
    """The parts of a chat completion request that routing needs."""

    model: str
    max_tokens: int | None
    stream: bool
    continuable: bool
    prompt: str


def _bad(detail: str, code: str = "invalid_request") -> BadRequestError:
    return BadRequestError(status=400, code=code, detail=detail)


def authenticate(authorization: str, fleet: FleetConfig) -> Team:
    """Return the team that a bearer key belongs to.

    Raises
    ------
    BadRequestError
        When there is no key or it is not known.
    """
    scheme, _, key = authorization.partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    name = fleet.team_by_key.get(digest)
    if scheme.lower() == "bearer" and name is not None:
        return fleet.teams[name]
    raise BadRequestError(
        status=401,
        code="invalid_api_key",
        detail="send your team's key as 'Authorization: Bearer KEY'",
    )


def _read_json(body: bytes) -> dict[str, Any]:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        raise _bad("the body is not JSON") from None
    if not isinstance(data, dict):
        raise _bad("the body must be a JSON object")
    return data


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not messages:
        raise _bad("'messages' must be a list with at least one message")
    if len(messages) > MAX_MESSAGES:
        raise _bad(f"'messages' holds more than {MAX_MESSAGES} messages")
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _bad(f"'messages[{number}]' needs a 'role'")


def _read_max_tokens(data: dict[str, Any]) -> int | None:
    value = data.get("max_completion_tokens", data.get("max_tokens"))
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise _bad("'max_tokens' must be a whole number above 0")
    return value


def read_chat(body: bytes) -> ChatRequest:
    """Check a chat completion body and return what routing needs.

    Raises
    ------
    BadRequestError
        Saying which field is wrong.
    """
    data = _read_json(body)
    model = data.get("model")
    if not isinstance(model, str) or not model:
        raise _bad("'model' must name a model")
    messages = data.get("messages")
    _check_messages(messages)
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad("'stream' must be true or false")
    single = data.get("n") in (None, 1) and not data.get("tools")
    prompt = json.dumps(messages, ensure_ascii=False)
    return ChatRequest(
        model=model,
        max_tokens=_read_max_tokens(data),
        stream=stream,
        continuable=stream and single,
        prompt=prompt,
    )


def choose_class(team: Team, chat: ChatRequest, asked: str) -> RequestClass:
    """Return the class of a chat request.

    Parameters
    ----------
    team : Team
        The caller's team.
    chat : ChatRequest
        The request.
    asked : str
        Class that the caller asks for by header; may be empty.

    Raises
    ------
    BadRequestError
        When the team has no class for the request.
    """
    fitting = [c for c in team.classes if chat.model in c.models]
    if not fitting:
        raise BadRequestError(
            status=404,
            code="model_not_found",
            detail=f"your team has no class for model {chat.model!r}",
        )
    if asked:
        fitting = [c for c in fitting if c.name == asked]
        if not fitting:
            raise _bad(f"your team has no class {asked!r} for this model")
    fitting.sort(key=lambda c: c.max_tokens)
    if chat.max_tokens is None:
        return fitting[-1]
    for item in fitting:
        if chat.max_tokens <= item.max_tokens:
            return item
    raise _bad(f"'max_tokens' is above {fitting[-1].max_tokens}, your team's most")


def find_service(team: Team, name: str) -> TeamService:
    """Return a service of the team.

    Raises
    ------
    BadRequestError
        When the team may not use it.
    """
    for service in team.services:
        if service.name == name:
            return service
    raise BadRequestError(
        status=404,
        code="service_not_found",
        detail=f"your team has no service {name!r}",
    )


def call_repeatable(service: TeamService, method: str, path: str) -> bool:
    """Tell whether a call may be run again.

    A call that is not declared may be repeated only when its method is safe.
    """
    for call in service.calls:
        if call.method == method and fnmatch.fnmatchcase(path, call.path):
            return call.repeatable
    return method in SAFE_METHODS
