"""Reverse proxy without routing or admission, the baseline of ``path_cost``.

It forwards chat requests and copies the response chunk by chunk.
"""

from __future__ import annotations

import aiohttp
import click
from aiohttp import web

from devtools.serve import serve_app


def make_app(target: str) -> web.Application:
    """Return an application that forwards chat requests to the engine at ``target``."""
    sessions: list[aiohttp.ClientSession] = []

    async def chat(request: web.Request) -> web.StreamResponse:
        if not sessions:
            connector = aiohttp.TCPConnector(limit=0)
            sessions.append(aiohttp.ClientSession(connector=connector))
        body = await request.read()
        headers = {"Content-Type": "application/json"}
        async with sessions[0].post(
            target + request.path, data=body, headers=headers
        ) as upstream:
            response = web.StreamResponse(
                status=upstream.status,
                headers={"Content-Type": upstream.headers["Content-Type"]},
            )
            await response.prepare(request)
            async for data in upstream.content.iter_any():
                await response.write(data)
            return response

    async def health(_: web.Request) -> web.Response:
        return web.json_response({})

    app = web.Application()
    app.router.add_post("/v1/chat/completions", chat)
    app.router.add_get("/health", health)
    return app


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--target", required=True)
def main(port: int, target: str) -> None:
    """Run a reverse proxy to the engine at --target."""
    serve_app(lambda: make_app(target), host="127.0.0.1", port=port)


if __name__ == "__main__":
    main()
