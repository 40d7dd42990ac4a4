from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.catalog.catalog import Catalog
from shallotroad.catalog.configuration import Configuration
from shallotroad.catalog.configuration import EngineCapacity
from shallotroad.catalog.configuration import Limits
from shallotroad.catalog.configuration import Route
from shallotroad.catalog.configuration import RouteKind
from shallotroad.catalog.configuration import Service
from shallotroad.catalog.configuration import Target
from shallotroad.catalog.configuration import Team
from shallotroad.catalog.endpoint import EndpointRecord
from shallotroad.gateway.admission import Admission
from shallotroad.gateway.endpoint_registry import EndpointRegistry
from shallotroad.gateway.engine_models import EngineModels
from shallotroad.gateway.job import Job
from shallotroad.platform.headers import CallerRequest
from shallotroad.platform.headers import PromptPart
from shallotroad.policy.endpoint_load import EndpointLoad
from shallotroad.policy.endpoint_rate import make_cold_start_limiter
from shallotroad.policy.endpoint_rate import make_stated_limit_limiter


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from shallotroad.policy.cells import Cell

ENGINE = EngineCapacity(
    batch_slots=64, kv_cache_tokens=500_000, tokens_per_event=4, event_waiters=12
)
GATEWAYS = ("entry-1", "entry-2", "entry-3")


class Clock:
    """A clock whose time the test sets, in seconds."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def make_record(identifier: str = "e1", **changes: Any) -> EndpointRecord:
    record = EndpointRecord(
        identifier=identifier,
        service="chat",
        host="127.0.0.1",
        port=9000,
        data_centre="a",
        slots=64,
        draining=False,
        cold_remaining_ms=0.0,
        started_at_ms=1,
    )
    return record._replace(**changes)


def make_route(**changes: Any) -> Route:
    route = Route(
        name="r1",
        host="clinic.example",
        path_prefix="/chat/",
        kind=RouteKind.STREAM,
        timeout_ms=10_000,
        objective_ms=500,
        max_attempts=1,
        tier=0,
        targets=(Target("chat", 1.0),),
        public=False,
        regions=frozenset(),
        resumable=False,
        max_event_gap_ms=250,
    )
    return route._replace(**changes)


GAP_TOLERANT_ROUTE = {
    "name": "r2",
    "path_prefix": "/guide/",
    "objective_ms": 2500,
    "tier": 2,
}


def make_gap_tolerant_route(**changes: Any) -> Route:
    return make_route(**{**GAP_TOLERANT_ROUTE, "max_event_gap_ms": 1000, **changes})


def make_service(**changes: Any) -> Service:
    service = Service(
        name="chat",
        health_path="/healthz",
        max_connections=300,
        cold_start_s=3.0,
        cold_requests_per_s=6.0,
        engine=ENGINE,
    )
    return service._replace(**changes)


def make_configuration(version: int = 1, **changes: Any) -> Configuration:
    values: dict[str, Any] = {
        "version": version,
        "routes": (make_route(), make_gap_tolerant_route()),
        "services": (make_service(),),
        "limits": Limits(),
        "teams": (Team("clinic", frozenset({"key"}), None, frozenset()),),
    }
    return Configuration(**{**values, **changes})


def make_request(**changes: Any) -> CallerRequest:
    request = CallerRequest(
        request_id="q1",
        method="POST",
        host="clinic.example",
        target="/chat/1",
        deadline_ms=10_000.0,
        api_key="key",
        model="m",
        prompt_tokens=1000,
        max_output_tokens=200,
        expected_output_tokens=100,
        prompt_parts=(PromptPart("shared", 300), PromptPart("own", 700)),
        last_event_id="",
        resumes="",
        expects_continue=False,
        forwarded=(),
    )
    return request._replace(**changes)


def make_gateway_job(
    *, route: Route | None = None, now_s: float = 100.0, **changes: Any
) -> Job:
    route = route or make_route()
    values: dict[str, Any] = {
        "request": make_request(),
        "body": b"x" * 1000,
        "route": route,
        "service": make_service(),
        "team": None,
        "data_centre": "a",
        "arrival_s": now_s,
        "version": 1,
        "gap_tolerant": route.max_event_gap_ms >= 500,
    }
    return Job(**{**values, **changes})


def make_prompt_request(
    shared_part: str, shared_tokens: int, own_part: str, own_tokens: int
) -> CallerRequest:
    return make_request(
        request_id=own_part,
        prompt_parts=(
            PromptPart(shared_part, shared_tokens),
            PromptPart(own_part, own_tokens),
        ),
        prompt_tokens=shared_tokens + own_tokens,
    )


def make_long_prompt_job(
    shared_part: str, own_part: str, now_s: float, **changes: Any
) -> Job:
    request = make_prompt_request(shared_part, 13_000, own_part, 4_000)
    return make_gateway_job(
        route=make_gap_tolerant_route(), now_s=now_s, request=request, **changes
    )


def make_load(identifier: str = "e1", **changes: Any) -> EndpointLoad:
    return EndpointLoad(record=make_record(identifier, **changes), now_s=100.0)


class AdmissionFixture(NamedTuple):
    """The admission of one gateway with its components, on a clock set by the test."""

    clock: Clock
    endpoint_registry: EndpointRegistry
    catalog: Catalog
    admission: Admission
    engine_models: EngineModels


def make_admission_fixture(
    endpoints: int = 6,
    *,
    name: str = "entry-1",
    clock: Clock | None = None,
    rate_sharers: Callable[[Cell], Sequence[str]] | None = None,
    **record: Any,
) -> AdmissionFixture:
    clock = clock or Clock()
    closed: set[str] = set()
    endpoint_registry = EndpointRegistry(
        clock=clock, regions={"a": "r", "b": "r"}, closed=closed
    )
    catalog = Catalog(
        on_endpoint_updated=endpoint_registry.put,
        on_endpoint_removed=endpoint_registry.remove,
        closed_data_centres=closed,
    )
    admission = Admission(
        endpoint_registry=endpoint_registry,
        catalog=catalog,
        cold_start=make_cold_start_limiter(name),
        stated_limits=make_stated_limit_limiter(name),
        rate_sharers=rate_sharers or (lambda _: [name]),
        prefix_reuse_s=10.0,
        clock=clock,
    )
    catalog.adopt_configuration(make_configuration())
    for number in range(endpoints):
        catalog.put_endpoint(make_record(f"e{number}", port=9000 + number, **record))
    engine_models = EngineModels(
        endpoint_registry=endpoint_registry,
        has_engine=lambda service: catalog.service(service).engine is not None,
        clock=clock,
    )
    engine_models.on_changed = admission.rescale_prefills
    return AdmissionFixture(clock, endpoint_registry, catalog, admission, engine_models)


def make_rng() -> random.Random:
    return random.Random(1)
