"""Splitting of a server-sent event stream into complete events."""

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "is_comment", "make_event_splitter"]

MAX_EVENT_BYTES = 256 * 1024
"""Largest incomplete event that is buffered; a daemon serves hundreds of streams."""

MAX_BLANK_LINE_BYTES = 4
"""Length of the longest end of an event, ``\\r\\n\\r\\n``."""


class EventSplitter:
    """Incremental splitter of an event stream."""

    __slots__ = ("_buffer", "_searched_bytes")

    def __init__(self):
        self._buffer = bytearray()
        # The start of the buffer that is known to contain no blank line, so that an
        # event in many small parts is not searched anew with each.
        self._searched_bytes = 0

    @property
    def rest(self):
        """Incomplete event at the end of the data received so far."""
        return bytes(self._buffer)

    @property
    def is_inside_event(self):
        """Whether the data received so far ends inside an event."""
        return bool(self._buffer.strip(b"\r\n"))

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
        search = self._searched_bytes
        if self._buffer:
            self._buffer += data
            if _event_end(self._buffer, search) < 0:
                self._keep_rest()
                return []
            data = bytes(self._buffer)
            self._buffer.clear()
        found = []
        start = 0
        while (end := _event_end(data, max(start, search))) >= 0:
            raw = data[start:end]
            found.append((_event_id(raw), raw))
            start = end
        self._buffer += data[start:]
        self._keep_rest()
        return found

    def _keep_rest(self):
        rest_bytes = len(self._buffer)
        self._searched_bytes = max(0, rest_bytes - MAX_BLANK_LINE_BYTES + 1)
        if rest_bytes > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")


def make_event_splitter():
    """Return a splitter for a new stream."""
    return EventSplitter()


def is_comment(raw):
    """Return whether a part of a stream consists of comments and blank lines only."""
    return all(line.startswith(b":") for line in raw.splitlines() if line)


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
