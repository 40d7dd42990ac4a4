"""Read-only client of the configuration service and the instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import aiohttp

from shallotroad.config.revision_log import Delta
from shallotroad.platform.exceptions import PlatformUnavailableError


if TYPE_CHECKING:
    from shallotroad.config.settings import Platform


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


class PlatformClient:
    """Reads the platform over HTTP and counts each read."""

    def __init__(self, *, settings: Platform) -> None:
        self._url = settings.url.rstrip("/")
        self._timeout_s = settings.timeout_s
        self._session: aiohttp.ClientSession | None = None
        self.reads = 0

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(self, path: str, timeout_s: float, **query: str) -> Any:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        self.reads += 1
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                self._url + path, params=query, timeout=timeout
            ) as answer:
                if answer.status != 200:
                    message = f"platform answered {answer.status} for {path}"
                    raise PlatformUnavailableError(message)
                return await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            message = f"platform did not answer {path}: {error!r}"
            raise PlatformUnavailableError(message) from error

    async def changes(
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
        answer = await self._get(
            "/v1/config",
            self._timeout_s + wait_s,
            since=str(since),
            after=str(after),
            wait_s=str(wait_s),
        )
        try:
            return Delta(
                base=int(answer["base"]),
                revision=int(answer["revision"]),
                changed=dict(answer["changed"]),
                removed=tuple(answer["removed"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            message = f"platform's configuration answer is malformed: {error!r}"
            raise PlatformUnavailableError(message) from error

    async def instances(self) -> list[Instance]:
        """Read the instance list, which lags behind the truth.

        Raises
        ------
        PlatformUnavailableError
            When no whole answer came within the timeout.
        """
        answer = await self._get("/v1/instances", self._timeout_s)
        try:
            return [
                Instance(**{**row, "serves": tuple(row["serves"])})
                for row in answer["instances"]
            ]
        except (KeyError, TypeError) as error:
            message = f"platform's instance list is malformed: {error!r}"
            raise PlatformUnavailableError(message) from error
