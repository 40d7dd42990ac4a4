"""Read-only client of the configuration service and the instance list."""

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
    """One row of the platform's lagging instance list.

    ``address`` is ``host:port`` of the process's own gRPC server; ``state`` is
    ``live`` or ``leaving``; ``role`` is ``entry`` or ``agent``.
    """

    name: str
    role: str
    data_centre: str
    address: str
    state: str
    serves: tuple[str, ...] = ()


class InstanceList(NamedTuple):
    """The instance list as it was last read, with its entity tag."""

    tag: str
    instances: list[Instance]


class Response(NamedTuple):
    """A JSON answer with its entity tag; no data when it has not changed."""

    tag: str
    data: Any


class PlatformClient:
    """Reads the platform over HTTP and counts each read."""

    def __init__(self, *, settings: PlatformSettings) -> None:
        self._url = settings.url.rstrip("/")
        self._timeout_s = settings.timeout_s
        self._session: aiohttp.ClientSession | None = None
        self._instance_list = InstanceList("", [])
        self.request_count = 0

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(
        self, path: str, timeout_s: float, *, tag: str = "", **query: str
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
                headers={"If-None-Match": tag} if tag else None,
            ) as response:
                if response.status == 304:
                    return Response(tag, None)
                if response.status != 200:
                    message = f"platform answered {response.status} for {path}"
                    raise PlatformUnavailableError(message)
                data = await response.json()
                return Response(response.headers.get("ETag", ""), data)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            message = f"platform did not answer {path}: {error!r}"
            raise PlatformUnavailableError(message) from error

    async def fetch_config_delta(
        self, *, since: int, after: int = 0, wait_s: float = 0.0
    ) -> Delta:
        """Read what changed since a revision.

        Parameters
        ----------
        since : int
            Revision that the reader holds; 0 asks for every value.
        after : int
            The service answers at once when its revision is above this one.
        wait_s : float
            How long the service may wait for such a revision, in seconds.

        Raises
        ------
        PlatformUnavailableError
            When no whole answer came within the timeout.
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
            message = f"platform's configuration answer is malformed: {error!r}"
            raise PlatformUnavailableError(message) from error

    async def fetch_instances(self) -> list[Instance]:
        """Read the instance list, which lags behind the truth.

        A list that has not changed is not sent again, where the platform
        knows entity tags.

        Raises
        ------
        PlatformUnavailableError
            When no whole answer came within the timeout.
        """
        response = await self._get(
            "/v1/instances", self._timeout_s, tag=self._instance_list.tag
        )
        if response.data is None:
            return self._instance_list.instances
        try:
            instances = [
                Instance(**{**item, "serves": tuple(item["serves"])})
                for item in response.data["instances"]
            ]
        except (KeyError, TypeError) as error:
            message = f"platform's instance list is malformed: {error!r}"
            raise PlatformUnavailableError(message) from error
        self._instance_list = InstanceList(response.tag, instances)
        return instances
