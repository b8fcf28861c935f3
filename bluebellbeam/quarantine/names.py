"""Names of requests by their content, the same at every daemon.

A caller gives each attempt a new id. What stays the same when it repeats a request is
hashed, so that a name tells nothing of the body or of the caller's key.
"""

from base64 import urlsafe_b64encode
from hashlib import blake2b

__all__ = ["REQUEST_NAME_PREFIX", "request_names"]

REQUEST_NAME_PREFIX = "r:"
"""Start of every such name. The name of a prompt part contains no colon."""

DIGEST_BYTES = 9


def request_names(caller, method, host, target, body, prompt=()):
    """Return the names of a request, the most general one first.

    Parameters
    ----------
    caller : str
        Workspace or digest of the key of the caller; empty if neither is known.
    method, host, target : str
        Method, host, and path with query string.
    body : bytes
    prompt : tuple of (str, int)
        Name and number of tokens of each part of the prompt, if headers state them.

    Returns
    -------
    tuple of str
        The second name also stands for the prompt. Without one there is no second name.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for field in (caller, method, host.lower(), target):
        raw = field.encode(errors="surrogateescape")
        digest.update(len(raw).to_bytes(4, "big") + raw)
    digest.update(body)
    names = [_name(digest)]
    if prompt:
        digest.update(repr(prompt).encode(errors="surrogateescape"))
        names.append(_name(digest))
    return tuple(names)


def _name(digest):
    return REQUEST_NAME_PREFIX + urlsafe_b64encode(digest.digest()).decode()
