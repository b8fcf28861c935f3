"""Weighted fair queueing of requests over workspaces, with priorities.

Each pool of backend servers has one queue. Within a priority, workspaces share
the slots by weight, measured in expected slot time (start-time fair queueing
[1]_); own callers and other daemons share those of a workspace in proportion to their
requests. Interactive requests are served before batch requests, unless a batch request
is close to its deadline.

Requests with an urgency (see `docs/design/queue_order.md`) are ordered within their
priority by urgency, then by fair shares of the workspaces, then by the latest start at
which they can still be in time. Those that are late already follow those that are not.

References
----------
.. [1] Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

from bisect import bisect_left
from collections import deque

from bluebellbeam.admission.aging import (
    GUARANTEED_SHARE,
    AgingTable,
    count_served,
    is_due,
    mark_waiting,
    prune_keys,
)
from bluebellbeam.admission.origin_share import (
    count_arrival,
    count_leave,
    count_return,
    count_start,
    first_by_share,
    make_origin_share,
)

__all__ = [
    "PRIORITIES",
    "FairQueue",
    "Flow",
    "cost_ahead",
    "make_fair_queue",
    "next_requests",
    "pop_request",
    "push_request",
    "queued_ahead",
    "remove_request",
    "requests_by_urgency",
]

PRIORITIES = ("interactive", "batch", "guest")
"""Priorities in the order of service; guest requests are forwarded by other regions."""

BATCH_URGENT_MS = 10_000
"""Time to its deadline from which a batch request is served before interactive
ones."""


class Flow:
    """A flow of fair queueing: the waiting requests of one workspace at one priority.

    Requests with an urgency have a flow for each urgency.

    Attributes
    ----------
    workspace : str
    requests : deque of Request
        Waiting requests in the order of service.
    start_tag : float
        Virtual start time of its next request; the flow with the lowest is served
        first.
    weight : float
        Weight of the workspace.
    cost : float
        Expected slot time of its waiting requests, in ms.
    urgency : tuple of int
        Ranks of its requests, the most urgent lowest; empty without an urgency.
    share : OriginShare
        Requests of own callers and forwarded ones; not used with an urgency.
    """

    __slots__ = (
        "workspace",
        "requests",
        "start_tag",
        "weight",
        "cost",
        "urgency",
        "share",
    )

    def __init__(self, workspace, weight, urgency=()):
        self.workspace = workspace
        self.urgency = urgency
        self.cost = 0.0
        self.requests = deque()
        self.start_tag = 0.0
        self.weight = weight
        self.share = make_origin_share()


class FairQueue:
    """Requests that wait for a slot in one pool.

    Attributes
    ----------
    flows : dict of str to dict of str to Flow
        Flows by priority, and by workspace or by urgency and workspace.
    virtual_time : dict of str to float
        Virtual time by priority, or by priority and urgency: the start tag of the last
        request served.
    size : int
        Number of waiting requests.
    costs : dict of str to float
        Expected slot time of all waiting requests in ms, by priority.
    class_aging, workspace_aging : AgingTable
        Least shares of the request classes and of the workspaces with an urgency.
    """

    __slots__ = (
        "flows",
        "virtual_time",
        "size",
        "costs",
        "class_aging",
        "workspace_aging",
    )

    def __init__(self):
        self.flows = {priority: {} for priority in PRIORITIES}
        self.virtual_time = dict.fromkeys(PRIORITIES, 0.0)
        self.size = 0
        self.costs = dict.fromkeys(PRIORITIES, 0.0)
        self.class_aging = AgingTable()
        self.workspace_aging = AgingTable()


def make_fair_queue():
    """Return an empty queue."""
    return FairQueue()


def push_request(queue, request, weight, front=False):
    """Add `request` to its flow; `front` is for one that returns for another attempt.

    At the front, the cost that was charged to the flow is refunded.
    """
    flows = queue.flows[request.priority]
    key = _flow_key(request)
    flow = flows.get(key)
    if flow is None:
        flow = flows[key] = Flow(request.workspace, weight, request.urgency)
    flow.weight = weight
    if not flow.requests:
        now = queue.virtual_time.get(_clock_key(request), 0.0)
        flow.start_tag = max(flow.start_tag, now)
        if request.urgency:
            mark_waiting(queue.class_aging, request.urgency)
            mark_waiting(queue.workspace_aging, request.workspace)
    if front:
        flow.start_tag -= request.cost / flow.weight
    if request.urgency:
        _insert_by_latest_start(flow.requests, request, front)
    elif front:
        flow.requests.appendleft(request)
    else:
        flow.requests.append(request)
    if front:
        count_return(flow.share, request)
    else:
        count_arrival(flow.share, request)
    flow.cost += request.cost
    queue.size += 1
    queue.costs[request.priority] += request.cost


def _flow_key(request):
    """Return the key of a request's flow among those of its priority."""
    if request.urgency:
        return (request.urgency, request.workspace)
    return request.workspace


