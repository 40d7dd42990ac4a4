"""Authenticates and validates callers' requests and assigns each its class.

A team has several classes of chat requests. The class decides the tier, the target for
the time to first token, the wait budget and whether the request is preemptible; unless
the caller names one, it follows from the model and ``max_tokens``.
"""

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
    """Fields of a chat completion request that routing needs.

    ``continuable`` tells whether another endpoint can continue a broken response
    from the text delivered so far: it is streamed, has one choice and no tools.
    ``prompt`` is the JSON text of the messages.
    """

    model: str
    max_tokens: int | None
    stream: bool
    continuable: bool
    prompt: str


def _invalid_request(detail: str, code: str = "invalid_request") -> BadRequestError:
    return BadRequestError(status=400, code=code, detail=detail)


def authenticate(authorization: str, fleet: FleetConfig) -> Team:
    """Return the team of the API key in an ``Authorization`` header.

    Raises
    ------
    BadRequestError
        When there is no bearer key or it is unknown.
    """
    scheme, _, api_key = authorization.partition(" ")
    digest = hashlib.sha256(api_key.strip().encode()).hexdigest()
    team_name = fleet.team_by_key.get(digest)
    if scheme.lower() == "bearer" and team_name is not None:
        return fleet.teams[team_name]
    raise BadRequestError(
        status=401,
        code="invalid_api_key",
        detail="send your team's key as 'Authorization: Bearer KEY'",
    )


def _read_json(body: bytes) -> dict[str, Any]:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        raise _invalid_request("the body is not JSON") from None
    if not isinstance(data, dict):
        raise _invalid_request("the body must be a JSON object")
    return data


def _check_messages(messages: Any) -> None:
    """Check that ``messages`` is a list of 1 to ``MAX_MESSAGES`` objects with a role.

    The role may be any string; the rest of a message is not checked. Raises
    ``BadRequestError``.
    """
    if not isinstance(messages, list) or not messages:
        raise _invalid_request("'messages' must be a list with at least one message")
    if len(messages) > MAX_MESSAGES:
        raise _invalid_request(f"'messages' holds more than {MAX_MESSAGES} messages")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _invalid_request(f"'messages[{index}]' needs a 'role'")


def _read_max_tokens(data: dict[str, Any]) -> int | None:
    """Return the token limit of a chat request; None if it has none.

    ``max_completion_tokens``, if present, takes precedence over ``max_tokens``. Raises
    ``BadRequestError`` unless the limit is an integer above 0.
    """
    value = data.get("max_completion_tokens", data.get("max_tokens"))
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise _invalid_request("'max_tokens' must be a whole number above 0")
    return value


def read_chat(body: bytes) -> ChatRequest:
    """Check a chat completion body and return what routing needs.

    Raises
    ------
    BadRequestError
        When the body is malformed; its detail names the invalid field.
    """
    data = _read_json(body)
    model = data.get("model")
    if not isinstance(model, str) or not model:
        raise _invalid_request("'model' must name a model")
    messages = data.get("messages")
    _check_messages(messages)
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        raise _invalid_request("'stream' must be true or false")
    single_choice = data.get("n") in (None, 1) and not data.get("tools")
    prompt = json.dumps(messages, ensure_ascii=False)
    return ChatRequest(
        model=model,
        max_tokens=_read_max_tokens(data),
        stream=stream,
        continuable=stream and single_choice,
        prompt=prompt,
    )


def choose_class(team: Team, chat: ChatRequest, requested_class: str) -> RequestClass:
    """Return the class of a chat request.

    Without a class named by the caller, it is the class of the model with the
    lowest ``max_tokens`` that suffices, or the highest if the request has no limit.
    A named class must serve the model too, and its ``max_tokens`` must suffice; a
    request without a limit fits any class that serves its model.

    Parameters
    ----------
    team : Team
        The caller's team.
    chat : ChatRequest
        Validated request.
    requested_class : str
        Class named in the caller's ``X-Request-Class`` header, or empty.

    Raises
    ------
    BadRequestError
        When the team has no class for the request, or the named one does not fit.
    """
    fitting = [c for c in team.classes if chat.model in c.models]
    if not fitting:
        raise BadRequestError(
            status=404,
            code="model_not_found",
            detail=f"your team has no class for model {chat.model!r}",
        )
    if requested_class:
        fitting = [c for c in fitting if c.name == requested_class]
        if not fitting:
            raise _invalid_request(
                f"your team has no class {requested_class!r} for this model"
            )
    fitting.sort(key=lambda c: c.max_tokens)
    if chat.max_tokens is None:
        return fitting[-1]
    for request_class in fitting:
        if chat.max_tokens <= request_class.max_tokens:
            return request_class
    raise _invalid_request(
        f"'max_tokens' is above {fitting[-1].max_tokens}, your team's most"
    )


def find_service(team: Team, name: str) -> TeamService:
    """Return a service of the team by its name.

    Raises
    ------
    BadRequestError
        When the team has no service of that name.
    """
    for service in team.services:
        if service.name == name:
            return service
    raise BadRequestError(
        status=404,
        code="service_not_found",
        detail=f"your team has no service {name!r}",
    )


def is_repeatable(service: TeamService, method: str, path: str) -> bool:
    """Return whether a call may run more than once.

    The first declared call with this method whose pattern matches ``path`` decides (see
    ``Call``); ``path`` has no query. A call that the configuration does not declare is
    repeatable only if its HTTP method is safe.
    """
    for call in service.calls:
        if call.method == method and fnmatch.fnmatchcase(path, call.path):
            return call.repeatable
    return method in SAFE_METHODS
