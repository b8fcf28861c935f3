"""What became of one caller's request in a scenario."""

__all__ = ["CallerRequest"]


class CallerRequest:
    """One request as its caller sees it.

    Attributes
    ----------
    request_id : str
    workspace, vm : str
        Caller and the entry VM that it was sent to.
    kind : {"chat", "read", "change"}
    operation : str
        Label that repeats of one change share.
    sent_ms : int
    first_ms, done_ms : int or None
    result : str
        ``open``, ``whole``, ``repeated``, an error code, or ``lost`` when the
        connection broke.
    outcome : str
        Outcome that the caller was told, or empty.
    tokens, expected_tokens, prompt_tokens : int
    retry_after_ms : int
    regions : list of str
        Regions in which backend servers ran it.
    away : bool
        Whether it was forwarded to another region.
    final_answers : int
        Final answers received; more than one is a fault.
    attempts : int
        Attempts at backend servers.
    process_number : int
        Process of the entry VM that it was sent to.
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
        "final_answers",
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
        self.final_answers = 0
        self.cost = 0.0
        self.process_number = 0
        self.attempts = 0

    def close(self, result, outcome, now_ms):
        """Record the final answer."""
        self.final_answers += 1
        self.result = result
        self.outcome = outcome
        self.done_ms = now_ms