def _clock_key(item):
    """Return the key of the virtual time that applies to a request."""
    return (item.priority, item.urgency) if item.urgency else item.priority


def _insert_by_latest_start(requests, request, front):
    """Insert a request by its latest start, before equal ones if `front` is true."""
    index = len(requests)
    while index and (
        requests[index - 1].latest_start_ms > request.latest_start_ms
        or (front and requests[index - 1].latest_start_ms == request.latest_start_ms)
    ):
        index -= 1
    requests.insert(index, request)


def next_requests(queue, now_ms, may_pass=None):
    """Yield the requests of each flow that may be served next, in order of service.

    These are its first request and, if `may_pass` is true for that one, those behind
    it up to the first for which it is false.

    Parameters
    ----------
    queue : FairQueue
    now_ms : int
    may_pass : callable, optional
        Maps a request to whether those behind it may be served before it.

    Yields
    ------
    Request
    """
    if queue.size == 0:
        return
    urgent = [
        flow
        for flow in queue.flows["batch"].values()
        if flow.requests and flow.requests[0].deadline_ms - now_ms <= BATCH_URGENT_MS
    ]
    urgent.sort(key=_service_order)
    for flow in urgent:
        yield from _first_requests(flow.requests, may_pass)
    for priority in PRIORITIES:
        flows = [flow for flow in queue.flows[priority].values() if flow.requests]
        if any(flow.urgency for flow in flows):
            yield from _next_by_urgency(queue, flows, now_ms, may_pass)
            continue
        flows.sort(key=_service_order)
        for flow in flows:
            if flow.requests and flow not in urgent:
                ordered = first_by_share(flow.share, flow.requests)
                yield from _first_requests(ordered, may_pass)


def _first_requests(requests, may_pass):
    """Return the first of `requests` up to the first that may not be passed."""
    found = []
    for request in requests:
        found.append(request)
        if may_pass is None or not may_pass(request):
            break
    return found


def _service_order(flow):
    return (flow.start_tag, flow.workspace)


def _next_by_urgency(queue, flows, now_ms, may_pass):
    """Yield the next requests of flows with an urgency, in order of service."""
    flows.sort(key=lambda flow: _urgency_order(queue, flow))
    late = []
    for flow in flows:
        if not flow.requests:
            continue
        if flow.requests[0].latest_start_ms >= now_ms:
            yield from _first_requests(flow.requests, may_pass)
            continue
        requests = list(flow.requests)
        late_count = bisect_left(requests, now_ms, key=_latest_start_ms)
        late.append(requests[:late_count])
        yield from _first_requests(requests[late_count:], may_pass)
    for requests in late:
        yield from _first_requests(requests, may_pass)


def _latest_start_ms(request):
    return request.latest_start_ms


def _urgency_order(queue, flow):
    due = bool(flow.urgency) and (
        is_due(queue.class_aging, flow.urgency)
        or is_due(queue.workspace_aging, flow.workspace)
    )
    return (not due, flow.urgency, flow.start_tag, flow.workspace)


def pop_request(queue, request):
    """Remove `request` from its flow and charge its cost to the flow."""
    flow = queue.flows[request.priority][_flow_key(request)]
    if request.urgency:
        _count_served(queue, request)
    flow.requests.remove(request)
    count_start(flow.share, request)
    clock = _clock_key(request)
    queue.virtual_time[clock] = max(queue.virtual_time.get(clock, 0.0), flow.start_tag)
    flow.start_tag += request.cost / flow.weight
    _update_totals(queue, flow, request)


