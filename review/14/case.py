"""Answers that are broken off, with white space after their length (claim.txt)."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins_3 import HOST
from standins_3 import CaseError
from standins_3 import ClientChannel
from standins_3 import Replica
from standins_3 import RouteSpec
from standins_3 import Run
from standins_3 import Store
from standins_3 import client_headers
from standins_3 import make_configuration
from standins_3 import run_case


if TYPE_CHECKING:
    from standins_3 import ReplicaRequest

REQUESTS = 300
CLIENTS = 6
# Each replica breaks off one in so many of its answers.
BROKEN_OFF_ONE_IN = 50
BODY = b"0123456789" * 80
DEADLINE_MS = 1_500
ROUTES = [
    RouteSpec("/book/", "unsafe", "shopfront", 1_500, 125, 2),
    RouteSpec("/stock/", "safe", "shopfront", 1_500, 125, 2, 2),
]


async def main(run: Run) -> bool:
    """Compare the bodies that clients get with what the replicas announced."""
    record = run.record
    answered: dict[str, int] = {}
    broken_off: list[str] = []

    async def answer(
        replica: Replica, request: ReplicaRequest, writer: asyncio.StreamWriter
    ) -> None:
        answered[replica.name] = answered.get(replica.name, 0) + 1
        # HTTP/1.1 lets white space follow the value of a header.
        head = replica.head(
            request,
            "200 OK",
            f"X-Replica-Signature: {replica.name}\r\nContent-Length: {len(BODY)} \r\n",
        )
        if run.trouble and answered[replica.name] % BROKEN_OFF_ONE_IN == 0:
            broken_off.append(request.request_id)
            record.add(
                f"replica {replica.name} runs {request.request_id}, announces "
                f"{len(BODY)} bytes and breaks off after {len(BODY) // 2}"
            )
            writer.write(head + BODY[: len(BODY) // 2])
            await writer.drain()
            raise ConnectionResetError
        writer.write(head + BODY)

    store = Store()
    await store.start()
    store.put("op/config", make_configuration(1, ROUTES, {}))
    for number in range(3):
        replica = Replica(name=f"i-{number}", service="shopfront", run=answer, slots=6)
        await replica.start()
        replica.register(store)
    gateway = run.gateway("front-a-1", "127.0.0.2")
    await gateway.start((HOST, store.port), [])
    await asyncio.sleep(0.5)

    statuses: dict[int, int] = {}
    wrong = 0
    sent = 0

    async def client() -> None:
        nonlocal sent, wrong
        channel = await ClientChannel.open(gateway.host, gateway.ports["front"])
        while sent < REQUESTS:
            sent += 1
            request_id = f"q{sent:03}"
            is_booking = sent % 2 == 0
            await channel.send(
                "POST" if is_booking else "GET",
                f"/{'book' if is_booking else 'stock'}/{sent}",
                client_headers(request_id, DEADLINE_MS),
                b"slot" if is_booking else b"",
            )
            result = await channel.answer()
            statuses[result.status] = statuses.get(result.status, 0) + 1
            if result.status == 200 and result.complete and result.body != BODY:
                wrong += 1
                record.add(
                    f"{request_id} is answered 200 as complete, with "
                    f"{len(result.body)} bytes"
                )
            elif request_id in broken_off:
                record.add(f"{request_id} is answered {result.status}")
            if not result.complete or result.headers.get("connection") == "close":
                channel.writer.close()
                channel = await ClientChannel.open(gateway.host, gateway.ports["front"])
        channel.writer.close()

    await asyncio.gather(*(client() for _ in range(CLIENTS)))
    record.add(
        f"{sent} requests, answered {statuses}, {len(broken_off)} answers broken off, "
        f"{wrong} successes with a part of the body"
    )
    if 200 not in statuses:
        raise CaseError("no request was served")
    return not wrong


if __name__ == "__main__":
    run_case(main, timeout_s=60.0)
