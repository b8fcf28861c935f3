"""Seeded open-loop arrivals of requests for the example deployments."""

import math
import random

from msgspec import Struct

__all__ = ["Arrival", "Workload", "make_arrivals", "get_workload"]

BLOCK_TOKENS = 64
"""Tokens in one block of the prefix cache."""

MAX_RATE_FACTOR = 12.0
"""Upper bound of the factor on a stream's rate, its periodic variation included.

Arrivals are drawn at this rate and thinned to the actual one.
"""

LOAD_PERIOD_S = 120.0
"""Period of the variation of the rates, which simulates the course of a day."""


class Stream(Struct, frozen=True):
    """Requests of one kind from one workspace.

    Parameters
    ----------
    workspace : str
    kind : {"chat", "read", "change"}
        A chat completion, or an idempotent or non-idempotent service call.
    rate : float
        Mean requests per second in each region.
    prompt_tokens, output_tokens : int
        Mean tokens of a chat's prompt and output. The output and the part of
        the prompt that is not shared vary uniformly by up to 50% of the mean.
    shared_tokens : int
        Tokens of the prompt prefix that chats about the same document share.
    documents : int
        Number of documents in use at the same time in each region.
    """

    workspace: str
    kind: str
    rate: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_tokens: int = 0
    documents: int = 1


class Workload(Struct, frozen=True):
    """Requests of a deployment.

    Parameters
    ----------
    streams : tuple of Stream
    equal : tuple of str
        Workspaces that must get equal service per weight under load.
    noisy : str
        Workspace that sends excess load in the case ``noisy workspace``.
    """

    streams: tuple[Stream, ...]
    equal: tuple[str, ...]
    noisy: str


class Arrival(Struct, frozen=True):
    """One request of a workload.

    Parameters
    ----------
    at_ms : float
        Time in ms at which the caller sends the request.
    region : str
        Region of the caller.
    workspace : str
    kind : {"chat", "read", "change"}
    prompt_tokens, output_tokens : int
        Tokens of a chat's prompt and output; 0 for service calls.
    blocks : tuple of int
        Hashes of the prompt's prefix blocks.
    """

    at_ms: float
    region: str
    workspace: str
    kind: str
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]


_FRASERLEAF = Workload(
    streams=(
        Stream("farm-audits", "chat", 0.5, 9000, 160, 7680, 3),
        Stream("processor-audits", "chat", 0.25, 7000, 160, 5760, 2),
        Stream("field-notes", "chat", 1.2, 700, 110, 512, 6),
        Stream("certificates", "read", 2.5),
        Stream("certificates", "change", 0.6),
    ),
    equal=("farm-audits", "processor-audits"),
    noisy="processor-audits",
)

_FELLESDEPOT = Workload(
    streams=(
        Stream("ofoten-checks", "chat", 0.5, 5000, 140, 3840, 3),
        Stream("ofoten-verksted", "chat", 0.8, 600, 70, 384, 6),
        Stream("bergen-verksted", "chat", 0.8, 600, 70, 384, 6),
        Stream("drammen-verksted", "chat", 0.8, 600, 70, 384, 6),
        Stream("ofoten-verksted", "read", 1.0),
        Stream("bergen-verksted", "read", 1.0),
        Stream("drammen-verksted", "change", 0.8),
    ),
    equal=("ofoten-verksted", "bergen-verksted", "drammen-verksted"),
    noisy="bergen-verksted",
)


def get_workload(name):
    """Return the :class:`Workload` of an example deployment."""
    return {"fraserleaf": _FRASERLEAF, "fellesdepot": _FELLESDEPOT}[name]


def make_arrivals(workload, regions, start_ms, duration_ms, seed, rate_factor):
    """Return the arrivals of a simulation run in order of time.

    Parameters
    ----------
    workload : Workload
    regions : list of str
    start_ms, duration_ms : float
        Start and duration in ms of the interval in which requests arrive.
    seed : int
        Seed of the random number generators.
    rate_factor : callable
        Returns the factor on a stream's rate, given the workspace, the region
        and the time in ms since the start.

    Returns
    -------
    list of Arrival
    """
    arrivals = []
    for i, region in enumerate(regions):
        for stream in workload.streams:
            rng = random.Random(f"{seed}/{region}/{stream.workspace}/{stream.kind}")
            phase = 2 * math.pi * i / len(regions)
            arrivals += _draw_arrivals(
                stream, region, start_ms, duration_ms, rng, rate_factor, phase
            )
    arrivals.sort(key=lambda item: (item.at_ms, item.region, item.workspace))
    return arrivals


def _draw_arrivals(stream, region, start_ms, duration_ms, rng, rate_factor, phase):
    """Draw the arrivals of a non-homogeneous Poisson process by thinning."""
    arrivals = []
    at_ms = 0.0
    peak = stream.rate * MAX_RATE_FACTOR
    while True:
        at_ms += rng.expovariate(peak) * 1000.0
        if at_ms >= duration_ms:
            return arrivals
        variation = 1.0 + 0.4 * math.sin(
            2 * math.pi * at_ms / 1000.0 / LOAD_PERIOD_S + phase
        )
        rate = stream.rate * variation * rate_factor(stream.workspace, region, at_ms)
        if rng.random() * peak < rate:
            arrivals.append(_draw_arrival(stream, region, start_ms + at_ms, at_ms, rng))


def _draw_arrival(stream, region, at_ms, elapsed_ms, rng):
    """Draw one arrival; the shared prefix of a document changes every 30 s."""
    if stream.kind != "chat":
        return Arrival(at_ms, region, stream.workspace, stream.kind, 0, 0, ())
    unshared = max(
        32, int((stream.prompt_tokens - stream.shared_tokens) * _random_scale(rng))
    )
    generation = int(elapsed_ms // 30_000)
    document = f"{region}/{stream.workspace}/{rng.randrange(stream.documents)}"
    prefix_id = random.Random(f"{document}/{generation}").getrandbits(40)
    shared_blocks = stream.shared_tokens // BLOCK_TOKENS
    blocks = [prefix_id * 1000 + i for i in range(shared_blocks)]
    suffix_id = rng.getrandbits(40)
    blocks += [suffix_id * 1000 + i for i in range(unshared // BLOCK_TOKENS)]
    return Arrival(
        at_ms,
        region,
        stream.workspace,
        "chat",
        stream.shared_tokens + unshared,
        max(8, int(stream.output_tokens * _random_scale(rng))),
        tuple(blocks),
    )


def _random_scale(rng):
    """Return a random factor between 0.5 and 1.5."""
    return 0.5 + rng.random()
