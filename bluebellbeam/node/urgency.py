"""Order of queued requests by urgency, and early rejection under overload.

See `docs/design/queue_order.md`. The wait of a request is estimated from the requests
ahead of it, the rate at which requests of this daemon have left the queue of the pool,
and the rate at which more urgent ones arrive.
"""

from bluebellbeam.admission import queued_ahead, remove_request, requests_by_urgency
from bluebellbeam.admission.aging import GUARANTEED_SHARE
from bluebellbeam.node.dispatch import fail_request
from bluebellbeam.node.errors import make_error
from bluebellbeam.node.forwarding import expected_forward_start_ms
from bluebellbeam.node.queue_rates import more_urgent_per_s, start_rate_per_s
from bluebellbeam.routing import has_shared_machines, prefill_speed
from bluebellbeam.routing.prefix import cached_blocks, longest_prefix_servers

__all__ = [
    "displace_less_urgent",
    "engine_urgency",
    "queue_urgency",
    "reject_all_late",
    "reject_late",
    "request_urgency",
    "set_queue_order",
    "urgency_wait_ms",
]

LATE_START_FACTOR = 1.25
"""A queued request is rejected once its expected wait exceeds the time that it may
still wait by this factor; estimates of a wait are rough."""


def request_urgency(base, request):
    """Return the ``(workspace urgency, route urgency)`` of a request.

    Requests are ordered by it; 0 is the most urgent. If any workspace has an urgency,
    one without ranks after all others.

    Parameters
    ----------
    base : Base
        Base configuration in effect, where :func:`merge_site` has ranked workspaces
        without an urgency.
    request : Request
        Its route may be None, which has urgency 0.
    """
    workspace = base.workspaces.get(request.workspace)
    first = workspace.urgency or 0 if workspace is not None else 0
    return first, request.route.urgency if request.route is not None else 0


def engine_urgency(config, request):
    """Return the urgency of a routed request that is sent to an engine.

    Parameters
    ----------
    config : Effective
    request : Request

    Returns
    -------
    int
        At least 0, the most urgent. It is the urgency of the route unless workspaces
        differ in their urgency.
    """
    pair = request_urgency(config.base, request)
    return config.engine_urgencies.get(pair, pair[1])


def queue_urgency(state, request):
    """Return the ranks by which a routed request is queued, the most urgent lowest.

    Returns
    -------
    tuple of int
        Urgency of the workspace and of the route; empty where the order of the pool
        does not depend on urgency.
    """
    by_workspace = state.cached(
        "urgency of workspaces", state.config.revision, lambda: _has_urgency(state)
    )
    if not by_workspace and not has_shared_machines(state, request.service):
        return ()
    return request_urgency(state.base, request)


def _has_urgency(state):
    return any(item.urgency is not None for item in state.base.workspaces.values())


def set_queue_order(state, request):
    """Set the latest start at which the request can still meet its objective."""
    if not request.urgency:
        return
    first_event_ms = 0.0
    speed = prefill_speed(state.base, request)
    if request.route.kind != "stream":
        first_event_ms = state.pool_service_ms.get(request.pool, request.expected_ms)
    elif speed:
        best = longest_prefix_servers(state.prefixes, request.blocks, 1)
        blocks = max(
            (cached_blocks(state.prefixes, name, request.blocks) for name in best),
            default=0,
        )
        tokens = max(0, request.prompt_tokens - blocks * state.block_tokens)
        first_event_ms = 1000.0 * tokens / speed
    request.latest_start_ms = int(request.start_deadline_ms - first_event_ms)


def urgency_wait_ms(state, request, now_ms):
    """Return the expected wait in ms of a new request with an urgency.

    Returns
    -------
    float or None
        None if nothing is queued before it or no rate of starts is known; the free
        slots then decide.
    """
    queue = state.queues.get(request.pool)
    if not request.urgency or queue is None or not queue.size:
        return None
    more_urgent, same, share = queued_ahead(queue, request)
    return _wait_ms(state, request, more_urgent, same, share, now_ms)


def _wait_ms(state, request, more_urgent, same, guaranteed_share, now_ms):
    """Return the expected wait behind the given numbers of requests, or None.

    More urgent requests go first, both those that wait and those that arrive in the
    meantime, but leave the guaranteed share of bounded aging.
    """
    rate = start_rate_per_s(state, request.pool, now_ms)
    if not rate:
        return None
    left = rate - more_urgent_per_s(state, request.pool, request.urgency, now_ms)
    guaranteed_s = (same + 1) / (rate * guaranteed_share)
    if left <= 0:
        return 1000.0 * guaranteed_s
    return 1000.0 * min((more_urgent + same) / left, guaranteed_s)


def reject_all_late(state, now_ms):
    """Reject late requests in every queue; see :func:`reject_late`."""
    for pool in [pool for pool, queue in state.queues.items() if queue.size]:
        reject_late(state, pool, now_ms)


def reject_late(state, pool, now_ms):
    """Reject the queued requests that cannot start in time, the least urgent first.

    Their callers can then still try later or elsewhere. Requests that have been sent
    to a server, or can be forwarded in time, stay queued.
    """
    queue = state.queues.get(pool)
    by_urgency = requests_by_urgency(queue) if queue is not None else []
    ahead = 0
    for urgency, requests in by_urgency:
        share = GUARANTEED_SHARE / len(by_urgency)
        weights, positions = _flow_weights(queue, urgency), {}
        total_weight = sum(weights.values())
        kept = 0
        for request in requests:
            own = positions.get(request.workspace, 0)
            fair = own * total_weight / weights[request.workspace]
            same = min(kept, fair)
            wait_ms = _wait_ms(state, request, ahead, same, share, now_ms)
            if wait_ms is not None and _is_late(state, request, wait_ms, now_ms):
                _reject_queued(state, queue, request, wait_ms, now_ms)
                continue
            kept += 1
            positions[request.workspace] = own + 1
        ahead += kept


def _flow_weights(queue, urgency):
    """Return the weight by workspace of the waiting flows of one urgency."""
    return {
        flow.workspace: flow.weight
        for flows in queue.flows.values()
        for flow in flows.values()
        if flow.urgency == urgency and flow.requests
    }


def _is_late(state, request, wait_ms, now_ms):
    left_ms = request.start_deadline_ms - now_ms
    if wait_ms <= LATE_START_FACTOR * left_ms or request.attempts:
        return False
    if request.origin:
        return True
    return expected_forward_start_ms(state, request, now_ms) > left_ms


def _reject_queued(state, queue, request, wait_ms, now_ms):
    remove_request(queue, request)
    excess_ms = wait_ms - (request.start_deadline_ms - now_ms)
    retry_ms = state.retry_after_ms(request, excess_ms, now_ms)
    error = make_error("deadline_unreachable", retry_after_ms=retry_ms)
    fail_request(state, request, error, now_ms)


def displace_less_urgent(state, queue, request, now_ms):
    """Reject the last and least urgent queued request in favour of a more urgent one.

    Returns
    -------
    bool
        Whether a request has left the full queue.
    """
    by_urgency = requests_by_urgency(queue) if request.urgency else []
    if not by_urgency or by_urgency[-1][0] <= request.urgency:
        return False
    for other in reversed(by_urgency[-1][1]):
        if not other.attempts:
            remove_request(queue, other)
            retry_ms = state.retry_after_ms(other, 0.0, now_ms)
            error = make_error("queue_full", retry_after_ms=retry_ms)
            fail_request(state, other, error, now_ms)
            return True
    return False
