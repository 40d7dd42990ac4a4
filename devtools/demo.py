"""Demo: a streamed chat, a long draft whose engine is killed, and a booking.

It checks that each answer is complete and that the booking, which is sent twice,
runs once.
"""

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
    """Send one streamed chat; return its text, or ``error: ...`` if it failed."""
    body = {
        "model": sample.MODEL,
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    texts: list[str] = []
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=HEADERS
    ) as response:
        async for line in response.content:
            if line.startswith(b"data: {"):
                event = json.loads(line.removeprefix(b"data: "))
                if "error" in event:
                    return f"error: {event['error']}"
                for choice in event["choices"]:
                    texts.append(choice["delta"].get("content") or "")
    return "".join(texts)


async def book(session: aiohttp.ClientSession, url: str, name: str) -> int:
    """Send a booking twice with one idempotency key; return the last status.

    A call without a key comes first, because its response brings the key.
    """
    call_url = f"{url}/v1/services/{sample.SERVICE}/bookings"
    async with session.post(call_url, json={"booking": name}, headers=HEADERS) as first:
        key = first.headers["Idempotency-Key"]
    status = 0
    for _ in range(2):
        async with session.post(
            call_url,
            json={"booking": name},
            headers={**HEADERS, "Idempotency-Key": key},
        ) as response:
            status = response.status
    return status


def _busiest_engine(fleet: LocalFleet) -> str:
    """Return the name of the engine that has generated the most tokens so far."""
    generated_tokens: dict[str, int] = {}
    for name, handle in fleet.handles.items():
        if handle.role == "engine":
            generated_tokens[name] = fleet.stats(name)["generated"]
    return max(generated_tokens, key=lambda name: generated_tokens[name])


def _print_result(name: str, text: str, expected: str) -> bool:
    complete = text == expected
    verdict = "whole" if complete else "NOT WHOLE"
    tokens = len(text.split())
    click.echo(f"  {name}: {tokens} tokens, {verdict}; begins {text[:30]!r}")
    return complete


async def run_demo(fleet: LocalFleet, url: str) -> bool:
    """Run the demo; return whether answers were complete and the booking ran once."""
    timeout = aiohttp.ClientTimeout(total=60)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        click.echo("what the caller saw:")
        chat_prompt = "My new helix throbs, LENGTH=20"
        text = await send_chat(session, url, chat_prompt, 64)
        complete = _print_result("quick chat", text, expected_answer(chat_prompt, 64))
        draft_prompt = f"Draft a guide, LENGTH={DRAFT_TOKENS}"
        task = asyncio.create_task(send_chat(session, url, draft_prompt, 1000))
        await asyncio.sleep(1.0)
        busiest = _busiest_engine(fleet)
        click.echo(f"  killing {busiest} in the middle of the draft")
        fleet.kill(busiest)
        text = await task
        complete &= _print_result(
            "long draft", text, expected_answer(draft_prompt, 1000)
        )
        status = await book(session, url, "helix-0300")
        runs = fleet.stats("shop-1")["runs"]
        click.echo(f"  booking sent twice: answer {status}, runs {runs}")
        return complete and status == 201 and runs == {"helix-0300": 1}


def _print_processes(handles: dict[str, ProcessHandle]) -> None:
    click.echo("processes:")
    for handle in handles.values():
        click.echo(f"  {handle.role:<9} {handle.name:<14} {HOST}:{handle.port}")


def _curl_command() -> str:
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


def _exit_on_sigterm(*_: object) -> None:
    raise KeyboardInterrupt


@click.command()
@click.option("--keep", is_flag=True, help="Keep the processes running after the demo.")
def main(keep: bool) -> None:
    """Run the demo; exit 0 only if answers were complete and the booking ran once."""
    signal.signal(signal.SIGTERM, _exit_on_sigterm)
    ports = (ENTRY_PORT,) if keep else ()
    fleet = sample.start_fleet(entry_ports=ports)
    try:
        _print_processes(fleet.handles)
        entry = fleet.handles["entry-1"]
        passed = asyncio.run(run_demo(fleet, f"http://{HOST}:{entry.port}"))
        click.echo("all whole, booked once" if passed else "FAILED")
        if keep:
            click.echo(
                f"processes keep running; try:\n  {_curl_command()}\nstop with Ctrl-C"
            )
            while True:
                time.sleep(1)
        sys.exit(0 if passed else 1)
    except KeyboardInterrupt:
        click.echo("ending")
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
