"""Plain service stand-in that counts how often each operation took effect."""

from bluebellbeam.provider.records import LoadReport

__all__ = ["PlainService", "make_service"]


class PlainService:
    """State and injected faults of one plain backend server.

    Attributes
    ----------
    record : VmRecord
        Record of the server in the VM list.
    slots : int
        Calls that the server runs at once at full speed; with more calls, all
        new ones take proportionally longer.
    service_ms : float
        Duration of a call in ms while a slot is free.
    slow_factor : float
        Fault: factor by which every call takes longer.
    mute_reports : bool
        Fault: the server sends no load report.
    effects : dict of str to int
        Number of times that each non-idempotent call took effect, by request
        key.
    reads : int
        Number of idempotent calls started.
    running : int
        Number of calls in flight.
    accepted_work : list of (str, float)
        Request key and start time in ms of each call.
    leaving : bool
        Whether the server is leaving the deployment.
    """

    __slots__ = (
        "record",
        "slots",
        "service_ms",
        "slow_factor",
        "effects",
        "reads",
        "leaving",
        "running",
        "mute_reports",
        "accepted_work",
    )

    def __init__(self, record, slots=16, service_ms=20.0):
        self.record = record
        self.slots = slots
        self.service_ms = service_ms
        self.slow_factor = 1.0
        self.effects = {}
        self.reads = 0
        self.leaving = False
        self.running = 0
        self.mute_reports = False
        self.accepted_work = []

    def start_call(self, key, idempotent, now_ms):
        """Start a call and return its duration in ms.

        Calls with the same `key` are repeats of one operation. One that is not
        idempotent takes effect at once, even if its response is lost afterwards.
        """
        self.running += 1
        self.accepted_work.append((key, now_ms))
        if idempotent:
            self.reads += 1
        else:
            self.effects[key] = self.effects.get(key, 0) + 1
        load = max(1.0, self.running / self.slots)
        return self.service_ms * self.slow_factor * load

    def finish_call(self):
        """Release the slot of one call."""
        self.running -= 1

    def report(self, now_ms):
        """Return the :class:`LoadReport`, or None with `mute_reports`."""
        if self.mute_reports:
            return None
        return LoadReport(
            server=self.record.name,
            incarnation=self.record.incarnation,
            region=self.record.region,
            slots=self.slots,
            running=self.running,
            leaving=self.leaving,
        )


def make_service(record, slots=16, service_ms=20.0):
    """Return a plain service without calls."""
    return PlainService(record, slots, service_ms)
