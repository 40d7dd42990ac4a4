"""Generates seeded open-loop arrivals of three request classes.

Arrivals of a class are separated by exponentially distributed times, whether or not
earlier requests have ended. Answer lengths have a heavy tail.
"""

from __future__ import annotations

import random
from typing import NamedTuple


class ClassLoad(NamedTuple):
    """Load of one request class.

    Parameters
    ----------
    name : str
        Request class.
    rate_per_s : float
        Mean arrivals a second.
    min_tokens, max_tokens, shape
        Answer lengths are drawn from a Pareto distribution with ``shape`` from
        ``min_tokens`` and cut at ``max_tokens``.
    first_token_target_s : float
        Target for the time to first token, in seconds.
    prompt_characters : int
        Length of the prompt without its closing question.
    """

    name: str
    rate_per_s: float
    min_tokens: int
    max_tokens: int
    shape: float
    first_token_target_s: float
    prompt_characters: int = 200


class Arrival(NamedTuple):
    """One request to send ``at_s`` seconds after the start.

    ``tokens`` is the length of its answer, ``max_tokens`` the limit that the request
    states. ``first_token_target_s`` is the target for the time to first token.
    """

    at_s: float
    request_class: str
    prompt: str
    tokens: int
    max_tokens: int
    first_token_target_s: float


class Burst(NamedTuple):
    """A class whose arrival rate is multiplied by ``factor`` for a while.

    ``from_s`` and ``to_s`` are seconds since the start.
    """

    request_class: str
    factor: float
    from_s: float
    to_s: float


DEFAULT_MIX = (
    ClassLoad("chat", 8.0, 15, 128, 1.8, 1.8),
    ClassLoad("summary", 2.0, 60, 512, 1.6, 4.0, 2000),
    ClassLoad("draft", 1.1, 250, 1000, 1.4, 15.0, 4000),
)


def _prompt(
    rng: random.Random, load: ClassLoad, number: int, shared_prefix: bool
) -> str:
    """Return a prompt that begins with one of four texts, or with its own."""
    topic = rng.randrange(4) if shared_prefix else number
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
    mix: tuple[ClassLoad, ...] = DEFAULT_MIX,
) -> list[Arrival]:
    """Return the arrivals of one experiment, in order of time.

    Parameters
    ----------
    seed : int
        Seed of the random numbers; the same seed gives the same arrivals.
    duration_s : float
        Length of the experiment, in seconds.
    rate_factor : float
        Factor of the arrival rates of all classes.
    burst : Burst or None
        Time in which one class arrives faster.
    shared_prefixes : bool
        Whether prompts of a class begin with one of four texts.
    mix : tuple of ClassLoad
        Load of each class.
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
            at_s += rng.expovariate(load.rate_per_s * factor)
            if at_s >= duration_s:
                break
            number += 1
            drawn_tokens = int(load.min_tokens * rng.paretovariate(load.shape))
            tokens = min(load.max_tokens, drawn_tokens)
            prompt = _prompt(rng, load, number, shared_prefixes)
            arrivals.append(
                Arrival(
                    at_s=at_s,
                    request_class=load.name,
                    prompt=f"{prompt} LENGTH={tokens}",
                    tokens=tokens,
                    max_tokens=load.max_tokens,
                    first_token_target_s=load.first_token_target_s,
                )
            )
    return sorted(arrivals)
