"""Software version at which an event stream began.

What two versions of a service write does not fit together, so a stream continues only
at servers of the version that began it. Servers do not check this.
"""

from msgspec import Struct

__all__ = ["UNKNOWN_VERSION", "StreamOrigin", "may_continue_at"]

UNKNOWN_VERSION = "?"
"""Version of a server that may have started again since its entry was read."""


class StreamOrigin(Struct, frozen=True):
    """Where a stream began.

    Parameters
    ----------
    service : str
    version : str
        Software version of the server that wrote its first event; empty if the
        provider lists no versions, `UNKNOWN_VERSION` if that of the list was in doubt.
    """

    service: str
    version: str


def may_continue_at(replica, origin):
    """Return whether a stream that began at `origin` may continue at `replica`.

    Any stream that has not begun yet, with `origin` None, may.
    """
    return origin is None or (
        replica.service == origin.service
        and replica.version == origin.version
        and not replica.is_version_doubtful
    )
