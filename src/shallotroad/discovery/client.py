"""HTTP client of the platform's configuration service and instance list.

An instance in this list is an entry or agent process. The gateway's
``platform.settings.InstanceSettings`` describe a machine instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import aiohttp

from shallotroad.config.versioned_config import Delta
from shallotroad.discovery.exceptions import PlatformUnavailableError


if TYPE_CHECKING:
    from shallotroad.config.settings import PlatformSettings


class Instance(NamedTuple):
    """An entry or agent process in the platform's instance list.

    ``name`` is the ``process.name`` of its settings, ``role`` is ``entry`` or
    ``agent``, ``address`` the ``host:port`` of the process's gRPC server, ``state``
    ``live`` or ``leaving``, and ``serves`` the models or services behind an agent.
    """

    name: str
    role: str
    data_centre: str
    address: str
    state: str
    serves: tuple[str, ...] = ()


class InstanceList(NamedTuple):
    """The latest instance list and its entity tag.

    ``etag`` is empty when there is none; the next request is not conditional then.
    """

    etag: str
    instances: list[Instance]


class Response(NamedTuple):
    """Decoded JSON body and entity tag of a response.

    ``etag`` is empty when the response has none. On 304 Not Modified, ``data`` is None
    and ``etag`` that of the request.
    """

    etag: str
    data: Any


class PlatformClient:
    """Reads the platform over HTTP; ``request_count`` counts the requests sent."""

    def __init__(self, *, settings: PlatformSettings) -> None:
        self._url = settings.url.rstrip("/")
        self._timeout_s = settings.timeout_s
        self._session: aiohttp.ClientSession | None = None
        self._instance_list = InstanceList("", [])
        self.request_count = 0

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def _get(
        self, path: str, timeout_s: float, *, etag: str = "", **query: str
    ) -> Response:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        self.request_count += 1
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                self._url + path,
                params=query,
                timeout=timeout,
                headers={"If-None-Match": etag} if etag else None,
            ) as response:
                if response.status == 304:
                    return Response(etag, None)
                if response.status != 200:
                    message = f"platform responded {response.status} to GET {path}"
                    raise PlatformUnavailableError(message)
                data = await response.json()
                return Response(response.headers.get("ETag", ""), data)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            message = f"GET {path} from the platform failed: {error!r}"
            raise PlatformUnavailableError(message) from error

    async def fetch_config_delta(
        self, *, since: int, after: int = 0, wait_s: float = 0.0
    ) -> Delta:
        """Read the changes of the configuration since a revision.

        When no newer revision appears in time, the delta leads to the one that the
        service has, which is not above ``after``. It may be older than ``since``;
        ``VersionedConfig.apply`` ignores such a delta.

        Parameters
        ----------
        since : int
            Accepted revision of the reader; 0 requests every value.
        after : int
            The service responds at once when its revision is above this one. It is
            higher than ``since`` when the reader has rejected a newer revision, which
            would otherwise be sent again at once.
        wait_s : float
            Time that the service may wait for such a revision, in seconds; with 0 it
            responds at once. It extends the timeout of the request.

        Raises
        ------
        PlatformUnavailableError
            When no complete, well-formed response arrived within the timeout.
        """
        response = await self._get(
            "/v1/config",
            self._timeout_s + wait_s,
            since=str(since),
            after=str(after),
            wait_s=str(wait_s),
        )
        data = response.data
        try:
            return Delta(
                base=int(data["base"]),
                revision=int(data["revision"]),
                changed=dict(data["changed"]),
                removed=tuple(data["removed"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            message = f"response of GET /v1/config is malformed: {error!r}"
            raise PlatformUnavailableError(message) from error

    async def fetch_instances(self) -> list[Instance]:
        """Read the instance list, which lags behind the actual state.

        A platform that supports entity tags does not send an unchanged list
        again; the last list is returned then.

        Raises
        ------
        PlatformUnavailableError
            When no complete, well-formed response arrived within the timeout.
        """
        response = await self._get(
            "/v1/instances", self._timeout_s, etag=self._instance_list.etag
        )
        if response.data is None:
            return self._instance_list.instances
        try:
            instances = [
                Instance(**{**item, "serves": tuple(item["serves"])})
                for item in response.data["instances"]
            ]
        except (KeyError, TypeError) as error:
            message = f"response of GET /v1/instances is malformed: {error!r}"
            raise PlatformUnavailableError(message) from error
        self._instance_list = InstanceList(response.etag, instances)
        return instances
