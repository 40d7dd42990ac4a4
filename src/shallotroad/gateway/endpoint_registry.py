"""The endpoints of this gateway, with their loads, connections and usability."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.observability.event_log import log_event
from shallotroad.policy.cells import Cell
from shallotroad.policy.cells import CellMap
from shallotroad.policy.cells import divide
from shallotroad.policy.endpoint_load import EndpointLoad
from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.failing_endpoints import ServiceFailures
from shallotroad.policy.placement import reserved_engines
from shallotroad.upstream.pool import ConnectionPool


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.endpoint import EndpointRecord
    from shallotroad.policy.engine_model import EngineModel
    from shallotroad.policy.failing_endpoints import CircuitChange
    from shallotroad.policy.placement_request import PlacementRequest


class EndpointRegistry:
    """Loads and connection pools by endpoint identifier.

    ``on_changed`` is called after an endpoint was added, changed or removed,
    ``on_circuit_changed`` when the circuit breaker of an endpoint or the failure of a
    service changes its state.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time in seconds.
    regions : dict of str to str
        Region of each data centre.
    closed : set of str
        The closed data centres, kept up to date by the catalog.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        regions: dict[str, str],
        closed: set[str],
    ) -> None:
        self._clock = clock
        self._closed_data_centres = closed
        self._regions = regions
        self.loads: dict[str, EndpointLoad] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self._engine_models: dict[str, EngineModel] = {}
        self._cell_maps: dict[str, CellMap] = {}
        self._cell_loads: dict[str, dict[str, list[EndpointLoad]]] = {}
        self._failures: dict[str, ServiceFailures] = {}
        self._versions_seen_s: dict[str, dict[str, float]] = {}
        self.on_changed: Callable[[], None] = lambda: None
        self.on_circuit_changed: Callable[[CircuitChange], None] = lambda _: None

    def put(self, record: EndpointRecord) -> None:
        """Add an endpoint, or apply its changed record.

        A new address or a restart (a later ``started_at_ms``) opens a new connection
        pool. A restart at the same address also resets the load's slowness, cached
        parts and failures. At a new address they are kept, restarted or not.
        """
        now_s = self._clock()
        load = self.loads.get(record.identifier)
        if load is None:
            load = EndpointLoad(
                record=record,
                now_s=now_s,
                model=self.engine_model(record.service),
                service_failures=self._service_failures(record.service),
            )
            self.loads[record.identifier] = load
            self._forget_cells(record.service)
            self._open_pool(record)
            log_event(
                "endpoint added", endpoint=record.identifier, service=record.service
            )
        elif (record.host, record.port) != (load.record.host, load.record.port):
            self._open_pool(record)
            if record.started_at_ms != load.record.started_at_ms:
                load.forget_statements()
        elif record.started_at_ms > load.record.started_at_ms:
            load.restart(record, now_s)
            self._open_pool(record)
            log_event("endpoint restarted", endpoint=record.identifier)
        if record.draining and not load.record.draining:
            log_event("endpoint draining", endpoint=record.identifier)
        if _place(record) != _place(load.record):
            self._forget_cells(load.record.service)
            self._forget_cells(record.service)
        for known in (load.record, record):
            self._record_version(known)
        load.record = record
        load.use_model(self.engine_model(record.service), now_s)
        if record.cold_remaining_ms > 0:
            load.cold_until_s = now_s + record.cold_remaining_ms / 1000
        self.on_changed()

    def _service_failures(self, service: str) -> ServiceFailures:
        """Return the outcomes of all endpoints of a service."""
        failures = self._failures.get(service)
        if failures is None:
            failures = self._failures[service] = ServiceFailures(
                service=service, on_change=self._log_circuit_change
            )
        return failures

    def _log_circuit_change(self, change: CircuitChange) -> None:
        fields = {
            "service": change.service,
            "state": change.state,
            "failure_share": round(change.failure_share, 2),
        }
        if change.endpoint:
            log_event("endpoint circuit changed", endpoint=change.endpoint, **fields)
        else:
            log_event("service failure changed", **fields)
        self.on_circuit_changed(change)

    def remove(self, identifier: str) -> None:
        """Remove an endpoint; responses in flight are not interrupted."""
        load = self.loads.pop(identifier, None)
        if load is not None:
            load.circuit.service_failures.forget(identifier)
            self._record_version(load.record)
            self._forget_cells(load.record.service)
        pool = self._pools.pop(identifier, None)
        if pool is not None:
            pool.close()
        log_event("endpoint gone", endpoint=identifier)
        self.on_changed()

    def _record_version(self, record: EndpointRecord) -> None:
        seen_s = self._versions_seen_s.setdefault(record.service, {})
        seen_s[record.software_version] = self._clock()

    def software_versions(self, service: str, max_age_s: float) -> set[str]:
        """Return the versions that the endpoints of a service have or lately had.

        Versions that none had for ``max_age_s`` are left out.
        """
        now_s = self._clock()
        seen_s = self._versions_seen_s.setdefault(service, {})
        for load in self._loads_of(Cell(service)):
            seen_s[load.record.software_version] = now_s
        for version in [v for v, s in seen_s.items() if now_s - s > max_age_s]:
            del seen_s[version]
        return set(seen_s)

    def engine_model(self, service: str) -> EngineModel:
        """Return the model in force of the engines of a service."""
        return self._engine_models.get(service, NOMINAL_MODEL)

    def use_engine_model(
        self, service: str, model: EngineModel, factors: dict[str, float]
    ) -> None:
        """Replace the model in force of the engines of a service.

        ``factors`` has the slowness of endpoints for which it is known relative to the
        new model; see ``EndpointLoad.use_model`` for the others.
        """
        self._engine_models[service] = model
        now_s = self._clock()
        for load in self._loads_of(Cell(service)):
            load.use_model(model, now_s, factors.get(load.record.identifier))

    def service_endpoints(self, service: str) -> set[str]:
        """Return the identifiers of the endpoints of a service."""
        return {load.record.identifier for load in self._loads_of(Cell(service))}

    def _open_pool(self, record: EndpointRecord) -> None:
        previous = self._pools.get(record.identifier)
        if previous is not None:
            previous.close()
        self._pools[record.identifier] = ConnectionPool(
            host=record.host, port=record.port
        )

    def pool(self, identifier: str) -> ConnectionPool | None:
        """Return the connection pool of an endpoint, or None if it is not known."""
        return self._pools.get(identifier)

    def cells(self, service: str) -> CellMap:
        """Return the cells of a service, draining endpoints included."""
        cells = self._cell_maps.get(service)
        if cells is None:
            cells = self._cell_maps[service] = divide(
                {
                    name: load.record.data_centre
                    for name, load in self.loads.items()
                    if load.record.service == service
                }
            )
        return cells

    def cell_hosts(self) -> int:
        """Return the number of data centres with cells, of the most divided service."""
        return max((len(cells.hosts) for cells in self._cell_maps.values()), default=0)

    def cell_of(self, load: EndpointLoad) -> Cell:
        """Return the cell of an endpoint."""
        service = load.record.service
        by_engine = self.cells(service).by_engine
        return Cell(service, by_engine.get(load.record.identifier, ""))

    def _loads_of(self, cell: Cell) -> list[EndpointLoad]:
        """Return the loads of the endpoints of a cell, draining ones included."""
        if cell.service not in self._cell_loads:
            self._cell_loads[cell.service] = self._index(cell.service)
        return self._cell_loads[cell.service].get(cell.name, [])

    def _index(self, service: str) -> dict[str, list[EndpointLoad]]:
        """Return the loads of a service by cell, and all of them under no name."""
        by_engine = self.cells(service).by_engine
        index: dict[str, list[EndpointLoad]] = {"": []}
        for name, load in self.loads.items():
            if load.record.service != service:
                continue
            index[""].append(load)
            if name in by_engine:
                index.setdefault(by_engine[name], []).append(load)
        return index

    def _forget_cells(self, service: str) -> None:
        """Discard what was derived from the endpoints of a service."""
        self._cell_maps.pop(service, None)
        self._cell_loads.pop(service, None)

    def active_loads(self, cell: Cell) -> list[EndpointLoad]:
        """Return the loads of the endpoints of a cell that are not leaving."""
        now_s = self._clock()
        return [load for load in self._loads_of(cell) if not load.is_leaving(now_s)]

    def open_loads(self, cell: Cell) -> list[EndpointLoad]:
        """Return the active loads of a cell outside closed data centres."""
        closed_data_centres = self._closed_data_centres
        return [
            load
            for load in self.active_loads(cell)
            if load.record.data_centre not in closed_data_centres
        ]

    def is_leaving(self, identifier: str) -> bool:
        """Return whether an endpoint takes no more requests."""
        load = self.loads.get(identifier)
        return load is not None and load.is_leaving(self._clock())

    def takes_requests(self, identifier: str) -> bool:
        """Return whether an endpoint takes requests of this gateway now."""
        load = self.loads.get(identifier)
        now_s = self._clock()
        return load is None or (
            not load.is_leaving(now_s) and load.quiet_until_s <= now_s
        )

    def quiet_s(self, cell: Cell) -> float:
        """Return how long all endpoints of a cell want nothing from this gateway.

        0 if some take requests, or if none is left.
        """
        now_s = self._clock()
        times_s = [load.quiet_until_s - now_s for load in self.open_loads(cell)]
        return max(0.0, min(times_s, default=0.0))

    def states_limit(self, service: str) -> bool:
        """Return whether some endpoint of a service limits its requests."""
        return any(
            load.limit_per_s is not None for load in self._loads_of(Cell(service))
        )

    def holds(self, request: PlacementRequest, now_s: float) -> bool:
        """Return whether a request waits because its whole service fails.

        Only requests that may run once do.
        """
        failures = self._failures.get(request.service)
        if (
            failures is None
            or failures.failing_since_s is None
            or not request.runs_once
        ):
            return False
        return failures.holds(
            caller=request.own_part,
            arrival_s=request.arrival_s,
            last_start_s=request.last_start_s,
            deadline_s=request.deadline_s,
            now_s=now_s,
        )

    def failing_s(self, request: PlacementRequest, now_s: float) -> float:
        """Return for how long the service of a request that is held still fails."""
        failures = self._failures.get(request.service)
        if failures is None or not request.runs_once:
            return 0.0
        return failures.expected_rest_s(now_s)

    def filter_for(
        self, request: PlacementRequest, now_s: float
    ) -> Callable[[EndpointLoad], bool]:
        """Return a predicate for the endpoints that a request may use.

        It checks the request's excluded endpoints, software version and allowed
        regions (an empty set allows all), and the closed data centres, but not whether
        an endpoint is draining or avoided. ``now_s`` is not used.
        """
        closed_data_centres = self._closed_data_centres
        excluded, regions = request.excluded, request.regions
        version = request.software_version

        def allows(load: EndpointLoad) -> bool:
            record = load.record
            return (
                record.identifier not in excluded
                and version in (None, record.software_version)
                and record.data_centre not in closed_data_centres
                and (not regions or self._regions.get(record.data_centre) in regions)
            )

        return allows

    def usable_loads(self, request: PlacementRequest) -> list[EndpointLoad]:
        """Return the loads of the endpoints that may serve a request now.

        Endpoints that are avoided after a connection failure are left out, unless
        no other endpoint may serve the request.
        """
        now_s = self._clock()
        allows = self.filter_for(request, now_s)
        allowed = [load for load in self.active_loads(request.cell) if allows(load)]
        reachable = [load for load in allowed if load.avoided_until_s <= now_s]
        return reachable or allowed

    def unusable_endpoints(self, cell: Cell) -> frozenset[str]:
        """Return the endpoints of a cell that this gateway must not use now.

        These are leaving, in a closed data centre, avoided after a connection failure,
        or want nothing from this gateway for a while.
        """
        now_s = self._clock()
        closed_data_centres = self._closed_data_centres
        return frozenset(
            load.record.identifier
            for load in self._loads_of(cell)
            if load.is_leaving(now_s)
            or load.quiet_until_s > now_s
            or load.record.data_centre in closed_data_centres
            or load.avoided_until_s > now_s
        )

    def reserved_endpoints(self, cell: Cell) -> frozenset[str]:
        """Return the engines of a cell reserved for gap-sensitive streams.

        ``reserved_engines`` selects them by rendezvous hashing among the endpoints that
        are not draining. Their number follows the share of gap-sensitive streams in the
        recent work (``EndpointLoad.recent_work_ms``, engine time with a half-life of
        ``WORK_HALF_LIFE_S``): at least one and never all; none with fewer than two
        endpoints.
        """
        now_s = self._clock()
        loads = self.active_loads(cell)
        recent_work = [load.recent_work_ms(now_s) for load in loads]
        return reserved_engines(
            cell.service,
            [load.record.identifier for load in loads],
            gap_sensitive_ms=sum(gap_sensitive for gap_sensitive, _ in recent_work),
            other_ms=sum(other for _, other in recent_work),
        )

    def record_server_error(self, identifier: str) -> None:
        """Count a 5xx response that may be retried as a failure of its endpoint.

        It counts fully in the failure share of this gateway's load, which makes the
        endpoint rank lower. Endpoints that are not known are ignored.
        """
        load = self.loads.get(identifier)
        if load is not None:
            load.record_failure(self._clock())

    def opened_connections(self) -> int:
        """Return the number of connections opened by the current pools.

        Connections of pools that were replaced, or whose endpoint was removed, do not
        count, so the number may fall.
        """
        return sum(pool.opened_count for pool in self._pools.values())

    def close(self) -> None:
        """Close the idle connections of all endpoints."""
        for pool in self._pools.values():
            pool.close()


def _place(record: EndpointRecord) -> tuple[str, str]:
    """Return what decides the cell of an endpoint besides its identifier."""
    return record.service, record.data_centre
