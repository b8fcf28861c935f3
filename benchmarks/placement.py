"""Simulation of placement policies with many daemons and old load figures.

``python -m benchmarks.placement`` compares round robin, least requests, power of two
choices, the present ranking and placement by subject: 70 daemons without shared state
in front of 25 servers. Each daemon knows its own requests in flight, and the load in
the last response of a server, which is some time old.
"""

import heapq
import itertools
import random
from collections import OrderedDict

import click

from bluebellbeam.routing.placement import choose_server, placement_order

__all__ = ["POLICIES", "simulate"]

DAEMONS, SERVERS, SLOTS = 70, 25, 12
SUBJECTS = 200
SUBJECT_TOKENS, OWN_TOKENS = 6_300, 2_890
TOKENS_PER_MS = 157.0
DECODE_MS = 180.0
CACHED_SUBJECTS = 24
SPEEDS = (1.0, 1.0, 1.0, 0.5)
"""Relative speeds of the servers in turn."""

POLICIES = ("round robin", "least requests", "two choices", "ranking", "subject")


class _Server:
    __slots__ = ("name", "speed", "prefill_free_ms", "active", "cache", "load_ms")

    def __init__(self, number):
        self.name = f"s{number}"
        self.speed = SPEEDS[number % len(SPEEDS)]
        self.prefill_free_ms = 0.0
        self.active = 0
        self.cache = OrderedDict()
        self.load_ms = 0.0


class _Daemon:
    """What one daemon knows of the servers.

    Attributes
    ----------
    own : dict of str to int
        Its own requests in flight.
    seen : dict of str to int
        Requests that the last known load figure of a server counts.
    """

    __slots__ = ("own", "seen", "turn")

    def __init__(self, names, turn):
        self.own = dict.fromkeys(names, 0)
        self.seen = dict.fromkeys(names, 0)
        self.turn = turn

    def load(self, name):
        return max(self.own[name], self.seen[name])


class _Region:
    def __init__(self, policy, uses_figures, seed):
        self.policy = policy
        self.uses_figures = uses_figures
        self.rng = random.Random(seed)
        self.servers = {f"s{n}": _Server(n) for n in range(SERVERS)}
        self.names = list(self.servers)
        self.weights = {name: s.speed for name, s in self.servers.items()}
        self.daemons = [
            _Daemon(self.names, self.rng.randrange(SERVERS)) for _ in range(DAEMONS)
        ]
        self.orders = {
            subject: placement_order(subject, self.weights)
            for subject in range(SUBJECTS)
        }

    def known_load(self, daemon, name):
        if self.uses_figures:
            return daemon.load(name)
        # Without figures the others are assumed to send as much as this daemon.
        return daemon.own[name] * DAEMONS

    def choose(self, daemon, subject):
        match self.policy:
            case "round robin":
                daemon.turn += 1
                return self.names[daemon.turn % SERVERS]
            case "least requests":
                return min(self.names, key=lambda n: (self.known_load(daemon, n), n))
            case "two choices":
                pair = self.rng.sample(self.names, 2)
                return min(pair, key=lambda n: self.known_load(daemon, n))
            case "ranking":
                return self.rank(daemon, subject)
            case _:
                loads = {n: self.known_load(daemon, n) for n in self.names}
                return choose_server(
                    self.orders[subject],
                    loads.__getitem__,
                    self.weights,
                    sum(self.weights.values()),
                    sum(loads.values()),
                )

    def rank(self, daemon, subject):
        """Return the choice of the present ranking.

        The four least loaded servers and the preferred one are scored by their wait,
        with a penalty of twice the prefill time of the subject on all but the preferred
        one.
        """
        preferred = rendezvous_first(self, subject)
        least = heapq.nsmallest(
            4, self.names, key=lambda n: (self.known_load(daemon, n), n)
        )
        prefill_ms = SUBJECT_TOKENS / TOKENS_PER_MS

        def score(name):
            excess = max(0.0, self.known_load(daemon, name) + 1 - SLOTS)
            wait_ms = excess * (DECODE_MS + prefill_ms) / SLOTS
            penalty_ms = 0.0 if name == preferred else 2.0 * prefill_ms
            return wait_ms + penalty_ms, name

        return min({*least, preferred}, key=score)


