"""Summaries of the daemons' log lines, by interval of time or by request."""

import datetime
from collections import Counter, defaultdict

import msgspec

__all__ = ["parse_log_lines", "request_lines", "summary_lines"]

STATE_CHANGE_TOPICS = (
    "node:",
    "daemon:",
    "config:",
    "membership:",
    "platform:",
    "routing:",
)
"""Topics of log lines that report a state change of the daemon or its peers."""

MAX_CHANGES_PER_STEP = 12
"""Limit of the state changes listed for one interval; further ones are counted."""

_CONTEXT_FIELDS = (
    "reason",
    "outcome",
    "server",
    "peer",
    "target",
    "expected_ms",
    "waited_ms",
)
"""Fields shown first after the event in the log lines of a request."""

_MEASURED_FIELDS = ("took_ms", "first_ms", "age_ms", "retry_after_ms", "cached_tokens")
"""Fields shown last."""


def parse_log_lines(lines):
    """Yield the time and the fields of each JSON log line.

    Lines that are not log lines are skipped.

    Parameters
    ----------
    lines : iterable of str
        Text before the first brace of a line is ignored.

    Yields
    ------
    tuple of (float, dict)
        Time in ms since the epoch, and the fields.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
            stamp = datetime.datetime.fromisoformat(fields["timestamp"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            continue
        yield stamp.timestamp() * 1000.0, fields


def summary_lines(entries, step_ms):
    """Return the events of each interval of `step_ms`, as lines of text.

    Request events are counted by their text, and state changes are listed with
    the VM that logged them.

    Parameters
    ----------
    entries : iterable of (float, dict)
        As :func:`parse_log_lines` yields them, in any order.
    step_ms : int
        Length of an interval in ms.

    Returns
    -------
    list of str
    """
    steps = defaultdict(list)
    for at_ms, fields in entries:
        steps[int(at_ms // step_ms)].append((at_ms, fields))
    first = min(steps, default=0)
    found = []
    for step in sorted(steps):
        found.append(f"{(step - first) * step_ms / 1000:8.1f} s")
        found += _step_lines(sorted(steps[step], key=lambda item: item[0]))
    return found


def _step_lines(entries):
    requests = Counter()
    changes = Counter()
    for _, fields in entries:
        event = fields.get("event", "")
        if event.startswith("request:"):
            requests[_request_text(event, fields)] += 1
        elif event.startswith(STATE_CHANGE_TOPICS):
            changes[f"{fields.get('vm', '?')} {event}"] += 1
    lines = [f"    {count:5} {text}" for text, count in requests.most_common()]
    lines += [f"          {text}" for text in list(changes)[:MAX_CHANGES_PER_STEP]]
    if len(changes) > MAX_CHANGES_PER_STEP:
        lines.append(
            f"          and {len(changes) - MAX_CHANGES_PER_STEP} more changes"
        )
    return lines


def _request_text(event, fields):
    reason = fields.get("reason", "")
    return f"{event} ({reason})" if reason else event


def request_lines(entries, request_id):
    """Return the log lines of one request, ordered by time.

    Parameters
    ----------
    entries : iterable of (float, dict)
        As :func:`parse_log_lines` yields them, in any order.
    request_id : str

    Returns
    -------
    list of str
        The times are relative to the first line.
    """
    matching = [item for item in entries if item[1].get("request_id") == request_id]
    matching.sort(key=lambda item: item[0])
    return [
        f"{at_ms - matching[0][0]:8.0f} ms  {fields.get('vm', '?')}  "
        f"{fields.get('event', '')}  {_field_text(fields)}".rstrip()
        for at_ms, fields in matching
    ]


def _field_text(fields):
    names = [
        name
        for name in (*_CONTEXT_FIELDS, *_MEASURED_FIELDS)
        if fields.get(name) not in (None, "")
    ]
    return " ".join(f"{name}={fields[name]}" for name in names)
