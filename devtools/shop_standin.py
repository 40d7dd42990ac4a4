"""Stand-in of a plain service that counts how often it runs each booking.

A booking with ``crash`` set ends the process with exit code 18 after it was
counted.
"""

from __future__ import annotations

import asyncio
import os

import click
from aiohttp import web

from devtools.serve import serve_app


def make_app() -> web.Application:
    """Return the HTTP application of the service."""
    runs: dict[str, int] = {}

    async def book(request: web.Request) -> web.Response:
        data = await request.json()
        name = str(data["booking"])
        runs[name] = runs.get(name, 0) + 1
        await asyncio.sleep(float(data.get("delay_s", 0)))
        if data.get("crash"):
            os._exit(18)
        return web.json_response({"booked": name, "run": runs[name]}, status=201)

    async def stock(_: web.Request) -> web.Response:
        return web.json_response({"titanium": 7})

    async def stats(_: web.Request) -> web.Response:
        return web.json_response({"runs": runs})

    async def health(_: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    app = web.Application()
    app.router.add_post("/bookings", book)
    app.router.add_get("/stock", stock)
    app.router.add_get("/stats", stats)
    app.router.add_get("/health", health)
    return app


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
def main(host: str, port: int) -> None:
    """Run a stand-in of a plain service."""
    serve_app(make_app, host=host, port=port)


if __name__ == "__main__":
    main()
