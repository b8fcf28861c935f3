"""Whole numbers in headers."""

import re

__all__ = ["parse_count"]

_COUNT = re.compile(r"[0-9]{1,9}")
"""Form of a count. More digits do not come from a working peer, and the sum of such
numbers, or their conversion to float, would overflow."""


def parse_count(text, default=None):
    """Return the whole number in `text`, or `default` if it is malformed.

    Parameters
    ----------
    text : str
        At most nine ASCII digits, without a sign.
    default : int or None
    """
    return int(text) if _COUNT.fullmatch(text) else default