def _count_served(queue, request):
    """Update the guaranteed shares for a request that is served."""
    classes, workspaces = set(), set()
    for flow in _waiting_with_urgency(queue):
        classes.add(flow.urgency)
        workspaces.add(flow.workspace)
    count_served(queue.class_aging, request.urgency, len(classes))
    count_served(queue.workspace_aging, request.workspace, len(workspaces))


def _waiting_with_urgency(queue):
    """Return the flows with an urgency that have waiting requests."""
    return [
        flow
        for flows in queue.flows.values()
        for flow in flows.values()
        if flow.urgency and flow.requests
    ]


def remove_request(queue, request):
    """Remove a queued `request` without charging it; return whether it was found."""
    flow = queue.flows[request.priority].get(_flow_key(request))
    if flow is None or request not in flow.requests:
        return False
    flow.requests.remove(request)
    count_leave(flow.share, request)
    _update_totals(queue, flow, request)
    return True


def cost_ahead(queue, request):
    """Return the cost that would be served before `request` if it were queued now.

    The smaller of the cost of all requests that wait at its priority or a higher
    one, and the bound that fair sharing gives for its workspace.
    """
    total = 0.0
    weights = 0.0
    for priority in PRIORITIES:
        total += queue.costs[priority]
        flows = queue.flows[priority].values()
        weights += sum(flow.weight for flow in flows if flow.requests)
        if priority == request.priority:
            break
    flow = queue.flows[request.priority].get(_flow_key(request))
    if flow is None or not flow.requests:
        return min(total, request.cost * weights)
    return min(total, flow.cost * weights / flow.weight)


def prune_flows(queue):
    """Remove empty flows that virtual time has reached.

    A flow with a later start tag is kept, so that its workspace does not regain
    priority by being idle for a moment.
    """
    for priority, flows in queue.flows.items():
        for name in [n for n, flow in flows.items() if not flow.requests]:
            urgency = flows[name].urgency
            clock = (priority, urgency) if urgency else priority
            if flows[name].start_tag <= queue.virtual_time.get(clock, 0.0):
                del flows[name]
    prune_keys(queue.class_aging)
    prune_keys(queue.workspace_aging)


def requests_by_urgency(queue):
    """Return the waiting requests with an urgency by urgency, the most urgent first.

    Returns
    -------
    list of (tuple of int, list of Request)
        Requests of each urgency in the order of their latest start.
    """
    found = {}
    for flow in _waiting_with_urgency(queue):
        found.setdefault(flow.urgency, []).extend(flow.requests)
    for requests in found.values():
        requests.sort(key=lambda request: request.latest_start_ms)
    return sorted(found.items())


def queued_ahead(queue, request):
    """Return the requests that would be served before a new one with an urgency.

    Parameters
    ----------
    queue : FairQueue
    request : Request
        Not queued.

    Returns
    -------
    more_urgent : int
        Waiting requests that are more urgent.
    same : float
        Waiting requests of the same urgency that fair sharing serves first.
    guaranteed_share : float
        Least share of the requests served that bounded aging gives to its urgency.
    """
    more_urgent = same = own = 0
    weights = 0.0
    classes = {request.urgency}
    weight = 0.0
    for flow in _waiting_with_urgency(queue):
        classes.add(flow.urgency)
        if flow.urgency < request.urgency:
            more_urgent += len(flow.requests)
        elif flow.urgency == request.urgency:
            same += len(flow.requests)
            weights += flow.weight
            if flow.workspace == request.workspace:
                own, weight = len(flow.requests), flow.weight
    fair = own * weights / weight if weight else weights
    return more_urgent, min(same, fair), GUARANTEED_SHARE / len(classes)


def _update_totals(queue, flow, request):
    flow.cost = flow.cost - request.cost if flow.requests else 0.0
    queue.size -= 1
    queue.costs[request.priority] -= request.cost
    if queue.size == 0:
        queue.costs = dict.fromkeys(PRIORITIES, 0.0)
