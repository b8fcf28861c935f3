"""Requests handled by a node, and their attempts."""

__all__ = ["Attempt", "Request"]


class Request:
    """A request from a caller, or one forwarded by a peer.

    Deadlines and other times are in ms on the clock of the daemon.

    Attributes
    ----------
    request_id : str
        Id used in responses, logs and explanations.
    workspace : str
        Workspace of the caller.
    origin : str
        VM that forwarded the request; empty if it came from a caller.
    model, adapter : str
        Model and adapter to run; empty or None when not applicable.
    service, method, path : str
        Service to call, and HTTP method and path of the call.
    pool : str
        Pool of backend servers that can run it.
    idempotent : bool
        Whether it may run more than once.
    operation_id : str
        Id under which a non-idempotent call runs at most once, or empty.
    fingerprint : int
        Hash of the call, compared when its operation id is used again.
    prompt_tokens, max_output_tokens : int
        Tokens of the prompt, and the most that the response may have.
    blocks : tuple of int
        Hashes of the leading blocks of the prompt, for prefix caching.
    block_ends : tuple of int
        Prompt tokens up to the end of each block; empty if all blocks have the
        same size.
    prompt_parts : tuple of str
        Names of the parts that the prompt may have in common with others, in order.
    content_names : tuple of str
        Names of the request by its content, the most general one first; see
        :func:`bluebellbeam.quarantine.request_names`.
    retried_names : frozenset of str
        Those of them under which a server was lost, as reported by the peers that the
        request came from or went to.
    trial_part : str
        Part in quarantine that the request is a trial of, or empty.
    expected_ms : float
        Expected duration of a service call in ms.
    host : str
        Host of a routed request; empty for requests to the API of this daemon.
    route : Route or None
        Route of a routed request.
    attempt_key : str
        Id of a routed request, chosen by its caller; it also selects one of the
        services of a route.
    queue_deadline_ms : int
        Time until which a routed request may stay queued; 0 for `deadline_ms`.
    response_deadline_ms : int
        Time by which the complete response is due; 0 for no limit beyond
        `deadline_ms`.
    max_attempts : int
        Most servers to which a routed request may be sent; 0 for other
        requests, whose attempts the policy limits.
    sends : int
        Number of servers to which ended attempts may have sent it.
    sends_before_arrival : int
        Value of `sends` when the request arrived at this daemon.
    priority : {"interactive", "batch", "guest"}
        A guest was forwarded by another region under a lease and runs outside
        the home region of its workspace.
    cost : float
        Cost for fair queueing: expected slot time in ms or, for a routed prompt,
        weighted tokens.
    urgency : tuple of int
        Ranks of a routed request in its queue, the most urgent lowest; empty where
        the order does not depend on urgency.
    latest_start_ms : int
        Latest start at which the first event of a request with an urgency can still
        meet its objective.
    arrival_ms : int
        Time of arrival at this daemon.
    deadline_ms : int
        Time by which the first token, or the response of a service, is due.
    allowed : frozenset of str
        Regions in which it may run. A new configuration can only remove some,
        except that a routed request from a caller follows changes of its route
        while it is queued.
    revision : int
        Configuration revision of the daemon that the caller sent it to.
    decided_service : str
        Service that this daemon has chosen for a forwarded request; empty if the
        daemon does not name it.
    lease_id : str
        Lease under which a peer forwarded it, or empty.
    state : {"waiting", "queued", "running", "ended"}
        A request waits before it is queued while the origin of its stream is looked
        up, or while the ledger of its workspace is asked for tokens.
    tried_targets : set of str
        Backend servers and peers at which an attempt has failed; no further
        attempt is sent to them.
    is_refused_for_room : bool
        Whether a daemon that it was forwarded to has refused it for want of room.
    attempts : int
        Attempts started so far.
    maybe_sent : bool
        Whether an attempt may have reached a backend server.
    emitted_tokens : int
        Output tokens already passed on to the caller.
    response_started : bool
        Whether a response to it has begun.
    running_attempts : list of Attempt
        Attempts in flight; two after a hedge or an overdue first token.
    stalled : bool
        Whether its first token was overdue. At most one second attempt is started
        for that reason.
    resume_after : str
        Id of the last event that the caller received of the stream that it resumes;
        empty for a new stream.
    resumes : str
        Id of the caller's request that brought the first event of that stream, or
        empty.
    stream_origin : StreamOrigin or None
        Where the event stream of a routed request began; None before its first
        event, and for other responses.
    key_digest : str
        SHA-256 digest of the caller's key; empty if it gave no valid one.
    has_key : bool
        Whether `workspace` is that of the caller's key, and not that of its route.
    key_fault : str
        Why there is no `key_digest`, or empty.
    charged_tokens : int
        Tokens charged to the quota of a workspace, or 0.
    charged_workspace : str
        Workspace that was charged; a new configuration may change `workspace`.
    charged_ledger : bool
        Whether they were granted by a ledger.
    """

    __slots__ = (
        "request_id",
        "workspace",
        "origin",
        "model",
        "adapter",
        "service",
        "method",
        "path",
        "pool",
        "idempotent",
        "operation_id",
        "fingerprint",
        "prompt_tokens",
        "max_output_tokens",
        "blocks",
        "block_ends",
        "prompt_parts",
        "content_names",
        "retried_names",
        "trial_part",
        "host",
        "route",
        "attempt_key",
        "queue_deadline_ms",
        "response_deadline_ms",
        "max_attempts",
        "sends",
        "sends_before_arrival",
        "expected_ms",
        "priority",
        "urgency",
        "latest_start_ms",
        "cost",
        "arrival_ms",
        "deadline_ms",
        "allowed",
        "revision",
        "decided_service",
        "lease_id",
        "state",
        "tried_targets",
        "is_refused_for_room",
        "attempts",
        "maybe_sent",
        "emitted_tokens",
        "response_started",
        "running_attempts",
        "stalled",
        "is_trial",
        "resume_after",
        "resumes",
        "stream_origin",
        "key_digest",
        "key_fault",
        "has_key",
        "charged_tokens",
        "charged_workspace",
        "charged_ledger",
    )

    def __init__(self, request_id, workspace, **values):
        self.request_id = request_id
        self.workspace = workspace
        self.origin = values.pop("origin", "")
        self.model = values.pop("model", "")
        self.adapter = values.pop("adapter", None)
        self.service = values.pop("service", "")
        self.method = values.pop("method", "POST")
        self.path = values.pop("path", "")
        self.pool = values.pop("pool", "")
        self.idempotent = values.pop("idempotent", True)
        self.operation_id = values.pop("operation_id", "")
        self.fingerprint = values.pop("fingerprint", 0)
        self.prompt_tokens = values.pop("prompt_tokens", 0)
        self.max_output_tokens = values.pop("max_output_tokens", 0)
        self.blocks = values.pop("blocks", ())
        self.block_ends = values.pop("block_ends", ())
        self.prompt_parts = values.pop("prompt_parts", ())
        self.content_names = values.pop("content_names", ())
        self.retried_names = frozenset(values.pop("retried_names", ()))
        self.trial_part = values.pop("trial_part", "")
        self.host = values.pop("host", "")
        self.route = None
        self.urgency = ()
        self.latest_start_ms = 0
        self.attempt_key = values.pop("attempt_key", "")
        self.queue_deadline_ms = 0
        self.response_deadline_ms = values.pop("response_deadline_ms", 0)
        self.max_attempts = 0
        self.sends = values.pop("sends", 0)
        self.sends_before_arrival = self.sends
        self.expected_ms = values.pop("expected_ms", 0.0)
        self.priority = values.pop("priority", "interactive")
        self.cost = values.pop("cost", 1.0)
        self.arrival_ms = values.pop("arrival_ms", 0)
        self.deadline_ms = values.pop("deadline_ms", 0)
        self.allowed = values.pop("allowed", frozenset())
        self.revision = values.pop("revision", 0)
        self.decided_service = values.pop("decided_service", "")
        self.lease_id = values.pop("lease_id", "")
        self.resume_after = values.pop("resume_after", "")
        self.resumes = values.pop("resumes", "")
        self.stream_origin = values.pop("stream_origin", None)
        self.key_digest = values.pop("key_digest", "")
        self.key_fault = values.pop("key_fault", "")
        self.has_key = bool(workspace)
        if values:
            raise TypeError(f"unknown fields of request {request_id}: {sorted(values)}")
        self.state = "queued"
        self.tried_targets = set()
        self.is_refused_for_room = False
        self.attempts = 0
        self.maybe_sent = False
        self.emitted_tokens = 0
        self.response_started = False
        self.running_attempts = []
        self.stalled = False
        self.charged_tokens = 0
        self.charged_workspace = ""
        self.charged_ledger = False
        self.is_trial = False

    @property
    def start_deadline_ms(self):
        """Time until which the request may wait in its queue."""
        return self.queue_deadline_ms or self.deadline_ms


