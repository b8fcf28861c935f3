"""Seeded open-loop arrivals made like the users' workloads."""

import math
import random

from msgspec import Struct

__all__ = ["Arrival", "Workload", "make_arrivals", "get_workload"]

BLOCK_TOKENS = 64
MAX_RATE_FACTOR = 12.0
"""Largest factor on a stream's rate, its day included."""

LOAD_PERIOD_S = 120.0
"""Length of a day in a session."""


class Stream(Struct, frozen=True):
    """Requests of one kind of one workspace.

    Parameters
    ----------
    workspace : str
    kind : {"chat", "read", "change"}
    rate : float
        Requests a second in each region.
    prompt_tokens, output_tokens : int
        Means; single requests vary by half.
    shared_tokens : int
        Leading tokens shared by the requests of one document.
    documents : int
        Documents of a region that are worked on at one time.
    """

    workspace: str
    kind: str
    rate: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_tokens: int = 0
    documents: int = 1


class Workload(Struct, frozen=True):
    """Streams of a deployment, and workspaces that are to be treated alike."""

    streams: tuple[Stream, ...]
    equal: tuple[str, ...]
    noisy: str


class Arrival(Struct, frozen=True):
    """One request to come.

    Parameters
    ----------
    at_ms : float
    region : str
        Region of the caller.
    blocks : tuple of int
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


def make_arrivals(workload, regions, start_ms, duration_ms, seed, factor):
    """Return the arrivals of a session in order of time.

    Parameters
    ----------
    workload : Workload
    regions : list of str
    start_ms, duration_ms : float
    seed : int
    factor : callable
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
                stream, region, start_ms, duration_ms, rng, factor, phase
            )
    arrivals.sort(key=lambda item: (item.at_ms, item.region, item.workspace))
    return arrivals


def _draw_arrivals(stream, region, start_ms, duration_ms, rng, factor, phase):
    """Draw a Poisson process with a rate that varies, by thinning."""
    found = []
    at_ms = 0.0
    peak = stream.rate * MAX_RATE_FACTOR
    while True:
        at_ms += rng.expovariate(peak) * 1000.0
        if at_ms >= duration_ms:
            return found
        day = 1.0 + 0.4 * math.sin(2 * math.pi * at_ms / 1000.0 / LOAD_PERIOD_S + phase)
        rate = stream.rate * day * factor(stream.workspace, region, at_ms)
        if rng.random() * peak < rate:
            found.append(_draw_arrival(stream, region, start_ms + at_ms, at_ms, rng))


def _draw_arrival(stream, region, at_ms, since_ms, rng):
    if stream.kind != "chat":
        return Arrival(at_ms, region, stream.workspace, stream.kind, 0, 0, ())
    own = max(
        32, int((stream.prompt_tokens - stream.shared_tokens) * _random_scale(rng))
    )
    generation = int(since_ms // 30_000)
    document = f"{region}/{stream.workspace}/{rng.randrange(stream.documents)}"
    head = random.Random(f"{document}/{generation}").getrandbits(40)
    shared = stream.shared_tokens // BLOCK_TOKENS
    blocks = [head * 1000 + i for i in range(shared)]
    tail = rng.getrandbits(40)
    blocks += [tail * 1000 + i for i in range(own // BLOCK_TOKENS)]
    return Arrival(
        at_ms,
        region,
        stream.workspace,
        "chat",
        stream.shared_tokens + own,
        max(8, int(stream.output_tokens * _random_scale(rng))),
        tuple(blocks),
    )


def _random_scale(rng):
    return 0.5 + rng.random()
