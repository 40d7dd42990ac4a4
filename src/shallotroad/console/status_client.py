"""Requests of commands to running processes."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import aiohttp
import click


TIMEOUT_S = 5.0
EXIT_UNREACHABLE = 1


async def _request(
    method: str, url: str, body: Any, headers: dict[str, str]
) -> tuple[int, Any]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
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
    """Return a process's JSON answer, or print why there is none and exit 1.

    Parameters
    ----------
    address : str
        ``host:port`` of the process's HTTP side.
    path : str
        Path to ask for.
    method, body, headers
        Of the request.
    """
    url = f"http://{address}{path}"
    try:
        status, data = asyncio.run(_request(method, url, body, headers or {}))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        click.echo(
            f"{address} did not answer ({error}); give the process's status "
            "address, for an entry its callers' address",
            err=True,
        )
        sys.exit(EXIT_UNREACHABLE)
    if status != 200:
        message = data.get("error", {}).get("message", data)
        click.echo(f"{address} answered {status}: {message}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    return data
