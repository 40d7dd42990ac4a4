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


class Vanished(NamedTuple):
    """An endpoint whose announcement is missing, and when it counts as gone."""

    record: EndpointRecord
    gone_s: float


class Catalogue:
    """The adopted configuration, the endpoints and the closed data centres.

    Parameters
    ----------
    on_endpoint : callable
        Called with each new or changed record.
    on_gone : callable
        Called with the identifier of each endpoint that is gone.
    closed : set of str
        The closed data centres; shared with whoever must not use them.
    """

    def __init__(
        self,
        *,
        on_endpoint: Callable[[EndpointRecord], None],
        on_gone: Callable[[str], None],
        closed: set[str] | None = None,
    ) -> None:
        self.configuration: Configuration | None = None
        self.endpoints: dict[str, EndpointRecord] = {}
        self.closed: set[str] = set() if closed is None else closed
        self._vanished: dict[str, Vanished] = {}
        self._on_endpoint = on_endpoint
        self._on_gone = on_gone

    def adopt_configuration(self, configuration: Configuration) -> bool:
        """Adopt a configuration unless a newer one is held."""
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            return False
        self.configuration = configuration
        return True

    def service(self, name: str) -> Service:
        """Return a service; one that no configuration names has no engine."""
        held = self.configuration
        return held.service(name) if held is not None else plain_service(name)

    def put_endpoint(self, record: EndpointRecord) -> bool:
        """Take an announcement; tell whether more than its age changed."""
        held = self.endpoints.get(record.identifier)
        if held is not None and record.incarnation_ms < held.incarnation_ms:
            return False
        self._vanished.pop(record.identifier, None)
        self.endpoints[record.identifier] = record
        self._on_endpoint(record)
        return held is None or held._replace(cold_ms=0) != record._replace(cold_ms=0)

    def drop_endpoint(self, identifier: str, *, gone_s: float, now_s: float) -> None:
        """Take the end of an announcement.

        Parameters
        ----------
        identifier : str
            The endpoint.
        gone_s : float
            Until when the endpoint may still come back: announcements lapse
            while the store is away.
        now_s : float
            Monotonic time in seconds.
        """
        record = self.endpoints.get(identifier)
        if record is None:
            return
        if gone_s <= now_s or record.draining:
            self._forget(identifier)
        elif identifier not in self._vanished:
            self._vanished[identifier] = Vanished(record, gone_s)

    def keep_only(
        self, identifiers: Iterable[str], *, gone_s: float, now_s: float
    ) -> None:
        """Drop the endpoints that a whole list does not hold."""
        kept = set(identifiers)
        for identifier in [i for i in self.endpoints if i not in kept]:
            self.drop_endpoint(identifier, gone_s=gone_s, now_s=now_s)

    def expire(self, now_s: float) -> list[str]:
        """Forget endpoints that have not come back in time."""
        late = [i for i, v in self._vanished.items() if v.gone_s <= now_s]
        for identifier in late:
            self._forget(identifier)
        return late

    def _forget(self, identifier: str) -> None:
        self._vanished.pop(identifier, None)
        if self.endpoints.pop(identifier, None) is not None:
            self._on_gone(identifier)
