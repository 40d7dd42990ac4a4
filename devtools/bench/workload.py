"""Seeded open-loop arrivals of the users' classes, with heavy-tailed lengths."""

from __future__ import annotations

import random
from typing import NamedTuple


class ClassLoad(NamedTuple):
    """One class of requests: rate, lengths and its first-token target.

    Lengths in tokens are drawn from a Pareto distribution with ``shape`` from
    ``min_tokens`` and cut at ``max_tokens``.
    """

    name: str
    per_s: float
    min_tokens: int
    max_tokens: int
    shape: float
    first_token_s: float
    prompt_characters: int = 200


class Arrival(NamedTuple):
    """One request to send at ``at_s`` after the start."""

    at_s: float
    request_class: str
    prompt: str
    tokens: int
    max_tokens: int
    first_token_s: float


class Burst(NamedTuple):
    """A class whose rate is multiplied between two times."""

    request_class: str
    factor: float
    from_s: float
    to_s: float


MIX = (
    ClassLoad("chat", 8.0, 15, 128, 1.8, 1.8),
    ClassLoad("summary", 2.0, 60, 512, 1.6, 4.0, 2000),
    ClassLoad("draft", 1.1, 250, 1000, 1.4, 15.0, 4000),
)


def _prompt(rng: random.Random, load: ClassLoad, number: int, shared: bool) -> str:
    topic = rng.randrange(4) if shared else number
    filler = f"{load.name} handbook chapter {topic}. " * 200
    text = filler[: load.prompt_characters]
    return f"{text} question {number}"


def make_arrivals(
    *,
    seed: int,
    duration_s: float,
    rate_factor: float = 1.0,
    burst: Burst | None = None,
    shared_prefixes: bool = False,
    mix: tuple[ClassLoad, ...] = MIX,
) -> list[Arrival]:
    """Return the arrivals of one experiment, in order of time.

    Parameters
    ----------
    seed : int
        The same seed gives the same arrivals.
    duration_s : float
        Length of the experiment, in seconds.
    rate_factor : float
        Multiplies every rate.
    burst : Burst or None
        One class that bursts.
    shared_prefixes : bool
        Whether prompts of a class begin with one of few texts.
    mix : tuple of ClassLoad
        The classes.
    """
    arrivals = []
    for load in mix:
        rng = random.Random(f"{seed}:{load.name}")
        at_s = 0.0
        number = 0
        while True:
            factor = rate_factor
            if burst is not None and burst.request_class == load.name:
                bursting = burst.from_s <= at_s < burst.to_s
                factor *= burst.factor if bursting else 1.0
            at_s += rng.expovariate(load.per_s * factor)
            if at_s >= duration_s:
                break
            number += 1
            drawn = int(load.min_tokens * rng.paretovariate(load.shape))
            tokens = min(load.max_tokens, drawn)
            prompt = _prompt(rng, load, number, shared_prefixes)
            arrivals.append(
                Arrival(
                    at_s=at_s,
                    request_class=load.name,
                    prompt=f"{prompt} LENGTH={tokens}",
                    tokens=tokens,
                    max_tokens=load.max_tokens,
                    first_token_s=load.first_token_s,
                )
            )
    return sorted(arrivals)
