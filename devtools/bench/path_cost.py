"""Command that measures the router's processor time for each token.

Runs come in pairs, the first through a pass-through proxy and the second through the
router. The result is the ratio of the processor time of each pair.
"""

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


WARMUP_STREAMS = 10
ENGINE_STEP_S = 0.026


class PathCost(NamedTuple):
    """Cost of the processes on the path of one run.

    Parameters
    ----------
    name : str
        Path that was measured.
    tokens : int
        Tokens that all streams received.
    span_s : float
        Seconds from the first request to the end of the last stream.
    cpu_us_per_token : dict of str to float
        Processor time in microseconds for each token, by role of the processes.
    first_token_p50_ms, first_token_p99_ms : float
        Median and 99th percentile of the time to first token.
    token_interval_p95_ms : float
        95th percentile of the time between two tokens.
    memory_mb : dict of str to float
        Resident memory at the end in megabytes, by role of the processes.
    """

    name: str
    tokens: int
    span_s: float
    cpu_us_per_token: dict[str, float]
    first_token_p50_ms: float
    first_token_p99_ms: float
    token_interval_p95_ms: float
    memory_mb: dict[str, float]


class StreamTiming(NamedTuple):
    """Timing of one stream at the caller.

    ``first_token_s`` is the time to first token and 0 if there was none.
    ``token_intervals_s`` holds the times between tokens, averaged over each chunk.
    """

    first_token_s: float
    token_intervals_s: list[float]
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
    first_token_s = last_s = 0.0
    token_intervals_s = []
    count = 0
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        async for data in response.content.iter_any():
            now_s = time.monotonic()
            new_tokens = data.count(b'"content"')
            if new_tokens and not first_token_s:
                first_token_s = now_s - started_s
            elif new_tokens:
                token_intervals_s.append((now_s - last_s) / new_tokens)
            last_s = now_s
            count += new_tokens
    return StreamTiming(first_token_s, token_intervals_s, count)


def _quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _sum_by_role(
    processes: list[ProcessHandle], values: list[float]
) -> dict[str, float]:
    """Return the sum of the values by role; ``values`` parallels ``processes``."""
    sums: dict[str, float] = {}
    for handle, value in zip(processes, values, strict=True):
        sums[handle.role] = sums.get(handle.role, 0.0) + value
    return sums


async def _measure(
    name: str, url: str, processes: list[ProcessHandle], streams: int, tokens: int
) -> PathCost:
    """Measure ``streams`` streams of ``tokens`` tokens through ``url``.

    The starts of the streams are spread over about a quarter of the time that one
    stream takes. Usage of the warm-up streams is not counted.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=120)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        await asyncio.gather(
            *(_stream(session, url, f"warm {n}", 20) for n in range(WARMUP_STREAMS))
        )
        before = [read_usage(h.process.pid) for h in processes]
        started_s = time.monotonic()

        async def stream_when_due(number: int) -> StreamTiming:
            await asyncio.sleep(ENGINE_STEP_S * tokens / 4 * number / streams)
            return await _stream(session, url, f"{name} {number}", tokens)

        timings = await asyncio.gather(*(stream_when_due(n) for n in range(streams)))
        span_s = time.monotonic() - started_s
        after = [read_usage(h.process.pid) for h in processes]
    total_tokens = sum(timing.tokens for timing in timings)
    first_tokens_s = [timing.first_token_s for timing in timings]
    token_intervals_s = [
        interval_s for timing in timings for interval_s in timing.token_intervals_s
    ]
    return PathCost(
        name=name,
        tokens=total_tokens,
        cpu_us_per_token=_sum_by_role(
            processes,
            [
                (b.cpu_s - a.cpu_s) * 1e6 / total_tokens
                for a, b in zip(before, after, strict=True)
            ],
        ),
        span_s=span_s,
        first_token_p50_ms=_quantile(first_tokens_s, 0.5) * 1000,
        first_token_p99_ms=_quantile(first_tokens_s, 0.99) * 1000,
        token_interval_p95_ms=_quantile(token_intervals_s, 0.95) * 1000,
        memory_mb=_sum_by_role(processes, [b.memory_bytes / 1e6 for b in after]),
    )


def _start_processes(
    fleet: LocalFleet, agents: int
) -> tuple[ProcessHandle, list[ProcessHandle]]:
    """Start the fleet and the pass-through proxy.

    Return the proxy's process, and the agents' and the entry's processes. The proxy has
    the role ``engine`` and sends to the first engine.
    """
    fleet.start_platform()
    fleet.publish(sample.initial_values())
    router_processes = []
    for number in range(agents):
        engine = fleet.start_engine(
            f"engine-{number}",
            *("--step-s", str(ENGINE_STEP_S)),
            *("--bears", "1000"),
            *("--batch-slope", "0"),
        )
        router_processes.append(
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
    passthrough = fleet.spawn("plain", "engine", [*command, "--target", target], port)
    router_processes.append(fleet.start_entry("entry-1", sample.DATA_CENTRES[0]))
    return passthrough, router_processes


def _print_cost(cost: PathCost) -> None:
    parts = "  ".join(f"{k} {v:.1f}" for k, v in cost.cpu_us_per_token.items())
    memory = "  ".join(f"{k} {v:.0f}" for k, v in cost.memory_mb.items())
    click.echo(
        f"{cost.name:<12} {cost.tokens} tokens, {cost.tokens / cost.span_s:.0f}/s; "
        f"us a token: {parts}; "
        f"first token p50 {cost.first_token_p50_ms:.1f} ms, "
        f"p99 {cost.first_token_p99_ms:.1f} ms; "
        f"gap p95 {cost.token_interval_p95_ms:.1f} ms; "
        f"MB: {memory}"
    )


async def _measure_pairs(
    fleet: LocalFleet,
    passthrough: ProcessHandle,
    router_processes: list[ProcessHandle],
    streams: int,
    tokens: int,
    pairs: int,
) -> list[float]:
    """Return for each pair the router's processor time as ratio to the baseline."""
    ratios = []
    entry = fleet.handles["entry-1"]
    for _ in range(pairs):
        baseline = await _measure(
            "pass-through",
            f"http://{HOST}:{passthrough.port}",
            [passthrough],
            streams,
            tokens,
        )
        _print_cost(baseline)
        routed = await _measure(
            "shallotroad",
            f"http://{HOST}:{entry.port}",
            router_processes,
            streams,
            tokens,
        )
        _print_cost(routed)
        ratios.append(
            sum(routed.cpu_us_per_token.values()) / baseline.cpu_us_per_token["engine"]
        )
    return ratios


@click.command()
@click.option("--streams", default=100, show_default=True)
@click.option("--tokens", default=200, show_default=True)
@click.option("--pairs", default=3, show_default=True)
@click.option("--agents", default=1, show_default=True)
def main(streams: int, tokens: int, pairs: int, agents: int) -> None:
    """Compare processor time per token of entry and agents with a pass-through proxy.

    With more than one agent the pass-through still has one engine.
    """
    fleet = LocalFleet(log_level="WARNING")
    try:
        passthrough, router_processes = _start_processes(fleet, agents)
        ratios = asyncio.run(
            _measure_pairs(fleet, passthrough, router_processes, streams, tokens, pairs)
        )
    finally:
        fleet.close()
    ratio_text = ", ".join(f"{ratio:.2f}" for ratio in ratios)
    click.echo(f"entry and agent against the pass-through: {ratio_text}")
    sys.exit(0)


if __name__ == "__main__":
    main()
