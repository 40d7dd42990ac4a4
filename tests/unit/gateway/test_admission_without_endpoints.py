"""The last endpoint of a service goes away while its requests wait in the queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from shallotroad.gateway.exceptions import RefusedError
from shallotroad.policy.cells import Cell
from tests.gateway_builders import make_admission_fixture
from tests.gateway_builders import make_configuration
from tests.gateway_builders import make_gateway_job
from tests.gateway_builders import make_record
from tests.gateway_builders import make_route
from tests.gateway_builders import make_service


if TYPE_CHECKING:
    from shallotroad.gateway.admission import Admission
    from shallotroad.policy.placement import Placement
    from shallotroad.policy.placement_request import PlacementRequest

PLAIN = make_service(name="plain", engine=None)
OTHER = make_service(name="other", engine=None)


def make_request(service: str) -> PlacementRequest:
    """Return a request with prompt parts for a service without engines."""
    job = make_gateway_job(route=make_route(), service=make_service(name=service))
    return job.placement_request(100.0)._replace(cell_name=Cell(service).name)


def submit(admission: Admission, service: str) -> list[Placement]:
    """Submit a request; return the list that receives its placements."""
    placements: list[Placement] = []
    admission.submit(make_request(service), placements.append, lambda _: None)
    return placements


async def test_a_request_for_a_service_without_endpoints_is_refused() -> None:
    """Guards against status 500 where no endpoint of a plain service is left."""
    fixture = make_admission_fixture(endpoints=0)
    fixture.catalog.adopt_configuration(make_configuration(2, services=(PLAIN,)))
    with pytest.raises(RefusedError):
        submit(fixture.admission, "plain")


@pytest.mark.parametrize("way", ["removed", "draining", "closed"])
async def test_a_service_that_loses_its_endpoints_holds_up_no_other(way: str) -> None:
    """Guards against a queue that stands still because one service has no endpoint."""
    fixture = make_admission_fixture(endpoints=0)
    catalog, admission = fixture.catalog, fixture.admission
    catalog.adopt_configuration(make_configuration(2, services=(PLAIN, OTHER)))
    record = make_record("e1", service="plain", slots=1, data_centre="b")
    catalog.put_endpoint(record)
    catalog.put_endpoint(make_record("e2", service="other", slots=1))
    submit(admission, "plain")
    waiting = submit(admission, "plain")
    (running,) = submit(admission, "other")
    queued = submit(admission, "other")
    assert admission.queue_length == 2
    if way == "removed":
        catalog.remove_endpoint("e1", may_return=False)
    elif way == "draining":
        catalog.put_endpoint(record._replace(draining=True))
    else:
        catalog.closed_data_centres.add("b")
    running.load.record_end(running.due_s, started=False, now_s=fixture.clock())
    admission.dispatch_queued()
    assert (len(queued), len(waiting), admission.queue_length) == (1, 0, 1)
