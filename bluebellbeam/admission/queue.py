"""Weighted fair queueing of requests over workspaces, with priorities.

Each pool of backend servers has one queue. Within a priority, workspaces share
the slots by weight, measured in expected slot time (start-time fair queueing
[1]_). Interactive requests are served before batch requests, except those that
are about to miss their deadline.

References
----------
.. [1] Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

from collections import deque

__all__ = [
    "PRIORITIES",
    "FairQueue",
    "Lane",
    "cost_ahead",
    "make_fair_queue",
    "next_requests",
    "pop_request",
    "push_request",
    "remove_request",
]

PRIORITIES = ("interactive", "batch", "guest")
"""Priorities in the order of service; guest requests are forwarded by other regions."""

BATCH_URGENT_MS = 10_000
"""Time to its deadline from which a batch request is served before all others."""


class Lane:
    """The waiting requests of one workspace at one priority.

    Attributes
    ----------
    workspace : str
    requests : deque of Request
    start_tag : float
        Virtual start time of its next request.
    weight : float
        Weight of the workspace.
    cost : float
        Expected slot time of its waiting requests, in ms.
    """

    __slots__ = ("workspace", "requests", "start_tag", "weight", "cost")

    def __init__(self, workspace, weight):
        self.workspace = workspace
        self.cost = 0.0
        self.requests = deque()
        self.start_tag = 0.0
        self.weight = weight


class FairQueue:
    """Requests that wait for a slot in one pool.

    Attributes
    ----------
    lanes : dict of str to dict of str to Lane
        Lanes by priority and workspace.
    virtual_time : dict of str to float
        Virtual time by priority: the start tag of the last request served.
    size : int
        Number of waiting requests.
    costs : dict of str to float
        Expected slot time of all waiting requests in ms, by priority.
    """

    __slots__ = ("lanes", "virtual_time", "size", "costs")

    def __init__(self):
        self.lanes = {priority: {} for priority in PRIORITIES}
        self.virtual_time = dict.fromkeys(PRIORITIES, 0.0)
        self.size = 0
        self.costs = dict.fromkeys(PRIORITIES, 0.0)


def make_fair_queue():
    """Return an empty queue."""
    return FairQueue()


def push_request(queue, request, weight, front=False):
    """Add `request` to its lane, at the front when it returns for another attempt."""
    lanes = queue.lanes[request.priority]
    lane = lanes.get(request.workspace)
    if lane is None:
        lane = lanes[request.workspace] = Lane(request.workspace, weight)
    lane.weight = weight
    if not lane.requests:
        now = queue.virtual_time[request.priority]
        lane.start_tag = max(lane.start_tag, now)
    if front:
        lane.requests.appendleft(request)
        lane.start_tag -= request.cost / lane.weight
    else:
        lane.requests.append(request)
    lane.cost += request.cost
    queue.size += 1
    queue.costs[request.priority] += request.cost


def next_requests(queue, now_ms):
    """Yield the first request of each lane in the order of service.

    Parameters
    ----------
    queue : FairQueue
    now_ms : int

    Yields
    ------
    Request
        At most one per workspace and priority.
    """
    if queue.size == 0:
        return
    urgent = [
        lane
        for lane in queue.lanes["batch"].values()
        if lane.requests and lane.requests[0].deadline_ms - now_ms <= BATCH_URGENT_MS
    ]
    urgent.sort(key=_service_order)
    yield from [lane.requests[0] for lane in urgent]
    for priority in PRIORITIES:
        lanes = [lane for lane in queue.lanes[priority].values() if lane.requests]
        lanes.sort(key=_service_order)
        for lane in lanes:
            if lane.requests and lane not in urgent:
                yield lane.requests[0]


def _service_order(lane):
    return (lane.start_tag, lane.workspace)


def pop_request(queue, request):
    """Remove `request`, the first of its lane, and charge its cost to the lane."""
    lane = queue.lanes[request.priority][request.workspace]
    lane.requests.popleft()
    queue.virtual_time[request.priority] = max(
        queue.virtual_time[request.priority], lane.start_tag
    )
    lane.start_tag += request.cost / lane.weight
    _update_totals(queue, lane, request)


def remove_request(queue, request):
    """Remove a queued `request` without charging it; return whether it was found."""
    lane = queue.lanes[request.priority].get(request.workspace)
    if lane is None or request not in lane.requests:
        return False
    lane.requests.remove(request)
    _update_totals(queue, lane, request)
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
        lanes = queue.lanes[priority].values()
        weights += sum(lane.weight for lane in lanes if lane.requests)
        if priority == request.priority:
            break
    lane = queue.lanes[request.priority].get(request.workspace)
    if lane is None or not lane.requests:
        return min(total, request.cost * weights)
    return min(total, lane.cost * weights / lane.weight)


def prune_lanes(queue):
    """Remove empty lanes that virtual time has reached.

    A lane with a later start tag is kept, so that its workspace does not regain
    priority by being idle for a moment.
    """
    for priority, lanes in queue.lanes.items():
        now = queue.virtual_time[priority]
        for name in [n for n, lane in lanes.items() if not lane.requests]:
            if lanes[name].start_tag <= now:
                del lanes[name]


def _update_totals(queue, lane, request):
    lane.cost = lane.cost - request.cost if lane.requests else 0.0
    queue.size -= 1
    queue.costs[request.priority] -= request.cost
    if queue.size == 0:
        queue.costs = dict.fromkeys(PRIORITIES, 0.0)