class Attempt:
    """An attempt to run a request at a backend server or a peer.

    Times are in ms on the clock of the daemon.

    Attributes
    ----------
    attempt_id : int
        Number of the attempt in this process, starting at 1.
    request : Request
    server : str
        Backend server, or empty.
    server_incarnation : int
        Incarnation of that server that the request was sent to.
    server_version : str
        Software version of that server when the request was sent to it.
    peer : str
        Peer that the request is forwarded to, or empty.
    lease_id : str
        Lease granted by the peer under which it is forwarded, or empty.
    retried_names : frozenset of str
        Names of the request under which another server had been lost before the
        attempt started.
    started_ms : int
        Time at which the attempt started.
    response_started_ms : int or None
        Time at which its response began.
    expected_ms : float
        Expected time in ms to the first token, or to the response of a service.
    base_ms : float
        That time at a server of pace 1; 0 for a request without a prompt.
    expected_uncached_tokens : int
        Prompt tokens that the server is expected to compute.
    """

    __slots__ = (
        "attempt_id",
        "request",
        "server",
        "server_incarnation",
        "server_version",
        "peer",
        "lease_id",
        "retried_names",
        "started_ms",
        "response_started_ms",
        "expected_ms",
        "base_ms",
        "expected_uncached_tokens",
    )

    def __init__(self, attempt_id, request, server, peer, started_ms):
        self.attempt_id = attempt_id
        self.request = request
        self.server = server
        self.server_incarnation = 0
        self.server_version = ""
        self.peer = peer
        self.lease_id = ""
        self.retried_names = frozenset()
        self.started_ms = started_ms
        self.response_started_ms = None
        self.expected_ms = 0.0
        self.base_ms = 0.0
        self.expected_uncached_tokens = 0
