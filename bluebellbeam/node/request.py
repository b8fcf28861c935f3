"""Requests and the attempts to run them, as entities of the node."""

__all__ = ["Attempt", "Request"]


class Request:
    """One request of a caller, or one forwarded by a peer.

    Attributes
    ----------
    request_id, workspace : str
    origin : str
        Empty for a caller of this daemon, else the forwarding VM.
    model, adapter, service, method, path : str
    pool : str
        Pool of backend servers that can run it.
    idempotent : bool
    operation_id : str
    fingerprint : int
    prompt_tokens, max_output_tokens : int
    blocks : tuple of int
        Hashes of the prompt's leading blocks.
    block_ends : tuple of int
        Prompt tokens up to the end of each block; empty where every block
        has the same size.
    expected_ms : float
        Expected time of a service call.
    host : str
        Host that a routed request named; empty for the product's own paths.
    route : Route or None
        Route that it follows.
    attempt_key : str
        Id that the caller gave a routed request.
    queue_deadline_ms : int
        A routed request that has not been sent by then is refused; 0 where
        only `deadline_ms` counts.
    answer_deadline_ms : int
        The whole answer is due by then; 0 for no bound beyond `deadline_ms`.
    max_attempts : int
        Servers to which it may be sent; 0 for the policy's number.
    sends : int
        Servers to which it may have been sent, by attempts that have ended.
    sends_before_arrival : int
        Those of them before it came to this daemon.
    priority : {"interactive", "batch", "guest"}
    cost : float
        Token cost for fair sharing.
    arrival_ms, deadline_ms : int
        The first token, or the answer of a service, is due at the deadline.
    allowed : frozenset of str
        Regions that may see it; only ever narrowed.
    revision : int
        Configuration revision of the daemon that the caller reached.
    lease_id : str
    state : {"queued", "running", "ended"}
    tried : set of str
        Backend servers and peers that have failed it.
    attempts : int
    maybe_sent : bool
        Whether an attempt may have reached a backend server.
    emitted_tokens : int
        Tokens that the caller already has.
    started : bool
        Whether an answer has begun.
    running_attempts : list of Attempt
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
        "host",
        "route",
        "attempt_key",
        "queue_deadline_ms",
        "answer_deadline_ms",
        "max_attempts",
        "sends",
        "sends_before_arrival",
        "expected_ms",
        "priority",
        "cost",
        "arrival_ms",
        "deadline_ms",
        "allowed",
        "revision",
        "lease_id",
        "state",
        "tried",
        "attempts",
        "maybe_sent",
        "emitted_tokens",
        "started",
        "running_attempts",
        "stalled",
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
        self.host = values.pop("host", "")
        self.route = None
        self.attempt_key = values.pop("attempt_key", "")
        self.queue_deadline_ms = 0
        self.answer_deadline_ms = values.pop("answer_deadline_ms", 0)
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
        self.lease_id = values.pop("lease_id", "")
        if values:
            raise TypeError(f"unknown fields of a request: {sorted(values)}")
        self.state = "queued"
        self.tried = set()
        self.attempts = 0
        self.maybe_sent = False
        self.emitted_tokens = 0
        self.started = False
        self.running_attempts = []
        self.stalled = False

    @property
    def start_deadline_ms(self):
        """Time at which it is given up while it waits for a server."""
        return self.queue_deadline_ms or self.deadline_ms


class Attempt:
    """One try to run a request, at a backend server or at a lender.

    Attributes
    ----------
    attempt_id : int
    request : Request
    server : str
        Backend server, or empty.
    peer : str
        Lender, or empty.
    lease_id : str
    started_ms : int
    answer_started_ms : int or None
        When its answer began.
    expected_ms : float
    expected_uncached_tokens : int
        Uncached prompt tokens expected.
    """

    __slots__ = (
        "attempt_id",
        "request",
        "server",
        "peer",
        "lease_id",
        "started_ms",
        "answer_started_ms",
        "expected_ms",
        "expected_uncached_tokens",
    )

    def __init__(self, attempt_id, request, server, peer, started_ms):
        self.attempt_id = attempt_id
        self.request = request
        self.server = server
        self.peer = peer
        self.lease_id = ""
        self.started_ms = started_ms
        self.answer_started_ms = None
        self.expected_ms = 0.0
        self.expected_uncached_tokens = 0
