"""Configuration, endpoints and closed data centres, as this process knows them.

Old versions may arrive late: from the store after an outage, in a page of a list, or
from a peer. Whatever its source, an older version never replaces a newer one, unless
the store was restored from a copy since.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.catalog.configuration import default_service


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.catalog.configuration import Configuration
    from shallotroad.catalog.configuration import Service
    from shallotroad.catalog.endpoint import EndpointRecord


class Catalog:
    """The configuration in force, the endpoints and the closed data centres.

    The store watcher of the gateway updates it from the platform's store.

    Parameters
    ----------
    on_endpoint_updated : callable
        Called with each record that is taken, also when it is unchanged.
    on_endpoint_removed : callable
        Called with the identifier of each removed endpoint.
    closed_data_centres : set of str
        Set that holds the closed data centres; None for a new one. The store watcher
        adds and discards names in place, because the set is shared with the components
        that must not use these data centres.

    Attributes
    ----------
    configuration : Configuration or None
        Configuration in force; None until one is adopted.
    endpoints : dict of str to EndpointRecord
        Latest record of each endpoint by identifier, including the missing ones.
    missing_ends : dict of str to int
        Number of endpoints that were missing, by how that ended: "registered" (again)
        or "evicted".
    """

    def __init__(
        self,
        *,
        on_endpoint_updated: Callable[[EndpointRecord], None],
        on_endpoint_removed: Callable[[str], None],
        closed_data_centres: set[str] | None = None,
    ) -> None:
        self.configuration: Configuration | None = None
        self.endpoints: dict[str, EndpointRecord] = {}
        self.closed_data_centres: set[str] = (
            set() if closed_data_centres is None else closed_data_centres
        )
        self._missing: set[str] = set()
        self.missing_ends = {"registered": 0, "evicted": 0}
        self._on_endpoint_updated = on_endpoint_updated
        self._on_endpoint_removed = on_endpoint_removed

    def adopt_configuration(
        self, configuration: Configuration, *, restored: bool = False
    ) -> bool:
        """Adopt a configuration; return False if the current one is not older.

        One that a ``restored`` store holds is adopted whatever its version.
        """
        current = self.configuration
        is_older = current is None or configuration.version > current.version
        if not (is_older or restored):
            return False
        self.configuration = configuration
        return True

    def service(self, name: str) -> Service:
        """Return a service; one that is not configured has defaults and no engine."""
        current = self.configuration
        return current.service(name) if current is not None else default_service(name)

    def put_endpoint(self, record: EndpointRecord) -> bool:
        """Add or replace the record of an endpoint.

        A record of a process that started earlier than the known one is ignored; an
        unknown start (0) counts as the earliest. Any other record is taken, so the
        caller must drop registrations with an old revision of the store. An endpoint
        that was missing no longer is.

        Returns
        -------
        bool
            Whether the record was taken, and the endpoint is new or its record differs
            in more than the remaining cold time, which changes with every registration.
        """
        current = self.endpoints.get(record.identifier)
        if current is not None and record.started_at_ms < current.started_at_ms:
            return False
        if record.identifier in self._missing:
            self._missing.discard(record.identifier)
            self.missing_ends["registered"] += 1
        self.endpoints[record.identifier] = record
        self._on_endpoint_updated(record)
        return current is None or current._replace(
            cold_remaining_ms=0
        ) != record._replace(cold_remaining_ms=0)

    def is_missing(self, identifier: str) -> bool:
        """Return whether an endpoint is kept though its registration is missing."""
        return identifier in self._missing

    @property
    def missing_count(self) -> int:
        """Number of the missing endpoints."""
        return len(self._missing)

    def remove_endpoint(self, identifier: str, *, may_return: bool) -> None:
        """Remove an endpoint that is no longer registered, or mark it as missing.

        A missing endpoint stays in use until it registers again or is evicted, because
        registrations lapse during an outage of the store. An endpoint that was draining
        is removed at once.

        Parameters
        ----------
        identifier : str
            Identifier of the endpoint; one that is not known is ignored.
        may_return : bool
            Whether its registration may have lapsed in an outage of the store after
            which it has not had the time to register again.
        """
        record = self.endpoints.get(identifier)
        if record is None:
            return
        if may_return and not record.draining:
            self._missing.add(identifier)
        else:
            self._remove(identifier)

    def evict_missing(self) -> list[str]:
        """Remove all missing endpoints; return their identifiers."""
        evicted = sorted(self._missing)
        for identifier in evicted:
            self._remove(identifier)
        self.missing_ends["evicted"] += len(evicted)
        return evicted

    def _remove(self, identifier: str) -> None:
        self._missing.discard(identifier)
        if self.endpoints.pop(identifier, None) is not None:
            self._on_endpoint_removed(identifier)
