"""Splitting of a server-sent event stream into complete events."""

__all__ = ["EventSplitter", "make_event_splitter"]

MAX_EVENT_BYTES = 1024 * 1024
"""Largest incomplete event that is buffered."""


class EventSplitter:
    """Incremental splitter of an event stream.

    Attributes
    ----------
    rest : bytes
        Incomplete event at the end of the data received so far.
    """

    __slots__ = ("rest",)

    def __init__(self):
        self.rest = b""

    @property
    def is_inside_event(self):
        """Whether the data received so far ends inside an event."""
        return bool(self.rest.strip(b"\r\n"))

    def feed(self, data):
        """Add received bytes and return the events that they complete.

        Returns
        -------
        list of (str, bytes)
            Id and raw bytes of each event; the id is empty if the event has
            none. The raw bytes concatenate to the original stream.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT_BYTES`.
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
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return found


def make_event_splitter():
    """Return a splitter for a new stream."""
    return EventSplitter()


def _event_end(data, start):
    """Return the index after the blank line that ends the next event, or -1."""
    ends = [
        index + len(blank_line)
        for blank_line in (b"\n\n", b"\r\n\r\n")
        if (index := data.find(blank_line, start)) >= 0
    ]
    return min(ends) if ends else -1


def _event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
