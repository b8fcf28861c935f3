"""Text of header values that stands for their bytes.

Listeners encode headers as UTF-8, with surrogates for invalid bytes. All other code
holds a value as Latin-1, one character for each byte, so that it is passed on as it is.
"""

__all__ = ["to_listener"]


def to_listener(value):
    """Return a header value of which a listener sends each character as one byte.

    Characters beyond Latin-1 are sent as UTF-8.
    """
    if value.isascii():
        return value
    try:
        return value.encode("latin-1").decode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        return value
