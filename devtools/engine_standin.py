"""Stand-in of a model engine with continuous batching and a cold start."""

from __future__ import annotations

import asyncio
import json
import os
import time
from typing import Any

import click
from aiohttp import web

from devtools import engine_model as model
from devtools.serve import serve_app


class Sequence:
    """One request in the engine."""

    def __init__(self, *, attempt: str) -> None:
        self.attempt = attempt
        self.runnable = asyncio.Event()
        self.runnable.set()
        self.cancelled = False


class Engine:
    """Requests in the batch and counters for tests."""

    def __init__(self, *, speed: model.EngineSpeed, poison: str) -> None:
        self.speed = speed
        self.poison = poison
        self.sequences: dict[str, Sequence] = {}
        self.cache = model.PrefixCache(blocks=speed.cache_blocks)
        self.generated = 0
        self.seen: set[str] = set()
        self.requests = 0
        self.pauses = 0
        self.most_running = 0
        self.slow = 1.0
        self.cold_until_s = time.monotonic() + speed.cold_s

    def batch_size(self) -> int:
        """Return how many requests decode now."""
        return sum(1 for item in self.sequences.values() if item.runnable.is_set())

    def step_duration_s(self) -> float:
        """Return the time of a step now."""
        cold = time.monotonic() < self.cold_until_s
        return model.step_duration_s(
            self.speed, batch_size=self.batch_size(), cold=cold, slow=self.slow
        )

    def stats(self) -> dict[str, Any]:
        """Return the counters."""
        return {
            "generated": self.generated,
            "requests": self.requests,
            "pauses": self.pauses,
            "most_running": self.most_running,
            "running": self.batch_size(),
            "seen": sorted(self.seen),
            "cache_hits": self.cache.hits,
            "cache_misses": self.cache.misses,
        }

    async def prefill(self, sequence: Sequence, prompt: str) -> None:
        """Put a request into the batch and compute its prompt."""
        if self.poison and self.poison in prompt:
            await asyncio.sleep(0.05)
            os._exit(17)
        self.requests += 1
        self.seen.add(model.answer_tag(prompt))
        self.sequences[sequence.attempt] = sequence
        self.most_running = max(self.most_running, self.batch_size())
        missing = self.cache.missing(prompt)
        factor = self.step_duration_s() / self.speed.step_s
        await asyncio.sleep(missing * self.speed.prefill_s_per_block * factor)

    async def decode_token(self, sequence: Sequence) -> bool:
        """Wait for the next token; tell whether there is one."""
        await sequence.runnable.wait()
        await asyncio.sleep(self.step_duration_s())
        if sequence.cancelled:
            return False
        self.generated += 1
        return True


def _chunk(name: str, content: str | None, finish: str | None) -> bytes:
    delta = {} if content is None else {"content": content}
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    event = {
        "id": name,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "stand-in",
        "choices": [choice],
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def _usage(prompt: str, tokens: int) -> dict[str, int]:
    asked = len(prompt.split())
    return {
        "prompt_tokens": asked,
        "completion_tokens": tokens,
        "total_tokens": asked + tokens,
    }


async def _stream(
    engine: Engine,
    sequence: Sequence,
    request: web.Request,
    body: dict[str, Any],
    span: range,
) -> web.StreamResponse:
    prompt = model.prompt_text(body)
    tag = model.answer_tag(prompt)
    headers = {"Content-Type": "text/event-stream"}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    name = f"chatcmpl-{sequence.attempt}"
    for number in span:
        if not await engine.decode_token(sequence):
            return response
        await response.write(_chunk(name, f"{tag}{number} ", None))
    await response.write(_chunk(name, None, "stop"))
    if (body.get("stream_options") or {}).get("include_usage"):
        usage = _usage(prompt, len(span))
        event = {"id": name, "object": "chat.completion.chunk", "created": 0}
        event |= {"model": "stand-in", "choices": [], "usage": usage}
        await response.write(b"data: " + json.dumps(event).encode() + b"\n\n")
    await response.write(b"data: [DONE]\n\n")
    return response


async def _complete(
    engine: Engine, sequence: Sequence, body: dict[str, Any], span: range
) -> web.Response:
    prompt = model.prompt_text(body)
    tag = model.answer_tag(prompt)
    words = []
    for number in span:
        if not await engine.decode_token(sequence):
            return web.Response(status=499)
        words.append(f"{tag}{number} ")
    message = {"role": "assistant", "content": "".join(words)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return web.json_response(
        {
            "id": f"chatcmpl-{sequence.attempt}",
            "object": "chat.completion",
            "created": 0,
            "model": "stand-in",
            "choices": [choice],
            "usage": _usage(prompt, len(span)),
        }
    )


def make_app(engine: Engine) -> web.Application:
    """Return the HTTP application of the engine."""

    async def chat(request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if body.get("temperature", 1) > 2:
            error = {"message": "temperature is above 2", "type": "invalid"}
            return web.json_response({"error": error}, status=400)
        attempt = request.headers.get("X-Attempt-Id", os.urandom(6).hex())
        sequence = Sequence(attempt=attempt)
        prompt = model.prompt_text(body)
        done = model.tokens_done(body)
        limit = body.get("max_completion_tokens", body.get("max_tokens"))
        total = model.answer_length(prompt, limit + done if limit else None)
        try:
            await engine.prefill(sequence, prompt)
            span = range(done, total)
            if body.get("stream"):
                return await _stream(engine, sequence, request, body, span)
            return await _complete(engine, sequence, body, span)
        finally:
            engine.sequences.pop(attempt, None)

    async def order(request: web.Request) -> web.Response:
        sequence = engine.sequences.get(request.match_info["attempt"])
        if sequence is None:
            return web.Response(status=404)
        verb = request.match_info["verb"]
        if verb == "pause":
            engine.pauses += 1
            sequence.runnable.clear()
        else:
            sequence.cancelled = verb == "cancel"
            sequence.runnable.set()
        return web.json_response({})

    async def health(_: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def stats(_: web.Request) -> web.Response:
        return web.json_response(engine.stats())

    async def inject_fault(request: web.Request) -> web.Response:
        data = await request.json()
        engine.slow = data.get("slow", engine.slow)
        if "cold_s" in data:
            engine.cold_until_s = time.monotonic() + data["cold_s"]
        return web.json_response({})

    app = web.Application(client_max_size=16_000_000)
    app.router.add_post("/v1/chat/completions", chat)
    app.router.add_post("/v1/requests/{attempt}/{verb}", order)
    app.router.add_get("/health", health)
    app.router.add_get("/stats", stats)
    app.router.add_post("/mood", inject_fault)
    return app


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--step-s", type=float, default=0.01, show_default=True)
@click.option("--bears", type=int, default=8, show_default=True)
@click.option("--bears-cold", type=int, default=2, show_default=True)
@click.option("--cold-s", type=float, default=0.0, show_default=True)
@click.option("--batch-slope", type=float, default=0.03, show_default=True)
@click.option("--poison", default="", help="Prompt text that crashes the engine.")
def main(
    host: str,
    port: int,
    step_s: float,
    bears: int,
    bears_cold: int,
    cold_s: float,
    batch_slope: float,
    poison: str,
) -> None:
    """Run an engine stand-in."""
    speed = model.EngineSpeed(
        step_s=step_s,
        batch_slope=batch_slope,
        max_batch=bears,
        max_batch_cold=bears_cold,
        cold_s=cold_s,
    )
    serve_app(
        lambda: make_app(Engine(speed=speed, poison=poison)), host=host, port=port
    )


if __name__ == "__main__":
    main()
