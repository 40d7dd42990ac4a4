"""Cost of the path for each token, against a plain pass-through, in pairs."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import NamedTuple

import aiohttp
import click

from devtools import sample_fleet as sample
from devtools.bench.usage import read_usage
from devtools.processes import HOST
from devtools.processes import LocalFleet
from devtools.processes import ProcessHandle
from devtools.processes import free_port


WARM_STREAMS = 10
GAP_S = 0.026


class Cost(NamedTuple):
    """Cost of one run; processor time in microseconds a token."""

    name: str
    tokens: int
    span_s: float
    us_a_token: dict[str, float]
    first_token_p50_ms: float
    first_token_p99_ms: float
    gap_p95_ms: float
    memory_mb: dict[str, float]


class StreamTiming(NamedTuple):
    """What one stream saw."""

    first_s: float
    gaps_s: list[float]
    tokens: int


async def _stream(
    session: aiohttp.ClientSession, url: str, prompt: str, tokens: int
) -> StreamTiming:
    body = {
        "model": sample.MODEL,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": f"{prompt} LENGTH={tokens}"}],
    }
    headers = {"Authorization": f"Bearer {sample.TEAM_KEY}"}
    started_s = time.monotonic()
    first_s = last_s = 0.0
    gaps_s = []
    count = 0
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        async for data in response.content.iter_any():
            now_s = time.monotonic()
            found = data.count(b'"content"')
            if found and not first_s:
                first_s = now_s - started_s
            elif found:
                gaps_s.append((now_s - last_s) / found)
            last_s = now_s
            count += found
    return StreamTiming(first_s, gaps_s, count)


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _by_role(processes: list[ProcessHandle], values: list[float]) -> dict[str, float]:
    """Return the sum of the values of the processes of each role."""
    sums: dict[str, float] = {}
    for handle, value in zip(processes, values, strict=True):
        sums[handle.role] = sums.get(handle.role, 0.0) + value
    return sums


async def _run(
    name: str, url: str, processes: list[ProcessHandle], streams: int, tokens: int
) -> Cost:
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=120)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        await asyncio.gather(
            *(_stream(session, url, f"warm {n}", 20) for n in range(WARM_STREAMS))
        )
        before = [read_usage(h.process.pid) for h in processes]
        started_s = time.monotonic()

        async def later(number: int) -> StreamTiming:
            await asyncio.sleep(GAP_S * tokens / 4 * number / streams)
            return await _stream(session, url, f"{name} {number}", tokens)

        timings = await asyncio.gather(*(later(n) for n in range(streams)))
        span_s = time.monotonic() - started_s
        after = [read_usage(h.process.pid) for h in processes]
    total = sum(timing.tokens for timing in timings)
    firsts = [timing.first_s for timing in timings]
    gaps = [gap for timing in timings for gap in timing.gaps_s]
    return Cost(
        name=name,
        tokens=total,
        us_a_token=_by_role(
            processes,
            [
                (b.cpu_s - a.cpu_s) * 1e6 / total
                for a, b in zip(before, after, strict=True)
            ],
        ),
        span_s=span_s,
        first_token_p50_ms=_quantile(firsts, 0.5) * 1000,
        first_token_p99_ms=_quantile(firsts, 0.99) * 1000,
        gap_p95_ms=_quantile(gaps, 0.95) * 1000,
        memory_mb=_by_role(processes, [b.memory_bytes / 1e6 for b in after]),
    )


def _start(fleet: LocalFleet, agents: int) -> tuple[ProcessHandle, list[ProcessHandle]]:
    fleet.start_platform()
    fleet.publish(sample.initial_values())
    routers = []
    for number in range(agents):
        engine = fleet.start_engine(
            f"engine-{number}",
            *("--step-s", str(GAP_S)),
            *("--bears", "1000"),
            *("--batch-slope", "0"),
        )
        routers.append(
            fleet.start_agent(
                f"assistant-{number}",
                sample.DATA_CENTRES[0],
                engine,
                [sample.MODEL],
                max_running=1000,
                floor_running=1000,
            )
        )
    port = free_port()
    target = f"http://{HOST}:{fleet.handles['engine-0'].port}"
    command = ["-m", "devtools.bench.passthrough", "--port", str(port)]
    plain = fleet.spawn("plain", "engine", [*command, "--target", target], port)
    routers.append(fleet.start_entry("entry-1", sample.DATA_CENTRES[0]))
    return plain, routers


def _print(cost: Cost) -> None:
    parts = "  ".join(f"{k} {v:.1f}" for k, v in cost.us_a_token.items())
    memory = "  ".join(f"{k} {v:.0f}" for k, v in cost.memory_mb.items())
    click.echo(
        f"{cost.name:<12} {cost.tokens} tokens, {cost.tokens / cost.span_s:.0f}/s; "
        f"us a token: {parts}; "
        f"first token p50 {cost.first_token_p50_ms:.1f} ms, "
        f"p99 {cost.first_token_p99_ms:.1f} ms; gap p95 {cost.gap_p95_ms:.1f} ms; "
        f"MB: {memory}"
    )


async def _pairs(
    fleet: LocalFleet,
    plain: ProcessHandle,
    routers: list[ProcessHandle],
    streams: int,
    tokens: int,
    pairs: int,
) -> list[float]:
    ratios = []
    entry = fleet.handles["entry-1"]
    for _ in range(pairs):
        base = await _run(
            "pass-through", f"http://{HOST}:{plain.port}", [plain], streams, tokens
        )
        _print(base)
        routed = await _run(
            "shallotroad", f"http://{HOST}:{entry.port}", routers, streams, tokens
        )
        _print(routed)
        ratios.append(sum(routed.us_a_token.values()) / base.us_a_token["engine"])
    return ratios


@click.command()
@click.option("--streams", default=100, show_default=True)
@click.option("--tokens", default=200, show_default=True)
@click.option("--pairs", default=3, show_default=True)
@click.option("--agents", default=1, show_default=True)
def main(streams: int, tokens: int, pairs: int, agents: int) -> None:
    """Measure processor time a token of entry and agents, and of a pass-through.

    With more than one agent the pass-through still has one engine.
    """
    fleet = LocalFleet(log_level="WARNING")
    try:
        plain, routers = _start(fleet, agents)
        ratios = asyncio.run(_pairs(fleet, plain, routers, streams, tokens, pairs))
    finally:
        fleet.close()
    shown = ", ".join(f"{ratio:.2f}" for ratio in ratios)
    click.echo(f"entry and agent against the pass-through: {shown}")
    sys.exit(0)


if __name__ == "__main__":
    main()
