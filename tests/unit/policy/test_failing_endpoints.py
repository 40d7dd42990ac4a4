"""Circuit breakers of endpoints, and the failure of a whole service."""

from __future__ import annotations

import math
import random

import pytest

from shallotroad.policy.endpoint_load import EndpointLoad
from shallotroad.policy.failing_endpoints import CLOSING_SUCCESSES
from shallotroad.policy.failing_endpoints import MAX_FAILING_S
from shallotroad.policy.failing_endpoints import MAX_OPEN_S
from shallotroad.policy.failing_endpoints import MAX_REMEMBERED
from shallotroad.policy.failing_endpoints import MIN_OPEN_S
from shallotroad.policy.failing_endpoints import PROBE_PATIENCE_S
from shallotroad.policy.failing_endpoints import SENT_ONE_IN
from shallotroad.policy.failing_endpoints import CircuitChange
from shallotroad.policy.failing_endpoints import CircuitState
from shallotroad.policy.failing_endpoints import Fault
from shallotroad.policy.failing_endpoints import ServiceFailures
from shallotroad.policy.failing_endpoints import avoid_open_circuits
from shallotroad.policy.placement import EngineView
from shallotroad.policy.placement import view_engine
from tests.gateway_builders import make_record


NOW_S = 100.0
INTERVAL_S = 0.02


