"""Placement of prompts by subject, for servers that report the duration of their work.

All daemons rank the servers of a pool by a weighted rendezvous hash of the prompt's
subject, so they agree without messages and do not all choose the least loaded server.
As in consistent hashing with bounded loads [1]_, a server whose load exceeds its fair
share by a factor is passed over for the next one in the order.

References
----------
.. [1] Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
   loads", SODA 2018.
"""

from bluebellbeam.utils.hashing import rendezvous_order

__all__ = [
    "choose_server",
    "common_part",
    "placed_server",
    "placement_order",
    "prompt_subject",
    "record_first_part",
    "server_weights",
]

LOAD_BOUND = 1.2
"""Load of a server above which it is passed over, relative to its share of the load of
the pool: the target for the busiest server."""

MIN_BOUND_REQUESTS = 2.0
"""Requests that a server may have above its share in any case, since the bound of a
nearly idle pool would otherwise be less than one request."""

WEIGHT_STEP = 0.25
"""Weights are rounded to multiples of this, so that daemons which observe slightly
different speeds still agree on the order."""


MAX_EXAMINED = 16
"""Servers of the order that are examined, which bounds the cost of a decision. With a
bound of 1.2, one server in six is within it even if the others are all at theirs."""

WEIGHT_INTERVAL_MS = 2_000
"""Interval at which weights follow the observed speeds."""

LOAD_INTERVAL_MS = 50
"""Interval at which the total load of a pool is summed."""

MIN_COMMON_LEAD = 32
"""Lead of a first part over all others from which on it counts as common to all."""

MAX_COMMON_LEAD = 64
"""Upper bound of the lead, so that another common part is found within as many
prompts."""


def prompt_subject(request, common=0):
    """Return ``(hash, tokens)`` of the prompt's subject, or None.

    The subject is the longest prefix that is shared but not common to all prompts: all
    parts but the last one, which is specific to the request. A prompt whose only shared
    part is common to all has no subject, since all of them would be placed together.

    Parameters
    ----------
    request : Request
    common : int
        Hash of the first part if all prompts of the pool share it, else 0.

    Returns
    -------
    tuple of (int, int) or None
    """
    blocks = request.blocks
    if len(blocks) < 2 or not request.block_ends:
        return None
    if len(blocks) == 2 and blocks[0] == common:
        return None
    return blocks[-2], request.block_ends[-2]


def server_weights(durations_ms):
    """Return the weight of each server, its speed relative to the mean.

    Parameters
    ----------
    durations_ms : dict of str to float
        Expected duration of the same work at each server; 0 if it is not known. Such a
        server is treated like the median of the others.

    Returns
    -------
    dict of str to float
        Multiples of `WEIGHT_STEP`, at least one of them.
    """
    known = sorted(value for value in durations_ms.values() if value > 0)
    median_ms = known[len(known) // 2] if known else 1.0
    speeds = {
        name: 1.0 / (value if value > 0 else median_ms)
        for name, value in durations_ms.items()
    }
    mean = sum(speeds.values()) / len(speeds) if speeds else 1.0
    return {
        name: max(WEIGHT_STEP, round(speed / mean / WEIGHT_STEP) * WEIGHT_STEP)
        for name, speed in speeds.items()
    }


def placement_order(subject, weights):
    """Return the servers in the order of preference for a subject.

    Parameters
    ----------
    subject : int
        Hash from :func:`prompt_subject`.
    weights : dict of str to float
        Weight of each server of the pool.

    Returns
    -------
    list of str
        The same at every daemon with the same weights. Callers cache it: computing it
        for 200 servers takes longer than a decision may.
    """
    return rendezvous_order(f"subject:{subject}", weights, weights)


def choose_server(order, load_of, weights, total_weight, total_load):
    """Return the first server of `order` whose load is within its bound.

    Parameters
    ----------
    order : list of str
    load_of : callable
        Maps the name of a server to the number of requests there, as far as known.
    weights : dict of str to float
    total_weight, total_load : float
        Sums over all servers.

    Returns
    -------
    str
        The server with the lowest load for its weight if all exceed their bounds; empty
        if `order` is empty.
    """
    for name in order:
        share = (total_load + 1.0) * weights[name] / total_weight
        bound = max(LOAD_BOUND * share, share + MIN_BOUND_REQUESTS)
        if load_of(name) + 1.0 <= bound:
            return name
    return min(
        order, key=lambda name: (load_of(name) / weights[name], name), default=""
    )


def record_first_part(table, pool, block):
    """Count the first part of a prompt for `pool`, to find out whether all share it.

    Parameters
    ----------
    table : dict of str to (int, int)
        Candidate and its lead over all other first parts, by pool.
    pool : str
    block : int
    """
    known, lead = table.get(pool, (block, 0))
    if known == block:
        table[pool] = (known, min(MAX_COMMON_LEAD, lead + 1))
    else:
        table[pool] = (known, lead - 1) if lead > 1 else (block, 1)


def common_part(table, pool):
    """Return the first part that nearly all prompts of `pool` share, or 0."""
    known, lead = table.get(pool, (0, 0))
    return known if lead >= MIN_COMMON_LEAD else 0


def placed_server(state, request, now_ms):
    """Return the server that `request` is placed at, and the tokens of its subject.

    Parameters
    ----------
    state : NodeState
    request : Request
    now_ms : int

    Returns
    -------
    tuple of (str, int) or None
        None if the servers do not report the duration of their work, so that this
        placement does not apply. The name is empty for a prompt without a subject.
    """
    pool = state.replicas.pool(request.pool)
    if not pool or not request.blocks or pool[0].event_pace is None:
        return None
    record_first_part(state.common_parts, request.pool, request.blocks[0])
    subject = prompt_subject(request, common_part(state.common_parts, request.pool))
    if subject is None:
        return "", 0
    generation = state.replicas.pool_generation
    weights, total_weight, key = state.cached(
        ("weights", request.pool),
        (generation, now_ms // WEIGHT_INTERVAL_MS),
        lambda: _pool_weights(pool),
    )
    total_load = state.cached(
        ("total load", request.pool),
        (generation, now_ms // LOAD_INTERVAL_MS),
        lambda: sum(row.occupancy() for row in pool),
    )
    order = state.cached(
        ("subject", request.pool, subject[0]),
        (generation, key),
        lambda: placement_order(subject[0], weights)[:MAX_EXAMINED],
    )
    rows = state.replicas.rows

    def load_of(name):
        return rows[name].occupancy()

    name = choose_server(order, load_of, weights, total_weight, total_load)
    return name, subject[1]


def _pool_weights(pool):
    """Return the weight of each server of a pool by its speed, their sum and a key."""
    weights = server_weights(
        {row.name: row.slowness for row in sorted(pool, key=_name)}
    )
    return weights, sum(weights.values()), hash(tuple(weights.items()))


def _name(replica):
    return replica.name
