"""Splitting of a server-sent event stream into complete events."""

import re

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "is_comment", "make_event_splitter"]

MAX_EVENT_BYTES = 256 * 1024
"""Largest incomplete event that is buffered; a daemon serves hundreds of streams."""

_BLANK_LINE = re.compile(rb"\n\n|\r\n\r\n")
_CONTENT = re.compile(rb"[^\r\n]")

MAX_BLANK_LINE_BYTES = 4
"""Length of the longest match of `_BLANK_LINE`."""


class EventSplitter:
    """Incremental splitter of an event stream.

    Each byte is searched a bounded number of times, whatever the bytes are and however
    they are cut. Line ends before the content of an event are part of that event.
    """

    __slots__ = ("_buffer", "_content_start", "_searched_bytes")

    def __init__(self):
        self._buffer = bytearray()
        # Index of the first content byte of the incomplete event, or the number of
        # bytes in which there is none.
        self._content_start = 0
        # The start of the buffer that is known to contain no blank line after content.
        self._searched_bytes = 0

    @property
    def rest(self):
        """Incomplete event at the end of the data received so far."""
        return bytes(self._buffer)

    @property
    def is_inside_event(self):
        """Whether the data received so far ends inside an event."""
        return self._content_start < len(self._buffer)

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
        self._buffer += data
        found = []
        start = 0
        while (end := self._next_end()) is not None:
            raw = bytes(self._buffer[start:end])
            found.append((_event_id(raw), raw))
            start = self._content_start = end
        del self._buffer[:start]
        self._content_start -= start
        self._searched_bytes = max(0, self._searched_bytes - start)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return found

    def _next_end(self):
        """Return the index after the next event, or None if it is incomplete."""
        content = _CONTENT.search(self._buffer, self._content_start)
        if content is None:
            self._content_start = len(self._buffer)
            return None
        self._content_start = content.start()
        first = max(self._content_start, self._searched_bytes)
        blank_line = _BLANK_LINE.search(self._buffer, first)
        if blank_line is None:
            last = len(self._buffer) - MAX_BLANK_LINE_BYTES + 1
            self._searched_bytes = max(self._searched_bytes, last)
            return None
        return blank_line.end()


def make_event_splitter():
    """Return a splitter for a new stream."""
    return EventSplitter()


def is_comment(raw):
    """Return whether a part of a stream consists of comments and blank lines only."""
    return all(line.startswith(b":") for line in raw.splitlines() if line)


def _event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