class Fleet:
    """Endpoints of one service whose requests end at once, on a clock of its own."""

    def __init__(self, endpoints: int = 8, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now_s = NOW_S
        self.changes: list[CircuitChange] = []
        self.failures = ServiceFailures(service="chat", on_change=self.changes.append)
        self.loads = [
            EndpointLoad(
                record=make_record(f"e{number}"),
                now_s=NOW_S,
                service_failures=self.failures,
            )
            for number in range(endpoints)
        ]

    def run(
        self,
        load: EndpointLoad,
        *,
        failed: bool,
        fault: Fault = Fault.ERROR,
        interval_s: float = INTERVAL_S,
    ) -> None:
        self.now_s += interval_s
        due_s = load.record_dispatch(0.0, self.now_s)
        if failed:
            load.record_failure(self.now_s, fault=fault)
        else:
            load.record_first_event(due_s, self.now_s)
            load.record_success(self.now_s)
        load.record_end(due_s, started=not failed, now_s=self.now_s)

    def run_all(
        self, requests: int, share: float, *, failing: int | None = None
    ) -> None:
        """Run requests at random endpoints; the first ones fail a share of them."""
        count = len(self.loads) if failing is None else failing
        for _ in range(requests):
            number = self.rng.randrange(len(self.loads))
            failed = number < count and self.rng.random() < share
            self.run(self.loads[number], failed=failed)

    def open(self, *numbers: int) -> None:
        """Open the circuits of some endpoints, at most half of those not yet open."""
        if not self.changes:
            self.run_all(2_000, 0.004)
        while any(self.loads[number].circuit.is_closed for number in numbers):
            for number, load in enumerate(self.loads):
                if load.circuit.is_closed:
                    self.run(load, failed=number in numbers)

    def views(self) -> list[EngineView]:
        return [view_engine(load, frozenset(), self.now_s) for load in self.loads]

    def usable(
        self,
        *,
        full: tuple[int, ...] = (),
        repeatable: bool = False,
        waited_share: float = 0.0,
    ) -> list[str]:
        names = {f"e{number}" for number in full}
        views = avoid_open_circuits(
            self.views(),
            repeatable=repeatable,
            waited_share=waited_share,
            now_s=self.now_s,
            has_room=lambda view: view.load.record.identifier not in names,
        )
        return [view.load.record.identifier for view in views]


def hold(
    failures: ServiceFailures, now_s: float, caller: str, **changes: float
) -> bool:
    values = {
        "arrival_s": now_s,
        "last_start_s": now_s + 1.6,
        "deadline_s": now_s + 10.0,
        **changes,
    }
    return failures.holds(caller=caller, now_s=now_s, **values)


# Guards against circuits that open because of a single crash or a few lost requests.
@pytest.mark.parametrize("failures", [1, 2, 3])
def test_few_outcomes_decide_nothing(failures: int) -> None:
    fleet = Fleet()
    for _ in range(failures):
        fleet.run(fleet.loads[0], failed=True, interval_s=0.1)
    assert fleet.loads[0].circuit.is_closed
    assert fleet.changes == []


# Guards against services that always fail some requests, such as plain ones, and whose
# endpoints would be avoided in turn.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("share", [0.0, 0.004, 0.05, 0.14])
def test_an_ordinary_share_of_failures_opens_no_circuit(
    share: float, seed: int
) -> None:
    fleet = Fleet(seed=seed)
    fleet.run_all(30_000, share)
    assert fleet.changes == []


# Guards against a circuit that opens at the start, before the usual share is known.
def test_a_process_that_starts_beside_an_ordinary_share_opens_no_circuit() -> None:
    for seed in range(200):
        fleet = Fleet(seed=seed)
        fleet.run_all(300, 0.14)
        assert fleet.changes == []


# Guards against an endpoint that fails its requests and gets new ones.
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize(("share", "most"), [(0.45, 80), (1.0, 8)])
def test_the_circuit_of_one_failing_endpoint_opens(
    share: float, most: int, seed: int
) -> None:
    fleet = Fleet(seed=seed)
    fleet.run_all(4_000, 0.004)
    requests = 0
    while fleet.loads[0].circuit.is_closed:
        requests += 1
        for number, load in enumerate(fleet.loads):
            failing = number == 0 and fleet.rng.random() < share
            fleet.run(load, failed=failing)
    assert requests <= most
    assert [change.endpoint for change in fleet.changes] == ["e0"]
    assert fleet.failures.failing_since_s is None


# Guards against a failure of the whole service that is found when it is over.
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("endpoints", [1, 2, 8, 27])
def test_a_failure_of_all_endpoints_is_found_and_ends(
    endpoints: int, seed: int
) -> None:
    fleet = Fleet(endpoints, seed)
    fleet.run_all(4_000, 0.004)
    fleet.run_all(80, 0.45)
    assert fleet.failures.failing_since_s is not None
    fleet.run_all(60, 0.004)
    assert fleet.failures.failing_since_s is None
    assert all(load.circuit.is_closed for load in fleet.loads)


# Guards against requests that are held because endpoints crashed or lost power.
def test_connections_lost_at_all_endpoints_at_once_are_no_failure_of_the_service() -> (
    None
):
    fleet = Fleet()
    fleet.run_all(2_000, 0.004)
    for _ in range(3):
        for load in fleet.loads:
            for _ in range(20):
                fleet.run(load, failed=True, fault=Fault.LOST, interval_s=0.0)
        fleet.now_s += 1.0
    assert fleet.changes == []


# Guards against a grey failure of one endpoint that counts as one of its service.
def test_errors_of_one_endpoint_are_no_failure_of_the_service() -> None:
    fleet = Fleet()
    fleet.run_all(2_000, 0.004)
    fleet.run_all(2_000, 1.0, failing=1)
    assert fleet.failures.failing_since_s is None
    assert not fleet.loads[0].circuit.is_closed


# Guards against an endpoint that recovered and gets no requests any more, and against a
# load of requests on one that has not recovered.
def test_probes_close_the_circuit_and_failed_ones_wait_longer() -> None:
    fleet = Fleet()
    fleet.open(0)
    load = fleet.loads[0]
    waits_s = []
    for _ in range(6):
        opened_s = fleet.now_s
        while not load.circuit.may_probe(fleet.now_s, repeatable=True):
            fleet.now_s += 0.01
        waits_s.append(fleet.now_s - opened_s)
        fleet.run(load, failed=True)
    assert waits_s == sorted(waits_s)
    assert waits_s[0] <= MIN_OPEN_S + 0.02
    assert waits_s[-1] <= MAX_OPEN_S + 0.02
    fleet.now_s += MAX_OPEN_S
    for _ in range(CLOSING_SUCCESSES):
        assert load.circuit.may_probe(fleet.now_s, repeatable=True)
        fleet.run(load, failed=False)
    assert load.circuit.state is CircuitState.CLOSED
    assert [change.state for change in fleet.changes][-1] == "closed"


# Guards against many probes at once before the first one has ended.
def test_more_probes_are_sent_after_successes() -> None:
    fleet = Fleet()
    fleet.open(0)
    load = fleet.loads[0]
    fleet.now_s += MIN_OPEN_S
    counts = []
    for _ in range(3):
        dues_s = []
        while load.circuit.may_probe(fleet.now_s, repeatable=True):
            dues_s.append(load.record_dispatch(0.0, fleet.now_s))
        counts.append(len(dues_s))
        load.record_first_event(dues_s[0], fleet.now_s)
    assert counts[0] == 1
    assert counts == sorted(counts)


# Guards against requests that are held though half of the endpoints serve them.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_errors_of_half_of_the_endpoints_open_their_circuits(seed: int) -> None:
    fleet = Fleet(seed=seed)
    fleet.run_all(2_000, 0.004)
    fleet.run_all(300, 1.0, failing=4)
    assert fleet.failures.failing_since_s is None
    closed = [load.circuit.is_closed for load in fleet.loads]
    assert closed == [False] * 4 + [True] * 4


# Guards against streams from before the failure that end well and close the circuit.
def test_earlier_streams_close_no_circuit() -> None:
    fleet = Fleet()
    load = fleet.loads[0]
    dues_s = [load.record_dispatch(0.0, fleet.now_s) for _ in range(20)]
    fleet.open(0)
    for due_s in dues_s:
        load.record_first_event(due_s, fleet.now_s)
        load.record_success(fleet.now_s)
    assert not load.circuit.is_closed


def test_a_new_incarnation_begins_with_a_closed_circuit() -> None:
    fleet = Fleet()
    fleet.open(0)
    fleet.loads[0].restart(make_record("e0", started_at_ms=2), fleet.now_s)
    assert fleet.loads[0].circuit.is_closed


# Guards against requests that may run only once at an endpoint that fails them.
def test_open_circuits_are_avoided_while_the_others_have_room() -> None:
    fleet = Fleet()
    fleet.open(0)
    assert fleet.usable() == [f"e{number}" for number in range(1, 8)]
    assert fleet.usable(repeatable=True) == fleet.usable()


# Guards against probes by requests that are lost if they fail.
def test_requests_that_may_be_repeated_probe_first() -> None:
    fleet = Fleet()
    fleet.open(0)
    fleet.now_s += MIN_OPEN_S
    assert "e0" not in fleet.usable()
    assert fleet.usable(repeatable=True) == ["e0"]
    assert "e0" not in fleet.usable(repeatable=True, full=(0,))
    fleet.now_s += PROBE_PATIENCE_S
    assert fleet.usable() == ["e0"]


# Guards against a lack of capacity because of open circuits.
def test_at_most_half_of_the_endpoints_are_avoided_unless_the_rest_has_room() -> None:
    fleet = Fleet(4)
    fleet.open(0, 1)
    assert fleet.usable(full=(2, 3)) == ["e2", "e3"]
    assert fleet.usable(full=(2, 3), repeatable=True) == ["e2", "e3"]
    fleet = Fleet(4)
    fleet.open(0, 1)
    fleet.open(2)
    assert fleet.usable() == ["e3"]
    assert len(fleet.usable(full=(3,))) == 4


# Guards against requests that wait for the other endpoints until they are late.
def test_an_endpoint_that_fails_some_requests_is_used_after_a_wait() -> None:
    fleet = Fleet()
    fleet.run_all(2_000, 0.004)
    while fleet.loads[0].circuit.is_closed:
        for failed in (True, False, False):
            fleet.run(fleet.loads[0], failed=failed, interval_s=0.1)
            fleet.run(fleet.loads[1], failed=False)
    full = tuple(range(1, 8))
    assert "e0" not in fleet.usable(full=full)
    assert "e0" in fleet.usable(full=full, waited_share=0.6)
    fleet = Fleet()
    fleet.open(0)
    assert "e0" not in fleet.usable(full=full, waited_share=0.6)


def make_failing() -> tuple[ServiceFailures, float]:
    fleet = Fleet()
    fleet.run_all(4_000, 0.004)
    while fleet.failures.failing_since_s is None:
        fleet.run_all(1, 0.9)
    return fleet.failures, fleet.now_s


# Guards against a service that stops, so that nobody learns that it has recovered.
def test_a_share_of_the_requests_is_sent_while_all_endpoints_fail() -> None:
    failures, now_s = make_failing()
    held = sum(hold(failures, now_s, f"caller {number}") for number in range(100))
    assert held == 100 - 100 // SENT_ONE_IN


# Guards against a caller that is refused twice.
def test_the_retry_of_a_held_request_is_sent() -> None:
    failures, now_s = make_failing()
    assert hold(failures, now_s, "caller")
    assert hold(failures, now_s + 1.5, "caller", arrival_s=now_s)
    assert not hold(failures, now_s + 2.0, "caller")


# Guards against a refusal that brings the caller back while the service still fails,
# or where its retry can't be told from a new request.
def test_a_request_is_sent_where_a_refusal_does_not_help() -> None:
    failures, now_s = make_failing()
    wait = {"arrival_s": now_s, "last_start_s": now_s + 1.0}
    assert hold(failures, now_s, "a", **wait)
    assert hold(failures, now_s + 1.0, "a", **wait, deadline_s=now_s + 10.0)
    assert hold(failures, now_s, "b", **wait)
    assert not hold(failures, now_s + 0.95, "b", **wait, deadline_s=now_s + 4.0)
    assert hold(failures, now_s, "", **wait)
    assert not hold(failures, now_s + 0.95, "", **wait, deadline_s=now_s + 10.0)


# Guards against requests that are held for as long as a bad release stands.
def test_requests_are_sent_after_the_longest_failure() -> None:
    failures, now_s = make_failing()
    assert not hold(failures, now_s + MAX_FAILING_S, "caller")
    assert failures.expected_rest_s(now_s + MAX_FAILING_S) == 0.0


# Guards against memory that callers make grow.
def test_held_callers_are_bounded() -> None:
    failures, now_s = make_failing()
    for number in range(2 * MAX_REMEMBERED):
        hold(failures, now_s, f"caller {number}")
    assert not hold(failures, now_s, "one more")
    assert len(failures._held_arrivals_s) <= MAX_REMEMBERED


# Guards against a gateway without a link that makes all others avoid an endpoint.
def test_a_refused_connection_is_doubted_after_an_answer() -> None:
    fleet = Fleet()
    circuit = fleet.loads[0].circuit
    assert circuit.believe_unreachable(NOW_S + 1.0, NOW_S)
    assert circuit.believe_unreachable(NOW_S + 1.2, NOW_S + 0.2)
    fleet.loads[0].record_success(NOW_S + 0.5)
    assert not circuit.believe_unreachable(NOW_S + 1.6, NOW_S + 0.6)
    assert circuit.believe_unreachable(NOW_S + 61.0, NOW_S + 60.0)


# Guards against figures of a load that the circuit changes: ranking stays the same.
def test_a_fault_without_a_weight_does_not_count_in_the_failure_share() -> None:
    fleet = Fleet()
    load = fleet.loads[0]
    load.record_failure(NOW_S, 0.0, Fault.ERROR)
    assert load.failure_share(NOW_S) == 0.0
    load.record_failure(NOW_S, 0.5)
    assert math.isclose(load.failure_share(NOW_S), 1 / 3)
