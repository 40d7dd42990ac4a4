"""The demo: a streamed chat, a long draft and a booking, with a crash within."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from typing import Any

import aiohttp
import click

from devtools import sample_fleet as sample
from devtools.engine_model import expected_answer
from devtools.processes import HOST
from devtools.processes import LocalFleet
from devtools.processes import ProcessHandle


ENTRY_PORT = 8080
HEADERS = {"Authorization": f"Bearer {sample.TEAM_KEY}"}
DRAFT_TOKENS = 300


async def send_chat(
    session: aiohttp.ClientSession, url: str, prompt: str, max_tokens: int
) -> str:
    """Send one streamed chat and return its text."""
    body = {
        "model": sample.MODEL,
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    words: list[str] = []
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=HEADERS
    ) as response:
        async for line in response.content:
            if line.startswith(b"data: {"):
                event = json.loads(line.removeprefix(b"data: "))
                if "error" in event:
                    return f"error: {event['error']}"
                for choice in event["choices"]:
                    words.append(choice["delta"].get("content") or "")
    return "".join(words)


async def book(session: aiohttp.ClientSession, url: str, name: str) -> int:
    """Book once, with the key that the first answer brings, and send it twice."""
    call = f"{url}/v1/services/{sample.SERVICE}/bookings"
    async with session.post(call, json={"booking": name}, headers=HEADERS) as first:
        key = first.headers["Idempotency-Key"]
    status = 0
    for _ in range(2):
        async with session.post(
            call,
            json={"booking": name},
            headers={**HEADERS, "Idempotency-Key": key},
        ) as response:
            status = response.status
    return status


def _busiest_engine(fleet: LocalFleet) -> str:
    running: dict[str, int] = {}
    for name, handle in fleet.handles.items():
        if handle.role == "engine":
            running[name] = fleet.stats(name)["generated"]
    return max(running, key=lambda name: running[name])


def _report(name: str, text: str, expected: str) -> bool:
    complete = text == expected
    verdict = "whole" if complete else "NOT WHOLE"
    tokens = len(text.split())
    click.echo(f"  {name}: {tokens} tokens, {verdict}; begins {text[:30]!r}")
    return complete


async def play(fleet: LocalFleet, url: str) -> bool:
    """Play the demo and tell whether every promise held."""
    timeout = aiohttp.ClientTimeout(total=60)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        click.echo("what the caller saw:")
        quick = "My new helix throbs, LENGTH=20"
        text = await send_chat(session, url, quick, 64)
        complete = _report("quick chat", text, expected_answer(quick, 64))
        draft = f"Draft a guide, LENGTH={DRAFT_TOKENS}"
        task = asyncio.create_task(send_chat(session, url, draft, 1000))
        await asyncio.sleep(1.0)
        victim = _busiest_engine(fleet)
        click.echo(f"  killing {victim} in the middle of the draft")
        fleet.kill(victim)
        text = await task
        complete &= _report("long draft", text, expected_answer(draft, 1000))
        status = await book(session, url, "helix-0300")
        runs = fleet.stats("shop-1")["runs"]
        click.echo(f"  booking sent twice: answer {status}, runs {runs}")
        return complete and status == 201 and runs == {"helix-0300": 1}


def _print_processes(handles: dict[str, ProcessHandle]) -> None:
    click.echo("processes:")
    for handle in handles.values():
        click.echo(f"  {handle.role:<9} {handle.name:<14} {HOST}:{handle.port}")


def _curl_line() -> str:
    body: dict[str, Any] = {
        "model": sample.MODEL,
        "stream": True,
        "max_tokens": 64,
        "messages": [{"role": "user", "content": "Is swelling normal? LENGTH=30"}],
    }
    return (
        f"curl -N http://{HOST}:{ENTRY_PORT}/v1/chat/completions "
        f"-H 'Authorization: Bearer {sample.TEAM_KEY}' "
        f"-H 'Content-Type: application/json' -d '{json.dumps(body)}'"
    )


def _exit_on_term(*_: object) -> None:
    raise KeyboardInterrupt


@click.command()
@click.option("--keep", is_flag=True, help="Stay up afterwards.")
def main(keep: bool) -> None:
    """Run the demo; exit 0 only if every answer was whole and once."""
    signal.signal(signal.SIGTERM, _exit_on_term)
    ports = (ENTRY_PORT,) if keep else ()
    fleet = sample.start_fleet(entry_ports=ports)
    try:
        _print_processes(fleet.handles)
        entry = fleet.handles["entry-1"]
        passed = asyncio.run(play(fleet, f"http://{HOST}:{entry.port}"))
        click.echo("all whole, booked once" if passed else "FAILED")
        if keep:
            click.echo(f"staying up; try:\n  {_curl_line()}\nend with Ctrl-C")
            while True:
                time.sleep(1)
        sys.exit(0 if passed else 1)
    except KeyboardInterrupt:
        click.echo("ending")
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
