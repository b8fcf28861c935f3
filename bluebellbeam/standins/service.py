"""A plain service stand-in that counts how often each operation took effect."""

from bluebellbeam.provider.records import LoadReport

__all__ = ["PlainService", "make_service"]


class PlainService:
    """State of one plain backend server, and the switches of its faults.

    Attributes
    ----------
    record : VmRecord
    slots : int
    service_ms : float
    slow_factor : float
        Fault: everything takes this many times as long.
    effects : dict of str to int
        Times that each operation took effect, by request key.
    reads : int
        Idempotent calls answered.
    leaving : bool
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
        """Run a call and return how long it takes in ms.

        The effect of a call that is not idempotent takes place at once, even
        when the answer is lost afterwards.
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
        """Record that the answer of one call has been given."""
        self.running -= 1

    def report(self, now_ms):
        """Return the load report, or None while muted."""
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
    """Return an idle plain service."""
    return PlainService(record, slots, service_ms)
