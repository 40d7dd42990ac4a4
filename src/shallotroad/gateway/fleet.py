"""The endpoints as this entry uses them: load, connections, usability."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.observability.decisions import decided
from shallotroad.policy.endpoint_load import EndpointLoad
from shallotroad.policy.placement import express_engines
from shallotroad.upstream.pool import ConnectionPool


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.catalogue import Catalogue
    from shallotroad.catalog.configuration import Service
    from shallotroad.catalog.endpoint import EndpointRecord
    from shallotroad.gateway.job import Job


class Fleet:
    """Loads and connection pools by endpoint."""

    def __init__(self, *, clock: Callable[[], float], regions: dict[str, str]) -> None:
        self._clock = clock
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
            decided(
                "endpoint added", endpoint=record.identifier, service=record.service
            )
        elif (record.host, record.port) != (load.record.host, load.record.port):
            self._open_pool(record)
        elif record.incarnation_ms > load.record.incarnation_ms:
            load.restart(record, now_s)
            self._open_pool(record)
            decided("endpoint restarted", endpoint=record.identifier)
        if record.draining and not load.record.draining:
            decided("endpoint draining", endpoint=record.identifier)
        load.record = record
        if record.cold_ms > 0:
            load.cold_until_s = now_s + record.cold_ms / 1000
        self.changed()

    def drop(self, identifier: str) -> None:
        """Forget an endpoint that is gone; running answers go on."""
        self.loads.pop(identifier, None)
        pool = self._pools.pop(identifier, None)
        if pool is not None:
            pool.close()
        decided("endpoint gone", endpoint=identifier)
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

    def usable(self, job: Job, catalogue: Catalogue) -> list[EndpointLoad]:
        """Return the endpoints that may take a request now."""
        now_s = self._clock()
        allowed = job.route.regions
        if job.team is not None and job.team.regions:
            allowed = allowed & job.team.regions if allowed else job.team.regions
        found = [
            load
            for load in self.loads.values()
            if load.record.service == job.service.name
            and not load.record.draining
            and load.record.data_centre not in catalogue.closed
            and load.record.identifier not in job.excluded
            and (not allowed or self._regions.get(load.record.data_centre) in allowed)
        ]
        sound = [load for load in found if load.avoided_until_s <= now_s]
        return sound or found

    def express(self, service: Service) -> frozenset[str]:
        """Return the engines kept for streams that bear only short pauses."""
        now_s = self._clock()
        loads = [
            load
            for load in self.loads.values()
            if load.record.service == service.name and not load.record.draining
        ]
        names = [load.record.identifier for load in loads]
        works = [load.recent_work_ms(now_s) for load in loads]
        return express_engines(
            service.name,
            names,
            urgent_ms=sum(urgent for urgent, _ in works),
            patient_ms=sum(patient for _, patient in works),
        )

    def note_failure(self, identifier: str) -> None:
        """Note a failure that an endpoint itself reported."""
        load = self.loads.get(identifier)
        if load is not None:
            load.fail(self._clock())

    def opened_connections(self) -> int:
        """Return the connections opened so far to known endpoints."""
        return sum(pool.opened for pool in self._pools.values())

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()
