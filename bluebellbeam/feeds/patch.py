"""JSON merge patches between two versions of a document [1]_.

References
----------
.. [1] RFC 7396, JSON Merge Patch.
"""

__all__ = ["apply_patch", "make_patch"]


def make_patch(old, new):
    """Return the merge patch that turns dict `old` into dict `new`.

    Notes
    -----
    A merge patch cannot set a value to null, because null removes the key. The
    receiver detects such a change by the digest of the result and requests a
    snapshot.
    """
    patch = {}
    for key, value in new.items():
        if key not in old:
            patch[key] = value
        elif old[key] != value:
            both_objects = isinstance(old[key], dict) and isinstance(value, dict)
            patch[key] = make_patch(old[key], value) if both_objects else value
    for key in old:
        if key not in new:
            patch[key] = None
    return patch


def apply_patch(document, patch):
    """Return `document` with the merge patch `patch` applied."""
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = apply_patch(result.get(key), value)
    return result
