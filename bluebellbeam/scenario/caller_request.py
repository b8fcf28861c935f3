"""Record of one caller's request in a simulation."""

__all__ = ["CallerRequest"]


class CallerRequest:
    """A caller's request and the response that it received.

    Attributes
    ----------
    request_id : str
    workspace : str
        Workspace of the caller.
    vm : str
        Entry VM that the request was sent to.
    kind : {"chat", "read", "change"}
        A chat completion, or an idempotent or non-idempotent service call.
    operation : str
        Label that a change and all its repeats share.
    operation_id : str
        Operation id sent with a change, or empty.
    sent_ms : float
        Time in ms at which the caller sent the request.
    first_ms, done_ms : float or None
        Time in ms at which the first token and the final response arrived, or
        None before that.
    result : str
        ``open`` before the final response, ``whole`` for a complete one,
        ``repeated`` for the recorded response of a repeated change, an error
        code, ``unreachable`` when no daemon ran on the VM, or ``lost`` when
        the connection broke.
    outcome : str
        Outcome in the final response (``ran``, ``not_run`` or ``unknown``), or
        empty.
    tokens : int
        Output tokens received.
    expected_tokens, prompt_tokens : int
        Output tokens of a complete response, and prompt tokens.
    retry_after_ms : int
        Time to wait before a retry, as given by the final error.
    regions : list of str
        Region of each backend server that ran the request.
    away : bool
        Whether the request was forwarded to another daemon.
    final_responses : int
        Number of final responses received; more than one is a fault.
    cost : float
        Price of the computed tokens and of their transfer between regions, in
        the unit of the prices in the base file.
    attempts : int
        Attempts started at backend servers, failed ones included.
    process_number : int
        Number of the daemon process on the entry VM when the request was sent.
    """

    __slots__ = (
        "request_id",
        "workspace",
        "vm",
        "kind",
        "operation",
        "operation_id",
        "sent_ms",
        "first_ms",
        "done_ms",
        "result",
        "outcome",
        "tokens",
        "expected_tokens",
        "prompt_tokens",
        "retry_after_ms",
        "regions",
        "away",
        "final_responses",
        "cost",
        "process_number",
        "attempts",
    )

    def __init__(self, request_id, workspace, vm, kind, sent_ms):
        self.request_id = request_id
        self.workspace = workspace
        self.vm = vm
        self.kind = kind
        self.operation = ""
        self.operation_id = ""
        self.sent_ms = sent_ms
        self.first_ms = None
        self.done_ms = None
        self.result = "open"
        self.outcome = ""
        self.tokens = 0
        self.expected_tokens = 0
        self.prompt_tokens = 0
        self.retry_after_ms = 0
        self.regions = []
        self.away = False
        self.final_responses = 0
        self.cost = 0.0
        self.process_number = 0
        self.attempts = 0

    def close(self, result, outcome, now_ms):
        """Record the final response."""
        self.final_responses += 1
        self.result = result
        self.outcome = outcome
        self.done_ms = now_ms
