"""Stand-in of the platform: configuration service and lagging instance list.

The system only reads it. The ``/admin`` routes play the operators' publishing
and the faults of the platform.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from typing import Any

import click
from aiohttp import web

from devtools.serve import serve_app


READS_PER_S = 2000
VALUE_BYTES = 1_000_000


class PlatformState:
    """Every revision's values, the instances and the faults in play."""

    def __init__(self, *, list_lag_s: float) -> None:
        self.history: list[dict[str, str]] = [{}]
        self.changed = asyncio.Event()
        self.down = False
        self.stale_revision: int | None = None
        self.reads = 0
        self._second = 0
        self._reads_in_second = 0
        self._list_lag_s = list_lag_s
        self._instances: dict[str, dict[str, Any]] = {}
        self._listed: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    @property
    def revision(self) -> int:
        """The revision that the service serves now."""
        newest = len(self.history) - 1
        if self.stale_revision is None:
            return newest
        return min(newest, self.stale_revision)

    def publish(self, changed: dict[str, str], removed: list[str]) -> int:
        """Publish a new revision and return it."""
        values = {**self.history[-1], **changed}
        for key in removed:
            values.pop(key, None)
        self.history.append(values)
        self.wake()
        return len(self.history) - 1

    def wake(self) -> None:
        """Wake waiting watches."""
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()

    def changes(self, since: int) -> dict[str, Any]:
        """Return what the served revision changes against ``since``."""
        revision = self.revision
        new = self.history[revision]
        base = since if 0 < since <= revision else 0
        old = self.history[base] if base else {}
        return {
            "base": base,
            "revision": revision,
            "changed": {k: v for k, v in new.items() if old.get(k) != v},
            "removed": [k for k in old if k not in new],
        }

    def set_instances(self, rows: list[dict[str, Any]], removed: list[str]) -> None:
        """Change instances; the list shows it after its lag."""
        for row in rows:
            self._instances[row["name"]] = row
        for name in removed:
            self._instances.pop(name, None)
        shown_s = time.monotonic() + self._list_lag_s
        self._listed.append((shown_s, list(self._instances.values())))

    def instances(self) -> list[dict[str, Any]]:
        """Return the list as it is shown now."""
        now_s = time.monotonic()
        while len(self._listed) > 1 and self._listed[1][0] <= now_s:
            del self._listed[0]
        return self._listed[0][1]

    def over_rate(self) -> bool:
        """Count a read; tell whether it is over the rate limit."""
        self.reads += 1
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._reads_in_second = 0
        self._reads_in_second += 1
        return self._reads_in_second > READS_PER_S


def make_app(state: PlatformState) -> web.Application:
    """Return the HTTP application of the stand-in."""

    async def config(request: web.Request) -> web.Response:
        if state.down or state.over_rate():
            return web.Response(status=503)
        since = int(request.query.get("since", "0"))
        after = int(request.query.get("after", "0"))
        deadline_s = time.monotonic() + float(request.query.get("wait_s", "0"))
        while state.revision <= after and not state.down:
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(state.changed.wait(), left_s)
            except TimeoutError:
                break
        if state.down:
            return web.Response(status=503)
        return web.json_response(state.changes(since))

    async def instances(request: web.Request) -> web.Response:
        if state.down or state.over_rate():
            return web.Response(status=503)
        body = json.dumps({"instances": state.instances()})
        tag = hashlib.sha256(body.encode()).hexdigest()[:16]
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304)
        return web.json_response(text=body, headers={"ETag": tag})

    async def publish(request: web.Request) -> web.Response:
        data = await request.json()
        changed = data.get("changed", {})
        for value in changed.values():
            if len(value) > VALUE_BYTES:
                return web.Response(status=413)
        revision = state.publish(changed, data.get("removed", []))
        return web.json_response({"revision": revision})

    async def set_instances(request: web.Request) -> web.Response:
        data = await request.json()
        state.set_instances(data.get("rows", []), data.get("removed", []))
        return web.json_response({})

    async def set_fault(request: web.Request) -> web.Response:
        data = await request.json()
        state.down = data.get("down", False)
        state.stale_revision = data.get("stale_revision")
        state.wake()
        return web.json_response({})

    async def stats(_: web.Request) -> web.Response:
        return web.json_response({"reads": state.reads, "revision": state.revision})

    app = web.Application(client_max_size=64_000_000)
    app.router.add_get("/v1/config", config)
    app.router.add_get("/v1/instances", instances)
    app.router.add_post("/admin/publish", publish)
    app.router.add_post("/admin/instances", set_instances)
    app.router.add_post("/admin/fault", set_fault)
    app.router.add_get("/admin/stats", stats)
    return app


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--list-lag-s", type=float, default=1.0, show_default=True)
def main(host: str, port: int, list_lag_s: float) -> None:
    """Run the platform stand-in."""
    serve_app(
        lambda: make_app(PlatformState(list_lag_s=list_lag_s)), host=host, port=port
    )


if __name__ == "__main__":
    main()
