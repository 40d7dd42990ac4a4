"""HTTP requests of commands to running processes."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import aiohttp
import click


REQUEST_TIMEOUT_S = 5.0
EXIT_UNREACHABLE = 1


async def _request(
    method: str, url: str, body: Any, headers: dict[str, str]
) -> tuple[int, Any]:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(method, url, json=body, headers=headers) as response,
    ):
        return response.status, await response.json()


def request_or_exit(
    address: str,
    path: str,
    *,
    method: str = "GET",
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> Any:
    """Return the JSON response of a process, or print the error and exit with 1.

    Any status other than 200 is an error.

    Parameters
    ----------
    address : str
        ``host:port`` of the HTTP listener of the process.
    path : str
        Path of the request.
    method, body, headers
        HTTP method, JSON body and headers of the request.
    """
    url = f"http://{address}{path}"
    try:
        status, data = asyncio.run(_request(method, url, body, headers or {}))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        click.echo(
            f"{address} did not respond ({error}); use the status address of the "
            "process, or the callers' address of an entry",
            err=True,
        )
        sys.exit(EXIT_UNREACHABLE)
    if status != 200:
        message = data.get("error", {}).get("message", data)
        click.echo(f"{address} responded with {status}: {message}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    return data
