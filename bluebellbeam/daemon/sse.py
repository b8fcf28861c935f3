"""Splitting of a server-sent event stream into complete events."""

import re

__all__ = [
    "MAX_EVENT_BYTES",
    "EventBlock",
    "EventSplitter",
    "is_comment",
    "make_event_splitter",
]

MAX_EVENT_BYTES = 256 * 1024
"""Largest incomplete event that is buffered; a daemon serves hundreds of streams."""

_BLANK_LINE = re.compile(rb"\n\n|\r\n\r\n")
_CONTENT = re.compile(rb"[^\r\n]")

_EVENT_END = re.compile(rb"[^\r\n][\r\n]*?(?:\n\n|\r\n\r\n)")
_ID_LINE = re.compile(rb"(?:\A|[\r\n])id:[^\r\n]*")

MAX_BLANK_LINE_BYTES = 4
"""Length of the longest match of `_BLANK_LINE`."""


class EventBlock:
    """Whole events that follow each other in a stream.

    Attributes
    ----------
    raw : bytes
        The bytes of all of them.
    count : int
        Number of events.
    last_id : str
        Last id that is not empty; empty if there is none.
    """

    __slots__ = ("raw", "count", "last_id")

    def __init__(self, raw):
        self.raw = raw
        self.count = len(_EVENT_END.findall(raw))
        self.last_id = ""
        for line in reversed(_ID_LINE.findall(raw)):
            self.last_id = line.partition(b":")[2].strip().decode("latin-1")
            if self.last_id:
                break


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

    def feed_block(self, data):
        """Add received bytes and return the events that they complete as one block.

        The work depends on the number of bytes, hardly on that of events.

        Returns
        -------
        EventBlock or None
            None if no event is complete.

        Raises
        ------
        ValueError
            If an incomplete event exceeds `MAX_EVENT_BYTES`.
        """
        raw = self._take_whole(data)
        return EventBlock(raw) if raw else None

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
        raw = self._take_whole(data)
        found = []
        start = 0
        while start < len(raw):
            content = _CONTENT.search(raw, start)
            end = _BLANK_LINE.search(raw, content.start()).end()
            found.append((_event_id(raw[start:end]), raw[start:end]))
            start = end
        return found

    def _take_whole(self, data):
        """Add received bytes; remove and return those up to the last whole event."""
        self._buffer += data
        end = self._last_end()
        raw = bytes(self._buffer[:end])
        if end:
            del self._buffer[:end]
            self._content_start = self._searched_bytes = 0
            self._find_content()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return raw

    def _last_end(self):
        """Return the index after the last whole event in the buffer, or 0."""
        if not self._find_content():
            return 0
        buffer = self._buffer
        first = max(self._content_start, self._searched_bytes)
        last = max(buffer.rfind(b"\n\n", first), buffer.rfind(b"\r\n\r\n", first))
        if last < 0:
            self._searched_bytes = max(first, len(buffer) - MAX_BLANK_LINE_BYTES + 1)
            return 0
        # Of several blank lines in a row the first one ends the event.
        content_end = len(buffer[:last].rstrip(b"\r\n"))
        return _BLANK_LINE.search(buffer, max(first, content_end)).end()

    def _find_content(self):
        """Return whether the incomplete event has content, and note where it starts."""
        content = _CONTENT.search(self._buffer, self._content_start)
        if content is None:
            self._content_start = len(self._buffer)
            return False
        self._content_start = content.start()
        return True


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
