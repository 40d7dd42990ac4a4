"""HTTP client of the endpoint on the same instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from shallotroad.agent.exceptions import EndpointTimeoutError
from shallotroad.agent.exceptions import EndpointUnreachableError
from shallotroad.agent.exceptions import ResponseInterruptedError


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.protocol.peer_pb2 import Offer

CONNECT_TIMEOUT_S = 1.0
HEALTH_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 2.0
# Longest time without any bytes on a stream that is not paused, from the response
# headers on: the wait for the first token counts. The wait for the headers and a
# response that is not a stream are bounded only by the run budget of the offer.
EVENT_GAP_TIMEOUT_S = 10.0
# The event timeout is not rescheduled for every chunk, but after this time at the
# earliest. It may therefore expire early by as much.
MIN_RESCHEDULE_INTERVAL_S = 1.0
EVENT_END = b"\n\n"
# Identifier of the request, which may come from the caller and is the same for all
# attempts of the request.
REQUEST_HEADER = "X-Request-Id"
# Identifier of the attempt, unique to it, by which commands to the endpoint name it.
ATTEMPT_HEADER = "X-Attempt-Id"


class EventSplitter:
    """Splits a stream into complete server-sent events."""

    def __init__(self) -> None:
        self.remainder = b""

    def split(self, data: bytes) -> list[bytes]:
        """Return the events that ``data`` completes, each with its empty line.

        An incomplete event stays in ``remainder`` until the next call.
        """
        *events, self.remainder = (self.remainder + data).split(EVENT_END)
        return [event + EVENT_END for event in events]


class EndpointClient:
    """Runs, pauses, resumes and cancels requests at one endpoint."""

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    def _http(self) -> aiohttp.ClientSession:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        return self._session

    async def close(self) -> None:
        """Close all connections to the endpoint."""
        if self._session is not None:
            await self._session.close()

    async def run(
        self,
        offer: Offer,
        on_start: Callable[[int, str], None],
        on_chunk: Callable[[bytes], None],
        is_paused: Callable[[], bool],
    ) -> None:
        """Send one request and pass its response to callbacks as it arrives.

        A response of any HTTP status counts as complete. The run budget of the offer
        is not enforced here: ``runner.run_job`` cancels the call when it is used up.
        Errors that a callback raises are passed on unchanged.

        Parameters
        ----------
        offer : Offer
            Method, path, headers, body and identifiers to send.
        on_start : Callable[[int, str], None]
            Receives the HTTP status and content type before any chunk.
        on_chunk : Callable[[bytes], None]
            Receives each server-sent event of a stream; of any other response
            the whole body at once.
        is_paused : Callable[[], bool]
            Returns whether the request is paused, so that no event is expected.

        Raises
        ------
        EndpointUnreachableError
            When no connection could be made, so that nothing was sent.
        ResponseInterruptedError
            When the response was interrupted, or a stream ended within an event.
        EndpointTimeoutError
            When a stream that is not paused sent nothing for
            ``EVENT_GAP_TIMEOUT_S`` after the headers or its last bytes.
        """
        headers = dict(offer.headers)
        headers[REQUEST_HEADER] = offer.request
        headers[ATTEMPT_HEADER] = offer.attempt
        try:
            async with self._http().request(
                offer.method, self._url + offer.path, data=offer.body, headers=headers
            ) as response:
                on_start(response.status, response.headers.get("Content-Type", ""))
                if response.content_type == "text/event-stream":
                    await self._read_events(response.content, on_chunk, is_paused)
                else:
                    on_chunk(await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise EndpointUnreachableError(str(error)) from error
        except (aiohttp.ClientError, ConnectionError) as error:
            raise ResponseInterruptedError(repr(error)) from error

    async def _read_events(
        self,
        content: aiohttp.StreamReader,
        on_chunk: Callable[[bytes], None],
        is_paused: Callable[[], bool],
    ) -> None:
        """Pass the events of a stream to ``on_chunk`` until the stream ends.

        When ``EVENT_GAP_TIMEOUT_S`` expires, a request that is paused at that moment
        waits as long again; otherwise EndpointTimeoutError is raised. A stream that
        ends within an event raises ResponseInterruptedError.
        """
        splitter = EventSplitter()
        while not content.at_eof():
            try:
                async with asyncio.timeout(EVENT_GAP_TIMEOUT_S) as event_timeout:
                    await self._read_until_end(
                        content, event_timeout, splitter, on_chunk
                    )
            except TimeoutError:
                if not is_paused():
                    message = f"nothing for {EVENT_GAP_TIMEOUT_S} s"
                    raise EndpointTimeoutError(message) from None
        if splitter.remainder:
            raise ResponseInterruptedError("the stream ended within an event")

    async def _read_until_end(
        self,
        content: aiohttp.StreamReader,
        event_timeout: asyncio.Timeout,
        splitter: EventSplitter,
        on_chunk: Callable[[bytes], None],
    ) -> None:
        """Read until the stream ends, and postpone ``event_timeout`` as bytes arrive.

        Returns only at the end of the stream. When the timeout expires, the caller's
        timeout block raises TimeoutError.
        """
        clock = asyncio.get_running_loop().time
        rescheduled_s = clock()
        while data := await content.readany():
            for event in splitter.split(data):
                on_chunk(event)
            now_s = clock()
            if now_s - rescheduled_s > MIN_RESCHEDULE_INTERVAL_S:
                rescheduled_s = now_s
                event_timeout.reschedule(now_s + EVENT_GAP_TIMEOUT_S)

    async def healthy(self) -> bool:
        """Return whether the health check of the endpoint succeeds.

        It fails on any status but 200, on errors and after ``HEALTH_TIMEOUT_S``.
        """
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            async with self._http().get(
                self._url + "/health", timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def send_command(self, attempt: str, command: str) -> bool:
        """Send the command ``pause``, ``resume`` or ``cancel`` for an attempt.

        Commands are idempotent. Returns whether the endpoint confirmed it with
        status 200; errors and timeouts return False.
        """
        timeout = aiohttp.ClientTimeout(total=COMMAND_TIMEOUT_S)
        url = f"{self._url}/v1/requests/{attempt}/{command}"
        try:
            async with self._http().post(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
