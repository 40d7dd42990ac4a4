"""Stand-in of the platform: configuration service and lagging instance list.

Entries and agents only read from it. The ``/admin`` routes let a test publish as
operators do, change the instance list and inject faults.
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


# Further reads within one second get status 503.
MAX_READS_PER_S = 2000
# A publication with a longer value gets status 413. The length is counted in
# characters of the text, so that only ASCII text is limited to as many bytes.
MAX_VALUE_BYTES = 1_000_000


class PlatformState:
    """The values of every revision, the instances and the current faults.

    While ``down`` is set, every read gets status 503. ``stale_revision`` limits the
    revision that is served. The instance list shows a change after ``list_lag_s``.
    """

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
        self._snapshots: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    @property
    def revision(self) -> int:
        """The revision that the configuration service serves now."""
        newest = len(self.history) - 1
        if self.stale_revision is None:
            return newest
        return min(newest, self.stale_revision)

    def publish(self, changed: dict[str, str], removed: list[str]) -> int:
        """Publish changed and removed values as a new revision and return it."""
        values = {**self.history[-1], **changed}
        for key in removed:
            values.pop(key, None)
        self.history.append(values)
        self.notify_watches()
        return len(self.history) - 1

    def notify_watches(self) -> None:
        """Let every waiting watch look at the state again."""
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()

    def delta(self, since: int) -> dict[str, Any]:
        """Return the changes from revision ``since`` to the one that is served.

        All values are returned, with base 0, when ``since`` is 0 or newer than the
        served revision.
        """
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
        """Add, replace and remove instances; the list shows it after its lag."""
        for row in rows:
            self._instances[row["name"]] = row
        for name in removed:
            self._instances.pop(name, None)
        visible_at_s = time.monotonic() + self._list_lag_s
        self._snapshots.append((visible_at_s, list(self._instances.values())))

    def instances(self) -> list[dict[str, Any]]:
        """Return the newest instance list that is visible after the lag."""
        now_s = time.monotonic()
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now_s:
            del self._snapshots[0]
        return self._snapshots[0][1]

    def record_read(self) -> bool:
        """Count a read; return whether it exceeds the rate limit."""
        self.reads += 1
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._reads_in_second = 0
        self._reads_in_second += 1
        return self._reads_in_second > MAX_READS_PER_S


def make_app(state: PlatformState) -> web.Application:
    """Return the HTTP application of the platform stand-in."""

    async def config(request: web.Request) -> web.Response:
        if state.down or state.record_read():
            return web.Response(status=503)
        since = int(request.query.get("since", "0"))
        after = int(request.query.get("after", "0"))
        deadline_s = time.monotonic() + float(request.query.get("wait_s", "0"))
        while state.revision <= after and not state.down:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(state.changed.wait(), remaining_s)
            except TimeoutError:
                break
        if state.down:
            return web.Response(status=503)
        return web.json_response(state.delta(since))

    async def instances(request: web.Request) -> web.Response:
        if state.down or state.record_read():
            return web.Response(status=503)
        body = json.dumps({"instances": state.instances()})
        etag = hashlib.sha256(body.encode()).hexdigest()[:16]
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304)
        return web.json_response(text=body, headers={"ETag": etag})

    async def publish(request: web.Request) -> web.Response:
        data = await request.json()
        changed = data.get("changed", {})
        for value in changed.values():
            if len(value) > MAX_VALUE_BYTES:
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
        state.notify_watches()
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
    """Run a stand-in of the platform."""
    serve_app(
        lambda: make_app(PlatformState(list_lag_s=list_lag_s)), host=host, port=port
    )


if __name__ == "__main__":
    main()
