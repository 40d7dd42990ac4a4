from __future__ import annotations

from collections import Counter

from shallotroad.catalog.configuration import Target
from tests.gateway_builders import make_configuration
from tests.gateway_builders import make_gap_tolerant_route
from tests.gateway_builders import make_route
from tests.gateway_builders import make_service


def test_longest_matching_prefix_of_the_host_is_chosen() -> None:
    routes = (
        make_route(name="short", path_prefix="/a/"),
        make_route(name="long", path_prefix="/a/b/"),
    )
    configuration = make_configuration(routes=routes)
    found = configuration.match_route("clinic.example", "/a/b/c")
    assert found is not None
    assert found.name == "long"
    assert configuration.match_route("clinic.example", "/b/") is None
    assert configuration.match_route("other.example", "/a/b/c") is None


def test_requests_are_split_by_weight_and_keep_their_service() -> None:
    route = make_route(targets=(Target("chat", 90), Target("new", 10)))
    configuration = make_configuration(
        services=(make_service(), make_service(name="new"))
    )
    counts = Counter(
        configuration.choose_service(route, f"q{n}").name for n in range(2000)
    )
    assert 120 < counts["new"] < 280
    assert configuration.choose_service(route, "q1") == configuration.choose_service(
        route, "q1"
    )


def test_routes_with_far_higher_event_gap_limits_are_gap_tolerant() -> None:
    configuration = make_configuration()
    assert configuration.is_gap_tolerant(make_gap_tolerant_route(), "chat")
    assert not configuration.is_gap_tolerant(make_route(), "chat")
    guide_only = make_configuration(routes=(make_gap_tolerant_route(),))
    assert not guide_only.is_gap_tolerant(make_gap_tolerant_route(), "chat")
