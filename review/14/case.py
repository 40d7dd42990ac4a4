"""Streams that a client takes up at a gateway that is cut off (claim.txt)."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from standins_3 import HOST
from standins_3 import CaseError
from standins_3 import ClientChannel
from standins_3 import Replica
from standins_3 import RouteSpec
from standins_3 import Run
from standins_3 import SilentProxy
from standins_3 import Store
from standins_3 import client_headers
from standins_3 import make_configuration
from standins_3 import run_case


if TYPE_CHECKING:
    from standins_3 import ReplicaRequest

STREAMS = 12
EVENTS = 20
EVENT_GAP_S = 0.1
DEADLINE_MS = 5_000
# Events that a client has when its channel is reset.
EVENTS_BEFORE_RESET = 4
# More than this many streams of two versions break the rule.
ALLOWED_STREAMS = 2
ROUTE = RouteSpec(
    "/summary/",
    "streaming",
    "assistant",
    timeout_ms=5_000,
    objective_ms=800,
    priority=1,
    max_attempts=2,
    resumable=True,
    gap_ms=400,
)
ENGINE = {"slots": 64, "kv-tokens": 505_611, "stride": 4, "most": 12}


def event(number: int, request_id: str, replica: Replica) -> bytes:
    """Return one event of a stream, which names the version that wrote it."""
    text = f"id: {number}\ndata: {request_id} {replica.name} {replica.version}\n\n"
    return text.encode()


async def main(run: Run) -> bool:
    """Begin streams at one gateway and take them up at another one that is cut off."""
    record = run.record

    async def write_stream(
        replica: Replica, request: ReplicaRequest, writer: asyncio.StreamWriter
    ) -> None:
        after = int(request.headers.get("last-event-id", "0"))
        record.add(
            f"replica {replica.name} {replica.version} runs {request.request_id} "
            f"after event {after}"
        )
        writer.write(
            replica.head(
                request,
                "200 OK",
                f"X-Replica-Signature: {replica.name}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
            )
        )
        for number in range(after + 1, EVENTS + 1):
            data = event(number, request.request_id, replica)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")

    store = Store()
    await store.start()
    store.put("op/config", make_configuration(1, [ROUTE], {"assistant": ENGINE}))
    replicas = [
        Replica(name=f"i-a{n}", service="assistant", run=write_stream) for n in range(2)
    ]
    for replica in replicas:
        await replica.start()
        replica.register(store)

    first = run.gateway("front-a-1", "127.0.0.2")
    second = run.gateway("front-a-2", "127.0.0.3")
    # The second machine reaches the store, and each machine the other, through a proxy.
    store_link = SilentProxy(target=(HOST, store.port))
    to_first = SilentProxy(target=(first.host, first.ports["control"]))
    to_second = SilentProxy(target=(second.host, second.ports["control"]))
    for proxy in (store_link, to_first, to_second):
        await proxy.start()
    if run.trouble:
        to_first.cut = to_second.cut = True
        record.add("front-a-2 is cut off from the other machine")
    cut_s = time.monotonic()
    await asyncio.gather(
        first.start((HOST, store.port), [f"{HOST}:{to_second.port}"]),
        second.start((HOST, store_link.port), [f"{HOST}:{to_first.port}"]),
    )
    record.add("both machines are ready")
    await asyncio.sleep(1.0)
    if run.trouble:
        store_link.cut = True
        record.add("front-a-2 is cut off from the store too")
    await asyncio.sleep(0.3)

    added = [
        Replica(name=f"i-b{n}", service="assistant", run=write_stream, version="v2")
        for n in range(2)
    ]
    for replica in added:
        await replica.start()
        replica.register(store)
    record.add("two replicas of version v2 are added")
    await asyncio.sleep(1.5 if run.trouble else 3.0)

    async def client(number: int) -> tuple[bytes, bytes, int]:
        """Return what a client received at its first try and at its second one."""
        begun_id, resumed_id = f"q{number:02}-1", f"q{number:02}-2"
        prompt = f"5c{number:02}:800,e4{number:02}:250"
        headers = {"X-Model": "m", "X-Token-Usage": "1050,80"}
        headers["X-Prompt-Prefix"] = prompt
        channel = await ClientChannel.open(first.host, first.ports["front"])
        await channel.send(
            "POST",
            ROUTE.prefix + "1",
            client_headers(begun_id, DEADLINE_MS) | headers,
            b"prompt",
        )
        status, _ = await channel.head()
        if status != 200:
            raise CaseError(f"{begun_id} is answered {status}")
        begun = b""
        while begun.count(b"\n\n") < EVENTS_BEFORE_RESET:
            begun += await channel.chunk()
        channel.reset()
        last_id = begun.count(b"\n\n")
        record.add(f"channel of {begun_id} is reset after event {last_id}")
        channel = await ClientChannel.open(second.host, second.ports["front"])
        await channel.send(
            "POST",
            ROUTE.prefix + "1",
            client_headers(
                resumed_id,
                DEADLINE_MS - 600,
                Last_Event_Id=str(last_id),
                Resumes=begun_id,
            )
            | headers,
            b"prompt",
        )
        answer = await channel.answer()
        record.add(
            f"{resumed_id} at front-a-2 takes up {begun_id}: {answer.status}, "
            f"{answer.body.count(b'id: ')} events, complete {answer.complete}"
        )
        return begun, answer.body if answer.status == 200 else b"", answer.status

    if not await second.is_ready():
        raise CaseError("front-a-2 is not ready, so no client comes to it")
    results = await asyncio.gather(*(client(number) for number in range(STREAMS)))
    record.add(f"length of the cut so far: {time.monotonic() - cut_s:.1f} s")
    mixed = 0
    for number, (begun, resumed, _) in enumerate(results):
        versions = {
            line.split()[-1]
            for line in (begun + resumed).decode().splitlines()
            if line.startswith("data:")
        }
        if len(versions) > 1:
            mixed += 1
            record.add(f"stream q{number:02} holds events of {sorted(versions)}")
    of_new_version = sum(b" v2\n" in begun for begun, _, _ in results)
    taken_up = sum(status == 200 for _, _, status in results)
    record.add(
        f"{STREAMS} streams, {of_new_version} begun by v2, {taken_up} taken up, "
        f"{mixed} of two versions ({ALLOWED_STREAMS} are allowed)"
    )
    if of_new_version <= ALLOWED_STREAMS:
        raise CaseError("too few streams began at the new version")
    return mixed <= ALLOWED_STREAMS


if __name__ == "__main__":
    run_case(main, timeout_s=60.0)
