"""Records that the platform and the backend servers publish."""

from typing import Literal

from msgspec import Struct

__all__ = [
    "LoadHeader",
    "CacheEvents",
    "EVACUATED_PREFIX",
    "LoadReport",
    "Order",
    "VmRecord",
    "format_load_header",
    "parse_load_header",
]


EVACUATED_PREFIX = "evacuated/"
"""Parts of a list of backend servers that name an evacuated failure domain."""


class VmRecord(Struct, frozen=True, kw_only=True):
    """A VM as the VM list shows it.

    Parameters
    ----------
    name : str
    incarnation : int
        Grows each time the VM is replaced.
    role : {"entry", "engine", "service"}
    region, failure_domain : str
    state : {"live", "leaving"}
    address : str
        Where a backend server takes requests, as ``ip:port``.
    peer_address, caller_address : str
        Listeners of an entry VM.
    service : str
        Service that a plain backend server offers.
    fenced : bool
        Whether the engine refuses an order with an old fencing number.
    checks_sender : bool
        Whether the engine checks who gives it an order.
    guarded : bool
        Whether the server refuses, before running anything, a request that
        is meant for another server or that comes while it is leaving.
    slots : int
        Requests that the server runs at once, where the list tells it; such
        a server is used without being asked for its load first.
    warm_up_left_ms : int
        How much longer a server that was listed just now stays cold.
    """

    name: str
    incarnation: int = 1
    role: Literal["entry", "engine", "service"]
    region: str
    failure_domain: str
    state: Literal["live", "leaving"] = "live"
    address: str = ""
    peer_address: str = ""
    caller_address: str = ""
    service: str = ""
    fenced: bool = False
    checks_sender: bool = False
    guarded: bool = False
    slots: int = 0
    warm_up_left_ms: int = 0


class LoadHeader(Struct, frozen=True):
    """Load that a backend server tells on each answer; fields as in LoadReport."""

    running: int
    waiting: int
    waiting_tokens: int
    leaving: bool = False


def format_load_header(load):
    """Return `load` as the value of an HTTP header."""
    state = "leaving" if load.leaving else "live"
    return f"{load.running} {load.waiting} {load.waiting_tokens} {state}"


def parse_load_header(text):
    """Return the :class:`LoadHeader` in a header value, or None."""
    fields = text.split(" ")
    if len(fields) != 4 or not all(item.isdecimal() for item in fields[:3]):
        return None
    running, waiting, tokens = (int(item) for item in fields[:3])
    return LoadHeader(running, waiting, tokens, fields[3] == "leaving")


class LoadReport(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a backend server says of itself; it lags.

    Parameters
    ----------
    server, incarnation, region : str, int, str
        Identity of the server that answers at the address.
    slots, running, waiting : int
        Requests that it can run, runs and holds waiting.
    waiting_tokens : int
        Prompt tokens not yet computed.
    loaded : tuple of str
        ``model@version`` and ``adapter@version`` that it holds.
    loading : str
        What it is loading, if anything.
    leaving : bool
    """

    server: str
    incarnation: int
    region: str
    slots: int = 1
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    loaded: tuple[str, ...] = ()
    loading: str = ""
    leaving: bool = False
    fence: int = 0


class CacheEvents(Struct, frozen=True):
    """Prefix blocks that an engine added and dropped; events may be missing.

    Parameters
    ----------
    first_sequence, last_sequence : int
        A gap to the sequence before tells that events were lost.
    """

    server: str
    first_sequence: int
    last_sequence: int
    added: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()


class Order(Struct, frozen=True, kw_only=True):
    """An order to an engine to load a model version or adapter.

    Parameters
    ----------
    server : str
    incarnation : int
    load : str
        ``name@version`` to hold.
    unload : str
        ``name@version`` to drop first, or empty.
    fence : int
        Fencing number: the configuration revision the order follows from.
    sender : str
    """

    server: str
    incarnation: int
    load: str
    unload: str = ""
    fence: int
    sender: str
