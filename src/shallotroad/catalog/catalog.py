"""What this process believes about the configuration and the endpoints.

Nothing is adopted that is older than what is held, whatever its source: the
store after an outage, a page of a list, or a peer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.catalog.configuration import plain_service


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from shallotroad.catalog.configuration import Configuration
    from shallotroad.catalog.configuration import Service
    from shallotroad.catalog.endpoint import EndpointRecord


class MissingEndpoint(NamedTuple):
    """An endpoint whose announcement is missing, and when it counts as gone."""

    record: EndpointRecord
    expires_at_s: float


class Catalog:
    """The adopted configuration, the endpoints and the closed data centres.

    Parameters
    ----------
    on_endpoint_updated : callable
        Called with each new or changed record.
    on_endpoint_removed : callable
        Called with the identifier of each endpoint that is gone.
    closed_data_centres : set of str
        The closed data centres; shared with whoever must not use them.
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
        self._missing: dict[str, MissingEndpoint] = {}
        self._on_endpoint_updated = on_endpoint_updated
        self._on_endpoint_removed = on_endpoint_removed

    def adopt_configuration(self, configuration: Configuration) -> bool:
        """Adopt a configuration unless a newer one is held."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def service(self, name: str) -> Service:
        """Return a service; one that no configuration names has no engine."""
        current = self.configuration
        return current.service(name) if current is not None else plain_service(name)

    def put_endpoint(self, record: EndpointRecord) -> bool:
        """Take an announcement; tell whether more than its age changed."""
        current = self.endpoints.get(record.identifier)
        if current is not None and record.started_at_ms < current.started_at_ms:
            return False
        self._missing.pop(record.identifier, None)
        self.endpoints[record.identifier] = record
        self._on_endpoint_updated(record)
        return current is None or current._replace(
            cold_remaining_ms=0
        ) != record._replace(cold_remaining_ms=0)

    def remove_endpoint(
        self, identifier: str, *, expires_at_s: float, now_s: float
    ) -> None:
        """Take the end of an announcement.

        Parameters
        ----------
        identifier : str
            The endpoint.
        expires_at_s : float
            Until when the endpoint may still come back: announcements lapse
            while the store is away.
        now_s : float
            Monotonic time in seconds.
        """
        record = self.endpoints.get(identifier)
        if record is None:
            return
        if expires_at_s <= now_s or record.draining:
            self._remove(identifier)
        elif identifier not in self._missing:
            self._missing[identifier] = MissingEndpoint(record, expires_at_s)

    def keep_only(
        self, identifiers: Iterable[str], *, expires_at_s: float, now_s: float
    ) -> None:
        """Drop the endpoints that a whole list does not hold."""
        kept = set(identifiers)
        for identifier in [i for i in self.endpoints if i not in kept]:
            self.remove_endpoint(identifier, expires_at_s=expires_at_s, now_s=now_s)

    def expire(self, now_s: float) -> list[str]:
        """Forget endpoints that have not come back in time."""
        expired = [i for i, v in self._missing.items() if v.expires_at_s <= now_s]
        for identifier in expired:
            self._remove(identifier)
        return expired

    def _remove(self, identifier: str) -> None:
        self._missing.pop(identifier, None)
        if self.endpoints.pop(identifier, None) is not None:
            self._on_endpoint_removed(identifier)
