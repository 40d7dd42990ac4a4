"""Stand-in of a model engine with continuous batching, prefix cache and cold start."""

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
    """One request in the engine; it is paused while ``runnable`` is not set."""

    def __init__(self, *, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.runnable = asyncio.Event()
        self.runnable.set()
        self.cancelled = False


class Engine:
    """The requests of an engine and its counters.

    A prompt that contains the text ``poison`` ends the process with exit code 17.
    """

    def __init__(self, *, speed: model.EngineSpeed, poison: str) -> None:
        self.speed = speed
        self.poison = poison
        self.sequences: dict[str, Sequence] = {}
        self.cache = model.PrefixCache(blocks=speed.cache_blocks)
        self.generated = 0
        self.executed_tags: set[str] = set()
        self.requests = 0
        self.pauses = 0
        self.max_running = 0
        self.slowness = 1.0
        self.cold_until_s = time.monotonic() + speed.cold_s

    def batch_size(self) -> int:
        """Return the number of requests that are not paused."""
        return sum(1 for item in self.sequences.values() if item.runnable.is_set())

    def step_duration_s(self) -> float:
        """Return the current duration of a decoding step in seconds."""
        cold = time.monotonic() < self.cold_until_s
        return model.step_duration_s(
            self.speed, batch_size=self.batch_size(), cold=cold, slowness=self.slowness
        )

    def stats(self) -> dict[str, Any]:
        """Return the counters that ``/stats`` serves.

        ``generated`` counts tokens. ``running`` and ``most_running`` are the current
        and the highest number of requests that are not paused, ``seen`` the tags of all
        prompts, and the cache counters count prompt blocks.
        """
        return {
            "generated": self.generated,
            "requests": self.requests,
            "pauses": self.pauses,
            "most_running": self.max_running,
            "running": self.batch_size(),
            "seen": sorted(self.executed_tags),
            "cache_hits": self.cache.hits,
            "cache_misses": self.cache.misses,
        }

    async def prefill(self, sequence: Sequence, prompt: str) -> None:
        """Add a request to the batch and wait for the duration of its prefill."""
        if self.poison and self.poison in prompt:
            await asyncio.sleep(0.05)
            os._exit(17)
        self.requests += 1
        self.executed_tags.add(model.answer_tag(prompt))
        self.sequences[sequence.attempt_id] = sequence
        self.max_running = max(self.max_running, self.batch_size())
        missing_blocks = self.cache.cache_prompt(prompt)
        factor = self.step_duration_s() / self.speed.step_s
        await asyncio.sleep(missing_blocks * self.speed.prefill_s_per_block * factor)

    async def decode_token(self, sequence: Sequence) -> bool:
        """Wait for the next token; return False if the request was cancelled."""
        await sequence.runnable.wait()
        await asyncio.sleep(self.step_duration_s())
        if sequence.cancelled:
            return False
        self.generated += 1
        return True


def _chunk(name: str, content: str | None, finish: str | None) -> bytes:
    """Return one event of the streamed completion with the id ``name``.

    ``content`` is None in the last one, which has the finish reason instead.
    """
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
    prompt_tokens = len(prompt.split())
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


async def _stream(
    engine: Engine,
    sequence: Sequence,
    request: web.Request,
    body: dict[str, Any],
    token_range: range,
) -> web.StreamResponse:
    prompt = model.prompt_text(body)
    tag = model.answer_tag(prompt)
    headers = {"Content-Type": "text/event-stream"}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    name = f"chatcmpl-{sequence.attempt_id}"
    for number in token_range:
        if not await engine.decode_token(sequence):
            return response
        await response.write(_chunk(name, f"{tag}{number} ", None))
    await response.write(_chunk(name, None, "stop"))
    if (body.get("stream_options") or {}).get("include_usage"):
        usage = _usage(prompt, len(token_range))
        event = {"id": name, "object": "chat.completion.chunk", "created": 0}
        event |= {"model": "stand-in", "choices": [], "usage": usage}
        await response.write(b"data: " + json.dumps(event).encode() + b"\n\n")
    await response.write(b"data: [DONE]\n\n")
    return response


async def _complete(
    engine: Engine, sequence: Sequence, body: dict[str, Any], token_range: range
) -> web.Response:
    prompt = model.prompt_text(body)
    tag = model.answer_tag(prompt)
    texts = []
    for number in token_range:
        if not await engine.decode_token(sequence):
            return web.Response(status=499)
        texts.append(f"{tag}{number} ")
    message = {"role": "assistant", "content": "".join(texts)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return web.json_response(
        {
            "id": f"chatcmpl-{sequence.attempt_id}",
            "object": "chat.completion",
            "created": 0,
            "model": "stand-in",
            "choices": [choice],
            "usage": _usage(prompt, len(token_range)),
        }
    )


def make_app(engine: Engine) -> web.Application:
    """Return the HTTP application of the engine."""

    async def chat(request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if body.get("temperature", 1) > 2:
            error = {"message": "temperature is above 2", "type": "invalid"}
            return web.json_response({"error": error}, status=400)
        attempt_id = request.headers.get("X-Attempt-Id", os.urandom(6).hex())
        sequence = Sequence(attempt_id=attempt_id)
        prompt = model.prompt_text(body)
        done = model.generated_token_count(body)
        limit = body.get("max_completion_tokens", body.get("max_tokens"))
        total = model.answer_length(prompt, limit + done if limit else None)
        try:
            await engine.prefill(sequence, prompt)
            token_range = range(done, total)
            if body.get("stream"):
                return await _stream(engine, sequence, request, body, token_range)
            return await _complete(engine, sequence, body, token_range)
        finally:
            engine.sequences.pop(attempt_id, None)

    async def command(request: web.Request) -> web.Response:
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
        engine.slowness = data.get("slow", engine.slowness)
        if "cold_s" in data:
            engine.cold_until_s = time.monotonic() + data["cold_s"]
        return web.json_response({})

    app = web.Application(client_max_size=16_000_000)
    app.router.add_post("/v1/chat/completions", chat)
    app.router.add_post("/v1/requests/{attempt}/{verb}", command)
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
    """Run a stand-in of a model engine."""
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
