"""Framing of an event stream into whole events."""

__all__ = ["EventSplitter", "make_event_splitter"]

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event of a stream."""


class EventSplitter:
    """Cuts the bytes of a stream behind each whole event.

    Attributes
    ----------
    rest : bytes
        Begin of an event that is not whole yet.
    """

    __slots__ = ("rest",)

    def __init__(self):
        self.rest = b""

    def feed(self, data):
        """Return the whole events in what has come, as ``(id, bytes)`` pairs.

        Returns
        -------
        list of (str, bytes)
            An empty id for an event without one. The bytes joined are the
            stream as it came.

        Raises
        ------
        ValueError
            If an event is larger than allowed.
        """
        data = self.rest + data
        found = []
        start = 0
        while (end := _event_end(data, start)) >= 0:
            raw = data[start:end]
            found.append((_event_id(raw), raw))
            start = end
        self.rest = data[start:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is larger than allowed")
        return found


def make_event_splitter():
    """Return a splitter at the begin of a stream."""
    return EventSplitter()


def _event_end(data, start):
    """Return the index behind the next event's empty line, or -1."""
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := data.find(mark, start)) >= 0
    ]
    return min(ends) if ends else -1


def _event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
