"""Spreading of the origins of streams beyond their holders."""

from bluebellbeam.node.load_exchange import messages_to_region
from bluebellbeam.origins import find_copy, find_origin, queue_copy
from bluebellbeam.routing import UNKNOWN_VERSION

__all__ = ["find_known_origin", "share_origin"]


def share_origin(state, key, origin):
    """Spread an origin in the region with the next exchanges of loads.

    Parameters
    ----------
    state : NodeState
    key : int
        Key of the stream.
    origin : StreamOrigin
        Ignored while its version is unknown.
    """
    if origin.version != UNKNOWN_VERSION:
        queue_copy(state.origin_copies, key, origin, messages_to_region(state))


def find_known_origin(state, key, now_ms):
    """Return the origin of a stream as recorded or as copied, or None.

    A copy, whose version is always known, goes before a record of unknown version.
    """
    origin = find_origin(state.origins, key, now_ms)
    if origin is None or origin.version == UNKNOWN_VERSION:
        return find_copy(state.origin_copies, key, now_ms) or origin
    return origin