def rendezvous_first(region, subject):
    """Return the preferred server of a subject without weights."""
    return placement_order(subject, dict.fromkeys(region.names, 1.0))[0]


def simulate(policy, rate_per_s, figure_age_ms=200, seed=1, duration_ms=20_000):
    """Return the metrics of one run.

    Parameters
    ----------
    policy : str
        One of `POLICIES`.
    rate_per_s : float
        Requests per second over all daemons.
    figure_age_ms : float or None
        Age of the load figures that daemons use; None if they use none.
    seed : int
    duration_ms : int

    Returns
    -------
    dict of str to float
        Percentiles ``p50_ms`` and ``p99_ms`` of the time to the first event,
        ``busiest`` (load of the busiest server over the mean, weighted by speed) and
        ``recomputed`` (share of the shared prompt tokens that were computed again).
    """
    region = _Region(policy, figure_age_ms is not None, seed)
    rng = random.Random(seed + 1_000)
    weights = [1.0 / (rank + 3) for rank in range(SUBJECTS)]
    sequence = itertools.count()
    events, first_ms, shared, missed = [], [], 0, 0
    now_ms = 0.0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(rate_per_s / 1000.0)
        while events and events[0][0] <= now_ms:
            _, _, action = heapq.heappop(events)
            action()
        daemon = rng.choice(region.daemons)
        subject = rng.choices(range(SUBJECTS), weights)[0]
        server = region.servers[region.choose(daemon, subject)]
        daemon.own[server.name] += 1
        server.active += 1
        hit = subject in server.cache
        server.cache[subject] = None
        server.cache.move_to_end(subject)
        while len(server.cache) > CACHED_SUBJECTS:
            server.cache.popitem(last=False)
        shared += SUBJECT_TOKENS
        missed += 0 if hit else SUBJECT_TOKENS
        tokens = OWN_TOKENS + (0 if hit else SUBJECT_TOKENS)
        work_ms = tokens / TOKENS_PER_MS / server.speed
        start_ms = max(now_ms, server.prefill_free_ms)
        server.prefill_free_ms = start_ms + work_ms
        server.load_ms += work_ms
        first_ms.append(server.prefill_free_ms - now_ms)
        end_ms = server.prefill_free_ms + DECODE_MS / server.speed
        action = _end(region, daemon, server, events, sequence, end_ms, figure_age_ms)
        heapq.heappush(events, (end_ms, next(sequence), action))
    first_ms.sort()
    mean = sum(s.load_ms for s in region.servers.values()) / SERVERS
    return {
        "p50_ms": first_ms[len(first_ms) // 2],
        "p99_ms": first_ms[int(len(first_ms) * 0.99)],
        "busiest": max(s.load_ms for s in region.servers.values()) / mean,
        "recomputed": missed / shared,
    }


def _end(region, daemon, server, events, sequence, end_ms, figure_age_ms):
    """Return the action of the end of a request, whose load figure arrives later."""

    def end():
        daemon.own[server.name] -= 1
        server.active -= 1
        running = server.active
        if figure_age_ms is None:
            return

        def learn():
            # Daemons exchange what they know, so a figure reaches all of them.
            for other in region.daemons:
                other.seen[server.name] = running

        heapq.heappush(events, (end_ms + figure_age_ms, next(sequence), learn))

    return end


@click.command()
@click.option("--rate", default=900.0, help="Requests per second.")
def main(rate):
    """Compare the policies with figures of several ages."""
    click.echo(f"{'policy':16} {'figures':>8} {'p50':>7} {'p99':>8} busiest recomputed")
    for policy in POLICIES:
        for age_ms in (0, 200, 1_000, None):
            found = [simulate(policy, rate, age_ms, seed) for seed in (1, 2, 3)]
            mean = {key: sum(f[key] for f in found) / 3 for key in found[0]}
            label = "none" if age_ms is None else f"{age_ms} ms"
            click.echo(
                f"{policy:16} {label:>8} {mean['p50_ms']:7.0f} {mean['p99_ms']:8.0f} "
                f"{mean['busiest']:7.2f} {mean['recomputed']:10.2f}"
            )


if __name__ == "__main__":
    main()
