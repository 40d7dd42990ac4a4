"""The endpoints as this entry uses them: load, connections, usability."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.observability.event_log import log_event
from shallotroad.policy.endpoint_load import EndpointLoad
from shallotroad.policy.placement import reserved_engines
from shallotroad.upstream.pool import ConnectionPool


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.endpoint import EndpointRecord
    from shallotroad.policy.placement_request import PlacementRequest


class EndpointRegistry:
    """Loads and connection pools by endpoint.

    Parameters
    ----------
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
        self._closed = closed
        self._regions = regions
        self.loads: dict[str, EndpointLoad] = {}
        self._pools: dict[str, ConnectionPool] = {}
        self.changed: Callable[[], None] = lambda: None

    def put(self, record: EndpointRecord) -> None:
        """Take a new or changed record."""
        now_s = self._clock()
        load = self.loads.get(record.identifier)
        if load is None:
            load = EndpointLoad(record=record, now_s=now_s)
            self.loads[record.identifier] = load
            self._open_pool(record)
            log_event(
                "endpoint added", endpoint=record.identifier, service=record.service
            )
        elif (record.host, record.port) != (load.record.host, load.record.port):
            self._open_pool(record)
        elif record.started_at_ms > load.record.started_at_ms:
            load.restart(record, now_s)
            self._open_pool(record)
            log_event("endpoint restarted", endpoint=record.identifier)
        if record.draining and not load.record.draining:
            log_event("endpoint draining", endpoint=record.identifier)
        load.record = record
        if record.cold_remaining_ms > 0:
            load.cold_until_s = now_s + record.cold_remaining_ms / 1000
        self.changed()

    def remove(self, identifier: str) -> None:
        """Forget an endpoint that is gone; running answers go on."""
        self.loads.pop(identifier, None)
        pool = self._pools.pop(identifier, None)
        if pool is not None:
            pool.close()
        log_event("endpoint gone", endpoint=identifier)
        self.changed()

    def _open_pool(self, record: EndpointRecord) -> None:
        old = self._pools.get(record.identifier)
        if old is not None:
            old.close()
        self._pools[record.identifier] = ConnectionPool(
            host=record.host, port=record.port
        )

    def pool(self, identifier: str) -> ConnectionPool | None:
        """Return the connections to an endpoint."""
        return self._pools.get(identifier)

    def of_service(self, service: str) -> list[EndpointLoad]:
        """Return the endpoints of a service that take new requests at all."""
        return [
            load
            for load in self.loads.values()
            if load.record.service == service and not load.record.draining
        ]

    def filter_for(
        self, request: PlacementRequest, now_s: float
    ) -> Callable[[EndpointLoad], bool]:
        """Return what tells whether an endpoint may take a request."""
        closed = self._closed
        excluded, regions = request.excluded, request.regions

        def allows(load: EndpointLoad) -> bool:
            record = load.record
            return (
                record.identifier not in excluded
                and record.data_centre not in closed
                and (not regions or self._regions.get(record.data_centre) in regions)
            )

        return allows

    def usable(self, request: PlacementRequest) -> list[EndpointLoad]:
        """Return the endpoints that may take a request now."""
        now_s = self._clock()
        allows = self.filter_for(request, now_s)
        found = [load for load in self.of_service(request.service) if allows(load)]
        sound = [load for load in found if load.avoided_until_s <= now_s]
        return sound or found

    def unusable(self, service: str) -> frozenset[str]:
        """Return the endpoints of a service that this entry must not use now."""
        now_s = self._clock()
        closed = self._closed
        return frozenset(
            name
            for name, load in self.loads.items()
            if load.record.service == service
            and (
                load.record.draining
                or load.record.data_centre in closed
                or load.avoided_until_s > now_s
            )
        )

    def reserved(self, service: str) -> frozenset[str]:
        """Return the engines kept for streams that bear only short pauses."""
        now_s = self._clock()
        loads = self.of_service(service)
        works = [load.recent_work_ms(now_s) for load in loads]
        return reserved_engines(
            service,
            [load.record.identifier for load in loads],
            gap_sensitive_ms=sum(gap_sensitive for gap_sensitive, _ in works),
            gap_tolerant_ms=sum(gap_tolerant for _, gap_tolerant in works),
        )

    def record_failure(self, identifier: str) -> None:
        """Note a failure that an endpoint itself reported."""
        load = self.loads.get(identifier)
        if load is not None:
            load.record_failure(self._clock())

    def opened_connections(self) -> int:
        """Return the connections opened so far to known endpoints."""
        return sum(pool.opened_count for pool in self._pools.values())

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()
